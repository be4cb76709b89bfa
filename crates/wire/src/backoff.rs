//! Exponential backoff with jitter.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Exponential backoff: delays double up to a maximum. Each delay is drawn at
/// random from the upper half of its range, so that clients of one failed peer
/// do not all reconnect at the same moment.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Creates a backoff with delays from `first` to `longest` and jitter from a
    /// generator seeded with `seed`.
    #[must_use]
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Self {
        Self {
            first,
            longest,
            failures: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records a failure and returns the delay before the next attempt.
    pub fn next_delay(&mut self) -> Duration {
        const MAX_DOUBLINGS: u32 = 20;
        let factor = 1u32 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let ceiling = self.first.saturating_mul(factor).min(self.longest);
        ceiling.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Records a success: the next delay starts from `first` again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
