//! Switches that turn one protective mechanism off, to prove that a checker
//! notices its absence.
//!
//! Without the `mutants` feature every mechanism is on and [`enabled`] is a
//! constant. Only the simulator's mutation runs build with that feature.

use derive_more::Display;

/// Declares the mechanisms and their names in one place.
macro_rules! mechanisms {
    ($($(#[$meta:meta])* $variant:ident => $name:literal,)*) => {
        /// A mechanism that a guarantee rests on.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
        pub enum Mechanism {
            $($(#[$meta])* #[display($name)] $variant,)*
        }

        impl Mechanism {
            /// Every mechanism.
            pub const ALL: &'static [Mechanism] = &[$(Mechanism::$variant,)*];

            /// The mechanism of that name.
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
    /// Log entries and votes are synced before any reply that rests on them.
    SyncBeforeReply => "sync-before-reply",
    /// A replica remembers its vote across restarts.
    DurableVote => "durable-vote",
    /// An entry is committed only by a quorum and in the leader's own term.
    QuorumCommit => "quorum-commit",
    /// Linearizable reads confirm leadership with a quorum.
    ReadIndex => "read-index",
    /// A blank or rolled back disk starts under a new identity, as a learner.
    NewIncarnation => "new-incarnation",
    /// A resubmitted job key finds the first submission.
    JobKeyDedupe => "job-key-dedupe",
    /// The first recorded result of an item stands.
    FirstResultWins => "first-result-wins",
    /// The leader ends a lease only after the owner must have stopped.
    LeaseGrace => "lease-grace",
    /// An owner stops its items at lease expiry on its own clock.
    OwnerStopsAtExpiry => "owner-stops-at-expiry",
    /// A cancelled job hands out no further items.
    CancelStopsLeasing => "cancel-stops-leasing",
    /// A job is cancelled only once no lease is out.
    CancelWaitsForLeases => "cancel-waits-for-leases",
    /// Batch work yields as soon as online work arrives.
    PreemptOnArrival => "preempt-on-arrival",
    /// A response is taken only for the attempt that it names.
    AttemptCheck => "attempt-check",
    /// A response is taken only when it is whole.
    CompletenessCheck => "completeness-check",
    /// `not-run` is said only when no byte was sent or the back end said so.
    TruthfulNotRun => "truthful-not-run",
    /// A non-repeatable request is dispatched only under a committed claim.
    ClaimBeforeDispatch => "claim-before-dispatch",
    /// A non-repeatable request is never sent again after an ambiguous end.
    NoRetryAfterAmbiguity => "no-retry-after-ambiguity",
    /// A back end that was seen leaving stays so for that incarnation.
    StickyLeaving => "sticky-leaving",
    /// Reports of an earlier incarnation are ignored.
    IncarnationOrder => "incarnation-order",
    /// A planned stop finishes what is in flight before it exits.
    DrainBeforeStop => "drain-before-stop",
    /// A node never puts an older configuration in force.
    MonotoneConfiguration => "monotone-configuration",
    /// A node that cannot confirm its configuration in time refuses new work.
    CurrencyBound => "currency-bound",
    /// A confirmation is remembered by its number.
    ConfirmationMemory => "confirmation-memory",
    /// A back end's orders carry rising tokens.
    FencingTokens => "fencing-tokens",
}

#[cfg(feature = "mutants")]
mod switch {
    use std::cell::Cell;

    use super::Mechanism;

    thread_local! {
        static DISABLED: Cell<Option<Mechanism>> = const { Cell::new(None) };
    }

    /// Turns one mechanism off on this thread, or every one on again.
    pub fn disable(mechanism: Option<Mechanism>) {
        DISABLED.set(mechanism);
    }

    /// Whether `mechanism` is on.
    #[must_use]
    pub fn enabled(mechanism: Mechanism) -> bool {
        DISABLED.get() != Some(mechanism)
    }
}

#[cfg(feature = "mutants")]
pub use switch::{disable, enabled};

/// Whether `mechanism` is on; always, in a build without the `mutants` feature.
#[cfg(not(feature = "mutants"))]
#[must_use]
#[inline]
pub const fn enabled(_mechanism: Mechanism) -> bool {
    true
}
