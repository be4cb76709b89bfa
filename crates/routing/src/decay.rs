//! Exponentially decaying sums.

use std::time::Duration;

use molespan_types::Timestamp;

/// A sum that decays exponentially, to 1/e after its time constant.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DecayingSum {
    sum: f64,
    at: Timestamp,
    time_constant: Duration,
}

impl DecayingSum {
    /// Creates a sum of 0 that decays with this time constant.
    pub fn new(time_constant: Duration) -> Self {
        Self {
            sum: 0.0,
            at: Timestamp::ZERO,
            time_constant,
        }
    }

    /// Returns the time constant of the decay.
    pub fn time_constant(&self) -> Duration {
        self.time_constant
    }

    /// Returns the sum at this time.
    pub fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / self.time_constant.as_secs_f64()).exp()
    }

    /// Adds a value, which may be negative; the sum does not fall below 0.
    pub fn add(&mut self, value: f64, now: Timestamp) {
        self.sum = (self.at(now) + value).max(0.0);
        self.at = now;
    }
}
