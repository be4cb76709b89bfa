//! The batch owner: takes inputs and hands them to the part concerned.

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

/// Time for which nothing is started on an engine that failed a stream.
const HOLD_AFTER_FAILURE: Duration = Duration::from_millis(100);

/// Bounds of batch work.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchSettings {
    /// Number of job groups, which are numbered from 1.
    pub job_groups: u32,
    /// Length of an item lease, as the leader counts it.
    pub lease: Duration,
    /// Time between renewals.
    pub renew_interval: Duration,
    /// When results are sent.
    pub journal: JournalSettings,
    /// Batch streams on an engine before anything is learnt.
    pub initial_streams: u32,
    /// Most batch streams on an engine.
    pub most_streams: u32,
    /// Runs of an item here before it is given back.
    pub most_runs: u32,
    /// First wait after every group had nothing for a service.
    pub shortest_poll: Duration,
    /// Longest such wait; it doubles in between.
    pub longest_poll: Duration,
    /// Time without room after which items that were not started go back.
    pub return_after: Duration,
    /// Share of KV memory in use from which held-back streams are cancelled.
    pub kv_pressure: f64,
    /// Wait before a request that failed is sent again.
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
            most_streams: 256,
            most_runs: 3,
            shortest_poll: Duration::from_millis(20),
            longest_poll: Duration::from_millis(250),
            return_after: Duration::from_secs(1),
            kv_pressure: 0.9,
            resend_after: Duration::from_millis(100),
        }
    }
}

/// The batch work of one gateway.
#[derive(Clone, Debug)]
pub struct BatchOwner {
    pub(super) settings: BatchSettings,
    pub(super) policy: BatchPolicy,
    pub(super) engines: BTreeMap<BackendId, Engine>,
    pub(super) leases: BTreeMap<LeaseKey, ItemLease>,
    pub(super) streams: BTreeMap<StreamId, Stream>,
    pub(super) requests: BTreeMap<RequestNumber, Request>,
    pub(super) resends: BTreeMap<RequestNumber, Timestamp>,
    pub(super) polls: BTreeMap<ServiceName, ServicePoll>,
    pub(super) renewed: BTreeMap<GroupId, Timestamp>,
    pub(super) draining: bool,
    pub(super) drained: bool,
    last_request: u64,
    last_stream: u64,
}

impl BatchOwner {
    /// Owns nothing. `tail_protection` is the policy knob, 0 to 100.
    #[must_use]
    pub fn new(settings: BatchSettings, tail_protection: u8) -> Self {
        Self {
            settings,
            policy: BatchPolicy::from_knob(tail_protection),
            engines: BTreeMap::new(),
            leases: BTreeMap::new(),
            streams: BTreeMap::new(),
            requests: BTreeMap::new(),
            resends: BTreeMap::new(),
            polls: BTreeMap::new(),
            renewed: BTreeMap::new(),
            draining: false,
            drained: false,
            last_request: 0,
            last_stream: 0,
        }
    }

    /// Takes one input and says what to do, in order. Every request among the
    /// outputs must be answered by a [`BatchInput::Reply`], with
    /// [`super::GroupReply::Failed`] after a timeout.
    pub fn handle(&mut self, now: Timestamp, input: BatchInput) -> Vec<BatchOutput> {
        let mut outputs = Vec::new();
        // By far the most frequent input, and the one that changes the least.
        if let BatchInput::Progress { stream, tokens } = input
            && !self.progressed(stream, tokens)
        {
            return outputs;
        }
        self.take(now, input, &mut outputs);
        self.expire_leases(now, &mut outputs);
        self.send_results(now, &mut outputs);
        self.return_unused(now, &mut outputs);
        self.send_requests(now, &mut outputs);
        self.drop_finished(&mut outputs);
        outputs
    }

    fn take(&mut self, now: Timestamp, input: BatchInput, outputs: &mut Vec<BatchOutput>) {
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
                self.relieve_memory(now, sample.backend, outputs);
                self.balance(now, sample.backend, outputs);
            }
            BatchInput::OnlineStarted { backend } => {
                self.online(backend, |engine| engine.online.started(now));
                self.yield_on_arrival(now, backend, outputs);
            }
            BatchInput::OnlineFirstToken { backend, after } => {
                self.online(backend, |engine| engine.online.first_token(after));
                self.balance(now, backend, outputs);
            }
            BatchInput::OnlineFinished { backend } => {
                self.online(backend, |engine| engine.online.finished(now));
                self.balance(now, backend, outputs);
            }
            BatchInput::Foreign(foreign) => {
                let backend = foreign.backend;
                self.online(backend, |engine| engine.online.noticed(now, foreign));
                if foreign.prompt_tokens > 0 {
                    self.yield_on_arrival(now, backend, outputs);
                } else {
                    self.balance(now, backend, outputs);
                }
            }
            BatchInput::Reply { request, reply } => self.replied(now, request, reply, outputs),
            BatchInput::Progress { stream, .. } => {
                // Its prompt is done, so the next may be started.
                if let Some(backend) = self.streams.get(&stream).map(|stream| stream.backend) {
                    self.balance(now, backend, outputs);
                }
            }
            BatchInput::Ended { stream, end } => self.ended(now, stream, end, outputs),
            BatchInput::WorkAvailable(service) => self.work_available(now, &service),
            BatchInput::Policy { tail_protection } => {
                self.policy = BatchPolicy::from_knob(tail_protection);
                self.balance_all(now, outputs);
            }
            BatchInput::Drain => self.drain(now, outputs),
            BatchInput::Tick => {
                self.resend(now, outputs);
                self.balance_all(now, outputs);
            }
        }
    }

    fn online(&mut self, backend: BackendId, change: impl FnOnce(&mut Engine)) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            change(engine);
        }
    }

    /// Makes batch streams yield before the online request is even sent.
    fn yield_on_arrival(
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
        let (initial, most) = (self.settings.initial_streams, self.settings.most_streams);
        let backend = owned.backend;
        match self.engines.get_mut(&backend) {
            Some(engine) if engine.owned == owned => {
                engine.open = true;
                engine.released = false;
            }
            Some(engine) => engine.restart(owned, initial),
            None => {
                self.engines
                    .insert(backend, Engine::new(owned, initial, most));
            }
        }
        self.balance(now, backend, outputs);
    }

    /// Starts nothing new on an engine and returns what waits for it. When the
    /// ownership ended too, streams that may run again are stopped.
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

    /// Notes the tokens of a stream; returns whether they are its first.
    fn progressed(&mut self, id: StreamId, tokens: u32) -> bool {
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

    fn ended(
        &mut self,
        now: Timestamp,
        id: StreamId,
        end: ItemEnd,
        outputs: &mut Vec<BatchOutput>,
    ) {
        // A stream that was cancelled here is gone; its late end changes nothing.
        let Some(stream) = self.forget_stream(id) else {
            return;
        };
        let backend = stream.backend;
        match end {
            ItemEnd::Completed(payload) => {
                self.journal(now, &stream, ItemOutcome::Completed, payload.into());
            }
            ItemEnd::Refused(payload) => {
                self.journal(now, &stream, ItemOutcome::Failed, payload.into());
            }
            ItemEnd::Unknown if !stream.repeatable => {
                self.journal(now, &stream, ItemOutcome::Unknown, Vec::new());
            }
            ItemEnd::NotRun | ItemEnd::Unknown => {
                if let Some(engine) = self.engines.get_mut(&backend) {
                    engine.hold_until = now + HOLD_AFTER_FAILURE;
                }
                self.run_again(now, stream, outputs);
            }
        }
        self.balance(now, backend, outputs);
    }

    /// Puts an item back in line, or gives it back when it ran often enough
    /// here or its engine takes nothing new.
    fn run_again(&mut self, now: Timestamp, stream: Stream, outputs: &mut Vec<BatchOutput>) {
        let open = self
            .engines
            .get(&stream.backend)
            .is_some_and(|engine| engine.open);
        let spent = stream.runs >= self.settings.most_runs;
        let key = stream.lease;
        self.requeue(stream);
        if spent || !open || self.draining {
            self.return_pending(now, key, outputs);
        }
    }

    /// Puts the item of a stopped stream at the head of its lease.
    pub(super) fn requeue(&mut self, stream: Stream) {
        if let Some(lease) = self.leases.get_mut(&stream.lease) {
            lease.pending.push_front(PendingItem::of(stream));
        }
    }

    pub(super) fn journal(
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

    pub(super) fn forget_stream(&mut self, id: StreamId) -> Option<Stream> {
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

    /// Batch streams on an engine: running, and held back.
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

    /// Leases held.
    #[must_use]
    pub fn leases_held(&self) -> usize {
        self.leases.len()
    }
}
