//! Load observations, taken at intervals and served late.

use std::collections::VecDeque;
use std::time::Duration;

use molespan_types::Timestamp;

use super::Counts;

/// What an engine observed of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Observation {
    /// When.
    pub at: Timestamp,
    /// Sequences.
    pub counts: Counts,
    /// Share of KV memory held, 0.0 to 1.0.
    pub kv_used: f64,
    /// Mean duration of the latest steps, in microseconds.
    pub step_micros: u32,
}

/// Observations on a grid of times.
#[derive(Clone, Debug)]
pub struct LoadMonitor {
    interval: Duration,
    delay: Duration,
    next_at: Timestamp,
    observations: VecDeque<Observation>,
    served: u64,
}

impl LoadMonitor {
    /// Observes every `interval` and serves an observation after `delay`.
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

    /// Whether an observation is due. Call `record` before the state changes.
    #[must_use]
    pub fn is_due(&self, now: Timestamp) -> bool {
        now >= self.next_at
    }

    /// Records the state that has held since the last change. It stands for
    /// every grid time up to `now`; only the last of these matters.
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

    /// The newest observation that may be served, its age and a number that
    /// rises with every call.
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
