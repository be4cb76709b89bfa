//! Scheduling of sequences: admission, preemption and planning of steps.

use std::collections::{HashMap, VecDeque};

use molespan_engine_api::RequestState;
use molespan_types::Priority;

use super::sequence::{Sequence, SequenceId};
use super::{EngineModel, KvMemory};

/// Work of one step.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepPlan {
    /// Number of tokens to prefill per sequence.
    pub prefill: Vec<(SequenceId, u32)>,
    /// Sequences that generate one token.
    pub decode: Vec<SequenceId>,
}

impl StepPlan {
    /// Returns the total number of prefill tokens.
    #[must_use]
    pub fn prefill_tokens(&self) -> u32 {
        self.prefill.iter().map(|(_, tokens)| tokens).sum()
    }

    /// Whether there is nothing to do.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.prefill.is_empty() && self.decode.is_empty()
    }
}

/// Number of sequences by class and state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Running online sequences.
    pub online_running: u32,
    /// Waiting or paused online sequences.
    pub online_waiting: u32,
    /// Running batch sequences.
    pub batch_running: u32,
    /// Waiting or paused batch sequences.
    pub batch_waiting: u32,
}

/// Scheduler of all live sequences, with the KV memory.
#[derive(Clone, Debug)]
pub struct Scheduler {
    max_running: usize,
    chunk_tokens: u32,
    priority: bool,
    memory: KvMemory,
    sequences: HashMap<SequenceId, Sequence>,
    next_id: SequenceId,
    waiting_online: VecDeque<SequenceId>,
    waiting_batch: VecDeque<SequenceId>,
    running: Vec<SequenceId>,
    paused: Vec<SequenceId>,
}

impl Scheduler {
    /// Creates a scheduler without sequences.
    #[must_use]
    pub fn new(model: &EngineModel) -> Self {
        Self {
            max_running: model.max_running.max(1) as usize,
            chunk_tokens: model.prefill_chunk_tokens.max(1),
            priority: model.priority,
            memory: KvMemory::new(model.kv_blocks),
            sequences: HashMap::new(),
            next_id: 0,
            waiting_online: VecDeque::new(),
            waiting_batch: VecDeque::new(),
            running: Vec::new(),
            paused: Vec::new(),
        }
    }

    /// Returns the KV memory.
    #[must_use]
    pub fn memory(&self) -> &KvMemory {
        &self.memory
    }

    /// Returns the KV memory for modification.
    pub fn memory_mut(&mut self) -> &mut KvMemory {
        &mut self.memory
    }

    /// Turns engine priority on or off.
    pub fn set_priority(&mut self, on: bool) {
        self.priority = on;
    }

    /// Returns a sequence, unless it ended.
    #[must_use]
    pub fn sequence(&self, id: SequenceId) -> Option<&Sequence> {
        self.sequences.get(&id)
    }

    /// Enables the reporting of each further token of a sequence.
    pub fn set_stream(&mut self, id: SequenceId) {
        if let Some(sequence) = self.sequences.get_mut(&id) {
            sequence.stream = true;
        }
    }

    /// Returns the number of waiting sequences, without paused ones.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.waiting_online.len() + self.waiting_batch.len()
    }

    /// Whether every sequence has ended.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sequences.is_empty()
    }

    /// Returns the number of sequences by class and state.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts {
            online_waiting: self.waiting_online.len() as u32,
            batch_waiting: self.waiting_batch.len() as u32,
            ..Counts::default()
        };
        for id in &self.running {
            match self.sequences[id].priority {
                Priority::Online => counts.online_running += 1,
                Priority::Batch => counts.batch_running += 1,
            }
        }
        for id in &self.paused {
            match self.sequences[id].priority {
                Priority::Online => counts.online_waiting += 1,
                Priority::Batch => counts.batch_waiting += 1,
            }
        }
        counts
    }

    /// Appends a sequence to the waiting queue of its class.
    pub fn add(&mut self, sequence: Sequence) -> SequenceId {
        let id = self.next_id;
        self.next_id += 1;
        self.queue(sequence.priority).push_back(id);
        self.sequences.insert(id, sequence);
        id
    }

    /// Removes a sequence and frees its memory.
    pub fn remove(&mut self, id: SequenceId) -> Option<Sequence> {
        self.detach(id);
        let mut sequence = self.sequences.remove(&id)?;
        sequence.release(&mut self.memory);
        Some(sequence)
    }

    /// Pauses a sequence. It keeps its memory until other sequences need it.
    pub fn pause(&mut self, id: SequenceId) {
        if !self.sequences.contains_key(&id) {
            return;
        }
        self.detach(id);
        self.paused.push(id);
        self.set_state(id, RequestState::Paused);
    }

    /// Resumes a paused sequence: it moves to the front of the waiting queue of
    /// its class.
    pub fn resume(&mut self, id: SequenceId) {
        let Some(position) = self.paused.iter().position(|paused| *paused == id) else {
            return;
        };
        self.paused.remove(position);
        self.requeue(id);
    }

    /// Admits the sequences that fit and plans the next step. Also returns the
    /// sequences that entered the running batch for the first time.
    pub fn plan(&mut self) -> (StepPlan, Vec<SequenceId>) {
        let started = self.admit();
        let mut plan = StepPlan::default();
        let mut budget = self.chunk_tokens;
        for id in self.service_order() {
            let left = self.sequences[&id].prefill_left();
            if left <= 1 && self.sequences[&id].generated > 0 {
                plan.decode.push(id);
            } else if budget > 0 {
                let tokens = left.min(budget);
                budget -= tokens;
                plan.prefill.push((id, tokens));
            }
        }
        (plan, started)
    }

    /// Counts tokens as processed. Returns the newly cached blocks and whether
    /// the sequence now generates a token.
    pub fn finish_prefill(&mut self, id: SequenceId, tokens: u32) -> (Vec<u64>, bool) {
        match self.running_sequence(id) {
            Some((sequence, memory)) => {
                sequence.advance_prefill(tokens);
                if sequence.prefill_left() > 0 {
                    return (Vec::new(), false);
                }
                (sequence.publish_prompt(memory), true)
            }
            None => (Vec::new(), false),
        }
    }

    /// Generates one token of a running sequence. Returns its offset, or `None`
    /// if the sequence left the running batch since the step was planned.
    pub fn generate(&mut self, id: SequenceId) -> Option<u32> {
        let (sequence, _) = self.running_sequence(id)?;
        let offset = sequence.generated;
        sequence.advance_generation();
        Some(offset)
    }

    /// Makes memory available for the next token of `id` by reclaiming memory of
    /// paused sequences and preempting running ones, if necessary `id` itself.
    pub fn ensure_growth(&mut self, id: SequenceId) {
        while let Some((sequence, memory)) = self.running_sequence(id) {
            if sequence.grow(memory) {
                return;
            }
            let priority = sequence.priority;
            if !self.reclaim_paused() {
                self.preempt_for_growth(priority);
            }
        }
    }

    fn running_sequence(&mut self, id: SequenceId) -> Option<(&mut Sequence, &mut KvMemory)> {
        let sequence = self.sequences.get_mut(&id)?;
        (sequence.state == RequestState::Running).then_some((sequence, &mut self.memory))
    }

    /// Returns the running sequences in admission order; under engine priority,
    /// online sequences come first.
    fn service_order(&self) -> Vec<SequenceId> {
        let mut order = self.running.clone();
        if self.priority {
            order.sort_by_key(|id| std::cmp::Reverse(self.sequences[id].priority));
        }
        order
    }

    fn admit(&mut self) -> Vec<SequenceId> {
        let mut started = Vec::new();
        // Invariant under engine priority: while an online sequence waits, no
        // batch sequence is admitted, and none runs.
        while let Some(id) = self.next_waiting() {
            if !self.ensure_slot(id) || !self.ensure_memory(id) {
                break;
            }
            self.detach(id);
            self.running.push(id);
            self.set_state(id, RequestState::Running);
            if let Some(sequence) = self.sequences.get_mut(&id)
                && !sequence.started
            {
                sequence.started = true;
                started.push(id);
            }
        }
        started
    }

    fn next_waiting(&self) -> Option<SequenceId> {
        let online = self.waiting_online.front().copied();
        let batch = self.waiting_batch.front().copied();
        match (online, batch) {
            (Some(online), Some(batch)) if !self.priority => Some(online.min(batch)),
            (Some(online), _) => Some(online),
            (None, batch) => batch,
        }
    }

    fn may_preempt(&self, id: SequenceId) -> bool {
        self.priority && self.sequences[&id].priority == Priority::Online
    }

    fn ensure_slot(&mut self, id: SequenceId) -> bool {
        if self.running.len() < self.max_running {
            return true;
        }
        self.may_preempt(id) && self.preempt_latest(Some(Priority::Batch))
    }

    fn ensure_memory(&mut self, id: SequenceId) -> bool {
        loop {
            let Some(sequence) = self.sequences.get_mut(&id) else {
                return false;
            };
            // A resumed sequence still holds its memory.
            if sequence.holds_memory() || sequence.reserve(&mut self.memory).is_ok() {
                return true;
            }
            let freed = self.reclaim_paused()
                || (self.may_preempt(id) && self.preempt_latest(Some(Priority::Batch)));
            if !freed && !self.reclaim_waiting(id) {
                return false;
            }
        }
    }

    /// Releases the memory of one paused sequence, batch sequences first.
    fn reclaim_paused(&mut self) -> bool {
        let victim = self
            .paused
            .iter()
            .copied()
            .filter(|id| self.sequences[id].holds_memory())
            .min_by_key(|id| self.sequences[id].priority);
        self.release_memory(victim)
    }

    /// Releases the memory of one resumed sequence that waits, other than `id`;
    /// batch sequences first.
    fn reclaim_waiting(&mut self, id: SequenceId) -> bool {
        let victim = self
            .waiting_batch
            .iter()
            .chain(&self.waiting_online)
            .copied()
            .find(|other| *other != id && self.sequences[other].holds_memory());
        self.release_memory(victim)
    }

    fn release_memory(&mut self, victim: Option<SequenceId>) -> bool {
        let Some(sequence) = victim.and_then(|id| self.sequences.get_mut(&id)) else {
            return false;
        };
        sequence.release(&mut self.memory);
        true
    }

    fn preempt_for_growth(&mut self, growing_priority: Priority) {
        let batch_first = self.priority || growing_priority == Priority::Batch;
        let preempted = batch_first && self.preempt_latest(Some(Priority::Batch));
        if !preempted {
            self.preempt_latest(None);
        }
    }

    /// Preempts the most recently admitted sequence, of `class` if given.
    fn preempt_latest(&mut self, class: Option<Priority>) -> bool {
        let victim = self
            .running
            .iter()
            .copied()
            .rev()
            .find(|id| class.is_none_or(|class| self.sequences[id].priority == class));
        let Some(id) = victim else {
            return false;
        };
        self.release_memory(Some(id));
        self.detach(id);
        self.requeue(id);
        true
    }

    fn requeue(&mut self, id: SequenceId) {
        let priority = self.sequences[&id].priority;
        self.queue(priority).push_front(id);
        self.set_state(id, RequestState::Waiting);
    }

    fn queue(&mut self, priority: Priority) -> &mut VecDeque<SequenceId> {
        match priority {
            Priority::Online => &mut self.waiting_online,
            Priority::Batch => &mut self.waiting_batch,
        }
    }

    fn set_state(&mut self, id: SequenceId, state: RequestState) {
        if let Some(sequence) = self.sequences.get_mut(&id) {
            sequence.state = state;
        }
    }

    /// Removes a sequence from the list or queue of its state.
    fn detach(&mut self, id: SequenceId) {
        let Some(sequence) = self.sequences.get(&id) else {
            return;
        };
        let priority = sequence.priority;
        match sequence.state {
            RequestState::Running => self.running.retain(|other| *other != id),
            RequestState::Paused => self.paused.retain(|other| *other != id),
            _ => self.queue(priority).retain(|other| *other != id),
        }
    }
}
