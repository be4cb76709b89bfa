//! A token bucket.

use std::time::Duration;

use molespan_types::Timestamp;

/// A token bucket that refills at a steady rate up to a maximum.
#[derive(Clone, Debug)]
pub(super) struct TokenBucket {
    per_second: f64,
    burst: f64,
    tokens: f64,
    filled: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket. It holds at least one token, otherwise nothing could pass.
    pub(super) fn new(now: Timestamp, per_second: u32, burst: u32) -> Self {
        let burst = f64::from(burst.max(1));
        Self {
            per_second: f64::from(per_second),
            burst,
            tokens: burst,
            filled: now,
        }
    }

    /// Changes rate and size and keeps the available tokens.
    pub(super) fn resize(&mut self, now: Timestamp, per_second: u32, burst: u32) {
        self.refill(now);
        self.per_second = f64::from(per_second);
        self.burst = f64::from(burst.max(1));
        self.tokens = self.tokens.min(self.burst);
    }

    /// Takes one token, or returns the time until one is available; the error holds
    /// `None` if the rate is zero.
    pub(super) fn take(&mut self, now: Timestamp) -> Result<(), Option<Duration>> {
        self.refill(now);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        if self.per_second <= 0.0 {
            return Err(None);
        }
        let seconds = (1.0 - self.tokens) / self.per_second;
        Err(Some(Duration::from_secs_f64(seconds)))
    }

    pub(super) fn is_full(&mut self, now: Timestamp) -> bool {
        self.refill(now);
        self.tokens >= self.burst
    }

    fn refill(&mut self, now: Timestamp) {
        let gained = now.since(self.filled).as_secs_f64() * self.per_second;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.filled = self.filled.max(now);
    }
}
