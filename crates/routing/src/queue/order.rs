//! The order of waiting requests.

use std::time::Duration;

use molespan_types::Timestamp;

/// Weight of the latest answer size in the mean.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;
/// Maximum fraction of its remaining time by which the size of its answer moves a request
/// in the order. A request falls behind one of mean size by no more than that, however
/// long its answer is.
const MAX_SHIFT: f64 = 0.25;

/// Priority of a request; the lowest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank {
    /// Rank of the tenant.
    tenant: u32,
    /// Rank of the route.
    route: u32,
}

impl Rank {
    /// Creates a rank in which the tenant's rank takes precedence over the route's. A
    /// tenant without a rank gets that of the route. 0 goes first.
    #[must_use]
    pub fn new(tenant: Option<u32>, route: u32) -> Self {
        Self {
            tenant: tenant.unwrap_or(route),
            route,
        }
    }
}

/// Sort key of a request, among those in time or among those that are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    /// Whether this is the first attempt. A request that returns from an engine goes
    /// first: it already had its turn and has the least time left.
    pub first_time: bool,
    pub rank: Rank,
    /// Scheduling round of its tenant.
    pub round: u64,
    /// Time by which it has to start, adjusted for the size of its answer.
    pub due: Timestamp,
    pub id: u64,
}

/// Recent answer sizes.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerSizes {
    /// Mean in tokens; `None` before the first answer size.
    mean: Option<f64>,
}

impl AnswerSizes {
    /// Records the size of an answer and adjusts `due` for it, in proportion to the
    /// remaining time `left`: later for a long answer, earlier for a short one.
    pub fn due(&mut self, due: Timestamp, size: Option<u64>, left: Duration) -> Timestamp {
        let Some(size) = size else {
            return due;
        };
        let size = size as f64;
        let mean = self.mean.unwrap_or(size);
        self.mean = Some(mean + (size - mean) * LATEST_WEIGHT);
        let deviation = (size / mean.max(1.0) - 1.0).clamp(-1.0, 1.0);
        let shift = left.mul_f64(MAX_SHIFT * deviation.abs());
        match deviation < 0.0 {
            true => Timestamp(due.0.saturating_sub(shift.as_micros() as u64)),
            false => due + shift,
        }
    }
}
