//! How fast a queue moves, and so when a turn comes.
//!
//! Requests begin at a rate that is known only while somebody waits: else they begin
//! as they come. Who is late goes behind all who come meanwhile and can be in time;
//! for it counts what the rate leaves over. As peaks come and go, that is the more
//! hopeful one of a short and a long look back at what comes. Counts of few say little:
//! each is taken for off by its root, in the hopeful direction, and the begin that is due
//! next for one as long as that is not overdue.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::FadingSum;

/// Time of waiting over which the rate of begins is measured.
const BEGINS_OVER: Duration = Duration::from_secs(2);
/// Time of waiting without which no rate is known.
const MEASURED_AFTER: f64 = 0.2;
/// Time of waiting without a begin after which one says that engines are back: what was
/// measured before then tells nothing.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Times over which arrivals are measured: what comes now, and what comes over a time
/// for which callers wait, peaks and lulls.
const ARRIVALS_OVER: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];

/// How a queue moves, in requests a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Pace {
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
    /// When the latest one was, by that clock.
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
    }

    /// Whether anything was measured yet. A gateway that never began anything may not
    /// know its engines yet.
    pub fn is_measured(&self) -> bool {
        self.began.is_some() && self.waits.at(self.waited) >= MEASURED_AFTER
    }

    /// Whether nothing began for long, or ever.
    fn is_stalled(&self) -> bool {
        let stalled = |began| self.waited.since(began) >= STALLED_AFTER;
        self.began.is_none_or(stalled)
    }

    /// How the queue moves, in the hopeful case.
    pub fn pace(&self, now: Timestamp) -> Pace {
        let waits = self.waits.at(self.waited);
        let begins = self.begins.at(self.waited);
        let due = f64::from(u8::from(!self.is_stalled()));
        let come = self.arrivals.iter().map(|arrivals| {
            let count = arrivals.at(now);
            (count - count.sqrt()).max(0.0) / arrivals.fades_over().as_secs_f64()
        });
        Pace {
            begin: match waits > 0.0 {
                true => (begins + begins.sqrt() + due) / waits,
                false => 0.0,
            },
            come: come.fold(f64::INFINITY, f64::min),
        }
    }

    /// Wait behind `ahead` whom nobody overtakes; `None` when nothing moves.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        at_rate(ahead, self.pace(self.seen).begin)
    }

    /// Wait behind `ahead` and all who come meanwhile.
    pub fn late_wait(&self, ahead: usize, now: Timestamp) -> Option<Duration> {
        if !self.is_measured() {
            return Some(Duration::ZERO);
        }
        let pace = self.pace(now);
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
