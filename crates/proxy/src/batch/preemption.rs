//! Preemption of batch work by online work.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use async_channel::{Receiver, Sender};
use molespan_daemon::wall_clock::unix_millis;
use molespan_routing::dispatch::{PreemptionCost, Urgency};
use molespan_routing::suspects::Progress;
use slog::info;

use super::item::SharedOutput;
use crate::attempt::Outbound;
use crate::state::GatewayState;

/// A run of a batch item that may be preempted.
#[derive(Debug)]
struct Run {
    service: String,
    /// Engine of the run; empty until the engine has begun to answer.
    engine: String,
    /// Deadline of the item, in milliseconds since 1970.
    due_ms: Option<u64>,
    /// Number of prompt tokens.
    prompt_tokens: u64,
    /// Output of the item so far.
    output: SharedOutput,
    /// How far the answer has got, if the run is a trial of a bar.
    trial: Option<Rc<Cell<Progress>>>,
    preempt: Sender<()>,
}

impl Run {
    /// Whether online work may have the slot. A trial keeps it until it has shown something:
    /// there are few, and held items wait for their outcome.
    fn may_be_preempted(&self) -> bool {
        let progress = self.trial.as_ref().map(|progress| progress.get());
        progress.is_none_or(Progress::has_written_long) && !self.preempt.is_closed()
    }

    /// Returns the cost of preempting this run. Each event counts as one token, its
    /// minimum.
    fn preemption_cost(&self, number: u64, now_ms: u64) -> PreemptionCost {
        let made = self.output.borrow().last_event().unwrap_or_default();
        let read_again = self.prompt_tokens.saturating_add(made);
        let urgency = Urgency::of(self.due_ms, now_ms, 0);
        PreemptionCost::of(urgency, now_ms, read_again, number)
    }
}

/// The batch runs of this gateway, in the order of their starts.
#[derive(Debug, Default)]
pub(crate) struct BatchRuns {
    runs: RefCell<BTreeMap<u64, Run>>,
    last: Cell<u64>,
    /// Number of items of each service that no engine may run for now.
    held_back: RefCell<BTreeMap<String, u32>>,
}

/// Maximum number of items of a service held back here that leave their share of the slots to
/// other items, some 10 KB each. Beyond it, the batch group keeps the rest.
const MAX_HELD_BACK: u32 = 64;

/// Registration of an item that no engine may run for now, removed on drop.
pub(super) struct HeldBack {
    state: Rc<GatewayState>,
    service: String,
}

impl Drop for HeldBack {
    fn drop(&mut self) {
        let mut held_back = self.state.batch_runs.held_back.borrow_mut();
        if let Some(count) = held_back.get_mut(&self.service) {
            *count -= 1;
        }
        held_back.retain(|_, count| *count > 0);
    }
}

impl BatchRuns {
    /// Registers an item that no engine of its service may run for now.
    pub(super) fn hold_back(&self, state: &Rc<GatewayState>, service: &str) -> HeldBack {
        let mut held_back = self.held_back.borrow_mut();
        *held_back.entry(service.to_owned()).or_default() += 1;
        HeldBack {
            state: state.clone(),
            service: service.to_owned(),
        }
    }

    /// Returns the number of items of a service held back that take up no slots.
    pub(super) fn held_back_of(&self, service: &str) -> u32 {
        let held_back = self.held_back.borrow().get(service).copied();
        held_back.unwrap_or_default().min(MAX_HELD_BACK)
    }

    /// Returns the number of items held back.
    pub(super) fn count_held_back(&self) -> u32 {
        self.held_back.borrow().values().sum()
    }

    /// Returns the number of runs that an engine of a service has begun to answer.
    pub(super) fn at_engines_of(&self, service: &str) -> u32 {
        let runs = self.runs.borrow();
        let of_service = runs.values().filter(|run| run.service == service);
        of_service.filter(|run| !run.engine.is_empty()).count() as u32
    }

    /// Returns the number of runs that an engine has begun to answer.
    pub fn count_at_engines(&self) -> u32 {
        let runs = self.runs.borrow();
        let begun = runs.values().filter(|run| !run.engine.is_empty());
        begun.count() as u32
    }
}

/// Registration of one run, removed on drop.
pub(crate) struct RunGuard {
    state: Rc<GatewayState>,
    number: u64,
    preempted: Receiver<()>,
}

impl RunGuard {
    /// Registers a run that has no engine yet.
    pub fn begin(
        state: &Rc<GatewayState>,
        service: &str,
        due_ms: Option<u64>,
        prompt_tokens: u64,
        output: &SharedOutput,
    ) -> Self {
        let (sender, preempted) = async_channel::bounded(1);
        let runs = &state.batch_runs;
        let number = runs.last.get() + 1;
        runs.last.set(number);
        let run = Run {
            service: service.to_owned(),
            engine: String::new(),
            due_ms,
            prompt_tokens,
            output: output.clone(),
            trial: None,
            preempt: sender,
        };
        runs.runs.borrow_mut().insert(number, run);
        Self {
            state: state.clone(),
            number,
            preempted,
        }
    }

    /// Records that the run is now at `engine`.
    pub fn set_engine(&self, engine: &str, request: &Outbound) {
        let is_trial = request.bar_trial.get().is_some();
        let mut runs = self.state.batch_runs.runs.borrow_mut();
        if let Some(run) = runs.get_mut(&self.number) {
            engine.clone_into(&mut run.engine);
            run.trial = is_trial.then(|| request.progress.clone());
        }
    }

    /// Waits until the run is preempted.
    pub async fn preempted(&self) {
        let _closed = self.preempted.recv().await;
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        self.state.batch_runs.runs.borrow_mut().remove(&self.number);
    }
}

/// Preempts own batch runs at engines where online work needs their slots, in ascending
/// order of cost.
pub(crate) fn preempt_batch_runs(state: &GatewayState) {
    let preemptions = state.engines.borrow_mut().batch_to_preempt(state.now());
    if preemptions.is_empty() {
        return;
    }
    let runs = state.batch_runs.runs.borrow();
    let now_ms = unix_millis();
    for (engine, count) in preemptions {
        let mut running: Vec<(PreemptionCost, &Run)> = runs
            .iter()
            .filter(|(_, run)| run.engine == engine && run.may_be_preempted())
            .map(|(number, run)| (run.preemption_cost(*number, now_ms), run))
            .collect();
        running.sort_unstable_by_key(|(cost, _)| *cost);
        let mut preempted = 0;
        for (_, run) in running.iter().take(count as usize) {
            run.preempt.close();
            preempted += 1;
        }
        state.metrics.batch.count_preempted(preempted);
        if preempted > 0 {
            info!(state.logger, "batch runs preempted"; "engine" => engine, "runs" => preempted);
        }
    }
}
