//! Load samples, taken at intervals and served with a delay.

use std::collections::VecDeque;
use std::time::Duration;

use molespan_types::Timestamp;

use super::Counts;

/// Load sample of an engine or application back end.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// Time of the sample.
    pub at: Timestamp,
    /// Number of sequences by class and state.
    pub counts: Counts,
    /// Fraction of KV memory held, 0.0 to 1.0.
    pub kv_used: f64,
    /// Moving average of the step duration, in microseconds.
    pub step_micros: u32,
}

/// Load samples at fixed intervals.
#[derive(Clone, Debug)]
pub struct LoadMonitor {
    interval: Duration,
    delay: Duration,
    next_at: Timestamp,
    observations: VecDeque<Observation>,
    served: u64,
}

impl LoadMonitor {
    /// Creates a monitor that samples every `interval` and serves a sample after
    /// `delay`.
    #[must_use]
    pub fn new(interval: Duration, delay: Duration, start: Timestamp) -> Self {
        let first = Observation {
            at: start,
            ..Observation::default()
        };
        Self {
            interval: interval.max(Duration::from_millis(1)),
            delay,
            next_at: start + interval,
            observations: VecDeque::from([first]),
            served: 0,
        }
    }

    /// Whether a sample is due. If so, `record` must be called before the state
    /// changes.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_at
    }

    /// Records the state that has held since the last change, as the sample of
    /// every sampling time up to `now`. Only the first and the last of these are
    /// stored, since the state was the same in between.
    pub fn record(&mut self, now: Timestamp, mut observation: Observation) {
        let interval = self.interval.as_micros() as u64;
        let passed = now.since(self.next_at).as_micros() as u64 / interval;
        let first = self.next_at;
        let last = Timestamp(first.0 + passed * interval);
        observation.at = first;
        self.observations.push_back(observation);
        if last != first {
            observation.at = last;
            self.observations.push_back(observation);
        }
        self.next_at = last + self.interval;
        self.drop_outdated(now);
    }

    /// Returns the newest sample that is old enough to be served, its age, and a
    /// sequence number that increases with every call.
    pub fn serve(&mut self, now: Timestamp) -> (Observation, Duration, u64) {
        self.drop_outdated(now);
        self.served += 1;
        let observation = self.observations.front().copied().unwrap_or_default();
        (observation, now.since(observation.at), self.served)
    }

    fn drop_outdated(&mut self, now: Timestamp) {
        while let Some(second) = self.observations.get(1) {
            if second.at + self.delay > now {
                break;
            }
            self.observations.pop_front();
        }
    }
}
