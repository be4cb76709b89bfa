//! The event stream of the operator API.

use std::sync::Arc;

use molespan_http::{Request, Response};

use super::super::error::ApiError;
use super::super::state::GatewayState;
use crate::event_stream::{EventQuery, watch};

/// Streams events as they happen; see [`EventQuery`].
pub(super) fn events(state: &Arc<GatewayState>, request: &Request) -> Result<Response, ApiError> {
    let query =
        EventQuery::read(request).map_err(|message| ApiError::bad_request("bad_query", message))?;
    let stopping = state.clone();
    let stopping = async move { stopping.stopping().await };
    let (response, work) = watch(state.events.buffer(), query, stopping);
    state.spawn(work);
    Ok(response)
}
