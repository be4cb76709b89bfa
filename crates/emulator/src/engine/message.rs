//! What goes into an engine core and what comes out.

use std::sync::Arc;

use derive_more::{Display, Error};
use molespan_engine_api::{RequestState, RequestStatus, Usage};
use molespan_types::{Priority, RunOutcome};

use super::AnswerText;

/// Attempt identifier as the protocol carries it.
pub type AttemptKey = Arc<str>;

/// A completion to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Attempt identifier.
    pub attempt: AttemptKey,
    /// Class.
    pub priority: Priority,
    /// Model asked for.
    pub model: String,
    /// Adapter asked for.
    pub adapter: Option<String>,
    /// Prompt.
    pub prompt: String,
    /// Tokens to generate; 0 counts as 1.
    pub max_tokens: u32,
    /// Whether each token is announced by [`Output::Token`].
    pub stream: bool,
}

/// Something that happened in a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A token of a streamed attempt was generated.
    Token {
        /// Attempt.
        attempt: AttemptKey,
        /// Position of the token, from 0.
        offset: u32,
        /// Source of its text.
        text: AnswerText,
    },
    /// An attempt ended with its whole answer.
    Completed {
        /// Attempt.
        attempt: AttemptKey,
        /// Source of the answer's text; it has `usage.completion_tokens` tokens.
        text: AnswerText,
        /// Token counts.
        usage: Usage,
    },
    /// An attempt was cancelled.
    Cancelled {
        /// Attempt.
        attempt: AttemptKey,
        /// `not-run` when it never entered the running batch.
        outcome: RunOutcome,
    },
    /// Weights must be fetched; answer with `weights_arrived`.
    FetchWeights(WeightsNeeded),
}

/// What is known of the answer of an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Source of its text.
    pub text: AnswerText,
    /// Where the attempt stands.
    pub status: RequestStatus,
    /// Tokens it has when it is whole.
    pub max_tokens: u32,
    /// Token counts so far.
    pub usage: Usage,
}

/// Weights that an order asked for.
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
    /// Name under which the weight store keeps them.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            WeightsNeeded::Model { model, .. } => model,
            WeightsNeeded::Adapter { adapter } => adapter,
        }
    }
}

/// Why an engine did not take a request or cannot tell about an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Refusal {
    /// The switch `refuse` is on.
    #[display("the engine refuses work")]
    Refusing,
    /// It was told to leave.
    #[display("the engine is leaving")]
    Leaving,
    /// Too many requests wait.
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
    /// Prompt and answer need more memory than there is.
    #[display("prompt and answer need {needed} blocks of KV memory, {capacity} exist")]
    TooLarge {
        /// Blocks needed.
        needed: u32,
        /// Blocks that exist.
        capacity: u32,
    },
    /// The attempt was submitted before.
    #[display("the attempt was submitted before")]
    Duplicate {
        /// Where the earlier submission stands.
        state: RequestState,
    },
    /// The attempt was never seen in this incarnation.
    #[display("the attempt is not known here")]
    NeverSeen,
    /// The attempt was seen, or may have been, and is no longer remembered.
    #[display("the attempt is no longer remembered")]
    Forgotten,
}

impl Refusal {
    /// Whether the request ran.
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

    /// Stable code of the error body.
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

    /// HTTP status.
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

    /// When coming back helps, in milliseconds.
    #[must_use]
    pub fn retry_after_ms(&self) -> Option<u64> {
        match self {
            Refusal::QueueFull => Some(200),
            Refusal::Refusing => Some(1_000),
            _ => None,
        }
    }
}
