//! The election timer.

use std::hash::{Hash, Hasher};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::Config;

/// Counts ticks since the last message from a leader, against a random timeout.
#[derive(Clone, Debug)]
pub(crate) struct ElectionTimer {
    seed: u64,
    draws: u64,
    election_ticks: u32,
    timeout: u32,
    elapsed: u32,
    /// Whether a leader has sent a message since the start.
    leader_seen: bool,
}

/// Minimum timeout, in ticks, of a replica that has not heard from a leader since
/// its start. The first tick may come immediately, so 2 ticks leave at least one
/// whole tick for a granted vote to reach its candidate.
const FIRST_ELECTION_TICKS: u32 = 2;

impl ElectionTimer {
    pub(crate) fn new(config: &Config) -> Self {
        let mut timer = Self {
            seed: config.seed,
            draws: 0,
            election_ticks: config.election_ticks,
            timeout: 0,
            elapsed: 0,
            leader_seen: false,
        };
        timer.restart();
        timer
    }

    /// Restarts the timer with a new random timeout.
    ///
    /// Timeouts are shorter until the first message from a leader: after an outage
    /// of the whole group there is no leader to wait for, and the group is
    /// unavailable until one is elected. If a leader exists after all, the
    /// pre-vote fails.
    pub(crate) fn restart(&mut self) {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        random.set_stream(self.draws);
        self.draws = self.draws.wrapping_add(1);
        self.timeout = match self.leader_seen {
            true => self.election_ticks + random.random_range(0..self.election_ticks),
            false => {
                let shortest = FIRST_ELECTION_TICKS.min(self.election_ticks);
                random.random_range(shortest..=self.election_ticks)
            }
        };
        self.elapsed = 0;
    }

    /// Records a message from the leader.
    pub(crate) fn record_leader_contact(&mut self) {
        if !self.leader_seen {
            self.leader_seen = true;
            self.restart();
        }
        self.elapsed = 0;
    }

    /// Counts one tick and returns whether the timeout has elapsed.
    pub(crate) fn tick(&mut self) -> bool {
        self.elapsed = self.elapsed.saturating_add(1);
        self.elapsed >= self.timeout
    }

    /// Whether less than the minimum election timeout has elapsed since the timer
    /// was last reset, so that the leader of that time may still lead.
    pub(crate) fn within_minimum_timeout(&self) -> bool {
        self.elapsed < self.election_ticks
    }
}

/// Excludes the seed and the number of draws, so that an exploration treats states
/// that differ only in future timeouts as equal.
impl Hash for ElectionTimer {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.timeout.hash(state);
        self.elapsed.hash(state);
        self.leader_seen.hash(state);
    }
}
