//! How long work takes at an engine now, as a multiple of what it takes at the engines
//! of its service together.
//!
//! Three sources say so: the time between events of answers that pass here, the same as
//! other gateways tell it, and what the engine tells of itself. Each counts for less the
//! older it is, so that an engine of which nothing is heard has its usual pace again.

use std::time::Duration;

use molespan_types::Timestamp;

use super::engine::{Engine, SHARE_HOLDS};
use super::table::EngineTable;
use crate::decay::FadingSum;

/// How long a pace holds once it was worked out, without news: requests that wait look
/// many times a second.
const PACE_HOLDS: Duration = Duration::from_millis(20);
/// Time over which events that were measured here fade: a few of one answer.
const EVENTS_FADE: Duration = Duration::from_millis(150);
/// Time over which a word fades, of an engine or of other gateways: short, so that
/// requests follow the pace that an engine has now.
const WORD_FADES: Duration = Duration::from_millis(300);
/// Time over which what is usual fades: it outlasts a slow span.
const USUAL_FADES: Duration = Duration::from_secs(10);
/// Events that one word weighs as much as: those of one answer that have not faded.
const WORD_EVENTS: f64 = 3.0;
/// Events that what is usual there weighs as much as.
const USUAL_EVENTS: f64 = 1.0;
/// Events of a service from which on what is usual is known.
const KNOWN_FROM: f64 = 20.0;
/// Parts of the usual time in which gateways tell each other.
const TOLD_PARTS: f64 = 8.0;
/// Distance from the usual pace up to which an engine counts as even with the others:
/// one gateway measures no better than that.
const EVEN: f64 = 0.12;
/// Paces between which what is usual at an engine may lie: beyond them something is
/// wrong there, which must not become usual.
const USUAL_BOUNDS: (f64, f64) = (0.5, 2.0);
/// Paces between which a figure is believed.
const BOUNDS: (f64, f64) = (0.1, 32.0);
/// Pace from which on an engine counts as slow: a slot elsewhere is free sooner than
/// an answer is made there.
const SLOW: f64 = 3.0;

/// Times between events at the engines of one service.
#[derive(Clone, Copy, Debug)]
pub(super) struct Usual {
    events: FadingSum,
    seconds: FadingSum,
}

impl Default for Usual {
    fn default() -> Self {
        Self {
            events: FadingSum::new(USUAL_FADES),
            seconds: FadingSum::new(USUAL_FADES),
        }
    }
}

impl Usual {
    /// So many events came within a time.
    fn note(&mut self, events: f64, took: Duration, now: Timestamp) {
        self.events.add(events, now);
        self.seconds.add(took.as_secs_f64(), now);
    }

    /// Seconds between two events, once enough were measured.
    fn seconds(&self, now: Timestamp) -> Option<f64> {
        let events = self.events.at(now);
        let known = events >= KNOWN_FROM;
        known.then(|| self.seconds.at(now) / events)
    }
}

/// A pace, and the events that it weighs as much as.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Weighed {
    weight: f64,
    sum: f64,
}

impl Weighed {
    fn add(&mut self, weight: f64, pace: f64) {
        self.weight += weight;
        self.sum += weight * pace;
    }

    /// Adds a word of other gateways on some of their requests, `age` old.
    pub fn add_word(&mut self, word: Word, age: Duration) {
        let Some(pace) = word.pace() else {
            return;
        };
        let requests = f64::from(word.requests);
        self.add(requests * WORD_EVENTS * faded(age), pace);
    }
}

/// What gateways tell each other of an engine's pace; sums of it are one again.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Word {
    /// Requests there whose pace is known.
    pub requests: u32,
    /// Their paces together, in eighths of the usual time.
    pub eighths: u32,
}

impl Word {
    fn pace(self) -> Option<f64> {
        let requests = f64::from(self.requests);
        let pace = f64::from(self.eighths) / TOLD_PARTS / requests;
        (self.requests > 0).then(|| bounded(pace))
    }
}

/// What an engine told of its own pace.
#[derive(Clone, Copy, Debug)]
struct Told {
    /// Multiple of what is usual there.
    pace: f64,
    at: Timestamp,
}

/// The pace of one engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct Pace {
    events: FadingSum,
    /// Paces of those events together.
    paces: FadingSum,
    told: Option<Told>,
    /// Mean of what the engine tells: what it tells all the time is usual there.
    mean_told: f64,
    /// Usual pace there.
    usual: f64,
    usual_at: Timestamp,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            events: FadingSum::new(EVENTS_FADE),
            paces: FadingSum::new(EVENTS_FADE),
            told: None,
            mean_told: 1.0,
            usual: 1.0,
            usual_at: Timestamp::ZERO,
        }
    }
}

impl Pace {
    /// So many events of an answer came within a time; `usual` seconds are usual for one.
    fn measure(&mut self, events: f64, took: Duration, usual: f64, now: Timestamp) {
        let pace = bounded(took.as_secs_f64() / events / usual);
        self.events.add(events, now);
        self.paces.add(events * pace, now);
    }

    /// The engine told how long work takes there, in hundredths of what is usual there.
    pub fn tell(&mut self, percent: u32, now: Timestamp) {
        let pace = bounded(f64::from(percent) / 100.0);
        let age = self.told.map_or(Duration::ZERO, |told| now.since(told.at));
        let part = 1.0 - (-age.as_secs_f64() / USUAL_FADES.as_secs_f64()).exp();
        self.mean_told += (pace - self.mean_told) * part;
        self.told = Some(Told { pace, at: now });
    }

    /// What this gateway knows by itself.
    fn own(&self, now: Timestamp) -> Weighed {
        let mut own = Weighed {
            weight: self.events.at(now),
            sum: self.paces.at(now),
        };
        if let Some(told) = self.told {
            // What was measured meanwhile says the same, and more surely.
            let weight = WORD_EVENTS * faded(now.since(told.at)) / (1.0 + own.weight);
            own.add(weight, told.pace / self.mean_told * self.usual);
        }
        own
    }

    /// The same of `requests` there, for telling others; nothing where it knows little.
    pub fn word(&self, requests: u32, now: Timestamp) -> Word {
        let own = self.own(now);
        if own.weight < USUAL_EVENTS || requests == 0 {
            return Word::default();
        }
        let pace = evened(own.sum / own.weight);
        let eighths = (pace * TOLD_PARTS).round() as u32;
        Word {
            requests,
            eighths: requests * eighths,
        }
    }

    /// The pace now, by what is known here and what `others` told.
    pub fn at(&self, others: Weighed, now: Timestamp) -> f64 {
        let own = self.own(now);
        let mut all = Weighed {
            weight: own.weight + others.weight,
            sum: own.sum + others.sum,
        };
        all.add(USUAL_EVENTS, self.usual);
        evened(all.sum / all.weight)
    }

    /// Takes in the pace that it has, so that it becomes the usual one in the end.
    pub fn get_used(&mut self, others: Weighed, now: Timestamp) {
        let heard = self.own(now).weight + others.weight;
        // What was not heard of meanwhile may have been otherwise.
        let age = now.since(self.usual_at).min(SHARE_HOLDS).as_secs_f64();
        self.usual_at = now;
        if heard < USUAL_EVENTS {
            return;
        }
        let part = 1.0 - (-age / USUAL_FADES.as_secs_f64()).exp();
        self.usual += (usually(self.at(others, now)) - self.usual) * part;
    }
}

/// What is left of a word of this age.
fn faded(age: Duration) -> f64 {
    match age < SHARE_HOLDS {
        true => (-age.as_secs_f64() / WORD_FADES.as_secs_f64()).exp(),
        false => 0.0,
    }
}

/// The pace as far as it differs from the usual one.
fn evened(pace: f64) -> f64 {
    match (pace - 1.0).abs() <= EVEN {
        true => 1.0,
        false => pace,
    }
}

fn bounded(pace: f64) -> f64 {
    pace.clamp(BOUNDS.0, BOUNDS.1)
}

fn usually(pace: f64) -> f64 {
    pace.clamp(USUAL_BOUNDS.0, USUAL_BOUNDS.1)
}

impl EngineTable {
    /// An online request held a slot of the service for so long.
    pub fn note_slot_time(&mut self, service: &str, held: Duration) {
        self.slot_times.note(service, held);
    }

    /// So many events of an answer came from an engine within a time.
    pub fn heard(&mut self, id: &str, events: u32, took: Duration, now: Timestamp) {
        let Some(engine) = self.engines.get_mut(id) else {
            return;
        };
        let events = f64::from(events);
        let usual = self.slot_times.usual(&engine.facts.service);
        usual.note(events, took, now);
        if let Some(usual) = usual.seconds(now) {
            engine.pace.measure(events, took, usual, now);
            engine.latest_pace.set(None);
        }
    }
}

/// How the engines' paces are, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceFigures {
    /// Pace of the engine in the middle.
    pub median: f64,
    /// Pace of the slowest engine.
    pub slowest: f64,
    /// Engines that count as slow.
    pub slow: u32,
}

impl EngineTable {
    /// Paces of all engines; `None` where there is no engine.
    #[must_use]
    pub fn pace_figures(&self, now: Timestamp) -> Option<PaceFigures> {
        let engines = self.engines.values();
        let mut paces: Vec<f64> = engines.map(|engine| engine.pace(now)).collect();
        paces.sort_by(f64::total_cmp);
        let slow = paces.iter().filter(|&&pace| pace >= SLOW).count() as u32;
        Some(PaceFigures {
            median: *paces.get(paces.len() / 2)?,
            slowest: *paces.last()?,
            slow,
        })
    }

    /// Engines that count as slow.
    #[must_use]
    pub fn slow_engines(&self, now: Timestamp) -> Vec<(String, f64)> {
        let paces = self.engines.iter();
        let paces = paces.map(|(id, engine)| (id, engine.pace(now)));
        let slow = paces.filter(|(_, pace)| *pace >= SLOW);
        slow.map(|(id, pace)| (id.clone(), pace)).collect()
    }
}

impl Engine {
    /// Its pace now: 1 is usual at engines of its service, 2 takes twice as long.
    pub fn pace(&self, now: Timestamp) -> f64 {
        if let Some((pace, at)) = self.latest_pace.get()
            && now.since(at) < PACE_HOLDS
        {
            return pace;
        }
        let pace = self.pace.at(self.words(now), now);
        self.latest_pace.set(Some((pace, now)));
        pace
    }

    /// Its slots, counted in time: a slow one has as many as make up for its pace, and
    /// one at the least, whose answers say when it is back.
    pub fn slots(&self, now: Timestamp) -> f64 {
        let slots = f64::from(self.facts.slots);
        let pace = self.pace(now);
        match pace >= SLOW {
            true => (slots / pace).max(1.0),
            false => slots,
        }
    }

    /// What other gateways told of its pace.
    pub fn words(&self, now: Timestamp) -> Weighed {
        let mut words = Weighed::default();
        for (word, at) in self.told_paces(now) {
            words.add_word(word, now.since(at));
        }
        words
    }
}
