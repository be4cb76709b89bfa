//! Application services: requests passed through as plain HTTP.

use std::sync::Arc;
use std::time::Duration;

use http_types::StatusCode;
use molespan_engine_api::{ATTEMPT_HEADER, OUTCOME_HEADER, TENANT_HEADER};
use molespan_http::{Body, ClientPresence, ClientResponse, Method, Request, Response, new_request};
use molespan_routing::pick::PickRequest;
use molespan_routing::retry::{AttemptEnd, NextStep, RequestKind, RequestState, check_attempt};
use molespan_types::{AttemptId, BackendId, Digest, RunOutcome, ServiceName, TenantId, digest_of};

use super::admission::NotAdmitted;
use super::answer::{AttemptFailure, parse_failure};
use super::claims::RequestClaim;
use super::dispatch::InFlight;
use super::error::ApiError;
use super::state::GatewayState;
use super::validation::{Repeatability, repeatability_of, tenant_of};

/// Path prefix of application services.
pub(super) const SERVICES_PREFIX: &str = "/services/";
/// Maximum length of an answer, which is buffered in memory; longer ones are rejected.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;
/// Retry delay reported to callers while no back end accepts work.
const RETRY_AFTER: Duration = Duration::from_secs(1);
/// Headers that are hop-by-hop, or that the gateway sets itself.
const OWN_HEADERS: [&str; 7] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "transfer-encoding",
    "x-request-id",
];

/// A request to an application service.
#[derive(Debug)]
struct ApplicationRequest {
    service: ServiceName,
    tenant: TenantId,
    repeatability: Repeatability,
    method: Method,
    /// Path and query at the back end.
    path: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl ApplicationRequest {
    fn read(request: &Request, body: Vec<u8>) -> Result<Self, ApiError> {
        let url = request.url();
        let rest = &url.path()[SERVICES_PREFIX.len()..];
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let query = url.query().map(|query| format!("?{query}"));
        let headers = request.iter().filter_map(|(name, values)| {
            let name = name.as_str();
            let own = OWN_HEADERS.contains(&name);
            (!own).then(|| (name.to_owned(), values.last().as_str().to_owned()))
        });
        Ok(Self {
            service: ServiceName::from(service),
            tenant: tenant_of(request)?,
            repeatability: repeatability_of(request, is_repeatable(request.method()))?,
            method: request.method(),
            path: format!("/{path}{}", query.unwrap_or_default()),
            headers: headers.collect(),
            body,
        })
    }

    /// Digest that identifies repeated submissions of the same request.
    fn digest(&self) -> Digest {
        let mut content =
            format!("{}\n{}\n{}\n", self.service, self.method, self.path).into_bytes();
        content.extend_from_slice(&self.body);
        digest_of(&content)
    }
}

/// Whether a method is idempotent according to HTTP.
fn is_repeatable(method: Method) -> bool {
    matches!(
        method,
        Method::Get | Method::Head | Method::Put | Method::Delete | Method::Options | Method::Trace
    )
}

/// A complete answer of a back end.
struct WholeAnswer {
    head: Response,
    body: Vec<u8>,
}

/// Forwards a request to a back end of its service.
pub(super) async fn serve_application(
    state: &Arc<GatewayState>,
    request: &Request,
    body: Vec<u8>,
    presence: Option<ClientPresence>,
) -> Response {
    let incoming = match ApplicationRequest::read(request, body) {
        Ok(incoming) => incoming,
        Err(error) => return error.response(),
    };
    match admitted(state, &incoming, presence).await {
        Ok(response) => {
            state.metrics.request_ended("completed");
            response
        }
        Err(error) => {
            state.metrics.request_ended(&error.outcome.to_string());
            error.response()
        }
    }
}

async fn admitted(
    state: &Arc<GatewayState>,
    incoming: &ApplicationRequest,
    presence: Option<ClientPresence>,
) -> Result<Response, ApiError> {
    state
        .check_application(&incoming.service)
        .map_err(|refusal| {
            state.record_refusal(&incoming.tenant, &incoming.service, &refusal);
            ApiError::from(refusal)
        })?;
    let admitted = state.admit(&incoming.tenant, &incoming.service, presence.as_ref());
    let mut permit = admitted.await.map_err(|refused| match refused {
        NotAdmitted::Refused(refusal) => ApiError::from(refusal),
        NotAdmitted::CallerGone => ApiError::not_run(
            StatusCode::ServiceUnavailable,
            "caller_gone",
            "the caller went away",
        ),
    })?;
    permit.record_run();
    let mut run = Run::new(state, incoming);
    let answer = run.steps_until_end().await;
    run.settle(&answer).await;
    answer.map(|answer| run.response(answer))
}

/// The execution of one request.
struct Run<'a> {
    state: &'a Arc<GatewayState>,
    incoming: &'a ApplicationRequest,
    steps: RequestState,
    claim: RequestClaim,
    answer: Option<WholeAnswer>,
    last_attempt: Option<AttemptId>,
    cause: String,
}

impl<'a> Run<'a> {
    fn new(state: &'a Arc<GatewayState>, incoming: &'a ApplicationRequest) -> Self {
        Self {
            state,
            incoming,
            steps: RequestState::new(RequestKind {
                repeatable: incoming.repeatability == Repeatability::Repeatable,
                resumable: false,
            }),
            claim: RequestClaim::default(),
            answer: None,
            last_attempt: None,
            cause: "no back end takes work".to_owned(),
        }
    }

    async fn steps_until_end(&mut self) -> Result<WholeAnswer, ApiError> {
        let mut next = self.steps.begin();
        loop {
            next = match next {
                NextStep::Claim => self.claim().await,
                NextStep::Dispatch => {
                    let service = &self.incoming.service;
                    self.state
                        .pickers
                        .with_budget(service, |budget| budget.earn());
                    self.dispatch(&[]).await
                }
                NextStep::Retry { exclude } => {
                    self.state.metrics.retried();
                    self.dispatch(&exclude).await
                }
                NextStep::Replay { outcome } => return self.replay(outcome),
                NextStep::Done => match self.answer.take() {
                    Some(answer) => return Ok(answer),
                    None => return Err(self.failure(RunOutcome::Unknown)),
                },
                NextStep::Fail { outcome } => return Err(self.failure(outcome)),
                // Application back ends do not store answers.
                NextStep::Resume { .. } | NextStep::AskStatus { .. } => {
                    return Err(self.failure(RunOutcome::Unknown));
                }
            };
        }
    }

    async fn claim(&mut self) -> NextStep {
        let incoming = self.incoming;
        let answer = self.claim.ask(
            self.state,
            &incoming.tenant,
            &incoming.repeatability,
            incoming.digest(),
        );
        let answer = answer.await;
        self.steps.claim_answered(answer)
    }

    async fn dispatch(&mut self, exclude: &[BackendId]) -> NextStep {
        let wanted = PickRequest {
            prefix_hashes: &[],
            exclude,
        };
        let service = &self.incoming.service;
        let chosen = self
            .state
            .choose(service, &self.incoming.tenant, wanted)
            .await;
        let chosen = match chosen {
            Ok(chosen) => chosen,
            Err(error) => {
                self.cause = error.to_string();
                return self.steps.no_backend();
            }
        };
        let attempt = self.state.next_attempt();
        let target = chosen.target;
        if !self.steps.dispatched(target.attempt(attempt)) {
            return self.steps.no_backend();
        }
        self.last_attempt = Some(attempt);
        let mut in_flight = InFlight::begin(self.state, service, chosen, attempt, &[], 1);
        let end = match self.exchange(&mut in_flight, attempt).await {
            Ok(answer) => {
                in_flight.answered();
                self.answer = Some(answer);
                AttemptEnd::Completed
            }
            Err(failure) => {
                self.cause.clone_from(&failure.cause);
                let end = failure.end;
                in_flight.failed(&failure);
                end
            }
        };
        let now = self.state.clock.now();
        let steps = &mut self.steps;
        self.state
            .pickers
            .with_budget(service, |budget| steps.ended(now, end, budget))
    }

    /// Sends the request and reads its complete answer.
    async fn exchange(
        &self,
        in_flight: &mut InFlight,
        attempt: AttemptId,
    ) -> Result<WholeAnswer, AttemptFailure> {
        let target = in_flight.target();
        let request = self.request(target.address, attempt)?;
        let response = self.state.engines.forward(&target, request).await?;
        in_flight.first_byte();
        check_attempt(attempt, response.header(ATTEMPT_HEADER)).map_err(AttemptFailure::broken)?;
        if reports_not_run(&response) {
            return Err(parse_failure(response).await);
        }
        let head = response.head().clone();
        let body = response.bytes(MAX_ANSWER_BYTES).await;
        let body = body.map_err(AttemptFailure::broken)?;
        Ok(WholeAnswer { head, body })
    }

    fn request(
        &self,
        address: std::net::SocketAddr,
        attempt: AttemptId,
    ) -> Result<Request, AttemptFailure> {
        let request = new_request(self.incoming.method, address, &self.incoming.path);
        let mut request = request.map_err(AttemptFailure::not_sent)?;
        request.set_body(Body::from_bytes(self.incoming.body.clone()));
        for (name, value) in &self.incoming.headers {
            request.insert_header(name.as_str(), value.as_str());
        }
        request.insert_header(TENANT_HEADER, self.incoming.tenant.as_str());
        request.insert_header(ATTEMPT_HEADER, attempt.to_string());
        Ok(request)
    }

    fn replay(&mut self, outcome: RunOutcome) -> Result<WholeAnswer, ApiError> {
        let body = self.claim.take_recorded(outcome)?;
        let head = Response::new(StatusCode::Ok);
        Ok(WholeAnswer { head, body })
    }

    async fn settle(&mut self, answer: &Result<WholeAnswer, ApiError>) {
        if !self.claim.is_held() {
            return;
        }
        let (outcome, body) = match answer {
            Ok(answer) => (RunOutcome::Completed, answer.body.clone()),
            Err(error) => (error.outcome, Vec::new()),
        };
        self.claim.settle(self.state, outcome, body).await;
    }

    fn failure(&mut self, outcome: RunOutcome) -> ApiError {
        if let Some(error) = self.claim.take_error() {
            return error;
        }
        let cause = &self.cause;
        let error = match outcome {
            RunOutcome::NotRun => {
                let message = format!("no back end took the request: {cause}");
                ApiError::not_run(StatusCode::ServiceUnavailable, "no_backend", message)
                    .with_retry_after(RETRY_AFTER)
            }
            _ => {
                let message = format!("the request may have run and its answer is lost: {cause}");
                ApiError::not_run(StatusCode::BadGateway, "answer_lost", message)
                    .with_outcome(outcome)
            }
        };
        ApiError {
            attempt: self.last_attempt.map(|id| id.to_string()),
            ..error
        }
    }

    fn response(&self, answer: WholeAnswer) -> Response {
        let mut response = answer.head;
        for name in ["connection", "transfer-encoding", "content-length"] {
            response.remove_header(name);
        }
        let content_type = response.header("content-type").cloned();
        response.set_body(Body::from_bytes(answer.body));
        if let Some(content_type) = content_type {
            response.insert_header("content-type", &content_type);
        }
        response.insert_header(OUTCOME_HEADER, RunOutcome::Completed.to_string());
        response
    }
}

/// Whether the back end reports that it did not run the request.
fn reports_not_run(response: &ClientResponse) -> bool {
    response.header(OUTCOME_HEADER) == Some("not-run") && !response.status().is_success()
}
