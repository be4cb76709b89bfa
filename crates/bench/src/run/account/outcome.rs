//! How one call ended, as its caller saw it.

use molespan_types::RunOutcome;

/// How one call ended, as its caller saw it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer came and was checked against the prompt.
    Completed,
    /// A typed error said whether the request ran.
    Refused {
        /// Code of the error.
        code: String,
        /// What it said about the run.
        outcome: RunOutcome,
    },
    /// No byte of the request left the caller.
    NotSent {
        /// What happened on the connection.
        cause: String,
    },
    /// An answer that passed for whole was not the answer to this request.
    Corrupted {
        /// What was wrong with it.
        detail: String,
    },
    /// The request was sent and no final answer came.
    Lost {
        /// What happened instead.
        cause: String,
    },
}

impl CallOutcome {
    /// Whether the caller was told that the request did not run.
    #[must_use]
    pub fn claims_not_run(&self) -> bool {
        match self {
            Self::Refused { outcome, .. } => *outcome == RunOutcome::NotRun,
            Self::NotSent { .. } => true,
            _ => false,
        }
    }

    /// A short text that groups equal outcomes.
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
