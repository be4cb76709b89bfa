//! How long work takes at engines: measured in answers that pass here, and told to
//! operators.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use molespan_routing::dispatch::{LoadFault, SlowChange, SlowWatch};
use molespan_types::Timestamp;
use slog::{info, warn};

use crate::state::GatewayState;

/// Time between two lines on load reports that make no sense.
const FAULTS_TOLD_EVERY: Duration = Duration::from_secs(10);
/// Time behind an event until the next one is waited for, beyond which the time between
/// them says how fast the caller reads.
const CALLER_HOLDS_UP: Duration = Duration::from_millis(5);

/// Events of one answer, and the time between them.
#[derive(Debug, Default)]
pub(crate) struct EventTimes {
    last: Option<Timestamp>,
    held_up: bool,
}

impl EventTimes {
    /// The next piece is waited for from now on.
    pub fn waits(&mut self, now: Timestamp) {
        let last = self.last;
        self.held_up = last.is_some_and(|last| now.since(last) > CALLER_HOLDS_UP);
    }

    /// A piece came: how many events end in it, and the time that they took.
    pub fn came(&mut self, piece: &[u8], now: Timestamp) -> Option<(u32, Duration)> {
        let events = event_ends(piece);
        if events == 0 {
            return None;
        }
        let last = self.last.replace(now)?;
        (!self.held_up).then(|| (events, now.since(last)))
    }
}

/// Empty lines in a piece of a stream. One that is cut in two is not seen; its time is
/// part of the next one's.
fn event_ends(piece: &[u8]) -> u32 {
    let mut ends = 0;
    let mut line_is_empty = false;
    for byte in piece {
        match byte {
            b'\n' if line_is_empty => {
                ends += 1;
                line_is_empty = false;
            }
            b'\n' => line_is_empty = true,
            b'\r' => {}
            _ => line_is_empty = false,
        }
    }
    ends
}

/// What operators were told of engines' paces.
#[derive(Debug, Default)]
pub(crate) struct PaceWatch {
    slow: RefCell<SlowWatch>,
    faults: Cell<u32>,
    faults_told: Cell<Option<Timestamp>>,
}

/// Tells operators what is new of engines' paces.
pub(crate) fn look(state: &GatewayState) {
    let now = state.now();
    let engines = state.engines.borrow();
    if let Some(figures) = engines.pace_figures(now) {
        state.metrics.pace.set(figures);
    }
    let slow = engines.slow_engines(now);
    drop(engines);
    for change in state.pace.slow.borrow_mut().look(&slow, now) {
        match change {
            SlowChange::Slow { engine, pace } => {
                info!(state.logger, "engine is slow"; "engine" => engine,
                    "pace" => format!("{pace:.1}"));
            }
            SlowChange::Back { engine } => {
                info!(state.logger, "engine no longer slow"; "engine" => engine);
            }
            SlowChange::More(more) => {
                info!(state.logger, "more engines slow or no longer"; "engines" => more);
            }
        }
    }
}

/// An engine's load report made no sense.
pub(crate) fn note_fault(state: &GatewayState, engine: &str, fault: LoadFault) {
    state.metrics.pace.fault(fault);
    let watch = &state.pace;
    let faults = watch.faults.get() + 1;
    watch.faults.set(faults);
    let now = state.now();
    let told = watch.faults_told.get();
    if told.is_some_and(|told| now.since(told) < FAULTS_TOLD_EVERY) {
        return;
    }
    watch.faults_told.set(Some(now));
    watch.faults.set(0);
    warn!(state.logger, "load report makes no sense"; "engine" => engine,
        "fault" => ?fault, "reports" => faults);
}
