//! Recent request rates.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::DecayingSum;

/// A smoothed rate in requests per second. Its integral over time is the number of
/// requests, so that a sum over time misses none, but counts them later by the smoothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow(DecayingSum);

impl Flow {
    /// Creates a flow without requests.
    pub fn new(smoothed_over: Duration) -> Self {
        Self(DecayingSum::new(smoothed_over))
    }

    /// Requests per second at `now`.
    pub fn at(&self, now: Timestamp) -> f64 {
        self.0.at(now) / self.0.time_constant().as_secs_f64()
    }

    /// Adds `count` requests; a negative count takes some back.
    pub fn add(&mut self, count: f64, now: Timestamp) {
        self.0.add(count, now);
    }
}
