//! Adaptive concurrency limit of one engine: additive increase, multiplicative decrease.
//!
//! The limit decreases when online requests wait inside the engine, when the time to the
//! first byte rises far above the best observed for prompts of similar size, or when the
//! engine rejects a request because of its load. It increases by a fraction with each good
//! report while the limit is in use. The engine's own maximum bounds it.

use std::time::Duration;

use molespan_types::Timestamp;

use super::Finish;
use super::engine_load::LoadSample;

/// Weight of the latest answer in the smoothed slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Number of prompt classes by the blocks to process, each covering twice the size of the
/// one before.
const PROMPT_CLASSES: usize = 14;
/// Rate at which the best first-byte time rises, per answer.
const BEST_RISE_RATE: f32 = 0.002;
/// Lower bound of first-byte times, in seconds.
const MIN_FIRST_BYTE_SECONDS: f32 = 1e-6;

/// Settings of the adaptive limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitSettings {
    /// Limit before any observation.
    pub initial: u32,
    /// Lowest limit.
    pub lowest: u32,
    /// Highest limit.
    pub highest: u32,
    /// Added for each good report while the limit is in use.
    pub increase: f64,
    /// Factor applied on a sign of overload.
    pub decrease: f64,
    /// Smoothed ratio of first-byte times to the best of their class above which an engine
    /// counts as overloaded.
    pub slow_factor: f64,
    /// Shortest time between two decreases, so that one burst counts as a single sign.
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

/// The limit and the observations that it is based on.
#[derive(Clone, Debug)]
pub(super) struct AdaptiveLimit {
    limit: f64,
    engine_maximum: Option<u32>,
    load: u32,
    /// Best time to the first byte in seconds by prompt class; 0 if unknown.
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
                self.record_first_byte(blocks, first_byte.as_secs_f32());
                if self.slowness > settings.slow_factor {
                    self.decrease(now, settings);
                }
            }
            Finish::Other => {}
        }
    }

    fn record_first_byte(&mut self, blocks: u32, seconds: f32) {
        let seconds = seconds.max(MIN_FIRST_BYTE_SECONDS);
        let best = &mut self.best_first_byte[class_of(blocks)];
        if *best == 0.0 {
            *best = seconds;
        }
        // The best time rises slowly, so that a single fast answer doesn't set the standard
        // forever.
        *best = (*best * (1.0 + BEST_RISE_RATE)).min(seconds);
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
