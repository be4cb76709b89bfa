//! The queue of the driver's thread.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel};

use async_channel::Sender;
use molespan_replica::{Consistency, Input, Refusal, ReplicaStatus, Ticket};
use molespan_types::{GroupId, NodeId, RunOutcome};

/// Orders that wait for the thread; beyond that requests are refused and
/// messages dropped.
const QUEUED_ORDERS: usize = 16_384;
/// Bytes that those orders may hold together.
const QUEUED_BYTES: usize = 32 << 20;
/// When to come back after a refusal for want of room, in milliseconds.
const BUSY_RETRY_MS: u32 = 50;
/// When to come back to a replica that has stopped, in milliseconds.
const STOPPED_RETRY_MS: u32 = 500;

/// The answer to a request.
pub(super) type Answer = Result<Vec<u8>, Refusal>;

/// A request to the groups.
#[derive(Debug)]
pub(super) enum Call {
    /// A command to be committed and applied.
    Propose { group: GroupId, command: Vec<u8> },
    /// A read.
    Query {
        group: GroupId,
        consistency: Consistency,
        query: Vec<u8>,
    },
    /// Hands a leadership over.
    TransferLeadership { group: GroupId, to: NodeId },
}

impl Call {
    /// Bytes that it holds while it waits.
    fn bytes(&self) -> usize {
        match self {
            Self::Propose { command, .. } => command.len(),
            Self::Query { query, .. } => query.len(),
            Self::TransferLeadership { .. } => 0,
        }
    }

    /// As the groups take it, under the name of `ticket`.
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

/// What the thread is asked to do.
#[derive(Debug)]
pub(super) enum Order {
    Call {
        call: Call,
        reply: Sender<Answer>,
        _room: Room,
    },
    Message {
        input: Input,
        _room: Room,
    },
    Status(Sender<ReplicaStatus>),
    Stop,
}

/// Bytes of an order that waits; given back when it is taken.
#[derive(Debug)]
pub(super) struct Room {
    bytes: usize,
    used: Arc<AtomicUsize>,
}

impl Drop for Room {
    fn drop(&mut self) {
        self.used.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// An empty queue.
pub(super) fn queue() -> (DriverHandle, Receiver<Order>) {
    let (sender, orders) = sync_channel(QUEUED_ORDERS);
    let handle = DriverHandle {
        orders: sender,
        queued_bytes: Arc::default(),
    };
    (handle, orders)
}

/// The way to the thread.
#[derive(Clone, Debug)]
pub(super) struct DriverHandle {
    orders: SyncSender<Order>,
    queued_bytes: Arc<AtomicUsize>,
}

impl DriverHandle {
    /// Carries a request out.
    pub async fn call(&self, call: Call) -> Answer {
        let Some(room) = self.room_for(call.bytes()) else {
            return Err(busy());
        };
        let (reply, answer) = async_channel::bounded(1);
        let order = Order::Call {
            call,
            reply,
            _room: room,
        };
        match self.orders.try_send(order) {
            Ok(()) => answer.recv().await.unwrap_or_else(|_| Err(cut_off())),
            Err(TrySendError::Full(_)) => Err(busy()),
            Err(TrySendError::Disconnected(_)) => {
                Err(not_run("the replica has stopped", STOPPED_RETRY_MS))
            }
        }
    }

    /// Hands in a message of another replica; it may get lost.
    pub fn message(&self, from: NodeId, group: GroupId, bytes: Vec<u8>) {
        let length = bytes.len();
        self.input(Input::Message { from, group, bytes }, length);
    }

    /// Hands in what nobody waits for an answer to; dropped when too much
    /// waits.
    pub fn input(&self, input: Input, length: usize) {
        if let Some(room) = self.room_for(length) {
            let order = Order::Message { input, _room: room };
            let _dropped = self.orders.try_send(order);
        }
    }

    /// The replica's view of itself; `None` once it has stopped.
    pub async fn status(&self) -> Option<ReplicaStatus> {
        let (reply, status) = async_channel::bounded(1);
        self.orders.try_send(Order::Status(reply)).ok()?;
        status.recv().await.ok()
    }

    /// Ends the thread once it has done what is queued. This may block.
    pub fn stop(&self) {
        let _ended_already = self.orders.send(Order::Stop);
    }

    /// Takes room for `bytes`, if there is any. An order that is larger than
    /// all room goes through when nothing else waits.
    fn room_for(&self, bytes: usize) -> Option<Room> {
        let before = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let used = self.queued_bytes.clone();
        let room = Room { bytes, used };
        (before == 0 || before + bytes <= QUEUED_BYTES).then_some(room)
    }
}

fn busy() -> Refusal {
    not_run("too many requests wait already", BUSY_RETRY_MS)
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
