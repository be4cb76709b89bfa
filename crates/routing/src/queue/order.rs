//! The order of those who wait.

use std::time::Duration;

use molespan_types::Timestamp;

/// Weight of the latest size in the mean.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;
/// Part of the time left within which the size of an answer moves it in the order. A
/// request goes at most so much behind one of the mean size, however long it is.
const MOVES_WITHIN: f64 = 0.25;

/// How urgent a request is; what sorts first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// That of its tenant.
    tenant: u32,
    /// That of its route.
    route: u32,
}

impl Rank {
    /// The rank of a tenant goes before that of a route; a tenant without one is as
    /// urgent as the route. 0 goes first.
    #[must_use]
    pub fn new(tenant: Option<u32>, route: u32) -> Self {
        Self {
            tenant: tenant.unwrap_or(route),
            route,
        }
    }
}

/// What one is sorted by, among those in time or those who are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    /// Whether it comes for the first time: who is back from an engine had its turn, and
    /// has the least time left.
    pub first_time: bool,
    pub rank: Rank,
    /// Round of its tenant.
    pub round: u64,
    /// When it has to begin, moved by its size.
    pub due: Timestamp,
    pub place: u64,
}

/// Sizes of answers, lately.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Sizes {
    /// Mean in tokens; none before the first one.
    mean: Option<f64>,
}

impl Sizes {
    /// `due` for a request of this size of which so much time is left: later for a
    /// long answer, earlier for a short one.
    pub fn due(&mut self, due: Timestamp, size: Option<u64>, left: Duration) -> Timestamp {
        let Some(size) = size else {
            return due;
        };
        let size = size as f64;
        let mean = self.mean.unwrap_or(size);
        self.mean = Some(mean + (size - mean) * LATEST_WEIGHT);
        let beyond = (size / mean.max(1.0) - 1.0).clamp(-1.0, 1.0);
        let moves = left.mul_f64(MOVES_WITHIN * beyond.abs());
        match beyond < 0.0 {
            true => Timestamp(due.0.saturating_sub(moves.as_micros() as u64)),
            false => due + moves,
        }
    }
}
