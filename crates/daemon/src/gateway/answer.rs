//! The answer stream of one attempt, validated token by token, and its failures.

use std::net::SocketAddr;

use molespan_engine_api::{ATTEMPT_HEADER, CompletionChunk, ErrorBody, ErrorDetail};
use molespan_http::{BodyError, ClientResponse, EventError, EventStream, FailureCause, SendError};
use molespan_routing::retry::{AttemptEnd, AttemptRef, StreamCheck, check_attempt};
use molespan_types::{AttemptId, BackendId, Incarnation, RunOutcome};

/// Maximum length of an error body that is read.
const MAX_ERROR_BYTES: usize = 1024 * 1024;

/// One incarnation of a back end and its address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) backend: BackendId,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
}

impl Target {
    /// Returns the reference to `attempt` on this back end.
    pub(super) fn attempt(&self, attempt: AttemptId) -> AttemptRef {
        AttemptRef {
            attempt,
            backend: self.backend,
            incarnation: self.incarnation,
        }
    }
}

/// Why an attempt, or an attempt to resume it, has no complete answer.
#[derive(Clone, Debug)]
pub(super) struct AttemptFailure {
    /// What is known about its execution.
    pub(super) end: AttemptEnd,
    /// Human-readable cause, one sentence.
    pub(super) cause: String,
    /// Whether the back end stopped sending data for too long.
    pub(super) silent: bool,
    /// The back end's own error, if it answered.
    pub(super) refusal: Option<BackendRefusal>,
}

/// A typed error of a back end.
#[derive(Clone, Debug)]
pub(super) struct BackendRefusal {
    pub(super) status: u16,
    pub(super) detail: ErrorDetail,
}

impl BackendRefusal {
    /// Whether the back end rejected the request because of overload.
    pub(super) fn is_overload(&self) -> bool {
        matches!(self.status, 429 | 503) && self.detail.outcome == RunOutcome::NotRun
    }

    /// Whether every back end would reject the request in the same way.
    pub(super) fn is_final(&self) -> bool {
        matches!(self.status, 400 | 413 | 422) && self.detail.outcome == RunOutcome::NotRun
    }
}

impl AttemptFailure {
    /// The connection broke or the answer failed validation.
    pub(super) fn broken(cause: impl ToString) -> Self {
        Self {
            end: AttemptEnd::Broken,
            cause: cause.to_string(),
            silent: false,
            refusal: None,
        }
    }

    /// The back end sent no data for too long.
    pub(super) fn silent(cause: impl ToString) -> Self {
        Self {
            silent: true,
            ..Self::broken(cause)
        }
    }

    /// The request could not be sent, or no response arrived.
    pub(super) fn from_send_error(error: &SendError) -> Self {
        let end = match error.outcome() {
            RunOutcome::NotRun => AttemptEnd::NotSent,
            _ => AttemptEnd::Broken,
        };
        Self {
            end,
            silent: *error.cause() == FailureCause::ResponseTimeout,
            ..Self::broken(error)
        }
    }

    /// The answer stream was interrupted.
    fn from_event_error(error: &EventError) -> Self {
        Self {
            silent: *error == EventError::Body(BodyError::Stalled),
            ..Self::broken(error)
        }
    }

    /// The request cannot be expressed in the back end's protocol.
    pub(super) fn not_sent(cause: impl ToString) -> Self {
        Self {
            end: AttemptEnd::NotSent,
            ..Self::broken(cause)
        }
    }

    /// The answer can no longer be obtained.
    pub(super) fn lost(cause: impl ToString) -> Self {
        Self {
            end: AttemptEnd::Lost,
            ..Self::broken(cause)
        }
    }
}

/// One received token of an answer.
#[derive(Debug)]
pub(super) struct Token {
    pub(super) chunk: CompletionChunk,
}

/// The validated answer stream of one attempt.
#[derive(Debug)]
pub(super) struct AnswerStream {
    events: EventStream,
    check: StreamCheck,
}

impl AnswerStream {
    /// Returns the next token; `None` once the answer is complete.
    pub(super) async fn next(&mut self) -> Result<Option<Token>, AttemptFailure> {
        let event = self.events.next().await;
        let event = event.map_err(|error| AttemptFailure::from_event_error(&error))?;
        let Some(event) = event else {
            self.check.terminator();
            self.check.end().map_err(AttemptFailure::broken)?;
            return Ok(None);
        };
        let chunk: CompletionChunk =
            serde_json::from_str(&event.data).map_err(AttemptFailure::broken)?;
        self.check.chunk(&chunk).map_err(AttemptFailure::broken)?;
        Ok(Some(Token { chunk }))
    }
}

/// Returns the answer stream of a response, or the failure that the back end reported.
pub(super) async fn answer_stream(
    response: ClientResponse,
    attempt: AttemptId,
    offset: u32,
) -> Result<AnswerStream, AttemptFailure> {
    check_attempt(attempt, response.header(ATTEMPT_HEADER)).map_err(AttemptFailure::broken)?;
    if !response.status().is_success() {
        return Err(parse_failure(response).await);
    }
    Ok(AnswerStream {
        events: response.events(),
        check: StreamCheck::new(attempt, offset),
    })
}

/// Converts an error response to a failure. The caller has checked its attempt header.
pub(super) async fn parse_failure(response: ClientResponse) -> AttemptFailure {
    let status = response.status();
    let Some(refusal) = parse_refusal(response).await else {
        return AttemptFailure::broken(format!("status {status} without a typed error"));
    };
    let end = match refusal.detail.outcome {
        RunOutcome::NotRun => AttemptEnd::DeclaredNotRun,
        _ => AttemptEnd::Broken,
    };
    AttemptFailure {
        end,
        refusal: Some(refusal.clone()),
        ..AttemptFailure::broken(refusal.detail.message)
    }
}

/// Parses the typed error of a response.
pub(super) async fn parse_refusal(response: ClientResponse) -> Option<BackendRefusal> {
    let status = u16::from(response.status());
    let body = response.json::<ErrorBody>(MAX_ERROR_BYTES).await.ok()?;
    Some(BackendRefusal {
        status,
        detail: body.error,
    })
}
