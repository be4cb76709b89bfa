//! Pace of engines: how long work takes at an engine now, as a multiple of the mean over
//! the engines of its service.
//!
//! There are three sources: the time between events of answers that pass through this
//! gateway, the same as reported by other gateways, and the pace that the engine itself
//! reports. Each counts for less the older it is, so that an engine without recent
//! observations returns to its usual pace.

use std::time::Duration;

use molespan_types::Timestamp;

use super::engine::{Engine, SHARE_TTL};
use super::table::EngineTable;
use crate::decay::DecayingSum;

/// Time for which a computed pace is cached if there is no new observation: waiting
/// requests check many times a second.
const PACE_CACHE_TTL: Duration = Duration::from_millis(20);
/// Decay time of events measured by this gateway, which covers a few events of one answer.
const EVENT_DECAY: Duration = Duration::from_millis(150);
/// Decay time of a pace reported by an engine or by other gateways. It is short so that
/// requests follow the engine's current pace.
const REPORT_DECAY: Duration = Duration::from_millis(300);
/// Decay time of the baseline; it outlasts a slow period.
const BASELINE_DECAY: Duration = Duration::from_secs(10);
/// Weight of one reported pace, in events: those of one answer that have not decayed.
const REPORT_WEIGHT: f64 = 3.0;
/// Weight of an engine's baseline pace, in events.
const BASELINE_WEIGHT: f64 = 1.0;
/// Events of a service from which its usual time between events is known.
const MIN_EVENTS: f64 = 20.0;
/// Gateways report paces in units of this fraction of the usual time.
const PACE_SCALE: f64 = 8.0;
/// Deviation from the usual pace up to which an engine counts as equal to the others; one
/// gateway can't measure more precisely.
const EQUAL_MARGIN: f64 = 0.12;
/// Bounds of an engine's baseline pace; a pace beyond them is a fault that must not become
/// the baseline.
const BASELINE_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Bounds to which observed paces are clamped.
const PACE_BOUNDS: (f64, f64) = (0.1, 32.0);
/// Pace from which an engine counts as slow: beyond it, a slot elsewhere becomes free
/// sooner than an answer completes there.
const SLOW_PACE: f64 = 3.0;

/// Times between events at the engines of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct EventIntervals {
    events: DecayingSum,
    seconds: DecayingSum,
}

impl Default for EventIntervals {
    fn default() -> Self {
        Self {
            events: DecayingSum::new(BASELINE_DECAY),
            seconds: DecayingSum::new(BASELINE_DECAY),
        }
    }
}

impl EventIntervals {
    /// Records a number of events that came within a time.
    fn note(&mut self, events: f64, took: Duration, now: Timestamp) {
        self.events.add(events, now);
        self.seconds.add(took.as_secs_f64(), now);
    }

    /// Returns the mean seconds between two events once enough were measured.
    fn seconds(&self, now: Timestamp) -> Option<f64> {
        let events = self.events.at(now);
        let known = events >= MIN_EVENTS;
        known.then(|| self.seconds.at(now) / events)
    }
}

/// A weighted sum of paces, with weights in events.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct WeightedPace {
    weight: f64,
    sum: f64,
}

impl WeightedPace {
    fn add(&mut self, weight: f64, pace: f64) {
        self.weight += weight;
        self.sum += weight * pace;
    }

    /// Adds a pace that other gateways reported `age` ago for some of their requests.
    pub fn add_report(&mut self, report: PaceReport, age: Duration) {
        let Some(pace) = report.pace() else {
            return;
        };
        let requests = f64::from(report.requests);
        self.add(requests * REPORT_WEIGHT * remaining_weight(age), pace);
    }
}

/// Pace of an engine as gateways report it to each other. Reports can be summed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct PaceReport {
    /// Requests there whose pace is known.
    pub requests: u32,
    /// Sum of their paces, in eighths of the usual time.
    pub eighths: u32,
}

impl PaceReport {
    fn pace(self) -> Option<f64> {
        let requests = f64::from(self.requests);
        let pace = f64::from(self.eighths) / PACE_SCALE / requests;
        (self.requests > 0).then(|| clamp_pace(pace))
    }
}

/// Pace reported by an engine.
#[derive(Clone, Copy, Debug)]
struct ReportedPace {
    /// Multiple of the usual time there.
    pace: f64,
    at: Timestamp,
}

/// Pace estimate of one engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    events: DecayingSum,
    /// Sum of the paces of those events.
    paces: DecayingSum,
    reported: Option<ReportedPace>,
    /// Mean pace that the engine reports. A pace that it always reports is its baseline.
    mean_reported: f64,
    /// Baseline pace there.
    baseline: f64,
    baseline_at: Timestamp,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            events: DecayingSum::new(EVENT_DECAY),
            paces: DecayingSum::new(EVENT_DECAY),
            reported: None,
            mean_reported: 1.0,
            baseline: 1.0,
            baseline_at: Timestamp::ZERO,
        }
    }
}

impl Pace {
    /// Records a number of events of an answer that came within a time, where one event
    /// usually takes `usual` seconds.
    fn measure(&mut self, events: f64, took: Duration, usual: f64, now: Timestamp) {
        let pace = clamp_pace(took.as_secs_f64() / events / usual);
        self.events.add(events, now);
        self.paces.add(events * pace, now);
    }

    /// Records the pace that the engine reports, in hundredths of the usual time there.
    pub fn record_reported(&mut self, percent: u32, now: Timestamp) {
        let pace = clamp_pace(f64::from(percent) / 100.0);
        let age = self
            .reported
            .map_or(Duration::ZERO, |reported| now.since(reported.at));
        let part = 1.0 - (-age.as_secs_f64() / BASELINE_DECAY.as_secs_f64()).exp();
        self.mean_reported += (pace - self.mean_reported) * part;
        self.reported = Some(ReportedPace { pace, at: now });
    }

    /// Returns the pace by this gateway's own observations.
    fn own(&self, now: Timestamp) -> WeightedPace {
        let mut own = WeightedPace {
            weight: self.events.at(now),
            sum: self.paces.at(now),
        };
        if let Some(reported) = self.reported {
            // Events measured in the meantime cover the same period and are more reliable.
            let weight =
                REPORT_WEIGHT * remaining_weight(now.since(reported.at)) / (1.0 + own.weight);
            own.add(weight, reported.pace / self.mean_reported * self.baseline);
        }
        own
    }

    /// Returns the pace by this gateway's own observations of `requests` there, to report
    /// to others; empty if it has too few.
    pub fn report(&self, requests: u32, now: Timestamp) -> PaceReport {
        let own = self.own(now);
        if own.weight < BASELINE_WEIGHT || requests == 0 {
            return PaceReport::default();
        }
        let pace = snap_to_usual(own.sum / own.weight);
        let eighths = (pace * PACE_SCALE).round() as u32;
        PaceReport {
            requests,
            eighths: requests * eighths,
        }
    }

    /// Returns the current pace by this gateway's observations and those that `others`
    /// reported.
    pub fn at(&self, others: WeightedPace, now: Timestamp) -> f64 {
        let own = self.own(now);
        let mut all = WeightedPace {
            weight: own.weight + others.weight,
            sum: own.sum + others.sum,
        };
        all.add(BASELINE_WEIGHT, self.baseline);
        snap_to_usual(all.sum / all.weight)
    }

    /// Moves the baseline towards the current pace, so that a lasting pace eventually
    /// becomes the baseline.
    pub fn update_baseline(&mut self, others: WeightedPace, now: Timestamp) {
        let observed = self.own(now).weight + others.weight;
        // Time without observations does not count: the pace may have differed then.
        let age = now.since(self.baseline_at).min(SHARE_TTL).as_secs_f64();
        self.baseline_at = now;
        if observed < BASELINE_WEIGHT {
            return;
        }
        let part = 1.0 - (-age / BASELINE_DECAY.as_secs_f64()).exp();
        self.baseline += (clamp_baseline(self.at(others, now)) - self.baseline) * part;
    }
}

/// Returns the remaining weight of a report of this age, from 1 down to 0.
fn remaining_weight(age: Duration) -> f64 {
    match age < SHARE_TTL {
        true => (-age.as_secs_f64() / REPORT_DECAY.as_secs_f64()).exp(),
        false => 0.0,
    }
}

/// Returns the pace, or 1 if it deviates too little from the usual one.
fn snap_to_usual(pace: f64) -> f64 {
    match (pace - 1.0).abs() <= EQUAL_MARGIN {
        true => 1.0,
        false => pace,
    }
}

fn clamp_pace(pace: f64) -> f64 {
    pace.clamp(PACE_BOUNDS.0, PACE_BOUNDS.1)
}

fn clamp_baseline(pace: f64) -> f64 {
    pace.clamp(BASELINE_BOUNDS.0, BASELINE_BOUNDS.1)
}

impl EngineTable {
    /// Records the time for which an online request held a slot of the service.
    pub fn note_slot_time(&mut self, service: &str, held: Duration) {
        self.slot_times.note(service, held);
    }

    /// Records a number of events of an answer that came from an engine within a time.
    pub fn record_answer_events(&mut self, id: &str, events: u32, took: Duration, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let events = f64::from(events);
        let usual = self.slot_times.event_intervals(&engine.facts.service);
        usual.note(events, took, now);
        if let Some(usual) = usual.seconds(now) {
            engine.pace.measure(events, took, usual, now);
            engine.latest_pace.set(None);
        }
    }
}

/// Summary of the engines' paces, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceFigures {
    /// Median pace.
    pub median: f64,
    /// Pace of the slowest engine.
    pub slowest: f64,
    /// Number of engines that count as slow.
    pub slow: u32,
}

impl EngineTable {
    /// Returns a summary of the paces of all engines; `None` if there is no engine.
    #[must_use]
    pub fn pace_figures(&self, now: Timestamp) -> Option<PaceFigures> {
        let engines = self.engines.values();
        let mut paces: Vec<f64> = engines.map(|engine| engine.pace(now)).collect();
        paces.sort_by(f64::total_cmp);
        let slow = paces.iter().filter(|&&pace| pace >= SLOW_PACE).count() as u32;
        Some(PaceFigures {
            median: *paces.get(paces.len() / 2)?,
            slowest: *paces.last()?,
            slow,
        })
    }

    /// Returns the engines that count as slow, with their paces.
    #[must_use]
    pub fn slow_engines(&self, now: Timestamp) -> Vec<(String, f64)> {
        let paces = self.engines.iter();
        let paces = paces.map(|(id, engine)| (id, engine.pace(now)));
        let slow = paces.filter(|(_, pace)| *pace >= SLOW_PACE);
        slow.map(|(id, pace)| (id.clone(), pace)).collect()
    }
}

impl Engine {
    /// Returns its current pace: 1 is usual at engines of its service, 2 takes twice as
    /// long.
    pub fn pace(&self, now: Timestamp) -> f64 {
        if let Some((pace, at)) = self.latest_pace.get()
            && now.since(at) < PACE_CACHE_TTL
        {
            return pace;
        }
        let pace = self.pace.at(self.reported_pace(now), now);
        self.latest_pace.set(Some((pace, now)));
        pace
    }

    /// Returns its effective number of slots. A slow engine's slots are divided by its
    /// pace, but it keeps at least one, whose answers show when it has recovered.
    pub fn slots(&self, now: Timestamp) -> f64 {
        let slots = f64::from(self.facts.slots);
        let pace = self.pace(now);
        match pace >= SLOW_PACE {
            true => (slots / pace).max(1.0),
            false => slots,
        }
    }

    /// Returns the weighted sum of the paces that other gateways reported.
    pub fn reported_pace(&self, now: Timestamp) -> WeightedPace {
        let mut reports = WeightedPace::default();
        for (report, at) in self.reported_paces(now) {
            reports.add_report(report, now.since(at));
        }
        reports
    }
}
