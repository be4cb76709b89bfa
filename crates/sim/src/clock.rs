//! Clocks of nodes, which start at different offsets and run at different rates.

use molespan_types::Timestamp;

/// Rate of a clock without drift.
pub const TRUE_RATE: u64 = 1_000;

/// The monotonic clock of one node.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    /// Reading at the start of the simulation, in microseconds.
    offset: u64,
    /// Local microseconds per 1000 microseconds of simulation time.
    rate: u64,
}

impl NodeClock {
    /// Creates a clock that reads `offset` microseconds at the start and advances by `rate`
    /// microseconds per 1000 microseconds of simulation time.
    #[must_use]
    pub fn new(offset: u64, rate: u64) -> Self {
        Self {
            offset,
            rate: rate.max(1),
        }
    }

    /// Returns the reading at simulation time `world`.
    #[must_use]
    pub fn local(&self, world: Timestamp) -> Timestamp {
        Timestamp(self.offset + world.0 * self.rate / TRUE_RATE)
    }

    /// Returns the first simulation time at which the clock reads `local` or later.
    #[must_use]
    pub fn world(&self, local: Timestamp) -> Timestamp {
        let passed = local.0.saturating_sub(self.offset);
        Timestamp((passed.saturating_mul(TRUE_RATE)).div_ceil(self.rate))
    }
}
