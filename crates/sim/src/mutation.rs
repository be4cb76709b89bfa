//! Maps mechanisms to the checkers that detect their absence.

use molespan_types::mechanism::Mechanism;

/// Returns the checkers of the guarantees that depend on `mechanism`.
#[must_use]
pub fn detecting_checkers(mechanism: Mechanism) -> &'static [&'static str] {
    match mechanism {
        Mechanism::SyncBeforeReply | Mechanism::NewIncarnation => &[
            "committed",
            "exactly-once",
            "single-leader",
            "replica-stopped",
            "liveness",
        ],
        Mechanism::DurableVote => &["single-leader", "committed", "replica-stopped"],
        Mechanism::QuorumCommit => &["committed", "exactly-once", "replica-stopped"],
        Mechanism::ReadIndex => &["committed"],
        Mechanism::JobKeyDedupe => &["exactly-once", "at-most-once"],
        Mechanism::FirstResultWins => &["exactly-once"],
        Mechanism::LeaseGrace
        | Mechanism::OwnerStopsAtExpiry
        | Mechanism::CancelStopsLeasing
        | Mechanism::CancelWaitsForLeases => &["cancel-stops"],
        Mechanism::PreemptOnArrival => &["online-latency"],
        Mechanism::AttemptCheck | Mechanism::CompletenessCheck => &["whole-answer", "exactly-once"],
        Mechanism::TruthfulNotRun => &["true-not-run"],
        Mechanism::ClaimBeforeDispatch | Mechanism::NoRetryAfterAmbiguity => &["at-most-once"],
        Mechanism::StickyLeaving => &["leaving"],
        Mechanism::IncarnationOrder => &["liveness", "leaving"],
        Mechanism::DrainBeforeStop => &["planned-stop"],
        Mechanism::MonotoneConfiguration | Mechanism::CurrencyBound => &["configuration"],
        Mechanism::ConfirmationMemory => &["committed"],
        Mechanism::FencingTokens => &["fencing"],
    }
}
