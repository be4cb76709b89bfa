//! Estimates how fast a queue moves, and so how long requests wait.
//!
//! The dispatch rate can be measured only while requests wait; otherwise requests are
//! dispatched as they arrive, which gives a lower bound. The rate at which running
//! requests end is another lower bound. A late request goes behind all requests that
//! arrive meanwhile and can start in time, so it gets only what arrivals leave of the
//! dispatch rate. As load comes in peaks, the lower arrival rate of a short and a long
//! window counts. Small counts are unreliable: each is corrected by its square root in
//! the optimistic direction, and the next dispatch counts already as long as it is not
//! overdue.

use std::time::Duration;

use molespan_types::Timestamp;

use crate::decay::DecayingSum;

/// Time constant of the dispatch rate, in waiting time and in total time.
const DISPATCH_RATE_WINDOW: Duration = Duration::from_secs(2);
/// Seconds of waiting time before a rate counts as known.
const MIN_WAITING_SECONDS: f64 = 0.2;
/// Weight of the latest request in the mean time for which slots are held.
const LATEST_WEIGHT: f64 = 1.0 / 32.0;
/// Waiting time without a dispatch after which the queue counts as stalled. The next
/// dispatch then shows that engines are back, and earlier measurements are discarded.
const STALLED_AFTER: Duration = Duration::from_secs(1);
/// Time constants of the arrival rates: the current rate, and the rate over the time for
/// which callers wait, which spans peaks and lulls.
const ARRIVAL_RATE_WINDOWS: [Duration; 2] = [Duration::from_millis(500), Duration::from_secs(4)];

/// Estimated rates of a queue, in requests per second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Rates {
    /// Dispatch rate while requests wait.
    pub dispatch: f64,
    /// Arrival rate.
    pub arrival: f64,
}

/// Measurements of one queue.
#[derive(Clone, Debug)]
pub(super) struct Forecast {
    last_advance: Timestamp,
    /// Clock that advances only while requests wait.
    waiting_clock: Timestamp,
    /// Seconds during which requests waited.
    waiting_seconds: DecayingSum,
    dispatches: DecayingSum,
    /// All dispatches, on the caller's clock.
    all_dispatches: DecayingSum,
    /// Number of requests that hold an engine slot.
    running: u32,
    /// Mean time in seconds for which a request holds its slot.
    mean_held: f64,
    /// Time of the latest dispatch, on the clock of waiting time.
    last_dispatch: Option<Timestamp>,
    arrivals: [DecayingSum; 2],
}

impl Default for Forecast {
    fn default() -> Self {
        Self {
            last_advance: Timestamp::ZERO,
            waiting_clock: Timestamp::ZERO,
            waiting_seconds: DecayingSum::new(DISPATCH_RATE_WINDOW),
            dispatches: DecayingSum::new(DISPATCH_RATE_WINDOW),
            all_dispatches: DecayingSum::new(DISPATCH_RATE_WINDOW),
            running: 0,
            mean_held: 0.0,
            last_dispatch: None,
            arrivals: ARRIVAL_RATE_WINDOWS.map(DecayingSum::new),
        }
    }
}

impl Forecast {
    /// Advances the clocks. `any_waiting` says whether requests waited since the last
    /// call.
    pub fn advance(&mut self, now: Timestamp, any_waiting: bool) {
        let elapsed = now.since(self.last_advance);
        self.last_advance = self.last_advance.max(now);
        if any_waiting && !elapsed.is_zero() {
            self.waiting_clock = self.waiting_clock + elapsed;
            self.waiting_seconds
                .add(elapsed.as_secs_f64(), self.waiting_clock);
        }
    }

    /// Records an arrival.
    pub fn arrived(&mut self, now: Timestamp) {
        for arrivals in &mut self.arrivals {
            arrivals.add(1.0, now);
        }
    }

    /// Records a dispatch. `waited` is false if it was immediate and no other request
    /// waited.
    pub fn dispatched(&mut self, waited: bool) {
        let stalled = self.is_stalled();
        self.last_dispatch = Some(self.waiting_clock);
        if stalled {
            self.waiting_seconds = DecayingSum::new(DISPATCH_RATE_WINDOW);
            self.dispatches = DecayingSum::new(DISPATCH_RATE_WINDOW);
        }
        if waited {
            self.dispatches.add(1.0, self.waiting_clock);
        }
        self.all_dispatches.add(1.0, self.last_advance);
    }

    /// Records that a request occupies an engine slot.
    pub fn started(&mut self) {
        self.running += 1;
    }

    /// Records that a request left its engine slot, and for how long it held the slot if
    /// an engine started it.
    pub fn ended(&mut self, held: Option<Duration>) {
        self.running = self.running.saturating_sub(1);
        if let Some(held) = held {
            self.mean_held += (held.as_secs_f64() - self.mean_held) * LATEST_WEIGHT;
        }
    }

    /// Whether enough was measured for an estimate. A gateway that never dispatched a
    /// request may not know its engines yet. Slots that were taken together are also
    /// freed together, so a rate shows only after the time for which slots are held.
    pub fn is_measured(&self) -> bool {
        let needed = self.mean_held.max(MIN_WAITING_SECONDS);
        self.last_dispatch.is_some() && self.waiting_seconds.at(self.waiting_clock) >= needed
    }

    /// Whether no request was dispatched for [`STALLED_AFTER`] of waiting time, or ever.
    fn is_stalled(&self) -> bool {
        let stalled = |last_dispatch| self.waiting_clock.since(last_dispatch) >= STALLED_AFTER;
        self.last_dispatch.is_none_or(stalled)
    }

    /// Returns the current rates, estimated optimistically.
    pub fn rates(&self, now: Timestamp) -> Rates {
        let waiting_seconds = self.waiting_seconds.at(self.waiting_clock);
        let dispatches = self.dispatches.at(self.waiting_clock);
        let next = f64::from(u8::from(!self.is_stalled()));
        let arrival_rates = self.arrivals.iter().map(|arrivals| {
            let count = arrivals.at(now);
            (count - count.sqrt()).max(0.0) / arrivals.time_constant().as_secs_f64()
        });
        let while_waiting = match waiting_seconds > 0.0 {
            true => (dispatches + dispatches.sqrt() + next) / waiting_seconds,
            false => 0.0,
        };
        let all = self.all_dispatches.at(now);
        let at_least = (all + all.sqrt()) / DISPATCH_RATE_WINDOW.as_secs_f64();
        // Requests at stalled engines do not end.
        let ending = match self.is_stalled() || self.mean_held == 0.0 {
            true => 0.0,
            false => f64::from(self.running) / self.mean_held,
        };
        Rates {
            dispatch: while_waiting.max(at_least).max(ending),
            arrival: arrival_rates.fold(f64::INFINITY, f64::min),
        }
    }

    /// Expected wait behind `ahead` requests that nobody overtakes; `None` if nothing
    /// moves.
    pub fn wait(&self, ahead: usize) -> Option<Duration> {
        time_at_rate(ahead, self.rates(self.last_advance).dispatch)
    }

    /// Expected wait behind `ahead` requests and all that arrive meanwhile; `None` if
    /// arrivals use up the dispatch rate.
    pub fn late_wait(&self, ahead: usize, now: Timestamp) -> Option<Duration> {
        if !self.is_measured() {
            return Some(Duration::ZERO);
        }
        let rates = self.rates(now);
        time_at_rate(ahead, rates.dispatch - rates.arrival)
    }
}

fn time_at_rate(ahead: usize, per_second: f64) -> Option<Duration> {
    let seconds = (ahead as f64 + 1.0) / per_second;
    match per_second > 0.0 {
        true => Duration::try_from_secs_f64(seconds).ok(),
        false => None,
    }
}
