//! The thread that owns the groups and their disk.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

use async_channel::Sender;
use molespan_replica::{
    Consistency, Input, Output, Refusal, ReplicaCore, ReplicaError, ReplicaStatus, Ticket,
};
use molespan_storage::RealDisk;
use molespan_types::{GroupId, NodeId, RunOutcome, Timestamp};

use super::feed::Nudge;
use super::leaders::Leaders;
use super::metrics::ReplicaMetrics;
use super::outbox::Outbox;
use super::reporter::Reporter;

/// Orders that wait for the thread; beyond that requests are refused and
/// messages dropped.
const QUEUED_ORDERS: usize = 16_384;
/// Most orders taken in before one round of work.
const ORDERS_A_ROUND: usize = 4_096;
/// When to come back after a refusal for want of room, in milliseconds.
const BUSY_RETRY_MS: u32 = 50;
/// When to come back to a replica that has stopped, in milliseconds.
const STOPPED_RETRY_MS: u32 = 500;
/// Time between two updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

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
    fn into_input(self, ticket: Ticket) -> Input {
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
enum Order {
    Call { call: Call, reply: Sender<Answer> },
    Message(Input),
    Status(Sender<ReplicaStatus>),
    Stop,
}

/// The way to the thread.
#[derive(Clone, Debug)]
pub(super) struct DriverHandle {
    orders: SyncSender<Order>,
}

impl DriverHandle {
    /// Carries a request out.
    pub async fn call(&self, call: Call) -> Answer {
        let (reply, answer) = async_channel::bounded(1);
        match self.orders.try_send(Order::Call { call, reply }) {
            Ok(()) => answer.recv().await.unwrap_or_else(|_| Err(cut_off())),
            Err(TrySendError::Full(_)) => {
                Err(not_run("too many requests wait already", BUSY_RETRY_MS))
            }
            Err(TrySendError::Disconnected(_)) => {
                Err(not_run("the replica has stopped", STOPPED_RETRY_MS))
            }
        }
    }

    /// Hands in a message of another replica; it may get lost.
    pub fn message(&self, from: NodeId, group: GroupId, bytes: Vec<u8>) {
        let message = Input::Message { from, group, bytes };
        let _dropped = self.orders.try_send(Order::Message(message));
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

/// What the thread reports to.
#[derive(Debug)]
pub(super) struct Surroundings {
    pub outbox: Arc<Outbox>,
    pub leaders: Arc<Leaders>,
    pub nudge: Nudge,
    pub metrics: ReplicaMetrics,
    pub reporter: Reporter,
}

/// The clock of the thread, which begins at its start.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock(Instant);

impl Clock {
    /// A clock that begins now.
    pub fn start() -> Self {
        Self(Instant::now())
    }

    /// The time now.
    pub fn now(self) -> Timestamp {
        Timestamp(self.0.elapsed().as_micros() as u64)
    }
}

/// The thread's state.
#[derive(Debug)]
pub(super) struct Driver {
    core: ReplicaCore<RealDisk>,
    clock: Clock,
    orders: Receiver<Order>,
    surroundings: Surroundings,
    last_ticket: u64,
    waiting: HashMap<Ticket, Sender<Answer>>,
    next_metrics: Timestamp,
    stopping: bool,
}

impl Driver {
    /// A driver of `core`, and the way to it.
    pub fn new(
        core: ReplicaCore<RealDisk>,
        clock: Clock,
        surroundings: Surroundings,
    ) -> (Self, DriverHandle) {
        let (sender, orders) = sync_channel(QUEUED_ORDERS);
        let driver = Self {
            core,
            clock,
            orders,
            surroundings,
            last_ticket: 0,
            waiting: HashMap::new(),
            next_metrics: Timestamp::ZERO,
            stopping: false,
        };
        (driver, DriverHandle { orders: sender })
    }

    /// Works until it is told to stop.
    ///
    /// # Errors
    /// When the disk refuses or the groups contradict what is stored. Requests
    /// that wait are then answered as unknown.
    pub fn run(mut self) -> Result<(), ReplicaError> {
        while !self.stopping {
            self.take_orders();
            let outputs = self.core.poll(self.clock.now())?;
            self.deliver(outputs);
            self.update_metrics();
        }
        Ok(())
    }

    /// Waits for orders or the next deadline, and takes in all that wait.
    fn take_orders(&mut self) {
        let deadline = self.core.next_deadline();
        let wait = deadline.since(self.clock.now());
        match self.orders.recv_timeout(wait) {
            Ok(order) => self.take(order),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => self.stopping = true,
        }
        for _ in 1..ORDERS_A_ROUND {
            match self.orders.try_recv() {
                Ok(order) => self.take(order),
                Err(_) => break,
            }
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Call { call, reply } => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.waiting.insert(ticket, reply);
                self.core.handle(self.clock.now(), call.into_input(ticket));
            }
            Order::Message(input) => self.core.handle(self.clock.now(), input),
            Order::Status(reply) => {
                let _gone = reply.try_send(self.core.status());
            }
            Order::Stop => self.stopping = true,
        }
    }

    fn deliver(&mut self, outputs: Vec<Output>) {
        let surroundings = &self.surroundings;
        let mut bundle = surroundings.outbox.bundle();
        for output in outputs {
            match output {
                Output::Send { to, group, bytes } => bundle.push(to, group, bytes),
                Output::Reply { ticket, result } => {
                    if let Some(reply) = self.waiting.remove(&ticket) {
                        let _gone = reply.try_send(result);
                    }
                }
                Output::LeaderChanged { group, leader } => {
                    surroundings.leaders.note(group, leader);
                    surroundings.reporter.leader(group, leader);
                }
                Output::ConfigurationChanged { version } => {
                    surroundings.reporter.configuration(version);
                    surroundings.nudge.now();
                }
                Output::Event(event) => surroundings.reporter.event(&event),
            }
        }
        bundle.finish();
    }

    fn update_metrics(&mut self) {
        let now = self.clock.now();
        if now >= self.next_metrics {
            self.next_metrics = now + METRICS_INTERVAL;
            self.surroundings.metrics.update(&self.core.status());
        }
    }
}
