//! Services whose requests end before the other gateways observe them.
//!
//! Reports of other gateways on such engines are outdated on arrival, so filling free slots
//! by them sends all gateways to the same engine at once. Here each engine's own queue
//! decides. A request goes to an engine that is likely to start it in time. After a
//! rejection, the engine is left out for about as long as slots are held, and longer with
//! each consecutive rejection.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::Timestamp;
use rand::Rng;

use super::engine::{Engine, Failure};
use super::room::START_VISIBILITY_DELAY;
use super::table::{EngineTable, Pick, Standing};
use crate::decay::DecayingSum;

/// Weight of the latest request in the mean.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;
/// Engines that a short request compares. All gateways compare by figures of about the same
/// age, so the more engines each considers, the more gateways choose the same one.
pub(super) const COMPARED_ENGINES: usize = 2;
/// First backoff after a rejection for lack of capacity, in mean slot times; by then a slot
/// is likely to be free.
const INITIAL_BACKOFF_SLOT_TIMES: f64 = 2.0;
/// Jitter, as a fraction of the backoff, so that requests that were rejected together don't
/// retry together.
const BACKOFF_JITTER: f64 = 0.5;
/// Doublings up to which the exponential backoff is computed; beyond them every backoff is
/// the longest one.
const MAX_DOUBLINGS: u32 = 16;
/// Shortest backoff; keeps requests from being sent again and again to an engine that
/// rejects them at once.
const MIN_BACKOFF: Duration = Duration::from_millis(8);
/// Longest backoff; short enough for another attempt within a request's target.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Decay time of the count of requests that found no capacity.
const SHORTAGE_DECAY: Duration = Duration::from_secs(1);
/// Recent rejected requests from which a service counts as short of capacity; single ones
/// are chance.
const SHORTAGE_THRESHOLD: f64 = 5.0;
/// Recent rejected requests below which it no longer does.
const RECOVERY_THRESHOLD: f64 = 0.5;

/// Detects whether requests of a service recently found engines without capacity.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    rejections: DecayingSum,
    short: bool,
}

impl Default for Shortage {
    fn default() -> Self {
        Self {
            rejections: DecayingSum::new(SHORTAGE_DECAY),
            short: false,
        }
    }
}

impl Shortage {
    /// Records that an engine answered a request, or `rejected` one for lack of
    /// capacity. Returns whether the service is now short of capacity, if that changed.
    pub fn note(&mut self, rejected: bool, now: Timestamp) -> Option<bool> {
        if rejected {
            self.rejections.add(1.0, now);
        }
        let lately = self.rejections.at(now);
        let short = match self.short {
            true => lately >= RECOVERY_THRESHOLD,
            false => lately >= SHORTAGE_THRESHOLD,
        };
        let changes = short != self.short;
        self.short = short;
        changes.then_some(short)
    }
}

/// Consecutive rejections by an engine for lack of capacity.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff(u32);

impl Backoff {
    /// Records another rejection. Returns how long to leave the engine out, where requests
    /// hold a slot for `slot_time`.
    fn next(&mut self, slot_time: Duration, random: &mut impl Rng) -> Duration {
        let jitter = random.random_range(1.0 - BACKOFF_JITTER..1.0 + BACKOFF_JITTER);
        let first = slot_time.mul_f64(INITIAL_BACKOFF_SLOT_TIMES * jitter);
        let backoff = first * 2_u32.pow(self.0.min(MAX_DOUBLINGS));
        self.0 += 1;
        backoff.clamp(MIN_BACKOFF, MAX_BACKOFF)
    }
}

/// Mean times for which requests of a service hold a slot of an engine, without their wait
/// in its queue, as measured by this gateway.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkTimes(BTreeMap<String, f64>);

impl WorkTimes {
    /// Records the time for which a request of a service held a slot, in seconds.
    fn note(&mut self, service: &str, slot_time: f64) {
        match self.0.get_mut(service) {
            Some(mean) => *mean += (slot_time - *mean) * LATEST_WEIGHT,
            None => {
                self.0.insert(service.to_owned(), slot_time);
            }
        }
    }

    /// Returns the mean time if it is shorter than other gateways take to observe a start.
    pub fn short_mean(&self, service: &str) -> Option<Duration> {
        let mean = Duration::from_secs_f64(*self.0.get(service)?);
        (!mean.is_zero() && mean < START_VISIBILITY_DELAY).then_some(mean)
    }
}

impl EngineTable {
    /// Records the time from sending an online request to an engine until its complete
    /// answer, including the wait there.
    pub fn record_time_at_engine(&mut self, id: &str, took: Duration, now: Timestamp) {
        let others_report = self.others_report(now);
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        // In a steady state, a departing request leaves as many requests there as it found
        // on arrival.
        let remaining = engine.fresh_load(now, took);
        let remaining = remaining.unwrap_or_else(|| engine.load(now, others_report));
        let slots = f64::from(engine.facts.slots);
        let slot_time = took.as_secs_f64() * slots / slots.max(remaining);
        self.work_times.note(&engine.facts.service, slot_time);
    }

    /// Records that an engine had no capacity for a request.
    pub(super) fn record_rejection(&mut self, id: &str, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some(slot_time) = self.work_times.short_mean(&engine.facts.service) else {
            return engine.failed(Failure::Full, now);
        };
        let backoff = engine.backoff.next(slot_time, &mut self.random);
        engine.back_off(backoff, now);
    }

    /// Returns the mean time for which a request of a service holds a slot, if it is short
    /// enough for the engines' queues to decide.
    #[must_use]
    pub fn short_work_time(&self, service: &str) -> Option<Duration> {
        self.work_times.short_mean(service)
    }

    /// Whether an engine has reached its limit for such requests, if they end before the
    /// other gateways observe them; `None` for other services.
    pub(super) fn is_full_for_short_requests(
        &self,
        engine: &Engine,
        pick: &Pick<'_>,
        now: Timestamp,
    ) -> Option<bool> {
        let slot_time = self.work_times.short_mean(pick.service)?;
        let slots = f64::from(engine.facts.slots);
        let load = engine.fresh_load(now, slot_time);
        let load = load.unwrap_or_else(|| engine.load(now, self.others_report(now)));
        let capacity = match pick.standing {
            Standing::Late => slots,
            Standing::InTime { left } => {
                slots + slots * left.as_secs_f64() / slot_time.as_secs_f64()
            }
        };
        Some(load + 1.0 > capacity)
    }
}
