//! Work times at engines: measured from the answers that pass through, and reported to
//! operators.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use molespan_routing::dispatch::{LoadFault, SlowChange, SlowWatch};
use molespan_types::Timestamp;
use slog::{info, warn};

use crate::state::GatewayState;

/// Interval between log lines about implausible load reports.
const FAULT_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// If a piece is awaited only after this time has passed since the last event, the interval
/// between the two measures how fast the caller reads.
const SLOW_CALLER_AFTER: Duration = Duration::from_millis(5);

/// Measures the time between events of one answer.
#[derive(Debug, Default)]
pub(crate) struct EventTimes {
    last: Option<Timestamp>,
    slow_caller: bool,
}

impl EventTimes {
    /// Records that the next piece is awaited from now on.
    pub fn wait_started(&mut self, now: Timestamp) {
        let last = self.last;
        self.slow_caller = last.is_some_and(|last| now.since(last) > SLOW_CALLER_AFTER);
    }

    /// Records a piece in which `events` events end; returns the time that they took, or
    /// `None` if it is unknown or measures the caller.
    pub fn piece_arrived(&mut self, events: u64, now: Timestamp) -> Option<Duration> {
        if events == 0 {
            return None;
        }
        let last = self.last.replace(now)?;
        (!self.slow_caller).then(|| now.since(last))
    }
}

/// What was reported to operators about engines' paces.
#[derive(Debug, Default)]
pub(crate) struct PaceWatch {
    slow: RefCell<SlowWatch>,
    faults: Cell<u32>,
    faults_logged: Cell<Option<Timestamp>>,
}

/// Reports changes of engines' paces to operators.
pub(crate) fn report_paces(state: &GatewayState) {
    let now = state.now();
    let engines = state.engines.borrow();
    if let Some(figures) = engines.pace_figures(now) {
        state.metrics.pace.set(figures);
    }
    let slow = engines.slow_engines(now);
    drop(engines);
    for change in state.pace.slow.borrow_mut().update(&slow, now) {
        match change {
            SlowChange::Slow { engine, pace } => {
                info!(state.logger, "engine is slow"; "engine" => engine,
                    "pace" => format!("{pace:.1}"));
            }
            SlowChange::Back { engine } => {
                info!(state.logger, "engine no longer slow"; "engine" => engine);
            }
            SlowChange::More(more) => {
                info!(state.logger, "further engines became slow or normal"; "engines" => more);
            }
        }
    }
}

/// Records an implausible load report of an engine.
pub(crate) fn note_fault(state: &GatewayState, engine: &str, fault: LoadFault) {
    state.metrics.pace.fault(fault);
    let watch = &state.pace;
    let faults = watch.faults.get() + 1;
    watch.faults.set(faults);
    let now = state.now();
    let logged = watch.faults_logged.get();
    if logged.is_some_and(|logged| now.since(logged) < FAULT_LOG_INTERVAL) {
        return;
    }
    watch.faults_logged.set(Some(now));
    watch.faults.set(0);
    warn!(state.logger, "implausible load report"; "engine" => engine,
        "fault" => ?fault, "reports" => faults);
}
