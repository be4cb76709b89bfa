//! Outcome of a call.

use molespan_types::RunOutcome;

/// Outcome of a call as observed by its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The complete response arrived and matches the prompt.
    Completed,
    /// A typed error stated whether the request ran.
    Refused {
        /// Code of the error.
        code: String,
        /// Whether the request ran, according to the error.
        outcome: RunOutcome,
    },
    /// No byte of the request left the caller.
    NotSent {
        /// Error of the connection.
        cause: String,
    },
    /// A seemingly complete response did not match the request.
    Corrupted {
        /// Description of the mismatch.
        detail: String,
    },
    /// The request was sent and no final response arrived.
    Lost {
        /// Error or timeout that occurred.
        cause: String,
    },
}

impl CallOutcome {
    /// Whether the outcome states that the request did not run.
    #[must_use]
    pub fn claims_not_run(&self) -> bool {
        match self {
            Self::Refused { outcome, .. } => *outcome == RunOutcome::NotRun,
            Self::NotSent { .. } => true,
            _ => false,
        }
    }

    /// Returns a short label that is equal for outcomes of the same kind.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Completed => "completed".to_owned(),
            Self::Refused { code, outcome } => format!("refused {code} ({outcome})"),
            Self::NotSent { cause } => format!("not sent: {cause}"),
            Self::Corrupted { detail } => format!("corrupted: {detail}"),
            Self::Lost { cause } => format!("lost: {cause}"),
        }
    }
}
