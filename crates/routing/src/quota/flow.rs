//! How many requests come in a second, lately.

use std::time::Duration;

use molespan_types::Timestamp;

/// Requests a second, smoothed. The integral over time is the number of requests,
/// so that whoever adds up a flow misses none, if later by the smoothing.
#[derive(Clone, Copy, Debug)]
pub(super) struct Flow {
    per_second: f64,
    at: Timestamp,
    smoothed_over: Duration,
}

impl Flow {
    /// No requests yet.
    pub fn new(smoothed_over: Duration) -> Self {
        Self {
            per_second: 0.0,
            at: Timestamp::ZERO,
            smoothed_over,
        }
    }

    /// Requests a second at this time.
    pub fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.per_second * (-age / self.smoothed_over.as_secs_f64()).exp()
    }

    /// `count` requests come; a negative number takes some back.
    pub fn add(&mut self, count: f64, now: Timestamp) {
        let more = count / self.smoothed_over.as_secs_f64();
        self.per_second = (self.at(now) + more).max(0.0);
        self.at = now;
    }
}
