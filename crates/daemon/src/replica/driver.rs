//! The thread that owns the replicated groups and their disk.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, RecvTimeoutError};
use std::time::Duration;

use async_channel::Sender;
use molespan_replica::{Output, ReplicaCore, ReplicaError, Ticket};
use molespan_storage::RealDisk;
use molespan_types::Timestamp;

use super::feed::Trigger;
use super::leaders::Leaders;
use super::metrics::ReplicaMetrics;
use super::orders::{Answer, DriverHandle, Order, queue};
use super::outbox::Outbox;
use super::reporter::Reporter;
use crate::boot_clock::BootClock;

/// Maximum number of orders accepted before each poll of the core.
const MAX_ORDERS_PER_POLL: usize = 4_096;
/// Interval between updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);

/// Receivers of the thread's output.
#[derive(Debug)]
pub(super) struct DriverContext {
    pub outbox: Arc<Outbox>,
    pub leaders: Arc<Leaders>,
    pub trigger: Trigger,
    /// Notified when a state machine changed something that watchers wait for.
    pub state_changed: Trigger,
    pub metrics: ReplicaMetrics,
    pub reporter: Reporter,
}

/// The thread's state.
#[derive(Debug)]
pub(super) struct Driver {
    core: ReplicaCore<RealDisk>,
    clock: BootClock,
    orders: Receiver<Order>,
    context: DriverContext,
    last_ticket: u64,
    waiting: HashMap<Ticket, Sender<Answer>>,
    next_metrics: Timestamp,
    stopping: bool,
}

impl Driver {
    /// Creates a driver of `core`, and a handle to it.
    pub fn new(
        core: ReplicaCore<RealDisk>,
        clock: BootClock,
        context: DriverContext,
    ) -> (Self, DriverHandle) {
        let (handle, orders) = queue();
        let driver = Self {
            core,
            clock,
            orders,
            context,
            last_ticket: 0,
            waiting: HashMap::new(),
            next_metrics: Timestamp::ZERO,
            stopping: false,
        };
        (driver, handle)
    }

    /// Runs until a stop order arrives.
    ///
    /// # Errors
    /// When the disk reports an error, or the groups contradict the stored data. Pending
    /// requests are then answered with an unknown outcome.
    pub fn run(mut self) -> Result<(), ReplicaError> {
        while !self.stopping {
            self.take_orders();
            let outputs = self.core.poll(self.clock.now())?;
            self.deliver(outputs);
            self.update_metrics();
        }
        Ok(())
    }

    /// Waits for orders or the next deadline, and accepts all queued orders.
    fn take_orders(&mut self) {
        let deadline = self.core.next_deadline();
        let wait = deadline.since(self.clock.now());
        match self.orders.recv_timeout(wait) {
            Ok(order) => self.take(order),
            Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => self.stopping = true,
        }
        for _ in 1..MAX_ORDERS_PER_POLL {
            match self.orders.try_recv() {
                Ok(order) => self.take(order),
                Err(_) => break,
            }
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Call { call, reply, .. } => {
                self.last_ticket += 1;
                let ticket = Ticket(self.last_ticket);
                self.waiting.insert(ticket, reply);
                self.core.handle(self.clock.now(), call.into_input(ticket));
            }
            Order::Message { input, .. } => self.core.handle(self.clock.now(), input),
            Order::Status(reply) => {
                let _gone = reply.try_send(self.core.status());
            }
            Order::Stop => self.stopping = true,
        }
    }

    fn deliver(&mut self, outputs: Vec<Output>) {
        let context = &self.context;
        let mut bundle = context.outbox.bundle();
        for output in outputs {
            match output {
                Output::Send { to, group, bytes } => bundle.push(to, group, bytes),
                Output::Reply { ticket, result } => {
                    if let Some(reply) = self.waiting.remove(&ticket) {
                        let _gone = reply.try_send(result);
                    }
                }
                Output::LeaderChanged { group, leader } => {
                    context.leaders.record(group, leader);
                    context.reporter.leader(group, leader);
                }
                Output::ConfigurationChanged { version } => {
                    context.reporter.configuration(version);
                    context.trigger.fire();
                }
                Output::StateChanged { .. } => context.state_changed.fire(),
                Output::Event(event) => context.reporter.event(&event),
            }
        }
        bundle.finish();
    }

    fn update_metrics(&mut self) {
        let now = self.clock.now();
        if now >= self.next_metrics {
            self.next_metrics = now + METRICS_INTERVAL;
            self.context.metrics.update(&self.core.status());
        }
    }
}
