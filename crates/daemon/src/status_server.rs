//! Health, readiness, metrics and events of a node without the gateway role.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use molespan_http::{
    Method, Request, Response, Server, ServerError, ServerHandle, ServerLimits, StatusCode,
    error_response, text_response,
};
use molespan_telemetry::{EventBuffer, METRICS_CONTENT_TYPE, Metrics};
use molespan_types::RunOutcome;

use crate::event_stream::{EVENTS_PATH, EventQuery, watch};
use crate::replica::ReplicaRole;

/// Retry delay reported while the node is not ready.
const UNREADY_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time limit for open requests at a stop.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);

/// Sources of a status server's answers.
#[derive(Clone, Debug)]
pub(crate) struct StatusSources {
    /// The replica role, if the node has it.
    pub replica: Option<Arc<ReplicaRole>>,
    /// Metrics of the process.
    pub metrics: Metrics,
    /// Decision events of the process.
    pub events: EventBuffer,
}

/// A running status server.
#[derive(Debug)]
pub(crate) struct StatusServer {
    address: SocketAddr,
    handle: ServerHandle,
    /// Closed to end the streams of watchers.
    stop: Sender<()>,
    _serving: Task<()>,
}

/// Handles the requests of a status server.
#[derive(Clone, Debug)]
struct StatusHandler {
    sources: StatusSources,
    executor: Arc<Executor<'static>>,
    stopping: Receiver<()>,
}

impl StatusServer {
    /// Serves on `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        executor: &Arc<Executor<'static>>,
        sources: StatusSources,
    ) -> Result<Self, ServerError> {
        let server = Server::bind(address, ServerLimits::default())?;
        let address = server.local_address();
        let handle = server.handle();
        let (stop, stopping) = async_channel::bounded(1);
        let handler = StatusHandler {
            sources,
            executor: executor.clone(),
            stopping,
        };
        let answer = move |request: Request| {
            let handler = handler.clone();
            async move { handler.answer(&request).await }
        };
        let serving = executor.spawn(server.serve(executor.clone(), answer));
        Ok(Self {
            address,
            handle,
            stop,
            _serving: serving,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving.
    pub async fn stop(&self) {
        self.stop.close();
        self.handle.shutdown(Duration::ZERO, SHUTDOWN_TIMEOUT).await;
    }
}

impl StatusHandler {
    async fn answer(&self, request: &Request) -> Response {
        if request.method() != Method::Get {
            let message = "a node without the gateway role answers only GET";
            return refuse(StatusCode::MethodNotAllowed, "method-not-allowed", message);
        }
        match request.url().path() {
            "/health" => text_response(StatusCode::Ok, "alive\n"),
            "/ready" => ready(self.sources.replica.as_deref()).await,
            "/metrics" => {
                let mut response = text_response(StatusCode::Ok, self.sources.metrics.encode());
                response.insert_header("content-type", METRICS_CONTENT_TYPE);
                response
            }
            EVENTS_PATH => self.events(request),
            _ => {
                let message = "a node without the gateway role serves /health, /ready, /metrics \
                               and /admin/events";
                refuse(StatusCode::NotFound, "not-found", message)
            }
        }
    }

    fn events(&self, request: &Request) -> Response {
        let query = match EventQuery::read(request) {
            Ok(query) => query,
            Err(message) => return refuse(StatusCode::BadRequest, "bad_query", &message),
        };
        let stopping = self.stopping.clone();
        let stopping = async move {
            let _closed = stopping.recv().await;
        };
        let (response, work) = watch(&self.sources.events, query, stopping);
        self.executor.spawn(work).detach();
        response
    }
}

async fn ready(replica: Option<&ReplicaRole>) -> Response {
    let ready = match replica {
        Some(replica) => replica.is_ready().await,
        None => true,
    };
    if ready {
        return text_response(StatusCode::Ok, "ready\n");
    }
    let message = "the replica does not vote in every group yet, or a group has no leader";
    let status = StatusCode::ServiceUnavailable;
    let retry = Some(UNREADY_RETRY_AFTER);
    error_response(status, "not-ready", message, RunOutcome::NotRun, retry)
}

fn refuse(status: StatusCode, code: &str, message: &str) -> Response {
    error_response(status, code, message, RunOutcome::NotRun, None)
}
