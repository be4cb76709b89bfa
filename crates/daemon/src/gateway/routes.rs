//! Request routing of the caller and operator APIs.

use std::sync::Arc;

use http_types::StatusCode;
use molespan_engine_api::{CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH};
use molespan_http::{ClientPresence, Method, Request, Response, json_response, text_response};
use molespan_routing::readiness::Readiness;
use molespan_telemetry::METRICS_CONTENT_TYPE;
use serde::Serialize;

use super::admin::{self, ADMIN_PREFIX};
use super::application::{SERVICES_PREFIX, serve_application};
use super::batch_api::{self, BATCHES_PATH};
use super::batch_submission;
use super::error::ApiError;
use super::route::serve_completion;
use super::state::GatewayState;
use super::validation::{CompletionForm, CompletionRequest};

/// Whether a node accepts new work, and why not.
#[derive(Clone, Debug, Serialize)]
struct ReadyView {
    ready: bool,
    reason: String,
    version: u64,
}

/// Serves one request.
pub(super) async fn serve(state: Arc<GatewayState>, mut request: Request) -> Response {
    let presence = ClientPresence::of(&request);
    let body = match request.body_bytes().await {
        Ok(body) => body,
        Err(error) => {
            return ApiError::bad_request("malformed_body", error.to_string()).response();
        }
    };
    let path = request.url().path();
    match (request.method(), path) {
        (Method::Post, COMPLETIONS_PATH) => {
            completion(&state, CompletionForm::Text, &request, &body, presence).await
        }
        (Method::Post, CHAT_COMPLETIONS_PATH) => {
            completion(&state, CompletionForm::Chat, &request, &body, presence).await
        }
        (Method::Get, "/health") => text_response(StatusCode::Ok, "ok\n"),
        (Method::Get, "/ready") => ready(&state),
        (Method::Get, "/metrics") => {
            let mut response = text_response(StatusCode::Ok, state.metrics.encode());
            response.insert_header("content-type", METRICS_CONTENT_TYPE);
            response
        }
        (_, path) if path.starts_with(SERVICES_PREFIX) => {
            serve_application(&state, &request, body, presence).await
        }
        (_, path) if path.starts_with(BATCHES_PATH) => batches(&state, &request, &body).await,
        (_, path) if path.starts_with(ADMIN_PREFIX) => {
            respond(admin::serve(&state, &request, &body).await)
        }
        _ => unknown_path(),
    }
}

async fn completion(
    state: &Arc<GatewayState>,
    form: CompletionForm,
    request: &Request,
    body: &[u8],
    presence: Option<ClientPresence>,
) -> Response {
    match CompletionRequest::read(form, request, body) {
        Ok(completion) => serve_completion(state, completion, presence).await,
        Err(error) => error.response(),
    }
}

async fn batches(state: &Arc<GatewayState>, request: &Request, body: &[u8]) -> Response {
    let rest = &request.url().path()[BATCHES_PATH.len()..];
    match (request.method(), rest) {
        (Method::Post, "") => respond(batch_submission::submit(state, request, body).await),
        (Method::Get, "") => respond(batch_api::list(state, request).await),
        (_, rest) if rest.starts_with('/') => {
            respond(batch_api::on_job(state, request, &rest[1..]).await)
        }
        _ => unknown_path(),
    }
}

/// Reports whether this node should receive requests.
fn ready(state: &GatewayState) -> Response {
    let readiness = state.configuration.readiness(state.clock.now());
    let (ready, reason) = if state.is_draining() {
        (false, "stopping as planned".to_owned())
    } else {
        (readiness == Readiness::Ready, readiness.to_string())
    };
    let status = if ready {
        StatusCode::Ok
    } else {
        StatusCode::ServiceUnavailable
    };
    let view = ReadyView {
        ready,
        reason,
        version: state.configuration.version().0,
    };
    json_response(status, &view)
}

fn respond(result: Result<Response, ApiError>) -> Response {
    result.unwrap_or_else(|error| error.response())
}

fn unknown_path() -> Response {
    ApiError::not_found("unknown_path", "there is no such path").response()
}
