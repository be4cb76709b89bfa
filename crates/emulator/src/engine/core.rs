//! The engine core and its operations.

use std::collections::HashMap;
use std::time::Duration;

use molespan_engine_api::{
    CacheEventKind, CacheEventPage, LoadReport, Order, OrderReply, RequestState, RequestStatus,
};
use molespan_types::{BackendId, Incarnation, RunOutcome, Timestamp};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::step::StepInProgress;
use super::{
    Answer, AttemptKey, AttemptLookup, CacheEventLog, EngineModel, ExecutionLog, FinishedAttempt,
    FinishedAttempts, LoadMonitor, Loaded, Observation, OrderBook, Output, Refusal, Scheduler,
    Sequence, SequenceId, WeightsNeeded,
};
use crate::faults::EngineFaults;

/// Identity and behaviour of an emulated engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Identifier in the platform's machine list.
    pub backend: BackendId,
    /// Incarnation at start; each crash increments it.
    pub incarnation: Incarnation,
    /// Costs and limits.
    pub model: EngineModel,
    /// Models loaded at the start of each incarnation, in version 1.
    pub models: Vec<String>,
}

/// An emulated engine.
#[derive(Clone, Debug)]
pub struct EngineCore {
    pub(super) settings: EngineSettings,
    pub(super) random: ChaCha8Rng,
    pub(super) incarnation: Incarnation,
    pub(super) faults: EngineFaults,
    pub(super) scheduler: Scheduler,
    pub(super) live: HashMap<AttemptKey, SequenceId>,
    pub(super) finished: FinishedAttempts,
    pub(super) orders: OrderBook,
    pub(super) cache_events: CacheEventLog,
    pub(super) load: LoadMonitor,
    pub(super) executions: ExecutionLog,
    pub(super) step: Option<StepInProgress>,
    pub(super) step_micros: u32,
    pub(super) outputs: Vec<Output>,
}

impl EngineCore {
    /// Creates an idle engine that starts at `now`. `seed` determines its random
    /// choices.
    #[must_use]
    pub fn new(settings: EngineSettings, seed: u64, now: Timestamp) -> Self {
        let model = &settings.model;
        let incarnation = settings.incarnation;
        Self {
            random: ChaCha8Rng::seed_from_u64(seed),
            incarnation,
            faults: EngineFaults::default(),
            scheduler: Scheduler::new(model),
            live: HashMap::new(),
            finished: finished_attempts(model),
            orders: OrderBook::new(incarnation, &settings.models),
            cache_events: cache_event_log(model),
            load: load_monitor(model, now),
            executions: ExecutionLog::default(),
            step: None,
            step_micros: 0,
            outputs: Vec::new(),
            settings,
        }
    }

    /// Returns the current incarnation.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the costs and limits.
    #[must_use]
    pub fn model(&self) -> &EngineModel {
        &self.settings.model
    }

    /// Returns what is loaded, the role and whether the engine is leaving.
    #[must_use]
    pub fn loaded(&self) -> &Loaded {
        self.orders.loaded()
    }

    /// Returns the execution counts, including those of earlier incarnations.
    #[must_use]
    pub fn executions(&self) -> &ExecutionLog {
        &self.executions
    }

    /// Returns the active faults.
    #[must_use]
    pub fn faults(&self) -> &EngineFaults {
        &self.faults
    }

    /// Returns the current number of sequences by class and state, without the
    /// delay of the load report.
    #[must_use]
    pub fn counts(&self) -> super::Counts {
        self.scheduler.counts()
    }

    /// Returns the KV memory.
    #[must_use]
    pub fn memory(&self) -> &super::KvMemory {
        self.scheduler.memory()
    }

    /// Whether no sequence is waiting, running or paused.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.scheduler.is_empty()
    }

    /// Returns the status of an attempt.
    ///
    /// # Errors
    /// [`Refusal::NeverSeen`] or [`Refusal::Forgotten`].
    pub fn status(&mut self, now: Timestamp, attempt: &str) -> Result<RequestStatus, Refusal> {
        self.finished.drop_expired(now);
        let (state, generated) = match self.live_sequence(attempt) {
            Some(sequence) => (sequence.state, sequence.generated),
            None => {
                let finished = self.lookup(attempt)?;
                (finished.state, finished.usage.completion_tokens)
            }
        };
        Ok(RequestStatus {
            id: attempt.to_owned(),
            state,
            generated,
            incarnation: self.incarnation,
        })
    }

    /// Returns the answer of an attempt and its status, to resume a stream or to
    /// fetch the answer. The text is valid up to `status.generated` tokens.
    ///
    /// # Errors
    /// [`Refusal::NeverSeen`] or [`Refusal::Forgotten`].
    pub fn answer(&mut self, now: Timestamp, attempt: &str) -> Result<Answer, Refusal> {
        let status = self.status(now, attempt)?;
        let (text, max_tokens, usage) = match self.live_sequence(attempt) {
            Some(sequence) => (sequence.text, sequence.max_tokens(), sequence.usage()),
            None => {
                let finished = self.lookup(attempt)?;
                (finished.text, finished.max_tokens, finished.usage)
            }
        };
        Ok(Answer {
            text,
            status,
            max_tokens,
            usage,
        })
    }

    /// Returns the record of an ended attempt while it is retained.
    ///
    /// # Errors
    /// [`Refusal::NeverSeen`] or [`Refusal::Forgotten`].
    pub fn finished(&self, attempt: &str) -> Result<FinishedAttempt, Refusal> {
        self.lookup(attempt)
    }

    /// Reports each further token of an attempt, as if it had been submitted as
    /// streamed.
    pub fn announce_tokens(&mut self, attempt: &str) {
        if let Some(id) = self.live.get(attempt) {
            self.scheduler.set_stream(*id);
        }
    }

    /// Pauses an attempt.
    ///
    /// # Errors
    /// [`Refusal::NeverSeen`] or [`Refusal::Forgotten`].
    pub fn pause(&mut self, now: Timestamp, attempt: &str) -> Result<RequestStatus, Refusal> {
        self.observe_load(now);
        if let Some(id) = self.live.get(attempt) {
            self.scheduler.pause(*id);
        }
        self.status(now, attempt)
    }

    /// Resumes a paused attempt.
    ///
    /// # Errors
    /// [`Refusal::NeverSeen`] or [`Refusal::Forgotten`].
    pub fn resume(&mut self, now: Timestamp, attempt: &str) -> Result<RequestStatus, Refusal> {
        self.observe_load(now);
        if let Some(id) = self.live.get(attempt) {
            self.scheduler.resume(*id);
        }
        self.start_step(now);
        self.status(now, attempt)
    }

    /// Cancels an attempt: no further tokens are generated. An attempt that has
    /// already ended keeps its state.
    ///
    /// # Errors
    /// [`Refusal::NeverSeen`] or [`Refusal::Forgotten`].
    pub fn cancel(&mut self, now: Timestamp, attempt: &str) -> Result<RequestStatus, Refusal> {
        self.observe_load(now);
        if let Some(id) = self.live.remove(attempt)
            && let Some(sequence) = self.scheduler.remove(id)
        {
            self.finish_cancelled(now, sequence);
        }
        self.status(now, attempt)
    }

    /// Returns the load report, delayed as the engine model specifies.
    pub fn load_report(&mut self, now: Timestamp) -> LoadReport {
        self.observe_load(now);
        let (sample, age, sequence) = self.load.serve(now);
        let loaded = self.orders.loaded();
        let scale = self.faults.load_scale;
        let scaled = |count: u32| (f64::from(count) * scale) as u32;
        LoadReport {
            backend: self.settings.backend,
            incarnation: self.incarnation,
            sequence,
            age_ms: age.as_millis() as u32,
            online_running: scaled(sample.counts.online_running),
            online_waiting: scaled(sample.counts.online_waiting),
            batch_running: scaled(sample.counts.batch_running),
            batch_waiting: scaled(sample.counts.batch_waiting),
            max_running: self.settings.model.max_running,
            kv_used: (sample.kv_used * scale).min(1.0),
            step_micros: sample.step_micros,
            models: loaded.models.keys().cloned().collect(),
            adapters: loaded.adapters.iter().cloned().collect(),
            role: loaded.role,
            leaving: loaded.leaving,
        }
    }

    /// Returns the visible cache events after sequence number `after`.
    #[must_use]
    pub fn cache_events(&self, now: Timestamp, after: u64) -> CacheEventPage {
        CacheEventPage {
            incarnation: self.incarnation,
            events: self.cache_events.after(now, after),
        }
    }

    /// Accepts or rejects an order.
    pub fn order(&mut self, order: Order) -> OrderReply {
        let (reply, needed) = self.orders.handle(order);
        if let Some(weights) = needed {
            self.outputs.push(Output::FetchWeights(weights));
        }
        reply
    }

    /// Loads requested weights that were fetched.
    pub fn weights_arrived(&mut self, weights: &WeightsNeeded) {
        self.orders.weights_arrived(weights);
    }

    /// Whether weights are still required; otherwise a fetch may stop.
    #[must_use]
    pub fn wants_weights(&self, weights: &WeightsNeeded) -> bool {
        self.orders.wants(weights)
    }

    /// Replaces the active faults. An unfrozen engine continues with its
    /// sequences; the interrupted step is planned anew.
    pub fn set_faults(&mut self, now: Timestamp, faults: EngineFaults) {
        let unfrozen = self.faults.frozen && !faults.frozen;
        self.faults = faults;
        if unfrozen {
            self.step = None;
            self.start_step(now);
        }
    }

    /// Turns engine priority on or off.
    pub fn set_priority(&mut self, on: bool) {
        self.settings.model.priority = on;
        self.scheduler.set_priority(on);
    }

    /// Crashes and starts the next incarnation at `now`. Attempts, cache and
    /// orders are lost; the execution counts are kept for checkers.
    pub fn crash(&mut self, now: Timestamp) {
        let model = &self.settings.model;
        self.incarnation = self.incarnation.next();
        self.scheduler = Scheduler::new(model);
        self.live.clear();
        self.finished = finished_attempts(model);
        self.orders = OrderBook::new(self.incarnation, &self.settings.models);
        self.cache_events = cache_event_log(model);
        self.load = load_monitor(model, now);
        self.step = None;
        self.outputs.clear();
    }

    pub(super) fn observe_load(&mut self, now: Timestamp) {
        if self.load.is_due(now) {
            let memory = self.scheduler.memory();
            let observation = Observation {
                at: now,
                counts: self.scheduler.counts(),
                kv_used: f64::from(memory.held()) / f64::from(memory.capacity().max(1)),
                step_micros: self.step_micros,
            };
            self.load.record(now, observation);
        }
    }

    pub(super) fn record_cache(&mut self, now: Timestamp, kind: CacheEventKind, hash: u64) {
        self.cache_events.record(now, kind, hash, &mut self.random);
    }

    pub(super) fn record_evictions(&mut self, now: Timestamp) {
        for hash in self.scheduler.memory_mut().take_evicted() {
            self.record_cache(now, CacheEventKind::Evicted, hash);
        }
    }

    fn live_sequence(&self, attempt: &str) -> Option<&Sequence> {
        let id = self.live.get(attempt)?;
        self.scheduler.sequence(*id)
    }

    fn lookup(&self, attempt: &str) -> Result<FinishedAttempt, Refusal> {
        match self.finished.lookup(attempt) {
            AttemptLookup::Finished(finished) => Ok(finished),
            AttemptLookup::Forgotten => Err(Refusal::Forgotten),
            AttemptLookup::NeverSeen => Err(Refusal::NeverSeen),
        }
    }

    fn finish_cancelled(&mut self, now: Timestamp, sequence: Sequence) {
        let outcome = match sequence.started {
            true => RunOutcome::Unknown,
            false => RunOutcome::NotRun,
        };
        let finished = FinishedAttempt {
            state: RequestState::Cancelled,
            text: sequence.text,
            max_tokens: sequence.max_tokens(),
            usage: sequence.usage(),
        };
        self.finished
            .insert(now, sequence.attempt.clone(), finished);
        self.outputs.push(Output::Cancelled {
            attempt: sequence.attempt,
            outcome,
        });
    }
}

fn finished_attempts(model: &EngineModel) -> FinishedAttempts {
    let retention = Duration::from_micros(model.retention_micros);
    FinishedAttempts::new(retention, model.retention_attempts)
}

fn cache_event_log(model: &EngineModel) -> CacheEventLog {
    let delay = Duration::from_micros(model.cache_event_delay_micros);
    CacheEventLog::new(delay, model.cache_event_loss)
}

fn load_monitor(model: &EngineModel, now: Timestamp) -> LoadMonitor {
    let interval = Duration::from_micros(model.load_interval_micros);
    let delay = Duration::from_micros(model.load_delay_micros);
    LoadMonitor::new(interval, delay, now)
}
