//! Calls and their records.

use std::net::SocketAddr;
use std::time::Duration;

use molespan_emulator::application::echo_digest;
use molespan_engine_api::{
    COMPLETIONS_PATH, CompletionRequest, IDEMPOTENCY_KEY_HEADER, REPEATABLE_HEADER, TENANT_HEADER,
};
use molespan_http::{Method, Request, SendError, json_body, new_request};
use molespan_types::Digest;

use crate::run::account::CallOutcome;

/// A streamed completion request.
#[derive(Clone, Debug)]
pub struct CompletionCall {
    /// Service name for a gateway, or model name for an engine.
    pub model: String,
    /// Text of the prompt.
    pub prompt: String,
    /// Number of tokens to generate.
    pub max_tokens: u32,
    /// Tenant of the caller.
    pub tenant: String,
    /// Idempotency key of a request that is not repeatable.
    pub idempotency_key: Option<String>,
}

/// An application call.
#[derive(Clone, Debug)]
pub struct ApplicationCall {
    /// Prefix of the application's path; empty for a direct call.
    pub prefix: String,
    /// Path within the application.
    pub path: String,
    /// Request body.
    pub body: String,
    /// Tenant of the caller.
    pub tenant: String,
}

impl ApplicationCall {
    /// Returns the digest under which the back end records the execution.
    #[must_use]
    pub fn digest(&self) -> Digest {
        echo_digest("POST", &self.path, self.body.as_bytes())
    }
}

/// A finished call. Times are measured from the scheduled time of the call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Digest under which the back ends record the execution.
    pub prompt: Digest,
    /// Time to first token, for completions.
    pub first_token: Option<Duration>,
    /// Time to the end of the call.
    pub whole: Duration,
    /// Times between successive tokens.
    pub token_gaps: Vec<Duration>,
    /// Outcome of the call.
    pub outcome: CallOutcome,
}

/// Builds the HTTP request of a completion.
pub(super) fn completion_request(
    address: SocketAddr,
    call: &CompletionCall,
) -> Result<Request, SendError> {
    let mut request = new_request(Method::Post, address, COMPLETIONS_PATH)?;
    request.insert_header(TENANT_HEADER, &call.tenant);
    if let Some(key) = &call.idempotency_key {
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
