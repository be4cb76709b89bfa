//! Queue of frames to be written to a peer.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};

use super::ClientLimits;
use super::call::{Call, CallError, CallFailure};

/// Batch size in bytes beyond which no further frame is added.
const BATCH_BYTES: usize = 64 * 1024;

/// Which one-way message is dropped when the queue is full.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DropPolicy {
    /// The oldest message, for messages that later ones supersede.
    #[default]
    Oldest,
    /// The new message, for messages of which the first ones matter most.
    Newest,
}

/// Whether a one-way message was queued, and how many messages were dropped.
pub(crate) struct PushOutcome {
    pub(crate) queued: bool,
    pub(crate) dropped: u64,
}

/// Frames that are queued for the writer.
#[derive(Debug)]
pub(crate) struct OutgoingQueue {
    max_messages: usize,
    max_bytes: usize,
    policy: DropPolicy,
    state: Mutex<QueueState>,
    wake_sender: Sender<()>,
    wake_receiver: Receiver<()>,
}

#[derive(Debug, Default)]
struct QueueState {
    calls: VecDeque<(Vec<u8>, Arc<Call>)>,
    messages: VecDeque<Vec<u8>>,
    message_bytes: usize,
    /// Frames that belong to the connection, such as pings.
    control: Vec<u8>,
    /// Whether the peer is unreachable; nothing is queued in that case.
    unreachable: bool,
}

impl QueueState {
    fn is_empty(&self) -> bool {
        self.calls.is_empty() && self.messages.is_empty() && self.control.is_empty()
    }

    fn pop_message(&mut self) -> Option<Vec<u8>> {
        let frame = self.messages.pop_front()?;
        self.message_bytes -= frame.len();
        Some(frame)
    }
}

impl OutgoingQueue {
    pub(crate) fn new(limits: &ClientLimits) -> Self {
        let (wake_sender, wake_receiver) = async_channel::bounded(1);
        Self {
            max_messages: limits.max_queued_messages,
            max_bytes: limits.max_queued_bytes,
            policy: limits.drop_policy,
            state: Mutex::default(),
            wake_sender,
            wake_receiver,
        }
    }

    /// Queues a call.
    pub(crate) fn push_call(&self, frame: Vec<u8>, call: Arc<Call>) -> Result<(), CallError> {
        let mut state = self.lock();
        if state.unreachable {
            return Err(CallError::NotSent(CallFailure::Unreachable));
        }
        state.calls.push_back((frame, call));
        drop(state);
        self.wake_writer();
        Ok(())
    }

    /// Queues a one-way message, dropping messages when the queue is full.
    pub(crate) fn push_message(&self, frame: Vec<u8>) -> PushOutcome {
        let mut state = self.lock();
        let mut dropped = 0;
        let refused = state.unreachable || frame.len() > self.max_bytes;
        while !refused && self.is_full_for(&state, frame.len()) {
            if self.policy == DropPolicy::Newest || state.pop_message().is_none() {
                break;
            }
            dropped += 1;
        }
        if refused || self.is_full_for(&state, frame.len()) {
            return PushOutcome {
                queued: false,
                dropped: dropped + 1,
            };
        }
        state.message_bytes += frame.len();
        state.messages.push_back(frame);
        drop(state);
        self.wake_writer();
        PushOutcome {
            queued: true,
            dropped,
        }
    }

    /// Queues a frame that belongs to the connection.
    pub(crate) fn push_control(&self, frame: &[u8]) {
        self.lock().control.extend_from_slice(frame);
        self.wake_writer();
    }

    /// Waits until something is queued.
    pub(crate) async fn wait(&self) {
        while self.lock().is_empty() {
            // The sender is owned by the same struct, so the channel is never closed.
            let _woken = self.wake_receiver.recv().await;
        }
    }

    /// Moves queued frames into `batch`: control frames, then calls, then one-way
    /// messages. Cancelled calls are skipped.
    pub(crate) fn take_batch(&self, batch: &mut Vec<u8>) {
        let mut state = self.lock();
        batch.append(&mut state.control);
        while batch.len() < BATCH_BYTES {
            let Some((frame, call)) = state.calls.pop_front() else {
                break;
            };
            if call.begin_write() {
                batch.extend_from_slice(&frame);
            }
        }
        while batch.len() < BATCH_BYTES {
            let Some(frame) = state.pop_message() else {
                break;
            };
            batch.extend_from_slice(&frame);
        }
    }

    /// Drops all queued frames, fails their calls, and rejects new frames until
    /// [`OutgoingQueue::reopen`]. Returns the number of one-way messages dropped.
    pub(crate) fn close_unreachable(&self) -> u64 {
        let state = {
            let mut state = self.lock();
            let unreachable = QueueState {
                unreachable: true,
                ..QueueState::default()
            };
            std::mem::replace(&mut *state, unreachable)
        };
        for (_, call) in &state.calls {
            call.answer(Err(CallError::NotSent(CallFailure::Unreachable)));
        }
        state.messages.len() as u64
    }

    /// Accepts frames again.
    pub(crate) fn reopen(&self) {
        self.lock().unreachable = false;
    }

    /// Drops control frames of a connection that has ended.
    pub(crate) fn clear_control(&self) {
        self.lock().control.clear();
    }

    fn is_full_for(&self, state: &QueueState, length: usize) -> bool {
        state.messages.len() >= self.max_messages || state.message_bytes + length > self.max_bytes
    }

    fn wake_writer(&self) {
        // When the channel is full, a wake-up is already pending.
        let _already_woken = self.wake_sender.try_send(());
    }

    fn lock(&self) -> MutexGuard<'_, QueueState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
