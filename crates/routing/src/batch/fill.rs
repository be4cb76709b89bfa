//! Starting, resuming and preempting the batch streams of an engine.

use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Timestamp};

use super::engine::Allowance;
use super::lease::LeaseKey;
use super::message::{BatchDecision, BatchOutput, Preemption, StreamId};
use super::owner::BatchOwner;
use super::stream::{Stream, StreamState};

/// Free capacity of an engine: how many more streams may run, and how many of
/// these may be in prefill.
#[derive(Clone, Copy, Debug)]
struct Capacity {
    streams: u32,
    prefills: u32,
}

impl Capacity {
    /// Reserves capacity for a stream; returns false if there is none. A stream
    /// without tokens also needs a prefill slot.
    fn reserve(&mut self, has_tokens: bool) -> bool {
        let free = self.streams > 0 && (has_tokens || self.prefills > 0);
        if free {
            self.streams -= 1;
            self.prefills -= u32::from(!has_tokens);
        }
        free
    }
}

impl BatchOwner {
    pub(super) fn balance_all(&mut self, now: Timestamp, outputs: &mut Vec<BatchOutput>) {
        let backends: Vec<BackendId> = self.engines.keys().copied().collect();
        for backend in backends {
            self.balance(now, backend, outputs);
        }
    }

    /// Adjusts the running streams of an engine to the number allowed now.
    pub(super) fn balance(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let Some(engine) = self.engines.get_mut(&backend) else {
            return;
        };
        let allowance = engine.allowance(now, &self.policy);
        if allowance == Allowance::UpTo(0) {
            engine.no_capacity_since.get_or_insert(now);
        } else {
            engine.no_capacity_since = None;
        }
        let Allowance::UpTo(allowed) = allowance else {
            return;
        };
        let running = self.running(backend);
        if running.len() as u32 > allowed {
            self.preempt(backend, allowed, running, outputs);
        } else {
            self.fill(now, backend, allowed, running, outputs);
        }
    }

    /// Returns the running streams of an engine, least progress first.
    fn running(&self, backend: BackendId) -> Vec<StreamId> {
        self.by_progress(backend, Stream::is_running)
    }

    fn by_progress(&self, backend: BackendId, wanted: impl Fn(&Stream) -> bool) -> Vec<StreamId> {
        let Some(engine) = self.engines.get(&backend) else {
            return Vec::new();
        };
        let streams = engine.streams.iter();
        let mut found: Vec<(u32, StreamId)> = streams
            .filter_map(|id| Some((*id, self.streams.get(id)?)))
            .filter(|(_, stream)| wanted(stream))
            .map(|(id, stream)| (stream.tokens, id))
            .collect();
        found.sort_unstable();
        found.into_iter().map(|(_, id)| id).collect()
    }

    /// Pauses all but `allowed` streams. The streams with the most progress keep
    /// running, since they finish and free their KV memory first.
    fn preempt(
        &mut self,
        backend: BackendId,
        allowed: u32,
        running: Vec<StreamId>,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let excess = running.len() - allowed as usize;
        for id in &running[..excess] {
            if let Some(stream) = self.streams.get_mut(id) {
                stream.state = StreamState::Paused;
                outputs.push(BatchOutput::Pause(*id));
            }
        }
        self.emit_preempted(backend, allowed, excess as u32, 0, outputs);
    }

    fn emit_preempted(
        &self,
        backend: BackendId,
        allowed: u32,
        paused: u32,
        cancelled: u32,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let engine = self.engines.get(&backend);
        let preemption = Preemption {
            backend,
            online: engine.map_or(0, |engine| engine.online.total()),
            allowed,
            paused,
            cancelled,
        };
        outputs.push(BatchOutput::Decision(BatchDecision::Preempted(preemption)));
    }

    /// Cancels the paused stream with the least progress when the engine runs out
    /// of KV memory while it has online requests. Only one stream is cancelled per
    /// load report, so that its effect shows before the next.
    pub(super) fn relieve_kv_pressure(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let Some(engine) = self.engines.get(&backend) else {
            return;
        };
        let short = engine.kv_used >= self.settings.kv_pressure_threshold;
        if !short || engine.online.total() == 0 {
            return;
        }
        let paused_streams = self.by_progress(backend, |stream| {
            stream.repeatable && stream.state == StreamState::Paused
        });
        let Some(id) = paused_streams.first() else {
            return;
        };
        if let Some(stream) = self.remove_stream(*id) {
            outputs.push(BatchOutput::Cancel(*id));
            self.requeue_preempted(now, stream);
            self.emit_preempted(backend, 0, 0, 1, outputs);
        }
    }

    /// Requeues the item of a stream that the owner itself cancelled, without
    /// counting this run against the limit on runs.
    fn requeue_preempted(&mut self, _now: Timestamp, mut stream: Stream) {
        stream.runs = stream.runs.saturating_sub(1);
        self.requeue(stream);
    }

    /// Resumes paused streams, most progress first, then starts new ones. The
    /// number of streams in prefill at the same time is capped.
    fn fill(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        allowed: u32,
        running: Vec<StreamId>,
        outputs: &mut Vec<BatchOutput>,
    ) {
        let Some(engine) = self.engines.get(&backend) else {
            return;
        };
        let online = engine.online.total();
        let max_prefills = engine.max_prefills(now, &self.policy);
        let prefills = self.by_progress(backend, |stream| stream.state == StreamState::Prefill);
        let mut capacity = Capacity {
            streams: allowed - running.len() as u32,
            prefills: max_prefills.saturating_sub(prefills.len() as u32),
        };
        let resumed = self.resume_paused(backend, &mut capacity, outputs);
        let started = self.start(now, backend, capacity, outputs);
        if resumed + started == 0 {
            return;
        }
        outputs.push(BatchOutput::Decision(BatchDecision::Filled {
            backend,
            online,
            allowed,
            resumed,
            started,
        }));
    }

    fn resume_paused(
        &mut self,
        backend: BackendId,
        capacity: &mut Capacity,
        outputs: &mut Vec<BatchOutput>,
    ) -> u32 {
        let paused_streams =
            self.by_progress(backend, |stream| stream.state == StreamState::Paused);
        let mut resumed = 0;
        for id in paused_streams.into_iter().rev() {
            let has_tokens = self
                .streams
                .get(&id)
                .is_some_and(|stream| stream.tokens > 0);
            if !capacity.reserve(has_tokens) {
                break;
            }
            self.resume(id, outputs);
            resumed += 1;
        }
        resumed
    }

    fn resume(&mut self, id: StreamId, outputs: &mut Vec<BatchOutput>) {
        if let Some(stream) = self.streams.get_mut(&id) {
            stream.state = if stream.tokens == 0 {
                StreamState::Prefill
            } else {
                StreamState::Decoding
            };
            outputs.push(BatchOutput::Resume(id));
        }
    }

    /// Starts as many streams as the capacity allows and returns their number.
    fn start(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        capacity: Capacity,
        outputs: &mut Vec<BatchOutput>,
    ) -> u32 {
        let Some(engine) = self.engines.get(&backend) else {
            return 0;
        };
        if !engine.open || self.draining || engine.backoff_until > now {
            return 0;
        }
        let max_started = capacity.streams.min(capacity.prefills);
        let mut started = 0;
        for key in self.leases_of(backend) {
            while started < max_started && self.start_one(now, backend, key, outputs) {
                started += 1;
            }
        }
        started
    }

    fn start_one(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        key: LeaseKey,
        outputs: &mut Vec<BatchOutput>,
    ) -> bool {
        let id = self.next_stream();
        let Some(lease) = self.leases.get_mut(&key) else {
            return false;
        };
        let Some(engine) = self.engines.get_mut(&backend) else {
            return false;
        };
        // After the process was suspended, an input may be handled before the
        // tick that expires the lease.
        let expired = lease.valid_until <= now && enabled(Mechanism::OwnerStopsAtExpiry);
        if lease.revoked || expired {
            return false;
        }
        let Some(pending) = lease.pending.pop_front() else {
            return false;
        };
        lease.streams.insert(id);
        engine.streams.insert(id);
        outputs.push(BatchOutput::Dispatch {
            stream: id,
            backend,
            incarnation: engine.owned.incarnation,
            service: engine.owned.service.clone(),
            job: lease.job,
            item: pending.leased.item,
            repeatable: lease.repeatable,
            input: pending.leased.input.clone(),
        });
        let stream = Stream {
            lease: key,
            item: pending.leased.item,
            input: pending.leased.input,
            backend,
            repeatable: lease.repeatable,
            state: StreamState::Prefill,
            tokens: 0,
            runs: pending.runs + 1,
        };
        self.streams.insert(id, stream);
        true
    }
}
