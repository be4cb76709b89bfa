//! The batch owner: its state, its settings and the dispatch of inputs.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_state::job::{ItemOutcome, ItemResult};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, GroupId, ServiceName, Timestamp};

use super::asking::{Request, ServicePoll};
use super::engine::Engine;
use super::journal::JournalSettings;
use super::lease::{ItemLease, LeaseKey, PendingItem};
use super::message::{BatchInput, BatchOutput, ItemEnd, OwnedEngine, RequestNumber, StreamId};
use super::policy::BatchPolicy;
use super::stream::{Stream, StreamState};

/// Backoff before the next stream is started on an engine that failed one.
const FAILURE_BACKOFF: Duration = Duration::from_millis(100);

/// Settings of the batch owner.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSettings {
    /// Number of job groups; their ids start at 1.
    pub job_groups: u32,
    /// Full duration of an item lease, as counted by the leader.
    pub lease: Duration,
    /// Interval between lease renewals.
    pub renew_interval: Duration,
    /// When buffered results are sent.
    pub journal: JournalSettings,
    /// Initial batch stream limit of an engine.
    pub initial_streams: u32,
    /// Maximum batch streams on an engine.
    pub max_streams: u32,
    /// Maximum runs of an item by this owner before it is returned.
    pub max_runs: u32,
    /// First backoff after every group had no items for a service.
    pub min_poll_backoff: Duration,
    /// Maximum polling backoff; it doubles after each round without items.
    pub max_poll_backoff: Duration,
    /// Time without capacity after which pending items are returned.
    pub return_pending_after: Duration,
    /// Share of KV memory in use at which paused streams are cancelled.
    pub kv_pressure_threshold: f64,
    /// Delay before a failed request is resent.
    pub resend_after: Duration,
}

impl Default for BatchSettings {
    fn default() -> Self {
        Self {
            job_groups: 1,
            lease: Duration::from_secs(10),
            renew_interval: Duration::from_secs(2),
            journal: JournalSettings::default(),
            initial_streams: 8,
            max_streams: 256,
            max_runs: 3,
            min_poll_backoff: Duration::from_millis(20),
            max_poll_backoff: Duration::from_millis(250),
            return_pending_after: Duration::from_secs(1),
            kv_pressure_threshold: 0.9,
            resend_after: Duration::from_millis(100),
        }
    }
}

/// Schedules the batch work of one gateway.
#[derive(Clone, Debug)]
pub struct BatchOwner {
    pub(super) settings: BatchSettings,
    pub(super) policy: BatchPolicy,
    pub(super) engines: BTreeMap<BackendId, Engine>,
    pub(super) leases: BTreeMap<LeaseKey, ItemLease>,
    pub(super) streams: BTreeMap<StreamId, Stream>,
    pub(super) requests: BTreeMap<RequestNumber, Request>,
    pub(super) resend_at: BTreeMap<RequestNumber, Timestamp>,
    pub(super) polls: BTreeMap<ServiceName, ServicePoll>,
    pub(super) last_renewals: BTreeMap<GroupId, Timestamp>,
    pub(super) draining: bool,
    pub(super) drained: bool,
    last_request: u64,
    last_stream: u64,
}

impl BatchOwner {
    /// Creates an owner without engines. `tail_protection` ranges from 0 to 100; see
    /// [`BatchPolicy::from_tail_protection`].
    #[must_use]
    pub fn new(settings: BatchSettings, tail_protection: u8) -> Self {
        Self {
            settings,
            policy: BatchPolicy::from_tail_protection(tail_protection),
            engines: BTreeMap::new(),
            leases: BTreeMap::new(),
            streams: BTreeMap::new(),
            requests: BTreeMap::new(),
            resend_at: BTreeMap::new(),
            polls: BTreeMap::new(),
            last_renewals: BTreeMap::new(),
            draining: false,
            drained: false,
            last_request: 0,
            last_stream: 0,
        }
    }

    /// Handles one input and returns the outputs to carry out, in order. Every
    /// request among them must be answered by a [`BatchInput::Reply`], with
    /// [`super::GroupReply::Failed`] after a timeout.
    pub fn handle(&mut self, now: Timestamp, input: BatchInput) -> Vec<BatchOutput> {
        let mut outputs = Vec::new();
        // Progress is by far the most frequent input and mostly changes nothing
        // else, so the steps below are skipped.
        if let BatchInput::Progress { stream, tokens } = input
            && !self.record_progress(stream, tokens)
        {
            return outputs;
        }
        self.apply_input(now, input, &mut outputs);
        self.expire_leases(now, &mut outputs);
        self.send_results(now, &mut outputs);
        self.return_blocked(now, &mut outputs);
        self.send_requests(now, &mut outputs);
        self.remove_finished(&mut outputs);
        outputs
    }

    fn apply_input(&mut self, now: Timestamp, input: BatchInput, outputs: &mut Vec<BatchOutput>) {
        match input {
            BatchInput::Acquired(owned) => self.acquire(now, owned, outputs),
            BatchInput::Closed(backend) => self.close(now, backend, false, outputs),
            BatchInput::Released(backend) => self.close(now, backend, true, outputs),
            BatchInput::Load(sample) => {
                let policy = &self.policy;
                let Some(engine) = self.engines.get_mut(&sample.backend) else {
                    return;
                };
                let decision = engine.observe(now, &sample, policy);
                outputs.extend(decision.map(BatchOutput::Decision));
                self.relieve_kv_pressure(now, sample.backend, outputs);
                self.balance(now, sample.backend, outputs);
            }
            BatchInput::OnlineStarted { backend } => {
                self.update_engine(backend, |engine| engine.online.request_started(now));
                self.preempt_on_arrival(now, backend, outputs);
            }
            BatchInput::OnlineFirstToken { backend, after } => {
                self.update_engine(backend, |engine| engine.online.first_token_received(after));
                self.balance(now, backend, outputs);
            }
            BatchInput::OnlineFinished { backend } => {
                self.update_engine(backend, |engine| engine.online.request_finished(now));
                self.balance(now, backend, outputs);
            }
            BatchInput::OnlineNotice(notice) => {
                let backend = notice.backend;
                self.update_engine(backend, |engine| engine.online.apply_notice(now, notice));
                if notice.prompt_tokens > 0 {
                    self.preempt_on_arrival(now, backend, outputs);
                } else {
                    self.balance(now, backend, outputs);
                }
            }
            BatchInput::Reply { request, reply } => self.handle_reply(now, request, reply, outputs),
            BatchInput::Progress { stream, .. } => {
                // The prefill is complete, so another one may start.
                if let Some(backend) = self.streams.get(&stream).map(|stream| stream.backend) {
                    self.balance(now, backend, outputs);
                }
            }
            BatchInput::Ended { stream, end } => self.stream_ended(now, stream, end, outputs),
            BatchInput::WorkAvailable(service) => self.work_available(now, &service),
            BatchInput::Policy { tail_protection } => {
                self.policy = BatchPolicy::from_tail_protection(tail_protection);
                self.balance_all(now, outputs);
            }
            BatchInput::Drain => self.drain(now, outputs),
            BatchInput::Tick => {
                self.resend(now, outputs);
                self.balance_all(now, outputs);
            }
        }
    }

    fn update_engine(&mut self, backend: BackendId, change: impl FnOnce(&mut Engine)) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            change(engine);
        }
    }

    /// Preempts batch streams before the online request is sent.
    fn preempt_on_arrival(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        outputs: &mut Vec<BatchOutput>,
    ) {
        if enabled(Mechanism::PreemptOnArrival) {
            self.balance(now, backend, outputs);
        }
    }

    fn acquire(&mut self, now: Timestamp, owned: OwnedEngine, outputs: &mut Vec<BatchOutput>) {
        let (initial, max_streams) = (self.settings.initial_streams, self.settings.max_streams);
        let backend = owned.backend;
        match self.engines.get_mut(&backend) {
            Some(engine) if engine.owned == owned => {
                engine.open = true;
                engine.released = false;
            }
            Some(engine) => engine.restart(owned, initial),
            None => {
                self.engines
                    .insert(backend, Engine::new(owned, initial, max_streams));
            }
        }
        self.balance(now, backend, outputs);
    }

    /// Closes an engine to new streams and returns its pending items. If the
    /// ownership ended as well, streams of repeatable items are stopped.
    fn close(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        released: bool,
        outputs: &mut Vec<BatchOutput>,
    ) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            engine.open = false;
            engine.released |= released;
        }
        for key in self.leases_of(backend) {
            if released {
                self.stop_repeatable(now, key, outputs);
            }
            self.return_pending(now, key, outputs);
        }
    }

    fn drain(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        self.draining = true;
        let backends: Vec<BackendId> = self.engines.keys().copied().collect();
        for backend in backends {
            self.close(now, backend, true, outputs);
        }
    }

    /// Records the token count of a stream; returns whether these are its first
    /// tokens.
    fn record_progress(&mut self, id: StreamId, tokens: u32) -> bool {
        let Some(stream) = self.streams.get_mut(&id) else {
            return false;
        };
        stream.tokens = stream.tokens.max(tokens);
        let first = stream.state == StreamState::Prefill && tokens > 0;
        if first {
            stream.state = StreamState::Decoding;
        }
        first
    }

    fn stream_ended(
        &mut self,
        now: Timestamp,
        id: StreamId,
        end: ItemEnd,
        outputs: &mut Vec<BatchOutput>,
    ) {
        // The late end of a cancelled stream is ignored.
        let Some(stream) = self.remove_stream(id) else {
            return;
        };
        let backend = stream.backend;
        match end {
            ItemEnd::Completed(payload) => {
                self.journal_result(now, &stream, ItemOutcome::Completed, payload.into());
            }
            ItemEnd::Refused(payload) => {
                self.journal_result(now, &stream, ItemOutcome::Failed, payload.into());
            }
            ItemEnd::Unknown if !stream.repeatable => {
                self.journal_result(now, &stream, ItemOutcome::Unknown, Vec::new());
            }
            ItemEnd::NotRun | ItemEnd::Unknown => {
                if let Some(engine) = self.engines.get_mut(&backend) {
                    engine.backoff_until = now + FAILURE_BACKOFF;
                }
                self.retry_item(now, stream, outputs);
            }
        }
        self.balance(now, backend, outputs);
    }

    /// Requeues an item. If it has reached the maximum number of runs, its engine
    /// is closed or the owner is draining, returns the lease's pending items.
    fn retry_item(&mut self, now: Timestamp, stream: Stream, outputs: &mut Vec<BatchOutput>) {
        let open = self
            .engines
            .get(&stream.backend)
            .is_some_and(|engine| engine.open);
        let out_of_runs = stream.runs >= self.settings.max_runs;
        let key = stream.lease;
        self.requeue(stream);
        if out_of_runs || !open || self.draining {
            self.return_pending(now, key, outputs);
        }
    }

    /// Puts the item of a stopped stream at the front of its lease's queue.
    pub(super) fn requeue(&mut self, stream: Stream) {
        if let Some(lease) = self.leases.get_mut(&stream.lease) {
            lease.pending.push_front(PendingItem::from_stream(stream));
        }
    }

    pub(super) fn journal_result(
        &mut self,
        now: Timestamp,
        stream: &Stream,
        outcome: ItemOutcome,
        payload: Vec<u8>,
    ) {
        if let Some(lease) = self.leases.get_mut(&stream.lease) {
            let result = ItemResult {
                item: stream.item,
                outcome,
                payload: payload.into(),
            };
            lease.journal.push(now, result);
        }
    }

    pub(super) fn remove_stream(&mut self, id: StreamId) -> Option<Stream> {
        let stream = self.streams.remove(&id)?;
        if let Some(engine) = self.engines.get_mut(&stream.backend) {
            engine.streams.remove(&id);
        }
        if let Some(lease) = self.leases.get_mut(&stream.lease) {
            lease.streams.remove(&id);
        }
        Some(stream)
    }

    pub(super) fn leases_of(&self, backend: BackendId) -> Vec<LeaseKey> {
        self.leases
            .iter()
            .filter(|(_, lease)| lease.backend == backend)
            .map(|(key, _)| *key)
            .collect()
    }

    pub(super) fn next_request(&mut self) -> RequestNumber {
        self.last_request += 1;
        RequestNumber(self.last_request)
    }

    pub(super) fn next_stream(&mut self) -> StreamId {
        self.last_stream += 1;
        StreamId(self.last_stream)
    }

    /// Returns the numbers of running and of paused batch streams on an engine.
    #[must_use]
    pub fn streams_on(&self, backend: BackendId) -> (u32, u32) {
        let Some(engine) = self.engines.get(&backend) else {
            return (0, 0);
        };
        let running = engine.streams.iter().filter(|id| {
            let stream = self.streams.get(id);
            stream.is_some_and(Stream::is_running)
        });
        let running = running.count();
        (running as u32, (engine.streams.len() - running) as u32)
    }

    /// Returns the number of leases held.
    #[must_use]
    pub fn leases_held(&self) -> usize {
        self.leases.len()
    }
}
