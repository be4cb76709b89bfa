//! Errors of calls to replica groups.

use std::time::Duration;

use derive_more::{Display, Error};
use molespan_types::RunOutcome;

/// Why a call to a replica group failed.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ClusterError {
    /// No replica carried out the request before the deadline.
    #[display("no replica answered in time: {reason}")]
    Unavailable {
        /// `NotRun`: the request will never take effect. `Unknown`: it may have taken effect.
        outcome: RunOutcome,
        /// Error of the last attempt.
        reason: String,
    },
    /// The reply had an unexpected kind or could not be decoded.
    #[display("unexpected reply: {reason}")]
    Unexpected {
        /// The reply or the decoding error.
        reason: String,
    },
}

impl ClusterError {
    /// Delay that clients are asked to wait before they retry.
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
