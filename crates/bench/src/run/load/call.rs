//! Calls and what is recorded of them.

use std::net::SocketAddr;
use std::time::Duration;

use molespan_emulator::application::echo_digest;
use molespan_engine_api::{
    COMPLETIONS_PATH, CompletionRequest, IDEMPOTENCY_KEY_HEADER, REPEATABLE_HEADER, TENANT_HEADER,
};
use molespan_http::{Method, Request, SendError, json_body, new_request};
use molespan_types::Digest;

use crate::run::account::CallOutcome;

/// A streamed completion to ask for.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Service towards a gateway, or model towards an engine.
    pub model: String,
    /// Prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// Tenant of the caller.
    pub tenant: String,
    /// Key of a request that may not be repeated.
    pub once_key: Option<String>,
}

/// An application call.
#[derive(Clone, Debug)]
pub struct ApplicationCall {
    /// What stands before the application's own path; empty for a direct call.
    pub prefix: String,
    /// The application's own path.
    pub path: String,
    /// Body.
    pub body: String,
    /// Tenant of the caller.
    pub tenant: String,
}

impl ApplicationCall {
    /// Digest under which the back end records the run.
    #[must_use]
    pub fn digest(&self) -> Digest {
        echo_digest("POST", &self.path, self.body.as_bytes())
    }
}

/// A call that ended. Times count from the intended time of the call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Digest under which the back ends record the run.
    pub prompt: Digest,
    /// When the first token came, for completions.
    pub first_token: Option<Duration>,
    /// When the end came.
    pub whole: Duration,
    /// Gaps between tokens.
    pub token_gaps: Vec<Duration>,
    /// How it ended.
    pub outcome: CallOutcome,
}

/// The HTTP request of a completion.
pub(super) fn completion_request(
    address: SocketAddr,
    call: &CompletionCall,
) -> Result<Request, SendError> {
    let mut request = new_request(Method::Post, address, COMPLETIONS_PATH)?;
    request.insert_header(TENANT_HEADER, &call.tenant);
    if let Some(key) = &call.once_key {
        request.insert_header(REPEATABLE_HEADER, "false");
        request.insert_header(IDEMPOTENCY_KEY_HEADER, key);
    }
    request.set_body(json_body(&CompletionRequest {
        model: call.model.clone(),
        prompt: call.prompt.clone(),
        max_tokens: call.max_tokens,
        stream: true,
        adapter: None,
    }));
    Ok(request)
}
