//! A gateway process: the membership and routing cores, and the glue that executes
//! their outputs.

mod answers;
mod batch;
mod configuration;
mod drain;
mod jobs;
mod machines;
mod online;
mod process;

use std::fmt;
use std::time::Duration;

use molespan_state::control::Configuration;
use molespan_types::{Incarnation, NodeId, Timestamp};

use crate::address::{Address, gateway_node};
use crate::clock::NodeClock;
use crate::context::Context;
use crate::event::Event;
use crate::message::{ClientReply, Message};
use crate::node::Node;
use process::Process;

/// Delay after a graceful shutdown before the process is restarted, unless the
/// schedule keeps it down for longer.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// A gateway and the state that survives restarts of its process.
#[derive(Debug)]
pub struct GatewayNode {
    number: u32,
    replicas: u32,
    clock: NodeClock,
    incarnation_number: u64,
    /// Configuration stored on disk.
    stored: Option<Configuration>,
    process: Option<Process>,
}

/// Identity of a gateway process.
#[derive(Clone, Debug)]
pub(crate) struct Identity {
    pub number: u32,
    pub incarnation_number: u64,
    pub replicas: u32,
    pub zone: u32,
    pub clock: NodeClock,
}

impl Identity {
    pub fn address(&self) -> Address {
        Address::Gateway(self.number)
    }

    pub fn node(&self) -> NodeId {
        gateway_node(self.number)
    }

    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation_number)
    }
}

impl fmt::Display for Identity {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "gateway {} (life {})",
            self.number, self.incarnation_number
        )
    }
}

impl GatewayNode {
    /// Creates a gateway that was never started.
    #[must_use]
    pub fn new(number: u32, replicas: u32, clock: NodeClock) -> Self {
        Self {
            number,
            replicas,
            clock,
            incarnation_number: 0,
            stored: None,
            process: None,
        }
    }

    /// Starts the process with the next incarnation number.
    pub fn start(&mut self, context: &mut Context) {
        if self.process.is_some() {
            return;
        }
        self.incarnation_number += 1;
        let identity = Identity {
            number: self.number,
            incarnation_number: self.incarnation_number,
            replicas: self.replicas,
            zone: context
                .network
                .zone(Address::Gateway(self.number))
                .unwrap_or_default(),
            clock: self.clock,
        };
        self.process = Some(Process::start(context, identity, self.stored.clone()));
    }

    /// Kills the process, which breaks its connections.
    pub fn kill(&mut self, context: &mut Context) {
        if let Some(process) = self.process.take() {
            process.break_connections(context, false);
        }
    }

    /// Requests a graceful shutdown of the process.
    pub fn stop(&mut self, context: &mut Context) {
        if let Some(process) = &mut self.process {
            process.begin_stop(context);
        }
        self.settle(context);
    }

    /// Returns the process while it runs.
    #[must_use]
    pub fn process(&self) -> Option<&Process> {
        self.process.as_ref()
    }

    /// Persists the configuration that must survive the process, and removes a process that
    /// has stopped.
    fn settle(&mut self, context: &mut Context) {
        let Some(process) = &mut self.process else {
            return;
        };
        if let Some(newer) = process.take_unsaved_configuration() {
            self.stored = Some(newer);
        }
        if process.has_stopped()
            && let Some(process) = self.process.take()
        {
            process.break_connections(context, true);
            let text = format!("gateway {} has stopped", self.number);
            context.history.note(context.now, text);
            let address = Address::Gateway(self.number);
            let at = context.now + RESTART_DELAY;
            context.queue.push(at, Event::Restart(address));
        }
    }
}

impl Node for GatewayNode {
    fn receive(&mut self, context: &mut Context, from: Address, message: Message) {
        match &mut self.process {
            Some(process) => process.receive(context, from, message),
            None => {
                if let Message::Client { arrival, .. } = message {
                    let reply = ClientReply::ConnectionRefused;
                    let own = Address::Gateway(self.number);
                    context.send(own, from, Message::Reply { arrival, reply });
                }
            }
        }
        self.settle(context);
    }

    fn wake(&mut self, context: &mut Context) {
        if let Some(process) = &mut self.process {
            process.tick(context);
        }
        self.settle(context);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let process = self.process.as_ref()?;
        Some(self.clock.world(process.next_tick()))
    }
}
