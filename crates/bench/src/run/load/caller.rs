//! Makes single calls over HTTP, measures their times and checks the responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;
use molespan_emulator::application::EchoBody;
use molespan_emulator::engine::AnswerText;
use molespan_engine_api::{CompletionChunk, ErrorBody, TENANT_HEADER};
use molespan_http::{BodyError, ClientResponse, EventError, Method, Pool, SendError, new_request};
use molespan_types::{RunOutcome, digest_of};

use super::call::{ApplicationCall, CallRecord, CompletionCall, completion_request};
use crate::run::account::CallOutcome;

/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;
/// Timeout after which a call without a final response counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(60);

/// State of a stream that is being read.
#[derive(Default)]
struct StreamProgress {
    first_token: Option<Duration>,
    last_token: Option<Instant>,
    token_gaps: Vec<Duration>,
    next_offset: u32,
}

/// Makes calls over a connection pool.
#[derive(Clone, Debug)]
pub struct Caller {
    pool: Pool,
}

impl Caller {
    /// Creates a caller that uses `pool`.
    #[must_use]
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Streams a completion from `address`. `intended` is the scheduled start of the
    /// call.
    pub async fn stream(
        &self,
        address: SocketAddr,
        call: &CompletionCall,
        intended: Instant,
    ) -> CallRecord {
        let mut progress = StreamProgress::default();
        let streaming = self.stream_into(address, call, intended, &mut progress);
        let outcome = with_timeout(streaming).await;
        CallRecord {
            prompt: digest_of(call.prompt.as_bytes()),
            first_token: progress.first_token,
            whole: intended.elapsed(),
            token_gaps: progress.token_gaps,
            outcome,
        }
    }

    /// Calls an application at `address`.
    pub async fn application(
        &self,
        address: SocketAddr,
        call: &ApplicationCall,
        intended: Instant,
    ) -> CallRecord {
        let outcome = with_timeout(self.application_outcome(address, call)).await;
        CallRecord {
            prompt: call.digest(),
            first_token: None,
            whole: intended.elapsed(),
            token_gaps: Vec::new(),
            outcome,
        }
    }

    async fn stream_into(
        &self,
        address: SocketAddr,
        call: &CompletionCall,
        intended: Instant,
        progress: &mut StreamProgress,
    ) -> CallOutcome {
        let request = match completion_request(address, call) {
            Ok(request) => request,
            Err(error) => return send_error_outcome(&error),
        };
        let response = match self.pool.send(address, request).await {
            Ok(response) => response,
            Err(error) => return send_error_outcome(&error),
        };
        if !response.status().is_success() {
            return error_response_outcome(response).await;
        }
        let answer = AnswerText::of_prompt(&call.prompt);
        let mut events = response.events();
        loop {
            match events.next().await {
                Ok(Some(event)) => {
                    let checked =
                        check_event(&event.data, answer, call.max_tokens, progress.next_offset);
                    if let Err(outcome) = checked {
                        return outcome;
                    }
                    progress.token(intended);
                }
                Ok(None) if progress.next_offset == call.max_tokens => {
                    return CallOutcome::Completed;
                }
                Ok(None) => return corrupted("the stream ended as whole before its last token"),
                Err(error) => return broken_stream(&error),
            }
        }
    }

    async fn application_outcome(
        &self,
        address: SocketAddr,
        call: &ApplicationCall,
    ) -> CallOutcome {
        let path = format!("{}{}", call.prefix, call.path);
        let mut request = match new_request(Method::Post, address, &path) {
            Ok(request) => request,
            Err(error) => return send_error_outcome(&error),
        };
        request.insert_header(TENANT_HEADER, &call.tenant);
        request.set_body(call.body.as_str());
        let response = match self.pool.send(address, request).await {
            Ok(response) => response,
            Err(error) => return send_error_outcome(&error),
        };
        if !response.status().is_success() {
            return error_response_outcome(response).await;
        }
        match response.json::<EchoBody>(MAX_RESPONSE_BYTES).await {
            Ok(echo) if echo.digest == call.digest() => CallOutcome::Completed,
            Ok(_) => corrupted("the answer echoes another request"),
            Err(BodyError::Json(_)) => corrupted("the answer is not an echo"),
            Err(error) => lost(&error),
        }
    }
}

impl StreamProgress {
    fn token(&mut self, intended: Instant) {
        let now = Instant::now();
        match self.last_token {
            Some(last) => self.token_gaps.push(now - last),
            None => self.first_token = Some(now - intended),
        }
        self.last_token = Some(now);
        self.next_offset += 1;
    }
}

/// Checks one event of a stream: the next token of the expected text, or a typed
/// error that ends the stream.
fn check_event(
    data: &str,
    answer: AnswerText,
    max_tokens: u32,
    next_offset: u32,
) -> Result<(), CallOutcome> {
    if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
        return Err(CallOutcome::Refused {
            code: error.error.code,
            outcome: error.error.outcome,
        });
    }
    let Ok(chunk) = serde_json::from_str::<CompletionChunk>(data) else {
        return Err(corrupted("an event is not a chunk of an answer"));
    };
    if chunk.offset != next_offset || next_offset >= max_tokens {
        return Err(corrupted("a token came twice or is missing"));
    }
    if chunk.text != answer.token(chunk.offset) {
        return Err(corrupted("a token belongs to another prompt"));
    }
    Ok(())
}

/// Returns the outcome of a response without a success status.
pub(super) async fn error_response_outcome(response: ClientResponse) -> CallOutcome {
    let status = u16::from(response.status());
    match response.json::<ErrorBody>(MAX_RESPONSE_BYTES).await {
        Ok(body) => CallOutcome::Refused {
            code: body.error.code,
            outcome: body.error.outcome,
        },
        Err(BodyError::Json(_)) => CallOutcome::Refused {
            code: format!("untyped status {status}"),
            outcome: RunOutcome::Unknown,
        },
        Err(error) => lost(&error),
    }
}

/// Returns the outcome of a request without a response.
pub(super) fn send_error_outcome(error: &SendError) -> CallOutcome {
    match error {
        SendError::NotSent(cause) => CallOutcome::NotSent {
            cause: cause.to_string(),
        },
        SendError::Ambiguous(cause) => lost(cause),
    }
}

fn broken_stream(error: &EventError) -> CallOutcome {
    match error {
        EventError::Malformed => corrupted("an event is malformed"),
        other => lost(other),
    }
}

fn lost(cause: &impl std::fmt::Display) -> CallOutcome {
    CallOutcome::Lost {
        cause: cause.to_string(),
    }
}

fn corrupted(detail: &str) -> CallOutcome {
    CallOutcome::Corrupted {
        detail: detail.to_owned(),
    }
}

/// Returns the outcome of `call`, or `Lost` after [`CALL_TIMEOUT`].
async fn with_timeout(call: impl Future<Output = CallOutcome>) -> CallOutcome {
    let timeout = async {
        Timer::after(CALL_TIMEOUT).await;
        lost(&"no final answer within the caller's patience")
    };
    future::or(call, timeout).await
}
