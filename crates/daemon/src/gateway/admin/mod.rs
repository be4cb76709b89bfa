//! Operator API: plans and their confirmation, views of the state, and the event
//! stream.

mod plans;
mod view;
mod watch;

use std::sync::Arc;

use molespan_http::{Method, Request, Response};

pub(super) use plans::RecentPlans;

use super::error::ApiError;
use super::state::GatewayState;

/// Path prefix of the operator API.
pub(super) const ADMIN_PREFIX: &str = "/admin/";

/// Serves a path below [`ADMIN_PREFIX`].
pub(super) async fn serve(
    state: &Arc<GatewayState>,
    request: &Request,
    body: &[u8],
) -> Result<Response, ApiError> {
    let path = request.url().path();
    let rest = path.strip_prefix(ADMIN_PREFIX).unwrap_or_default();
    let parts: Vec<&str> = rest.split('/').collect();
    match (request.method(), parts.as_slice()) {
        (Method::Post, ["plans"]) => plans::plan(state, body).await,
        (Method::Post, ["plans", number, "confirm"]) => plans::confirm(state, number, body).await,
        (Method::Get, ["events"]) => watch::events(state, request),
        (Method::Get, [kind]) => view::get(state, request, kind).await,
        _ => Err(ApiError::not_found("unknown_path", "there is no such path")),
    }
}
