//! Inputs and outputs of the engine core.

use std::sync::Arc;

use derive_more::{Display, Error};
use molespan_engine_api::{RequestState, RequestStatus, Usage};
use molespan_types::{Priority, RunOutcome};

use super::AnswerText;

/// Attempt identifier, as transmitted in the request header.
pub type AttemptKey = Arc<str>;

/// A completion to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Attempt identifier.
    pub attempt: AttemptKey,
    /// Priority class.
    pub priority: Priority,
    /// Requested model.
    pub model: String,
    /// Requested adapter.
    pub adapter: Option<String>,
    /// Prompt.
    pub prompt: String,
    /// Number of tokens to generate; 0 is treated as 1.
    pub max_tokens: u32,
    /// Whether each token is reported by [`Output::Token`].
    pub stream: bool,
}

/// Event or request for action emitted by the engine core.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token of a streamed attempt was generated.
    Token {
        /// Attempt.
        attempt: AttemptKey,
        /// Zero-based position of the token.
        offset: u32,
        /// Generator of the token's text.
        text: AnswerText,
    },
    /// An attempt completed with its whole answer.
    Completed {
        /// Attempt.
        attempt: AttemptKey,
        /// Generator of the answer's text of `usage.completion_tokens` tokens.
        text: AnswerText,
        /// Token counts.
        usage: Usage,
    },
    /// An attempt was cancelled.
    Cancelled {
        /// Attempt.
        attempt: AttemptKey,
        /// `not-run` if the attempt never entered the running batch.
        outcome: RunOutcome,
    },
    /// Weights must be fetched; the caller then calls `weights_arrived`.
    FetchWeights(WeightsNeeded),
}

/// Answer of an attempt, possibly incomplete.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Generator of the answer's text.
    pub text: AnswerText,
    /// Current status of the attempt.
    pub status: RequestStatus,
    /// Number of tokens of the whole answer.
    pub max_tokens: u32,
    /// Token counts so far.
    pub usage: Usage,
}

/// Weights required by an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WeightsNeeded {
    /// A model.
    Model {
        /// Name.
        model: String,
        /// Version.
        version: u32,
    },
    /// An adapter.
    Adapter {
        /// Name.
        adapter: String,
    },
}

impl WeightsNeeded {
    /// Returns the name of the weights in the weight store.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            WeightsNeeded::Model { model, .. } => model,
            WeightsNeeded::Adapter { adapter } => adapter,
        }
    }
}

/// Reasons why an engine rejects a request or has no record of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The fault `refuse` is active.
    #[display("the engine refuses work")]
    Refusing,
    /// The engine was ordered to leave.
    #[display("the engine is leaving")]
    Leaving,
    /// The waiting queue is full.
    #[display("too many requests wait")]
    QueueFull,
    /// The model is not loaded.
    #[display("model {model} is not loaded")]
    ModelNotLoaded {
        /// Name.
        model: String,
    },
    /// The adapter is not loaded.
    #[display("adapter {adapter} is not loaded")]
    AdapterNotLoaded {
        /// Name.
        adapter: String,
    },
    /// Prompt and answer exceed the KV memory.
    #[display("prompt and answer need {needed} blocks of KV memory, {capacity} exist")]
    TooLarge {
        /// Blocks needed.
        needed: u32,
        /// Total blocks of the engine.
        capacity: u32,
    },
    /// The attempt was submitted before.
    #[display("the attempt was submitted before")]
    Duplicate {
        /// State of the earlier submission.
        state: RequestState,
    },
    /// The attempt was never submitted in this incarnation.
    #[display("the attempt is not known here")]
    NeverSeen,
    /// The attempt was, or may have been, submitted, but its record expired.
    #[display("the attempt is no longer remembered")]
    Forgotten,
}

impl Refusal {
    /// Returns whether the request ran.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Refusal::Duplicate {
                state: RequestState::Completed,
            } => RunOutcome::Completed,
            Refusal::Duplicate { .. } | Refusal::Forgotten => RunOutcome::Unknown,
            _ => RunOutcome::NotRun,
        }
    }

    /// Returns the stable code for the error body.
    #[must_use]
    pub fn code(&self) -> &'static str {
        match self {
            Refusal::Refusing => "refusing",
            Refusal::Leaving => "leaving",
            Refusal::QueueFull => "queue_full",
            Refusal::ModelNotLoaded { .. } => "model_not_loaded",
            Refusal::AdapterNotLoaded { .. } => "adapter_not_loaded",
            Refusal::TooLarge { .. } => "too_large",
            Refusal::Duplicate { .. } => "duplicate_attempt",
            Refusal::NeverSeen => "unknown_attempt",
            Refusal::Forgotten => "forgotten_attempt",
        }
    }

    /// Returns the HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        match self {
            Refusal::Refusing | Refusal::Leaving | Refusal::QueueFull => 503,
            Refusal::ModelNotLoaded { .. } | Refusal::AdapterNotLoaded { .. } => 404,
            Refusal::NeverSeen => 404,
            Refusal::TooLarge { .. } => 413,
            Refusal::Duplicate { .. } => 409,
            Refusal::Forgotten => 410,
        }
    }

    /// Returns the suggested retry delay in milliseconds, if a retry may succeed.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Refusal::QueueFull => Some(200),
            Refusal::Refusing => Some(1_000),
            _ => None,
        }
    }
}
