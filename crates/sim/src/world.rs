//! The simulated world, which processes events one at a time.

use std::collections::{BTreeMap, BTreeSet};

use molespan_engine_api::MachineState;
use molespan_storage::SimulatedDisk;
use molespan_types::Timestamp;
use rand::Rng;

use crate::address::Address;
use crate::client::{JobClient, OnlineClient};
use crate::clock::NodeClock;
use crate::context::Context;
use crate::engine_node::EngineNode;
use crate::event::{Envelope, Event};
use crate::gateway::GatewayNode;
use crate::message::Transport;
use crate::network::Network;
use crate::node::Node;
use crate::operator::{Goal, Operator};
use crate::platform_node::PlatformNode;
use crate::replica_node::ReplicaNode;
use crate::scenario::{AUDIT_AFTER, FINISHED_AFTER, Scenario};
use crate::workload::Work;

/// Maximum difference between the start offsets of two clocks, in microseconds.
const MAX_CLOCK_OFFSET_MICROS: u64 = 10_000_000;
/// Interval between two checks whether everything has finished, in milliseconds.
const DONE_CHECK_INTERVAL_MS: u64 = 500;

/// A caller.
#[derive(Debug)]
pub enum Client {
    /// A caller with a job.
    Job(JobClient),
    /// A caller with an online request.
    Online(OnlineClient),
}

impl Client {
    /// Whether the caller has its final outcome.
    #[must_use]
    pub fn is_done(&self) -> bool {
        match self {
            Client::Job(client) => client.is_done(),
            Client::Online(client) => client.is_done(),
        }
    }
}

/// The simulated world.
#[derive(Debug)]
pub struct World {
    /// State shared by all participants: time, randomness, network and records.
    pub context: Context,
    /// The scenario, which determines the run.
    pub scenario: Scenario,
    pub(crate) replicas: BTreeMap<u32, ReplicaNode>,
    pub(crate) gateways: BTreeMap<u32, GatewayNode>,
    pub(crate) engines: BTreeMap<u32, EngineNode>,
    pub(crate) platform: PlatformNode,
    pub(crate) clients: BTreeMap<u32, Client>,
    pub(crate) operators: BTreeMap<u32, Operator>,
    wake_at: BTreeMap<Address, Timestamp>,
    /// Frozen processes, with the number of faults that freeze each one and the messages
    /// held for it.
    pub(crate) frozen: BTreeMap<Address, (u32, Vec<Envelope>)>,
    /// Number of faults that keep each process down.
    pub(crate) down: BTreeMap<Address, u32>,
    /// Processes that were asked to shut down while frozen.
    pub(crate) stop_after_thaw: BTreeSet<Address>,
    /// Disk backups and when each was taken, by fault.
    pub(crate) backups: BTreeMap<usize, (Timestamp, SimulatedDisk)>,
    /// Time until which a disk rollback may still be undetected.
    pub(crate) rollback_detected_by: Timestamp,
    /// Time of the latest start of each replica.
    pub(crate) replica_starts: BTreeMap<u32, Timestamp>,
}

impl World {
    /// Creates a world in which no process has started yet.
    #[must_use]
    pub fn new(scenario: Scenario) -> Self {
        let topology = &scenario.topology;
        let zones = topology.zones;
        let replicas = (1..=topology.replicas).map(|one| (Address::Replica(one), one % zones));
        let gateways = (1..=topology.gateways).map(|one| (Address::Gateway(one), one % zones));
        let engines = (1..=topology.engines).map(|one| (Address::Engine(one), one % zones));
        let network = Network::new(replicas.chain(gateways).chain(engines).collect());
        let mut context = Context::new(scenario.seed, network);
        let mut clock = |position: u32| {
            let offset = context.random.random_range(0..MAX_CLOCK_OFFSET_MICROS);
            NodeClock::new(offset, scenario.clock_rates[position as usize])
        };
        let count = topology.replicas;
        let replicas = (1..=count).map(|one| (one, ReplicaNode::new(one, count, clock(one - 1))));
        let replicas = replicas.collect();
        let gateways = (1..=topology.gateways).map(|one| {
            let clock = clock(count + one - 1);
            (one, GatewayNode::new(one, count, clock))
        });
        let gateways = gateways.collect();
        let engines = (1..=topology.engines).map(|one| {
            let seed = context.random_id();
            (one, EngineNode::new(one, seed, &mut context))
        });
        Self {
            replicas,
            gateways,
            engines: engines.collect(),
            platform: PlatformNode::new(topology.engines, zones),
            clients: BTreeMap::new(),
            operators: BTreeMap::new(),
            wake_at: BTreeMap::new(),
            frozen: BTreeMap::new(),
            down: BTreeMap::new(),
            stop_after_thaw: BTreeSet::new(),
            backups: BTreeMap::new(),
            rollback_detected_by: Timestamp::ZERO,
            replica_starts: BTreeMap::new(),
            context,
            scenario,
        }
    }

    /// Starts every process and runs until everything has finished or the deadline has
    /// passed.
    pub fn run(&mut self) {
        self.start();
        let audit_at = self.scenario.faults_end() + AUDIT_AFTER;
        self.run_until(audit_at);
        let deadline = self.scenario.faults_end() + FINISHED_AFTER;
        self.run_until_done(deadline);
        self.audit();
        self.run_until_done(deadline);
    }

    fn start(&mut self) {
        for replica in self.replicas.keys().copied().collect::<Vec<_>>() {
            self.start_process(Address::Replica(replica));
        }
        for gateway in self.gateways.keys().copied().collect::<Vec<_>>() {
            self.start_process(Address::Gateway(gateway));
        }
        self.add_operator(0, Goal::DefineServices);
        for (position, fault) in self.scenario.faults.iter().enumerate() {
            if let Some(fault) = fault {
                let event = Event::FaultBegins(position);
                self.context.queue.push(fault.begins, event);
            }
        }
        for (position, work) in self.scenario.work.iter().enumerate() {
            if let Some(work) = work {
                let event = Event::WorkBegins(position);
                self.context.queue.push(work.begins, event);
            }
        }
    }

    fn run_until(&mut self, end: Timestamp) {
        while let Some((at, event)) = self.context.queue.pop(end) {
            self.context.now = at;
            self.process_event(event);
        }
        self.context.now = end;
    }

    fn run_until_done(&mut self, deadline: Timestamp) {
        while self.context.now < deadline && !self.is_done() {
            let look = Timestamp::from_millis(DONE_CHECK_INTERVAL_MS).0;
            let next = Timestamp(self.context.now.0 + look);
            self.run_until(next.min(deadline));
        }
    }

    /// Whether every caller and operator has its final outcome.
    fn is_done(&self) -> bool {
        self.clients.values().all(Client::is_done) && self.operators.values().all(Operator::is_done)
    }

    /// Makes callers with jobs and operators repeat their reads and confirmations.
    fn audit(&mut self) {
        for (number, client) in &mut self.clients {
            if let Client::Job(client) = client {
                client.audit(&mut self.context);
                let address = Address::Client(*number);
                schedule(&mut self.context, &mut self.wake_at, address, client);
            }
        }
        for (number, operator) in &mut self.operators {
            operator.resend_confirmation(&mut self.context);
            let address = Address::Operator(*number);
            schedule(&mut self.context, &mut self.wake_at, address, operator);
        }
    }

    fn process_event(&mut self, event: Event) {
        match event {
            Event::Deliver(envelope) => self.deliver(envelope),
            Event::Wake(address) => {
                if self.wake_at.get(&address) == Some(&self.context.now) {
                    self.wake_at.remove(&address);
                    if !self.frozen.contains_key(&address) {
                        self.with(address, |node, context| node.wake(context));
                    }
                }
            }
            Event::FaultBegins(position) => self.begin_fault(position),
            Event::FaultEnds(position) => self.end_fault(position),
            Event::WorkBegins(position) => self.begin_work(position),
            Event::Restart(address) => self.start_process(address),
        }
    }

    fn deliver(&mut self, envelope: Envelope) {
        let transport = envelope.message.transport();
        let network = &mut self.context.network;
        if !network.is_delivered(envelope.from, envelope.to, transport) {
            return;
        }
        if let Some((_, held)) = self.frozen.get_mut(&envelope.to) {
            held.push(envelope);
            return;
        }
        let Envelope { from, to, message } = envelope;
        self.with(to, |node, context| node.receive(context, from, message));
    }

    /// Lets a participant act and schedules its next wakeup.
    pub(crate) fn with(&mut self, address: Address, act: impl FnOnce(&mut dyn Node, &mut Context)) {
        let node: Option<&mut dyn Node> = match address {
            Address::Replica(number) => self.replicas.get_mut(&number).map(|node| node as _),
            Address::Gateway(number) => self.gateways.get_mut(&number).map(|node| node as _),
            Address::Engine(number) => self.engines.get_mut(&number).map(|node| node as _),
            Address::Platform => Some(&mut self.platform),
            Address::Client(number) => match self.clients.get_mut(&number) {
                Some(Client::Job(client)) => Some(client),
                Some(Client::Online(client)) => Some(client),
                None => None,
            },
            Address::Operator(number) => self.operators.get_mut(&number).map(|node| node as _),
        };
        if let Some(node) = node {
            act(node, &mut self.context);
            schedule(&mut self.context, &mut self.wake_at, address, node);
        }
    }

    /// Wakes a participant now, regardless of its timer.
    pub(crate) fn wake(&mut self, address: Address) {
        self.wake_at.remove(&address);
        self.with(address, |node, context| node.wake(context));
    }

    /// Starts a process unless a fault keeps it down.
    pub(crate) fn start_process(&mut self, address: Address) {
        if self.down.get(&address).copied().unwrap_or(0) > 0 {
            return;
        }
        let context = &mut self.context;
        match address {
            Address::Replica(number) => {
                if let Some(replica) = self.replicas.get_mut(&number) {
                    replica.start(context);
                    self.replica_starts.insert(number, context.now);
                }
            }
            Address::Gateway(number) => {
                if let Some(gateway) = self.gateways.get_mut(&number) {
                    gateway.start(context);
                }
            }
            Address::Engine(number) => {
                if let Some(engine) = self.engines.get_mut(&number) {
                    engine.start(context);
                    let life = engine.incarnation();
                    let live = MachineState::Live;
                    self.platform.set(context.now, number, life, live);
                }
            }
            _ => {}
        }
        self.wake(address);
    }

    fn begin_work(&mut self, position: usize) {
        let Some(planned) = self.scenario.work[position].clone() else {
            return;
        };
        let number = position as u32 + 1;
        let gateways = self.scenario.topology.gateways;
        let client = match planned.work {
            Work::Job(plan) => {
                let mut client = JobClient::new(number, gateways, plan);
                client.begin(&mut self.context);
                Client::Job(client)
            }
            Work::Online(plan) => {
                let mut client = OnlineClient::new(number, gateways, plan);
                client.begin(&mut self.context);
                Client::Online(client)
            }
            Work::Intent(plan) => return self.add_operator(number, Goal::Intent(plan)),
            Work::Order(plan) => return self.add_operator(number, Goal::Order(plan)),
        };
        self.clients.insert(number, client);
        self.wake(Address::Client(number));
    }

    fn add_operator(&mut self, number: u32, goal: Goal) {
        let mut operator = Operator::new(number, self.scenario.topology.replicas, goal);
        operator.begin(&mut self.context);
        self.operators.insert(number, operator);
        self.wake(Address::Operator(number));
    }

    /// Resumes a frozen process. Held messages of different connections are delivered in
    /// random order.
    pub(crate) fn thaw(&mut self, address: Address) {
        let Some((causes, _)) = self.frozen.get_mut(&address) else {
            return;
        };
        *causes -= 1;
        if *causes > 0 {
            return;
        }
        let Some((_, held)) = self.frozen.remove(&address) else {
            return;
        };
        let timers_first = self.context.random.random();
        if timers_first {
            self.wake(address);
        }
        for envelope in self.shuffled(held) {
            self.deliver(envelope);
        }
        if self.stop_after_thaw.remove(&address) {
            self.stop(address);
        }
        self.wake(address);
    }

    /// Returns the messages in a random order that preserves the order within each
    /// connection.
    fn shuffled(&mut self, held: Vec<Envelope>) -> Vec<Envelope> {
        let mut ranks: BTreeMap<u64, u64> = BTreeMap::new();
        let mut ranked: Vec<(u64, Envelope)> = Vec::with_capacity(held.len());
        for envelope in held {
            let fresh = self.context.random_id();
            let rank = match envelope.message.transport() {
                Transport::Stream(connection) => *ranks.entry(connection).or_insert(fresh),
                Transport::Datagram => fresh,
            };
            ranked.push((rank, envelope));
        }
        ranked.sort_by_key(|(rank, _)| *rank);
        ranked.into_iter().map(|(_, envelope)| envelope).collect()
    }

    /// Discards messages held for a frozen process that was killed.
    pub(crate) fn discard_held(&mut self, address: Address) {
        self.stop_after_thaw.remove(&address);
        if let Some((_, held)) = self.frozen.get_mut(&address) {
            held.clear();
        }
    }
}

/// Schedules the next wakeup of a participant.
fn schedule(
    context: &mut Context,
    wake_at: &mut BTreeMap<Address, Timestamp>,
    address: Address,
    node: &dyn Node,
) {
    let wanted = node.next_wakeup().map(|at| at.max(context.now));
    let Some(at) = wanted else {
        wake_at.remove(&address);
        return;
    };
    if wake_at.get(&address) != Some(&at) {
        wake_at.insert(address, at);
        context.queue.push(at, Event::Wake(address));
    }
}
