//! Calls that wait for their response.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use async_channel::{Receiver, Sender};
use derive_more::{Display, Error};
use molespan_types::RunOutcome;

use crate::message::Response;

/// What happened to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum CallFailure {
    /// The peer cannot be reached.
    #[display("the peer cannot be reached")]
    Unreachable,
    /// Too many calls wait already.
    #[display("too many calls wait already")]
    TooManyCalls,
    /// The request is longer than a frame may be.
    #[display("the request is longer than a frame may be")]
    TooLong,
    /// No response in time.
    #[display("no response in time")]
    Timeout,
    /// The connection broke.
    #[display("the connection broke")]
    Disconnected,
}

/// Why a call has no response.
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
    /// Whether the request may have taken effect.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        match self {
            Self::NotSent(_) => RunOutcome::NotRun,
            Self::Ambiguous(_) => RunOutcome::Unknown,
        }
    }
}

/// Waits in the queue.
const QUEUED: u8 = 0;
/// The writer has taken it; bytes may leave at any moment.
const WRITTEN: u8 = 1;
/// The caller gave up before the writer took it; it must not be written.
const CANCELLED: u8 = 2;

/// One call, shared by its caller and the writer.
#[derive(Debug)]
pub(crate) struct Call {
    number: u64,
    phase: AtomicU8,
    reply: Sender<Result<Response, CallError>>,
}

impl Call {
    /// The writer takes the call; `false` when its caller gave up first.
    pub(crate) fn begin_write(&self) -> bool {
        self.leave_queue(WRITTEN)
    }

    /// The caller gives the call up; `false` when the writer took it first.
    fn cancel(&self) -> bool {
        self.leave_queue(CANCELLED)
    }

    /// Exactly one of writer and caller moves a call out of the queue. This is
    /// what makes "not sent" true after a timeout.
    fn leave_queue(&self, phase: u8) -> bool {
        self.phase
            .compare_exchange(QUEUED, phase, Ordering::SeqCst, Ordering::SeqCst)
            .is_ok()
    }

    fn is_written(&self) -> bool {
        self.phase.load(Ordering::SeqCst) == WRITTEN
    }

    /// Answers the caller. Only the first answer counts.
    pub(crate) fn answer(&self, result: Result<Response, CallError>) {
        let _already_answered = self.reply.try_send(result);
    }
}

/// The calls of one client by number. Numbers are never used twice in the life
/// of a client, so that a late response can reach no other call.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    last_number: AtomicU64,
    waiting: Mutex<HashMap<u64, Arc<Call>>>,
}

impl Calls {
    /// A number that was not used before.
    pub(crate) fn next_number(&self) -> u64 {
        self.last_number.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Hands a response to its caller; `false` when nobody waits for it.
    pub(crate) fn answer(&self, number: u64, response: Response) -> bool {
        let Some(call) = self.lock().remove(&number) else {
            return false;
        };
        call.answer(Ok(response));
        true
    }

    /// Fails every call that was written to a connection that broke.
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

/// A caller's hold on its call. Dropping it gives the call up.
#[derive(Debug)]
pub(crate) struct Pending<'a> {
    calls: &'a Calls,
    call: Arc<Call>,
    response: Receiver<Result<Response, CallError>>,
}

impl<'a> Pending<'a> {
    /// Notes a call before it is queued.
    pub(crate) fn open(calls: &'a Calls, number: u64, limit: usize) -> Result<Self, CallError> {
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

    /// Gives the call up and says whether it was sent.
    pub(crate) fn give_up(&self, failure: CallFailure) -> CallError {
        if self.call.cancel() {
            CallError::NotSent(failure)
        } else {
            CallError::Ambiguous(failure)
        }
    }
}

impl Drop for Pending<'_> {
    fn drop(&mut self) {
        self.call.cancel();
        self.calls.lock().remove(&self.call.number);
    }
}
