//! Growing pauses between attempts.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pauses that double up to a bound, each drawn at random from its upper half
/// so that many clients of one lost peer do not come back together.
#[derive(Debug)]
pub struct Backoff {
    first: Duration,
    longest: Duration,
    failures: u32,
    random: ChaCha8Rng,
}

impl Backoff {
    /// Pauses from `first` to `longest`, drawn by a generator with this seed.
    #[must_use]
    pub fn new(first: Duration, longest: Duration, seed: u64) -> Self {
        Self {
            first,
            longest,
            failures: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// The pause after one more failure.
    pub fn pause(&mut self) -> Duration {
        const MAX_DOUBLINGS: u32 = 20;
        let factor = 1u32 << self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let whole = self.first.saturating_mul(factor).min(self.longest);
        whole.mul_f64(self.random.random_range(0.5..=1.0))
    }

    /// Notes a success: the next pause is short again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
