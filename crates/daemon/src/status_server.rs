//! Health, readiness and metrics of a node that is no gateway.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::{Executor, Task};
use molespan_http::{
    Method, Request, Response, Server, ServerError, ServerHandle, ServerLimits, StatusCode,
    error_response, text_response,
};
use molespan_telemetry::{METRICS_CONTENT_TYPE, Metrics};
use molespan_types::RunOutcome;

use crate::replica::ReplicaRole;

/// When to come back to a node that is not ready.
const UNREADY_RETRY: Duration = Duration::from_secs(1);
/// Longest time for open requests at a stop.
const FINISH_WITHIN: Duration = Duration::from_secs(1);

/// A running status server.
#[derive(Debug)]
pub(crate) struct StatusServer {
    address: SocketAddr,
    handle: ServerHandle,
    _serving: Task<()>,
}

impl StatusServer {
    /// Serves on `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn start(
        address: SocketAddr,
        executor: &Arc<Executor<'static>>,
        replica: Option<Arc<ReplicaRole>>,
        metrics: Metrics,
    ) -> Result<Self, ServerError> {
        let server = Server::bind(address, ServerLimits::default())?;
        let address = server.local_address();
        let handle = server.handle();
        let answer = move |request: Request| {
            let (replica, metrics) = (replica.clone(), metrics.clone());
            async move { answer(&request, replica.as_deref(), &metrics).await }
        };
        let serving = executor.spawn(server.serve(executor.clone(), answer));
        Ok(Self {
            address,
            handle,
            _serving: serving,
        })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops serving.
    pub async fn stop(&self) {
        self.handle.shutdown(Duration::ZERO, FINISH_WITHIN).await;
    }
}

async fn answer(request: &Request, replica: Option<&ReplicaRole>, metrics: &Metrics) -> Response {
    if request.method() != Method::Get {
        let message = "a node without the gateway role answers only GET";
        return refuse(StatusCode::MethodNotAllowed, "method-not-allowed", message);
    }
    match request.url().path() {
        "/health" => text_response(StatusCode::Ok, "alive\n"),
        "/ready" => ready(replica).await,
        "/metrics" => {
            let mut response = text_response(StatusCode::Ok, metrics.encode());
            response.insert_header("content-type", METRICS_CONTENT_TYPE);
            response
        }
        _ => {
            let message = "a node without the gateway role serves /health, /ready and /metrics";
            refuse(StatusCode::NotFound, "not-found", message)
        }
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
    let retry = Some(UNREADY_RETRY);
    error_response(status, "not-ready", message, RunOutcome::NotRun, retry)
}

fn refuse(status: StatusCode, code: &str, message: &str) -> Response {
    error_response(status, code, message, RunOutcome::NotRun, None)
}
