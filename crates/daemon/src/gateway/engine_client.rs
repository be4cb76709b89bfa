//! Calls to back ends and the platform, with separate connection pools for online,
//! batch and control traffic, so that they do not delay each other.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::headers::CONTENT_TYPE;
use molespan_engine_api::{
    ATTEMPT_HEADER, CACHE_EVENTS_PATH, CacheEventPage, HEALTH_PATH, INCARNATION_HEADER, LOAD_PATH,
    LoadReport, MACHINES_PATH, MachineList, ORDERS_PATH, Order, OrderReply, PRIORITY_HEADER,
    REQUESTS_PATH, RequestState, RequestStatus,
};
use molespan_http::{
    Body, ClientResponse, Method, Pool, PoolLimits, Request, json_body, new_request,
};
use molespan_routing::retry::{AttemptEnd, AttemptRef, StatusAnswer};
use molespan_types::{AttemptId, Incarnation, Priority, RunOutcome};

use super::answer::{AnswerStream, AttemptFailure, Target, answer_stream, parse_refusal};
use super::options::BackendTimeouts;

/// Maximum length of an error body or report.
const MAX_REPORT_BYTES: usize = 1024 * 1024;
/// Maximum length of the platform list.
const MAX_LIST_BYTES: usize = 32 * 1024 * 1024;

/// Client of back ends and the platform.
#[derive(Clone, Debug)]
pub(super) struct EngineClient {
    online: Pool,
    batch: Pool,
    resume: Pool,
    control: Pool,
    batch_control: Pool,
}

impl EngineClient {
    pub(super) fn new(timeouts: &BackendTimeouts) -> Self {
        let limits = |response: Duration, stall: Duration| PoolLimits {
            connect_timeout: timeouts.connect,
            response_timeout: response,
            body_timeout: stall,
            ..PoolLimits::default()
        };
        let control = limits(timeouts.control, timeouts.control);
        Self {
            online: Pool::new(limits(timeouts.response, timeouts.stall)),
            batch: Pool::new(limits(timeouts.batch_stall, timeouts.batch_stall)),
            resume: Pool::new(limits(timeouts.control, timeouts.stall)),
            control: Pool::new(control.clone()),
            batch_control: Pool::new(control),
        }
    }

    /// Closes idle connections to a back end that has left.
    pub(super) fn forget(&self, address: SocketAddr) {
        for pool in [
            &self.online,
            &self.batch,
            &self.resume,
            &self.control,
            &self.batch_control,
        ] {
            pool.close_idle(address);
        }
    }

    /// Sends a completion and waits for the head of its streamed answer.
    pub(super) async fn start(
        &self,
        priority: Priority,
        target: &Target,
        attempt: AttemptId,
        path: &str,
        body: Vec<u8>,
    ) -> Result<AnswerStream, AttemptFailure> {
        let request = new_request(Method::Post, target.address, path);
        let mut request = request.map_err(|error| AttemptFailure::from_send_error(&error))?;
        request.set_body(Body::from_bytes(body));
        request.insert_header(CONTENT_TYPE, "application/json");
        request.insert_header(ATTEMPT_HEADER, attempt.to_string());
        request.insert_header(PRIORITY_HEADER, priority.to_string());
        let pool = match priority {
            Priority::Online => &self.online,
            Priority::Batch => &self.batch,
        };
        let response = pool.send(target.address, request).await;
        let response = response.map_err(|error| AttemptFailure::from_send_error(&error))?;
        answer_stream(response, attempt, 0).await
    }

    /// Fetches the answer of an earlier attempt, starting at token `offset`.
    pub(super) async fn resume(
        &self,
        address: SocketAddr,
        attempt: &AttemptRef,
        offset: u32,
    ) -> Result<AnswerStream, AttemptFailure> {
        let path = format!("{REQUESTS_PATH}/{}/stream?offset={offset}", attempt.attempt);
        let request = new_request(Method::Get, address, &path);
        let request = request.map_err(AttemptFailure::broken)?;
        let response = self.resume.send(address, request).await;
        let response = response.map_err(|error| AttemptFailure {
            end: AttemptEnd::Broken,
            ..AttemptFailure::from_send_error(&error)
        })?;
        if named_incarnation(&response).is_some_and(|named| named != attempt.incarnation) {
            return Err(AttemptFailure::lost("another life of the engine answered"));
        }
        let answer = answer_stream(response, attempt.attempt, offset).await;
        // An engine's error for a resume applies to the resume only, not to the attempt.
        answer.map_err(|failure| match failure.refusal {
            Some(_) => AttemptFailure {
                end: AttemptEnd::Lost,
                ..failure
            },
            None => failure,
        })
    }

    /// Asks for the status of an attempt.
    pub(super) async fn status(&self, address: SocketAddr, attempt: &AttemptRef) -> StatusAnswer {
        let path = format!("{REQUESTS_PATH}/{}", attempt.attempt);
        let Ok(request) = new_request(Method::Get, address, &path) else {
            return StatusAnswer::NoAnswer;
        };
        let Ok(response) = self.control.send(address, request).await else {
            return StatusAnswer::NoAnswer;
        };
        if named_incarnation(&response) != Some(attempt.incarnation) {
            return StatusAnswer::OtherLife;
        }
        let status = u16::from(response.status());
        if status == 404 {
            return match parse_refusal(response).await {
                Some(refusal) if refusal.detail.outcome == RunOutcome::NotRun => {
                    StatusAnswer::NeverSeen
                }
                _ => StatusAnswer::NoAnswer,
            };
        }
        if status == 410 {
            return StatusAnswer::Cancelled;
        }
        match response.json::<RequestStatus>(MAX_REPORT_BYTES).await {
            Ok(status) if status.id != attempt.attempt.to_string() => StatusAnswer::NoAnswer,
            Ok(status) if status.state == RequestState::Cancelled => StatusAnswer::Cancelled,
            Ok(_) => StatusAnswer::Present,
            Err(_) => StatusAnswer::NoAnswer,
        }
    }

    /// Cancels an attempt; returns whether the engine confirmed it.
    pub(super) async fn cancel(
        &self,
        priority: Priority,
        address: SocketAddr,
        attempt: AttemptId,
    ) -> bool {
        let path = format!("{REQUESTS_PATH}/{attempt}");
        let status = self.act(priority, Method::Delete, address, &path).await;
        status.is_some_and(|status| status == 200)
    }

    /// Pauses or resumes a batch attempt; returns the HTTP status.
    pub(super) async fn set_paused(
        &self,
        address: SocketAddr,
        attempt: AttemptId,
        paused: bool,
    ) -> Option<u16> {
        let action = if paused { "pause" } else { "resume" };
        let path = format!("{REQUESTS_PATH}/{attempt}/{action}");
        self.act(Priority::Batch, Method::Post, address, &path)
            .await
    }

    async fn act(
        &self,
        priority: Priority,
        method: Method,
        address: SocketAddr,
        path: &str,
    ) -> Option<u16> {
        let pool = match priority {
            Priority::Online => &self.control,
            Priority::Batch => &self.batch_control,
        };
        let request = new_request(method, address, path).ok()?;
        let response = pool.send(address, request).await.ok()?;
        let status = u16::from(response.status());
        // Reading the complete body makes the connection reusable.
        let _body = response.bytes(MAX_REPORT_BYTES).await;
        Some(status)
    }

    /// Fetches the load report of a back end.
    pub(super) async fn load(&self, address: SocketAddr) -> Option<LoadReport> {
        let request = new_request(Method::Get, address, LOAD_PATH).ok()?;
        let response = self.control.send(address, request).await.ok()?;
        response.json(MAX_REPORT_BYTES).await.ok()
    }

    /// Fetches the cache events after sequence number `after`.
    pub(super) async fn cache_events(
        &self,
        address: SocketAddr,
        after: u64,
    ) -> Option<CacheEventPage> {
        let path = format!("{CACHE_EVENTS_PATH}?after={after}");
        let request = new_request(Method::Get, address, &path).ok()?;
        let response = self.control.send(address, request).await.ok()?;
        response.json(MAX_REPORT_BYTES).await.ok()
    }

    /// Probes a back end and returns the incarnation in its answer; an error if it fails.
    pub(super) async fn probe(&self, address: SocketAddr) -> Result<Option<Incarnation>, String> {
        let request = new_request(Method::Get, address, HEALTH_PATH);
        let request = request.map_err(|error| error.to_string())?;
        let response = self.control.send(address, request).await;
        let response = response.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Err(format!("status {}", response.status()));
        }
        let incarnation = named_incarnation(&response);
        let whole = response.bytes(MAX_REPORT_BYTES).await;
        whole.map_err(|error| error.to_string())?;
        Ok(incarnation)
    }

    /// Sends a fenced order.
    pub(super) async fn order(
        &self,
        address: SocketAddr,
        order: &Order,
    ) -> Result<OrderReply, String> {
        let request = new_request(Method::Post, address, ORDERS_PATH);
        let mut request = request.map_err(|error| error.to_string())?;
        request.set_body(json_body(order));
        let response = self.control.send(address, request).await;
        let response = response.map_err(|error| error.to_string())?;
        let reply = response.json(MAX_REPORT_BYTES).await;
        reply.map_err(|error| error.to_string())
    }

    /// Fetches the platform list.
    pub(super) async fn machines(&self, address: SocketAddr) -> Result<MachineList, String> {
        let request = new_request(Method::Get, address, MACHINES_PATH);
        let request = request.map_err(|error| error.to_string())?;
        let response = self.control.send(address, request).await;
        let response = response.map_err(|error| error.to_string())?;
        let list = response.json(MAX_LIST_BYTES).await;
        list.map_err(|error| error.to_string())
    }

    /// Forwards any request to an application back end.
    pub(super) async fn forward(
        &self,
        target: &Target,
        request: Request,
    ) -> Result<ClientResponse, AttemptFailure> {
        let response = self.online.send(target.address, request).await;
        response.map_err(|error| AttemptFailure::from_send_error(&error))
    }
}

fn named_incarnation(response: &ClientResponse) -> Option<Incarnation> {
    let named = response.header(INCARNATION_HEADER)?;
    named.parse().ok().map(Incarnation)
}
