//! Why a call to a replica group failed.

use std::time::Duration;

use derive_more::{Display, Error};
use molespan_types::RunOutcome;

/// Why a call to a replica group failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ClusterError {
    /// No replica carried it out before the deadline.
    #[display("no replica answered in time: {reason}")]
    Unavailable {
        /// `NotRun`: it will never take effect. `Unknown`: it may have.
        outcome: RunOutcome,
        /// What the last attempt met.
        reason: String,
    },
    /// A reply of another kind, or one that cannot be read, came.
    #[display("unexpected reply: {reason}")]
    Unexpected {
        /// What came.
        reason: String,
    },
}

impl ClusterError {
    /// When coming back may help.
    pub const RETRY_AFTER: Duration = Duration::from_secs(1);

    /// Whether the call may have taken effect.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::Unavailable { outcome, .. } => *outcome,
            Self::Unexpected { .. } => RunOutcome::Unknown,
        }
    }
}
