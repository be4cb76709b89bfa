//! Services whose requests are over before the other gateways hear of them.
//!
//! What others told of such engines is past by the time it is heard, so that filling
//! room by it sends everybody to the same engine at once. An engine's own queue decides
//! here: a request goes to one that is likely to begin with it in time, one that is
//! turned away waits at the gateway for about as long as slots are held, and the less
//! often it comes, the more often in a row that happened.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::Timestamp;
use rand::Rng;

use super::engine::{Engine, Failure};
use super::room::STARTS_SHOW;
use super::table::{EngineTable, Pick, Standing};
use crate::decay::FadingSum;

/// Weight of the latest request in the mean.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;
/// Engines that a short request compares. All gateways compare by figures that are
/// about as old; the more each looks at, the more of them take the same one.
pub(super) const COMPARED: usize = 2;
/// Times for which requests keep a slot that an engine without room is left out for at
/// first: by then a slot is likely to be free.
const FIRST_BACKOFF: f64 = 2.0;
/// Part of a pause by which it is longer or shorter by chance, so that those who were
/// turned away together do not come back together.
const BACKOFF_SPREAD: f64 = 0.5;
/// Doublings that are reckoned with: behind them every pause is the longest one.
const MOST_DOUBLINGS: u32 = 16;
/// Shortest pause: an engine that answers at once is not asked all the time.
const SHORTEST_BACKOFF: Duration = Duration::from_millis(8);
/// Longest pause: short enough for another look within a request's target.
const LONGEST_BACKOFF: Duration = Duration::from_millis(200);

/// Time over which requests that found no room fade.
const SHORTAGE_FADES: Duration = Duration::from_secs(1);
/// Requests lately without room from which on a service is short of it: single ones are
/// chance.
const SHORT_FROM: f64 = 5.0;
/// Requests lately below which it is no longer.
const ENOUGH_BELOW: f64 = 0.5;

/// Whether requests of a service lately found engines without room.
#[derive(Clone, Copy, Debug)]
pub struct Shortage {
    turned_away: FadingSum,
    short: bool,
}

impl Default for Shortage {
    fn default() -> Self {
        Self {
            turned_away: FadingSum::new(SHORTAGE_FADES),
            short: false,
        }
    }
}

impl Shortage {
    /// An engine answered a request, or had no room for it. Says whether the service is
    /// short of room from now on, if that changes.
    pub fn note(&mut self, turned_away: bool, now: Timestamp) -> Option<bool> {
        if turned_away {
            self.turned_away.add(1.0, now);
        }
        let lately = self.turned_away.at(now);
        let short = match self.short {
            true => lately >= ENOUGH_BELOW,
            false => lately >= SHORT_FROM,
        };
        let changes = short != self.short;
        self.short = short;
        changes.then_some(short)
    }
}

/// Times in a row that an engine turned requests away for want of room.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Backoff(u32);

impl Backoff {
    /// It did once more. Gives how long it is left out, where requests keep a slot for
    /// `kept`.
    fn next(&mut self, kept: Duration, random: &mut impl Rng) -> Duration {
        let spread = random.random_range(1.0 - BACKOFF_SPREAD..1.0 + BACKOFF_SPREAD);
        let first = kept.mul_f64(FIRST_BACKOFF * spread);
        let pause = first * 2_u32.pow(self.0.min(MOST_DOUBLINGS));
        self.0 += 1;
        pause.clamp(SHORTEST_BACKOFF, LONGEST_BACKOFF)
    }
}

/// Mean times for which requests of a service keep a slot of an engine, without their
/// wait in its queue, as measured here.
#[derive(Clone, Debug, Default)]
pub(super) struct WorkTimes(BTreeMap<String, f64>);

impl WorkTimes {
    /// A request of a service kept a slot for so long.
    fn note(&mut self, service: &str, kept: f64) {
        match self.0.get_mut(service) {
            Some(mean) => *mean += (kept - *mean) * LATEST_WEIGHT,
            None => {
                self.0.insert(service.to_owned(), kept);
            }
        }
    }

    /// That time, where it is shorter than starts take to show to the other gateways.
    pub fn short(&self, service: &str) -> Option<Duration> {
        let mean = Duration::from_secs_f64(*self.0.get(service)?);
        (!mean.is_zero() && mean < STARTS_SHOW).then_some(mean)
    }
}

impl EngineTable {
    /// An online request was at an engine for so long until it was answered whole, its
    /// wait there included.
    pub fn note_time_at(&mut self, id: &str, took: Duration, now: Timestamp) {
        let others_tell = self.others_tell(now);
        let Some(engine) = self.engines.get(id) else {
            return;
        };
        // As many are there behind a request that leaves as were before it as it came.
        let behind = engine.fresh_load(now, took);
        let behind = behind.unwrap_or_else(|| engine.load(now, others_tell));
        let slots = f64::from(engine.facts.slots);
        let kept = took.as_secs_f64() * slots / slots.max(behind);
        self.work_times.note(&engine.facts.service, kept);
    }

    /// An engine had no room for a request.
    pub(super) fn turned_away(&mut self, id: &str, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let Some(kept) = self.work_times.short(&engine.facts.service) else {
            return engine.failed(Failure::Full, now);
        };
        let pause = engine.backoff.next(kept, &mut self.random);
        engine.leave_out(pause, now);
    }

    /// Mean time for which a request of a service keeps a slot, where it is so short that
    /// engines' queues decide.
    #[must_use]
    pub fn short_work_time(&self, service: &str) -> Option<Duration> {
        self.work_times.short(service)
    }

    /// Whether an engine has all that it is to get of such requests, where they are over
    /// before the other gateways hear of them.
    pub(super) fn is_full_of_short(
        &self,
        engine: &Engine,
        pick: &Pick<'_>,
        now: Timestamp,
    ) -> Option<bool> {
        let kept = self.work_times.short(pick.service)?;
        let slots = f64::from(engine.facts.slots);
        let there = engine.fresh_load(now, kept);
        let there = there.unwrap_or_else(|| engine.load(now, self.others_tell(now)));
        let places = match pick.standing {
            Standing::Late => slots,
            Standing::InTime { left } => slots + slots * left.as_secs_f64() / kept.as_secs_f64(),
        };
        Some(there + 1.0 > places)
    }
}
