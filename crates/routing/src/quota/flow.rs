//! How many requests come in a second, lately.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::FadingSum;

/// Requests a second, smoothed. The integral over time is the number of requests,
/// so that whoever adds up a flow misses none, if later by the smoothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow(FadingSum);

impl Flow {
    /// No requests yet.
    pub fn new(smoothed_over: Duration) -> Self {
        Self(FadingSum::new(smoothed_over))
    }

    /// Requests a second at this time.
    pub fn at(&self, now: Timestamp) -> f64 {
        self.0.at(now) / self.0.fades_over().as_secs_f64()
    }

    /// `count` requests come; a negative number takes some back.
    pub fn add(&mut self, count: f64, now: Timestamp) {
        self.0.add(count, now);
    }
}
