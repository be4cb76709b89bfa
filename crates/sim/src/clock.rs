//! Clocks of nodes, which start at different times and run at different rates.

use molespan_types::Timestamp;

/// A rate of exactly one.
pub const TRUE_RATE: u64 = 1_000;

/// The monotonic clock of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    /// What it showed when the simulation began, in microseconds.
    offset: u64,
    /// Its microseconds for each thousand of the simulation.
    rate: u64,
}

impl NodeClock {
    /// A clock that showed `offset` microseconds at the start and counts
    /// `rate` microseconds for each thousand.
    #[must_use]
    pub fn new(offset: u64, rate: u64) -> Self {
        Self {
            offset,
            rate: rate.max(1),
        }
    }

    /// What it shows at simulation time `world`.
    #[must_use]
    pub fn local(&self, world: Timestamp) -> Timestamp {
        Timestamp(self.offset + world.0 * self.rate / TRUE_RATE)
    }

    /// The first simulation time at which it shows `local` or later.
    #[must_use]
    pub fn world(&self, local: Timestamp) -> Timestamp {
        let passed = local.0.saturating_sub(self.offset);
        Timestamp((passed.saturating_mul(TRUE_RATE)).div_ceil(self.rate))
    }
}
