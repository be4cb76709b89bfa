//! The answer of one attempt, checked token by token, or why there is none.

use std::net::SocketAddr;

use molespan_engine_api::{ATTEMPT_HEADER, CompletionChunk, ErrorBody, ErrorDetail};
use molespan_http::{BodyError, ClientResponse, EventError, EventStream, FailureCause, SendError};
use molespan_routing::retry::{AttemptEnd, AttemptRef, StreamCheck, check_attempt};
use molespan_types::{AttemptId, BackendId, Incarnation, RunOutcome};

/// Longest error body that is read.
const MAX_ERROR_BYTES: usize = 1024 * 1024;

/// A back end's life and where it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Target {
    pub(super) backend: BackendId,
    pub(super) incarnation: Incarnation,
    pub(super) address: SocketAddr,
}

impl Target {
    /// This attempt on this back end.
    pub(super) fn attempt(&self, attempt: AttemptId) -> AttemptRef {
        AttemptRef {
            attempt,
            backend: self.backend,
            incarnation: self.incarnation,
        }
    }
}

/// Why an attempt, or a try to resume it, has no whole answer.
#[derive(Clone, Debug)]
pub(super) struct AttemptFailure {
    /// What is known of its run.
    pub(super) end: AttemptEnd,
    /// One sentence for people.
    pub(super) cause: String,
    /// Whether the back end said nothing for too long.
    pub(super) silent: bool,
    /// What the back end itself said, if it answered.
    pub(super) refusal: Option<BackendRefusal>,
}

/// A typed error of a back end.
#[derive(Clone, Debug)]
pub(super) struct BackendRefusal {
    pub(super) status: u16,
    pub(super) detail: ErrorDetail,
}

impl BackendRefusal {
    /// Whether it was refused for the back end's load.
    pub(super) fn is_overload(&self) -> bool {
        matches!(self.status, 429 | 503) && self.detail.outcome == RunOutcome::NotRun
    }

    /// Whether every back end would refuse the request in the same way.
    pub(super) fn is_final(&self) -> bool {
        matches!(self.status, 400 | 413 | 422) && self.detail.outcome == RunOutcome::NotRun
    }
}

impl AttemptFailure {
    /// The connection broke or the answer failed its checks.
    pub(super) fn broken(cause: impl ToString) -> Self {
        Self {
            end: AttemptEnd::Broken,
            cause: cause.to_string(),
            silent: false,
            refusal: None,
        }
    }

    /// The back end said nothing for too long.
    pub(super) fn silent(cause: impl ToString) -> Self {
        Self {
            silent: true,
            ..Self::broken(cause)
        }
    }

    /// The request could not be sent, or its answer did not begin.
    pub(super) fn of_send(error: &SendError) -> Self {
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

    /// The answer broke off.
    fn of_event(error: &EventError) -> Self {
        Self {
            silent: *error == EventError::Body(BodyError::Stalled),
            ..Self::broken(error)
        }
    }

    /// The request cannot be expressed towards the back end.
    pub(super) fn not_sent(cause: impl ToString) -> Self {
        Self {
            end: AttemptEnd::NotSent,
            ..Self::broken(cause)
        }
    }

    /// The answer can no longer be had.
    pub(super) fn lost(cause: impl ToString) -> Self {
        Self {
            end: AttemptEnd::Lost,
            ..Self::broken(cause)
        }
    }
}

/// A token of an answer as it came.
#[derive(Debug)]
pub(super) struct Token {
    pub(super) chunk: CompletionChunk,
}

/// The checked answer of one attempt.
#[derive(Debug)]
pub(super) struct AnswerStream {
    events: EventStream,
    check: StreamCheck,
}

impl AnswerStream {
    /// The next token; `None` once the answer is whole.
    pub(super) async fn next(&mut self) -> Result<Option<Token>, AttemptFailure> {
        let event = self.events.next().await;
        let event = event.map_err(|error| AttemptFailure::of_event(&error))?;
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

/// The answer in a response, or what the back end said instead.
pub(super) async fn answer_stream(
    response: ClientResponse,
    attempt: AttemptId,
    offset: u32,
) -> Result<AnswerStream, AttemptFailure> {
    check_attempt(attempt, response.header(ATTEMPT_HEADER)).map_err(AttemptFailure::broken)?;
    if !response.status().is_success() {
        return Err(failure_of(response).await);
    }
    Ok(AnswerStream {
        events: response.events(),
        check: StreamCheck::new(attempt, offset),
    })
}

/// The failure that an error response tells of. Its attempt was checked.
pub(super) async fn failure_of(response: ClientResponse) -> AttemptFailure {
    let status = response.status();
    let Some(refusal) = refusal_of(response).await else {
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

/// The typed error in a response.
pub(super) async fn refusal_of(response: ClientResponse) -> Option<BackendRefusal> {
    let status = u16::from(response.status());
    let body = response.json::<ErrorBody>(MAX_ERROR_BYTES).await.ok()?;
    Some(BackendRefusal {
        status,
        detail: body.error,
    })
}
