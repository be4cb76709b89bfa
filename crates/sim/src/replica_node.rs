//! A replica process: the replica core over a simulated disk.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_membership::GatewayRecord;
use molespan_replica::{Input, Output, ReplicaCore, ReplicaSettings, ReplicaStatus, Ticket};
use molespan_storage::{LogSettings, SimulatedDisk};
use molespan_types::{GroupId, NodeId, Timestamp};

use crate::address::{Address, replica_node};
use crate::clock::NodeClock;
use crate::context::Context;
use crate::event::Event;
use crate::message::{Message, Operation};
use crate::node::Node;
use crate::scenario::LEASE;

/// Name of the checker for a single leader per term.
pub const SINGLE_LEADER: &str = "single-leader";
/// Name of the checker for replicas that stop without a disk fault.
pub const REPLICA_STOPPED: &str = "replica-stopped";
/// Number of job groups in every run.
pub const JOB_GROUPS: u32 = 2;
/// Substring of the error of a replica that cannot empty its full disk.
const EMPTYING: &str = "emptying";
/// Idle time after which a gateway is no longer reported as live.
const GATEWAY_LIVE_FOR: Duration = Duration::from_secs(2);
/// Delay after which a process that stopped by itself is restarted.
const RESTART_DELAY: Duration = Duration::from_millis(300);

/// A replica process.
#[derive(Debug)]
pub struct ReplicaNode {
    number: u32,
    peers: Vec<NodeId>,
    clock: NodeClock,
    /// The disk, which survives the process.
    pub disk: SimulatedDisk,
    core: Option<ReplicaCore<SimulatedDisk>>,
    tickets: BTreeMap<Ticket, (Address, u64)>,
    last_ticket: u64,
    gateways: BTreeMap<NodeId, (GatewayRecord, Timestamp)>,
    /// Whether a disk fault explains a stop of the process.
    pub stop_expected: bool,
    /// Whether the disk is full, in which case the process may fail to start.
    pub disk_full: bool,
}

impl ReplicaNode {
    /// Creates a replica that was never started, with a blank disk.
    #[must_use]
    pub fn new(number: u32, replicas: u32, clock: NodeClock) -> Self {
        Self {
            number,
            peers: (1..=replicas).map(replica_node).collect(),
            clock,
            disk: SimulatedDisk::new(),
            core: None,
            tickets: BTreeMap::new(),
            last_ticket: 0,
            gateways: BTreeMap::new(),
            stop_expected: false,
            disk_full: false,
        }
    }

    fn address(&self) -> Address {
        Address::Replica(self.number)
    }

    /// Starts the process from its disk.
    pub fn start(&mut self, context: &mut Context) {
        if self.core.is_some() {
            return;
        }
        let now = self.clock.local(context.now);
        let settings = self.settings(context.random_id());
        match ReplicaCore::open(self.disk.clone(), settings, now) {
            Ok(core) => {
                self.core = Some(core);
                self.poll(context);
            }
            Err(error) => self.stopped(context, &error.to_string(), self.disk_full),
        }
    }

    fn settings(&self, seed: u64) -> ReplicaSettings {
        let mut settings =
            ReplicaSettings::new(replica_node(self.number), self.peers.clone(), seed);
        settings.job_groups = JOB_GROUPS;
        settings.lease_length = LEASE;
        settings.claim_timeout = 2 * LEASE;
        settings.snapshot_every_entries = 80;
        settings.election_ticks = 6;
        settings.proposal_timeout = Duration::from_secs(2);
        settings.chunk_bytes = 8 << 10;
        settings.log = LogSettings {
            segment_bytes: 32 << 10,
            reserve_bytes: 8 << 10,
        };
        settings
    }

    /// Kills the process; the disk loses data that was not synced.
    pub fn kill(&mut self, context: &mut Context) {
        self.core = None;
        self.tickets.clear();
        self.gateways.clear();
        self.disk.crash(context.random_id());
    }

    /// Returns the replica's own status while the process runs.
    #[must_use]
    pub fn status(&self) -> Option<ReplicaStatus> {
        self.core.as_ref().map(ReplicaCore::status)
    }

    fn stopped(&mut self, context: &mut Context, error: &str, expected: bool) {
        self.core = None;
        self.tickets.clear();
        self.disk.crash(context.random_id());
        let text = format!("replica {} stops: {error}", self.number);
        context.history.note(context.now, text.clone());
        if !self.stop_expected && !expected {
            context
                .history
                .record_violation(context.now, REPLICA_STOPPED, text);
        }
        let at = context.now + RESTART_DELAY;
        let address = self.address();
        context.queue.push(at, Event::Restart(address));
    }

    fn poll(&mut self, context: &mut Context) {
        let now = self.clock.local(context.now);
        let Some(core) = &mut self.core else {
            return;
        };
        match core.poll(now) {
            Ok(outputs) => {
                for output in outputs {
                    self.execute_output(context, output);
                }
            }
            Err(error) => {
                // Ending the incarnation of a disk requires space for one small file.
                let text = error.to_string();
                let expected = self.disk_full && text.contains(EMPTYING);
                self.stopped(context, &text, expected);
            }
        }
    }

    fn execute_output(&mut self, context: &mut Context, output: Output) {
        let from = self.address();
        match output {
            Output::Send { to, group, bytes } => {
                let to = Address::of_node(to);
                context.send(from, to, Message::Peer { group, bytes });
            }
            Output::Reply { ticket, result } => {
                if let Some((to, call)) = self.tickets.remove(&ticket) {
                    context.send(from, to, Message::CallReply { call, result });
                }
            }
            Output::LeaderChanged { group, leader } => {
                if leader == Some(replica_node(self.number)) {
                    self.record_leadership(context, group);
                }
            }
            Output::ConfigurationChanged { .. } | Output::StateChanged { .. } => {}
            Output::Event(event) => {
                let text = format!("replica {}: {event}", self.number);
                context.history.note(context.now, text);
            }
        }
    }

    /// Records leadership and checks that no other replica led the group in the same term.
    fn record_leadership(&mut self, context: &mut Context, group: GroupId) {
        let Some(status) = self.status() else {
            return;
        };
        let leads = |one: &&molespan_replica::GroupStatus| one.group == group && one.leads;
        let Some(led) = status.groups.iter().find(leads) else {
            return;
        };
        let own = (status.node, status.incarnation);
        let text = format!(
            "replica {} leads group {group} in term {}",
            self.number, led.term
        );
        context.history.note(context.now, text);
        let key = (group, led.term);
        let first = *context.history.leaders.entry(key).or_insert(own);
        if first != own {
            let message = format!(
                "group {group} has two leaders in term {}: nodes {} and {}",
                led.term, first.0, own.0
            );
            context
                .history
                .record_violation(context.now, SINGLE_LEADER, message);
        }
    }

    fn call(&mut self, context: &mut Context, from: Address, call: (u64, GroupId, Operation)) {
        let (call, group, operation) = call;
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let input = match operation {
            Operation::Propose(command) => Input::Propose {
                ticket,
                group,
                command: command.to_vec(),
            },
            Operation::Query(consistency, query) => Input::Query {
                ticket,
                group,
                consistency,
                query: query.to_vec(),
            },
        };
        self.tickets.insert(ticket, (from, call));
        self.input(context, input);
    }

    fn input(&mut self, context: &mut Context, input: Input) {
        let now = self.clock.local(context.now);
        if let Some(core) = &mut self.core {
            core.handle(now, input);
            self.poll(context);
        }
    }

    fn heartbeat(
        &mut self,
        context: &mut Context,
        from: Address,
        record: GatewayRecord,
        sent: Timestamp,
    ) {
        let leads = self
            .status()
            .is_some_and(|status| status.leads().any(|group| group == GroupId::CONTROL));
        if !leads {
            self.gateways.clear();
            return;
        }
        let now = self.clock.local(context.now);
        let known = self.gateways.get(&record.node);
        if known.is_none_or(|(known, _)| record.incarnation >= known.incarnation) {
            self.gateways.insert(record.node, (record, now));
        }
        self.gateways
            .retain(|_, (_, seen)| now.since(*seen) < GATEWAY_LIVE_FOR);
        let records = self.gateways.values().map(|(record, _)| record.clone());
        let records = records.collect();
        let own = self.address();
        context.send(own, from, Message::Gateways { sent, records });
    }
}

impl Node for ReplicaNode {
    fn receive(&mut self, context: &mut Context, from: Address, message: Message) {
        match message {
            Message::Peer { group, bytes } => {
                let Address::Replica(number) = from else {
                    return;
                };
                let from = replica_node(number);
                self.input(context, Input::Message { from, group, bytes });
            }
            Message::Call {
                call,
                group,
                operation,
            } => self.call(context, from, (call, group, operation)),
            Message::Heartbeat { record, sent } => self.heartbeat(context, from, record, sent),
            _ => {}
        }
    }

    fn wake(&mut self, context: &mut Context) {
        self.poll(context);
    }

    fn next_wakeup(&self) -> Option<Timestamp> {
        let core = self.core.as_ref()?;
        Some(self.clock.world(core.next_deadline()))
    }
}
