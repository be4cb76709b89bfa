//! Sums that forget.

use std::time::Duration;

use molespan_types::Timestamp;

/// A sum whose parts fade: each is worth 1/e of itself after a while.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FadingSum {
    sum: f64,
    at: Timestamp,
    fades_over: Duration,
}

impl FadingSum {
    /// Nothing, of which parts fade over this time.
    pub fn new(fades_over: Duration) -> Self {
        Self {
            sum: 0.0,
            at: Timestamp::ZERO,
            fades_over,
        }
    }

    /// Time over which parts fade.
    pub fn fades_over(&self) -> Duration {
        self.fades_over
    }

    /// The sum at this time.
    pub fn at(&self, now: Timestamp) -> f64 {
        let age = now.since(self.at).as_secs_f64();
        self.sum * (-age / self.fades_over.as_secs_f64()).exp()
    }

    /// Adds a part, or takes one back; the sum stays 0 at least.
    pub fn add(&mut self, part: f64, now: Timestamp) {
        self.sum = (self.at(now) + part).max(0.0);
        self.at = now;
    }
}
