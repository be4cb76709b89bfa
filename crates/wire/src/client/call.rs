//! Calls that wait for a response.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use derive_more::{Display, Error};
use molespan_types::RunOutcome;

use crate::message::Response;

/// Cause of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum CallFailure {
    /// The peer cannot be reached.
    #[display("the peer cannot be reached")]
    Unreachable,
    /// The limit of waiting calls is reached.
    #[display("too many calls wait already")]
    TooManyCalls,
    /// The request exceeds the maximum frame length.
    #[display("the request is longer than a frame may be")]
    TooLong,
    /// No response arrived before the timeout.
    #[display("no response in time")]
    Timeout,
    /// The connection broke.
    #[display("the connection broke")]
    Disconnected,
}

/// Why a call failed, and whether the request may have been sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum CallError {
    /// No byte of the request left this process.
    #[display("not sent: {_0}")]
    NotSent(CallFailure),
    /// The request may have reached the peer.
    #[display("sent, outcome unknown: {_0}")]
    Ambiguous(CallFailure),
}

impl CallError {
    /// Returns whether the request may have taken effect.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::NotSent(_) => RunOutcome::NotRun,
            Self::Ambiguous(_) => RunOutcome::Unknown,
        }
    }
}

/// The call waits in the queue.
const QUEUED: u8 = 0;
/// The writer has taken the call; its bytes may be sent at any moment.
const WRITTEN: u8 = 1;
/// The caller cancelled the call before the writer took it; it must not be written.
const CANCELLED: u8 = 2;

/// A call, shared by its caller and the writer.
#[derive(Debug)]
pub(crate) struct Call {
    number: u64,
    phase: AtomicU8,
    reply: Sender<Result<Response, CallError>>,
}

impl Call {
    /// Marks the call as taken by the writer; returns `false` when its caller cancelled
    /// it first.
    pub(crate) fn begin_write(&self) -> bool {
        self.leave_queue(WRITTEN)
    }

    /// Cancels the call; returns `false` when the writer took it first.
    fn cancel(&self) -> bool {
        self.leave_queue(CANCELLED)
    }

    /// Moves the call out of the queue. Exactly one of writer and caller succeeds,
    /// which guarantees that a call reported as "not sent" after a timeout was not
    /// written.
    fn leave_queue(&self, phase: u8) -> bool {
        self.phase
            .compare_exchange(QUEUED, phase, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    fn is_written(&self) -> bool {
        self.phase.load(Ordering::SeqCst) == WRITTEN
    }

    /// Delivers the result to the caller. Later results are ignored.
    pub(crate) fn answer(&self, result: Result<Response, CallError>) {
        let _already_answered = self.reply.try_send(result);
    }
}

/// The waiting calls of one client by number. A client never reuses a number, so
/// that a late response cannot be matched with another call.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last_number: AtomicU64,
    waiting: Mutex<HashMap<u64, Arc<Call>>>,
}

impl Calls {
    /// Returns an unused call number.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Delivers a response to its caller; returns `false` when no call waits for it.
    pub(crate) fn answer(&self, number: u64, response: Response) -> bool {
        let Some(call) = self.lock().remove(&number) else {
            return false;
        };
        call.answer(Ok(response));
        true
    }

    /// Fails every call that was already written, after its connection broke.
    pub(crate) fn fail_written(&self) {
        for call in self.lock().values() {
            if call.is_written() {
                call.answer(Err(CallError::Ambiguous(CallFailure::Disconnected)));
            }
        }
    }

    /// Whether any call waits.
    pub(crate) fn any_waiting(&self) -> bool {
        !self.lock().is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<u64, Arc<Call>>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The caller's handle of its call. Cancels the call when dropped.
#[derive(Debug)]
pub(crate) struct PendingCall<'a> {
    calls: &'a Calls,
    call: Arc<Call>,
    response: Receiver<Result<Response, CallError>>,
}

impl<'a> PendingCall<'a> {
    /// Registers a call before it is queued.
    pub(crate) fn register(calls: &'a Calls, number: u64, limit: usize) -> Result<Self, CallError> {
        let (reply, response) = async_channel::bounded(1);
        let call = Arc::new(Call {
            number,
            phase: AtomicU8::new(QUEUED),
            reply,
        });
        let mut waiting = calls.lock();
        if waiting.len() >= limit {
            return Err(CallError::NotSent(CallFailure::TooManyCalls));
        }
        waiting.insert(number, call.clone());
        drop(waiting);
        Ok(Self {
            calls,
            call,
            response,
        })
    }

    /// The shared call.
    pub(crate) fn call(&self) -> Arc<Call> {
        self.call.clone()
    }

    /// Waits for the response or the failure of the connection.
    pub(crate) async fn response(&self) -> Result<Response, CallError> {
        let lost = Err(CallError::Ambiguous(CallFailure::Disconnected));
        self.response.recv().await.unwrap_or(lost)
    }

    /// Cancels the call and returns an error that states whether it may have been sent.
    pub(crate) fn abandon(&self, failure: CallFailure) -> CallError {
        if self.call.cancel() {
            CallError::NotSent(failure)
        } else {
            CallError::Ambiguous(failure)
        }
    }
}

impl Drop for PendingCall<'_> {
    fn drop(&mut self) {
        self.call.cancel();
        self.calls.lock().remove(&self.call.number);
    }
}
