//! The order queue of the driver's thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use async_channel::Sender;
use molespan_replica::{Consistency, Input, Refusal, ReplicaStatus, Ticket};
use molespan_types::{GroupId, NodeId, RunOutcome};

/// Maximum number of queued orders; beyond it requests are rejected and
/// messages dropped.
const MAX_QUEUED_ORDERS: usize = 16_384;
/// Maximum total size of the queued orders in bytes.
const MAX_QUEUED_BYTES: usize = 32 << 20;
/// Retry delay reported when the queue is full, in milliseconds.
const BUSY_RETRY_AFTER_MS: u32 = 50;
/// Retry delay reported by a replica that has stopped, in milliseconds.
const STOPPED_RETRY_AFTER_MS: u32 = 500;

/// The answer to a request.
pub(super) type Answer = Result<Vec<u8>, Refusal>;

/// A request to the groups.
#[derive(Debug)]
pub(super) enum Call {
    /// A command to commit and apply.
    Propose { group: GroupId, command: Vec<u8> },
    /// A read.
    Query {
        group: GroupId,
        consistency: Consistency,
        query: Vec<u8>,
    },
    /// Transfers a group's leadership.
    TransferLeadership { group: GroupId, to: NodeId },
}

impl Call {
    /// Returns the number of bytes it occupies in the queue.
    fn bytes(&self) -> usize {
        match self {
            Self::Propose { command, .. } => command.len(),
            Self::Query { query, .. } => query.len(),
            Self::TransferLeadership { .. } => 0,
        }
    }

    /// Converts the call to an input of the core that is identified by `ticket`.
    pub fn into_input(self, ticket: Ticket) -> Input {
        match self {
            Self::Propose { group, command } => Input::Propose {
                ticket,
                group,
                command,
            },
            Self::Query {
                group,
                consistency,
                query,
            } => Input::Query {
                ticket,
                group,
                consistency,
                query,
            },
            Self::TransferLeadership { group, to } => {
                Input::TransferLeadership { ticket, group, to }
            }
        }
    }
}

/// An order to the thread.
#[derive(Debug)]
pub(super) enum Order {
    Call {
        call: Call,
        reply: Sender<Answer>,
        _reservation: QueueReservation,
    },
    Message {
        input: Input,
        _reservation: QueueReservation,
    },
    Status(Sender<ReplicaStatus>),
    Stop,
}

/// Bytes reserved by a queued order; released on drop.
#[derive(Debug)]
pub(super) struct QueueReservation {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for QueueReservation {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Creates an empty queue.
pub(super) fn queue() -> (DriverHandle, Receiver<Order>) {
    let (sender, orders) = sync_channel(MAX_QUEUED_ORDERS);
    let handle = DriverHandle {
        orders: sender,
        queued_bytes: Arc::default(),
    };
    (handle, orders)
}

/// A handle to the thread's queue.
#[derive(Clone, Debug)]
pub(super) struct DriverHandle {
    orders: SyncSender<Order>,
    queued_bytes: Arc<AtomicUsize>,
}

impl DriverHandle {
    /// Executes a request and returns its answer.
    pub async fn call(&self, call: Call) -> Answer {
        let Some(reservation) = self.reserve(call.bytes()) else {
            return Err(busy());
        };
        let (reply, answer) = async_channel::bounded(1);
        let order = Order::Call {
            call,
            reply,
            _reservation: reservation,
        };
        match self.orders.try_send(order) {
            Ok(()) => answer.recv().await.unwrap_or_else(|_| Err(cut_off())),
            Err(TrySendError::Full(_)) => Err(busy()),
            Err(TrySendError::Disconnected(_)) => {
                Err(not_run("the replica has stopped", STOPPED_RETRY_AFTER_MS))
            }
        }
    }

    /// Queues a message of another replica; it may be dropped.
    pub fn message(&self, from: NodeId, group: GroupId, bytes: Vec<u8>) {
        let length = bytes.len();
        self.input(Input::Message { from, group, bytes }, length);
    }

    /// Queues an input that needs no answer; it is dropped when the queue is
    /// full.
    pub fn input(&self, input: Input, length: usize) {
        if let Some(reservation) = self.reserve(length) {
            let order = Order::Message {
                input,
                _reservation: reservation,
            };
            let _dropped = self.orders.try_send(order);
        }
    }

    /// Returns the replica's status; `None` once it has stopped.
    pub async fn status(&self) -> Option<ReplicaStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.orders.try_send(Order::Status(reply)).ok()?;
        status.recv().await.ok()
    }

    /// Ends the thread after it has processed the queue. This may block.
    pub fn stop(&self) {
        let _ended_already = self.orders.send(Order::Stop);
    }

    /// Reserves `bytes` of the queue, if available. An order larger than the whole
    /// queue is accepted when the queue is empty.
    fn reserve(&self, bytes: usize) -> Option<QueueReservation> {
        let before = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let used = self.queued_bytes.clone();
        let reservation = QueueReservation { bytes, used };
        (before == 0 || before + bytes <= MAX_QUEUED_BYTES).then_some(reservation)
    }
}

fn busy() -> Refusal {
    not_run("too many requests wait already", BUSY_RETRY_AFTER_MS)
}

fn not_run(message: &str, retry_after_ms: u32) -> Refusal {
    Refusal::Refused {
        outcome: RunOutcome::NotRun,
        message: message.to_owned(),
        retry_after_ms,
    }
}

fn cut_off() -> Refusal {
    Refusal::Refused {
        outcome: RunOutcome::Unknown,
        message: "the replica stopped before it could answer".to_owned(),
        retry_after_ms: 0,
    }
}
