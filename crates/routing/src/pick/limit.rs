//! Adaptive concurrency limit of one engine: additive increase,
//! multiplicative decrease.
//!
//! The limit falls when online requests wait inside the engine, when the time
//! to the first byte rises far above the best that was seen for prompts of that
//! size, or when the engine refuses for its load. It rises by a fraction with each good report while the
//! limit is in use. An engine's own maximum bounds it.

use std::time::Duration;

use molespan_types::Timestamp;

use super::Finish;
use super::engine_load::LoadSample;

/// Weight of the newest answer in the smoothed slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Classes of prompts by the blocks to process, each twice as long as the last.
const PROMPT_CLASSES: usize = 14;
/// Rate at which the best first-byte time forgets, per answer.
const BEST_DRIFT: f32 = 0.002;
/// Shortest first-byte time that is told apart, in seconds.
const SHORTEST_FIRST_BYTE: f32 = 1e-6;

/// Bounds of the limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Limit before anything is learnt.
    pub initial: u32,
    /// Lowest limit.
    pub lowest: u32,
    /// Highest limit.
    pub highest: u32,
    /// Added per good sign while the limit is in use.
    pub increase: f64,
    /// Factor on a bad sign.
    pub decrease: f64,
    /// Smoothed ratio of first-byte times to the best of their class from which
    /// it is a bad sign.
    pub slow_factor: f64,
    /// Shortest time between two decreases: one crowd is one bad sign.
    pub decrease_interval: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            initial: 16,
            lowest: 2,
            highest: 256,
            increase: 0.5,
            decrease: 0.85,
            slow_factor: 4.0,
            decrease_interval: Duration::from_millis(250),
        }
    }
}

/// The limit and what it was learnt from.
#[derive(Clone, Debug)]
pub(super) struct AdaptiveLimit {
    limit: f64,
    engine_maximum: Option<u32>,
    load: u32,
    /// Best time to the first byte in seconds by class of prompt; 0 unknown.
    best_first_byte: [f32; PROMPT_CLASSES],
    /// Smoothed ratio of first-byte times to the best of their class.
    slowness: f64,
    last_decrease: Timestamp,
}

impl AdaptiveLimit {
    pub(super) fn new(settings: &LimitSettings) -> Self {
        Self {
            limit: f64::from(settings.initial),
            engine_maximum: None,
            load: 0,
            best_first_byte: [0.0; PROMPT_CLASSES],
            slowness: 1.0,
            last_decrease: Timestamp::ZERO,
        }
    }

    pub(super) fn current(&self) -> u32 {
        let limit = self.limit as u32;
        self.engine_maximum
            .map_or(limit, |maximum| limit.min(maximum))
            .max(1)
    }

    pub(super) fn observe_report(&mut self, sample: &LoadSample, settings: &LimitSettings) {
        if sample.max_running > 0 {
            self.engine_maximum = Some(sample.max_running);
        }
        self.load = sample.online;
        if sample.online_waiting > 0 {
            self.decrease(sample.observed, settings);
        } else {
            self.increase(settings);
        }
    }

    pub(super) fn observe_finish(
        &mut self,
        now: Timestamp,
        blocks: u32,
        finish: Finish,
        settings: &LimitSettings,
    ) {
        match finish {
            Finish::Overloaded => self.decrease(now, settings),
            Finish::Answered { first_byte } => {
                self.learn_first_byte(blocks, first_byte.as_secs_f32());
                if self.slowness > settings.slow_factor {
                    self.decrease(now, settings);
                }
            }
            Finish::Other => {}
        }
    }

    fn learn_first_byte(&mut self, blocks: u32, seconds: f32) {
        let seconds = seconds.max(SHORTEST_FIRST_BYTE);
        let best = &mut self.best_first_byte[class_of(blocks)];
        if *best == 0.0 {
            *best = seconds;
        }
        // The best creeps up, so that one lucky answer does not rule forever.
        *best = (*best * (1.0 + BEST_DRIFT)).min(seconds);
        let ratio = f64::from(seconds / *best);
        self.slowness += SLOWNESS_WEIGHT * (ratio - self.slowness);
    }

    fn increase(&mut self, settings: &LimitSettings) {
        let in_use = f64::from(self.load) * 2.0 >= self.limit;
        if in_use {
            self.limit = (self.limit + settings.increase).min(f64::from(settings.highest));
        }
    }

    fn decrease(&mut self, now: Timestamp, settings: &LimitSettings) {
        if now.since(self.last_decrease) < settings.decrease_interval {
            return;
        }
        self.last_decrease = now;
        self.limit = (self.limit * settings.decrease).max(f64::from(settings.lowest));
    }
}

fn class_of(blocks: u32) -> usize {
    let class = (blocks + 1).ilog2() as usize;
    class.min(PROMPT_CLASSES - 1)
}
