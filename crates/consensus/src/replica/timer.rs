//! The election timer.

use std::hash::{Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Config;

/// Counts ticks since the last sign of a leader, against a random timeout.
#[derive(Clone, Debug)]
pub(crate) struct ElectionTimer {
    seed: u64,
    draws: u64,
    election_ticks: u32,
    timeout: u32,
    elapsed: u32,
    /// Whether a leader was ever heard since the start.
    led: bool,
}

/// Shortest timeout, in ticks, of a replica that never heard a leader. The
/// first tick may come at once, so that one whole tick passes at least: a vote
/// just granted has to reach its candidate.
const FIRST_ELECTION_TICKS: u32 = 2;

impl ElectionTimer {
    pub(crate) fn new(config: &Config) -> Self {
        let mut timer = Self {
            seed: config.seed,
            draws: 0,
            election_ticks: config.election_ticks,
            timeout: 0,
            elapsed: 0,
            led: false,
        };
        timer.restart();
        timer
    }

    /// Starts to count anew, against another random timeout.
    ///
    /// A replica that never heard a leader has none to wait for, so its
    /// timeouts are short: after an outage of the whole group every tick is one
    /// without service. If there is a leader after all, the pre-vote fails.
    pub(crate) fn restart(&mut self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(self.draws);
        self.draws = self.draws.wrapping_add(1);
        self.timeout = match self.led {
            true => self.election_ticks + random.random_range(0..self.election_ticks),
            false => {
                let shortest = FIRST_ELECTION_TICKS.min(self.election_ticks);
                random.random_range(shortest..=self.election_ticks)
            }
        };
        self.elapsed = 0;
    }

    /// Notes a sign of the leader.
    pub(crate) fn leader_heard(&mut self) {
        if !self.led {
            self.led = true;
            self.restart();
        }
        self.elapsed = 0;
    }

    /// Counts one tick; says whether the timeout has passed.
    pub(crate) fn tick(&mut self) -> bool {
        self.elapsed = self.elapsed.saturating_add(1);
        self.elapsed >= self.timeout
    }

    /// Whether a leader that was heard when the count began may still lead.
    pub(crate) fn within_minimum(&self) -> bool {
        self.elapsed < self.election_ticks
    }
}

/// Leaves out the number of draws, so that an exploration takes states for the
/// same that differ only in the timeouts to come.
impl Hash for ElectionTimer {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.timeout.hash(state);
        self.elapsed.hash(state);
        self.led.hash(state);
    }
}
