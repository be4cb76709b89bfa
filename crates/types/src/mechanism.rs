//! Switches that disable one protective mechanism, to prove that a checker detects
//! the resulting violation.
//!
//! Without the `mutants` feature every mechanism is enabled and [`enabled`] is a
//! constant function. Only the simulator's mutation runs are built with that feature.

use derive_more::Display;

/// Declares the mechanisms together with their names.
macro_rules! mechanisms {
    ($($(#[$meta:meta])* $variant:ident => $name:literal,)*) => {
        /// A mechanism on which a guarantee depends.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
        pub enum Mechanism {
            $($(#[$meta])* #[display($name)] $variant,)*
        }

        impl Mechanism {
            /// All mechanisms.
            pub const ALL: &'static [Mechanism] = &[$(Mechanism::$variant,)*];

            /// Returns the mechanism called `name`.
            #[must_use]
            pub fn parse(name: &str) -> Option<Self> {
                match name {
                    $($name => Some(Mechanism::$variant),)*
                    _ => None,
                }
            }
        }
    };
}

mechanisms! {
    /// Log entries and votes are synced to disk before any reply that depends on them.
    SyncBeforeReply => "sync-before-reply",
    /// A replica persists its vote across restarts.
    DurableVote => "durable-vote",
    /// An entry is committed only by a quorum and in the leader's own term.
    QuorumCommit => "quorum-commit",
    /// Linearizable reads confirm leadership with a quorum.
    ReadIndex => "read-index",
    /// A replica with a blank or rolled back disk starts under a new identity, as a learner.
    NewIncarnation => "new-incarnation",
    /// A resubmitted job key refers to the first submission.
    JobKeyDedupe => "job-key-dedupe",
    /// The first recorded result of an item is final.
    FirstResultWins => "first-result-wins",
    /// The leader ends a lease only after its owner must have stopped its items.
    LeaseGrace => "lease-grace",
    /// An owner stops its items at lease expiry on its own clock.
    OwnerStopsAtExpiry => "owner-stops-at-expiry",
    /// No further items of a cancelled job are leased.
    CancelStopsLeasing => "cancel-stops-leasing",
    /// A job becomes cancelled only once it has no active lease.
    CancelWaitsForLeases => "cancel-waits-for-leases",
    /// Batch work is preempted as soon as online work arrives.
    PreemptOnArrival => "preempt-on-arrival",
    /// A response is accepted only for the attempt that it identifies.
    AttemptCheck => "attempt-check",
    /// A response is accepted only when it is complete.
    CompletenessCheck => "completeness-check",
    /// `not-run` is reported only when no byte was sent or the back end reported it.
    TruthfulNotRun => "truthful-not-run",
    /// A non-repeatable request is dispatched only under a committed claim.
    ClaimBeforeDispatch => "claim-before-dispatch",
    /// A non-repeatable request is never retried after an unknown outcome.
    NoRetryAfterAmbiguity => "no-retry-after-ambiguity",
    /// A back end that was observed leaving stays leaving for that incarnation.
    StickyLeaving => "sticky-leaving",
    /// Reports of an earlier incarnation are ignored.
    IncarnationOrder => "incarnation-order",
    /// A planned stop finishes the work in flight before the process exits.
    DrainBeforeStop => "drain-before-stop",
    /// A node never applies an older configuration.
    MonotoneConfiguration => "monotone-configuration",
    /// A node that cannot confirm its configuration in time rejects new work.
    CurrencyBound => "currency-bound",
    /// A confirmation is recorded under its number.
    ConfirmationMemory => "confirmation-memory",
    /// Orders to a back end carry increasing fencing tokens.
    FencingTokens => "fencing-tokens",
}

#[cfg(feature = "mutants")]
mod switch {
    use std::cell::Cell;

    use super::Mechanism;

    thread_local! {
        static DISABLED: Cell<Option<Mechanism>> = const { Cell::new(None) };
    }

    /// Disables one mechanism on this thread, or enables all again if `None`.
    pub fn disable(mechanism: Option<Mechanism>) {
        DISABLED.set(mechanism);
    }

    /// Whether `mechanism` is enabled.
    #[must_use]
    pub fn enabled(mechanism: Mechanism) -> bool {
        DISABLED.get() != Some(mechanism)
    }
}

#[cfg(feature = "mutants")]
pub use switch::{disable, enabled};

/// Whether `mechanism` is enabled; always `true` without the `mutants` feature.
#[cfg(not(feature = "mutants"))]
#[must_use]
#[inline]
pub const fn enabled(_mechanism: Mechanism) -> bool {
    true
}
