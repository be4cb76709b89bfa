//! How fast a queue moves, and so when a turn comes.
//!
//! Requests begin at a rate that is known only while somebody waits: else they begin
//! as they come, and there is room for as many at least; and as many can begin as of
//! those that run here end. Who is late goes behind all who come meanwhile and can be in time;
//! for it counts what the rate leaves over. As peaks come and go, that is the more
//! hopeful one of a short and a long look back at what comes. Counts of few say little:
//! each is taken for off by its root, in the hopeful direction, and the begin that is due
//! next for one as long as that is not overdue.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::FadingSum;

/// Time, of waiting and in all, over which the rate of begins is measured.
const BEGINS_OVER: Duration = Duration::from_secs(2);
/// Seconds of waiting without which no rate is known.
const MEASURED_AFTER: f64 = 0.2;
/// Weight of the latest request in the mean time for which slots are held.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;
/// Time of waiting without a begin after which one says that engines are back: what was
/// measured before then tells nothing.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Times over which arrivals are measured: what comes now, and what comes over a time
/// for which callers wait, peaks and lulls.
const ARRIVALS_OVER: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];

/// How a queue moves, in requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Begin while somebody waits.
    pub begin: f64,
    /// Come.
    pub come: f64,
}

/// What is measured of one queue.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    seen: Timestamp,
    /// A clock that goes only while somebody waits.
    waited: Timestamp,
    /// Seconds for which somebody waited.
    waits: FadingSum,
    begins: FadingSum,
    /// All begins, by the caller's clock.
    all_begins: FadingSum,
    /// Requests that hold a slot.
    running: u32,
    /// Mean seconds for which one holds it.
    held: f64,
    /// When the latest request began, by the clock of waits.
    began: Option<Timestamp>,
    arrivals: [FadingSum; 2],
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            seen: Timestamp::ZERO,
            waited: Timestamp::ZERO,
            waits: FadingSum::new(BEGINS_OVER),
            begins: FadingSum::new(BEGINS_OVER),
            all_begins: FadingSum::new(BEGINS_OVER),
            running: 0,
            held: 0.0,
            began: None,
            arrivals: ARRIVALS_OVER.map(FadingSum::new),
        }
    }
}

impl Forecast {
    /// Time passes, in which somebody waited or not.
    pub fn advance(&mut self, now: Timestamp, anybody_waits: bool) {
        let passed = now.since(self.seen);
        self.seen = self.seen.max(now);
        if anybody_waits && !passed.is_zero() {
            self.waited = self.waited + passed;
            self.waits.add(passed.as_secs_f64(), self.waited);
        }
    }

    /// A request came.
    pub fn came(&mut self, now: Timestamp) {
        for arrivals in &mut self.arrivals {
            arrivals.add(1.0, now);
        }
    }

    /// A request began, for which others waited or which had waited itself, or at once.
    pub fn begun(&mut self, waited: bool) {
        let stalled = self.is_stalled();
        self.began = Some(self.waited);
        if stalled {
            self.waits = FadingSum::new(BEGINS_OVER);
            self.begins = FadingSum::new(BEGINS_OVER);
        }
        if waited {
            self.begins.add(1.0, self.waited);
        }
        self.all_begins.add(1.0, self.seen);
    }

    /// A request takes a slot of an engine.
    pub fn started(&mut self) {
        self.running += 1;
    }

    /// One leaves it, and held it for so long if it began.
    pub fn ended(&mut self, held: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(held) = held {
            self.held += (held.as_secs_f64() - self.held) * LATEST_WEIGHT;
        }
    }

    /// Whether anything was measured yet. A gateway that never began anything may not
    /// know its engines yet; and slots that were taken together are freed together, so
    /// that a rate shows only behind the time for which they are held.
    pub fn is_measured(&self) -> bool {
        let needed = self.held.max(MEASURED_AFTER);
        self.began.is_some() && self.waits.at(self.waited) >= needed
    }

    /// Whether nothing began for long, or ever.
    fn is_stalled(&self) -> bool {
        let stalled = |began| self.waited.since(began) >= STALLED_AFTER;
        self.began.is_none_or(stalled)
    }

    /// How the queue moves, in the hopeful case.
    pub fn rates(&self, now: Timestamp) -> Rates {
        let waits = self.waits.at(self.waited);
        let begins = self.begins.at(self.waited);
        let due = f64::from(u8::from(!self.is_stalled()));
        let come = self.arrivals.iter().map(|arrivals| {
            let count = arrivals.at(now);
            (count - count.sqrt()).max(0.0) / arrivals.fades_over().as_secs_f64()
        });
        let waiting = match waits > 0.0 {
            true => (begins + begins.sqrt() + due) / waits,
            false => 0.0,
        };
        let all = self.all_begins.at(now);
        let at_least = (all + all.sqrt()) / BEGINS_OVER.as_secs_f64();
        // Those at engines that stand do not end.
        let ending = match self.is_stalled() || self.held == 0.0 {
            true => 0.0,
            false => f64::from(self.running) / self.held,
        };
        Rates {
            begin: waiting.max(at_least).max(ending),
            come: come.fold(f64::INFINITY, f64::min),
        }
    }

    /// Wait behind `ahead` whom nobody overtakes; `None` when nothing moves.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        at_rate(ahead, self.rates(self.seen).begin)
    }

    /// Wait behind `ahead` and all who come meanwhile.
    pub fn late_wait(&self, ahead: usize, now: Timestamp) -> Option<Duration> {
        if !self.is_measured() {
            return Some(Duration::ZERO);
        }
        let pace = self.rates(now);
        at_rate(ahead, pace.begin - pace.come)
    }
}

fn at_rate(ahead: usize, per_second: f64) -> Option<Duration> {
    let seconds = (ahead as f64 + 1.0) / per_second;
    match per_second > 0.0 {
        true => Duration::try_from_secs_f64(seconds).ok(),
        false => None,
    }
}
