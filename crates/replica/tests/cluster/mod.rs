//! A cluster of replica processes on virtual time, with a seeded network and
//! simulated disks.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod jobs;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use molespan_replica::{
    Consistency, Input, Output, Refusal, ReplicaCore, ReplicaError, ReplicaEvent, ReplicaSettings,
    ReplicaStatus, Ticket,
};
use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, ControlAnswer, ControlCommand, ControlQuery, ControlReply,
    IntentNumber, Policy,
};
use molespan_storage::{LogSettings, SimulatedDisk};
use molespan_types::{ConfigVersion, GroupId, NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The result of a request.
pub type Answer = Result<Vec<u8>, Refusal>;

/// A message in flight.
struct Packet {
    from: NodeId,
    to: NodeId,
    group: GroupId,
    bytes: Vec<u8>,
}

/// A simulated cluster: nodes, their disks and the network.
pub struct Cluster {
    pub now: Timestamp,
    pub random: ChaCha8Rng,
    pub disks: BTreeMap<NodeId, SimulatedDisk>,
    pub cores: BTreeMap<NodeId, ReplicaCore<SimulatedDisk>>,
    pub events: Vec<(NodeId, ReplicaEvent)>,
    pub errors: Vec<(NodeId, ReplicaError)>,
    pub answers: HashMap<Ticket, Answer>,
    /// Directed links, from sender to receiver, that drop all messages.
    pub cut_links: BTreeSet<(NodeId, NodeId)>,
    pub loss: f64,
    pub bytes_sent: u64,
    network: BTreeMap<(Timestamp, u64), Packet>,
    /// A node whose messages are withheld until [`Cluster::deliver_reversed`].
    pub withheld_for: Option<NodeId>,
    withheld: Vec<Input>,
    last_ticket: u64,
    last_message: u64,
    pub job_groups: u32,
    /// Whether nodes start for the first time and know the founders, if members are
    /// discovered.
    pub first_start: bool,
    tune: fn(&mut ReplicaSettings),
}

pub fn node(number: u32) -> NodeId {
    NodeId(number)
}

impl Cluster {
    /// Returns a cluster of `size` blank nodes, all started.
    pub fn new(size: u32, seed: u64) -> Self {
        Self::with_settings(size, seed, |_| {})
    }

    pub fn with_settings(size: u32, seed: u64, tune: fn(&mut ReplicaSettings)) -> Self {
        let mut cluster = Self::stopped(size, seed, tune);
        for node in cluster.nodes() {
            cluster.start(node);
        }
        cluster
    }

    /// Returns a cluster of `size` blank nodes, none started.
    pub fn stopped(size: u32, seed: u64, tune: fn(&mut ReplicaSettings)) -> Self {
        let nodes = (1..=size).map(NodeId);
        Self {
            now: Timestamp::from_millis(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            disks: nodes.map(|node| (node, SimulatedDisk::new())).collect(),
            cores: BTreeMap::new(),
            events: Vec::new(),
            errors: Vec::new(),
            answers: HashMap::new(),
            cut_links: BTreeSet::new(),
            loss: 0.0,
            bytes_sent: 0,
            network: BTreeMap::new(),
            withheld_for: None,
            withheld: Vec::new(),
            last_ticket: 0,
            last_message: 0,
            job_groups: 2,
            first_start: true,
            tune,
        }
    }

    /// Returns the first running node other than `node`.
    pub fn other_than(&self, node: NodeId) -> NodeId {
        let mut others = self.cores.keys().copied();
        others.find(|&other| other != node).expect("there is one")
    }

    pub fn nodes(&self) -> Vec<NodeId> {
        self.disks.keys().copied().collect()
    }

    fn settings(&mut self, node: NodeId) -> ReplicaSettings {
        let mut settings = ReplicaSettings::new(node, self.nodes(), self.random.random());
        settings.job_groups = self.job_groups;
        settings.log = LogSettings {
            segment_bytes: 64 << 10,
            reserve_bytes: 16 << 10,
        };
        (self.tune)(&mut settings);
        if let Some(discovery) = &mut settings.discovery
            && !self.first_start
        {
            discovery.founders.clear();
        }
        settings
    }

    /// Starts a node from its disk.
    pub fn start(&mut self, node: NodeId) {
        let settings = self.settings(node);
        match ReplicaCore::open(self.disks[&node].clone(), settings, self.now) {
            Ok(core) => {
                self.cores.insert(node, core);
                self.poll(node);
            }
            Err(error) => self.errors.push((node, error)),
        }
    }

    /// Kills a node; its disk loses all data that was not synced.
    pub fn kill(&mut self, node: NodeId) {
        self.cores.remove(&node);
        let seed = self.random.random();
        self.disks[&node].crash(seed);
    }

    pub fn restart(&mut self, node: NodeId) {
        self.kill(node);
        self.start(node);
    }

    /// Kills a node, blanks its disk and starts it again.
    pub fn lose_disk(&mut self, node: NodeId) {
        self.kill(node);
        self.disks[&node].erase();
        self.start(node);
    }

    /// Disconnects a node from all others in both directions, or reconnects it.
    pub fn isolate(&mut self, node: NodeId, isolated: bool) {
        for other in self.nodes() {
            for pair in [(node, other), (other, node)] {
                if isolated {
                    self.cut_links.insert(pair);
                } else {
                    self.cut_links.remove(&pair);
                }
            }
        }
    }

    fn poll(&mut self, node: NodeId) {
        let Some(core) = self.cores.get_mut(&node) else {
            return;
        };
        match core.poll(self.now) {
            Ok(outputs) => {
                for output in outputs {
                    self.handle_output(node, output);
                }
            }
            Err(error) => {
                self.errors.push((node, error));
                self.cores.remove(&node);
            }
        }
    }

    fn handle_output(&mut self, from: NodeId, output: Output) {
        match output {
            Output::Send { to, group, bytes } => self.send(from, to, group, bytes),
            Output::Reply { ticket, result } => {
                let earlier = self.answers.insert(ticket, result);
                assert!(earlier.is_none(), "two answers to {ticket:?}");
            }
            Output::Event(event) => self.events.push((from, event)),
            Output::LeaderChanged { .. }
            | Output::ConfigurationChanged { .. }
            | Output::StateChanged { .. } => {}
        }
    }

    fn send(&mut self, from: NodeId, to: NodeId, group: GroupId, bytes: Vec<u8>) {
        self.bytes_sent += bytes.len() as u64;
        let lost = self.random.random_bool(self.loss);
        if lost || self.cut_links.contains(&(from, to)) {
            return;
        }
        self.last_message += 1;
        let delay = Duration::from_micros(self.random.random_range(300..2_000));
        let key = (self.now + delay, self.last_message);
        let packet = Packet {
            from,
            to,
            group,
            bytes,
        };
        self.network.insert(key, packet);
    }

    /// Processes the next event: delivers a message or polls a node whose deadline has
    /// passed. Returns false if there is none up to `end`.
    fn advance(&mut self, end: Timestamp) -> bool {
        let arrival = self.network.first_key_value().map(|((at, _), _)| *at);
        let deadlines = self.cores.iter();
        let timer = deadlines
            .map(|(&node, core)| (core.next_deadline().max(self.now), node))
            .min();
        let at = [arrival, timer.map(|(at, _)| at)];
        let Some(at) = at.into_iter().flatten().min().filter(|&at| at <= end) else {
            self.now = end;
            return false;
        };
        self.now = self.now.max(at);
        if arrival == Some(at) {
            let Some((_, packet)) = self.network.pop_first() else {
                return false;
            };
            if self.cut_links.contains(&(packet.from, packet.to)) {
                return true;
            }
            let message = Input::Message {
                from: packet.from,
                group: packet.group,
                bytes: packet.bytes,
            };
            if self.withheld_for == Some(packet.to) {
                self.withheld.push(message);
            } else {
                self.input(packet.to, message);
            }
        } else if let Some((_, node)) = timer {
            self.poll(node);
        }
        true
    }

    /// Delivers the withheld messages to their node in reverse order.
    pub fn deliver_reversed(&mut self) {
        let Some(node) = self.withheld_for.take() else {
            return;
        };
        for message in std::mem::take(&mut self.withheld).into_iter().rev() {
            self.input(node, message);
        }
    }

    pub fn input(&mut self, node: NodeId, input: Input) {
        if let Some(core) = self.cores.get_mut(&node) {
            core.handle(self.now, input);
            self.poll(node);
        }
    }

    pub fn run_for(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.advance(end) {}
    }

    /// Runs until `done` returns true; panics after one minute of virtual time.
    pub fn run_until(&mut self, what: &str, mut done: impl FnMut(&Self) -> bool) {
        let end = self.now + Duration::from_secs(60);
        while !done(self) {
            assert!(self.advance(end), "{what}: {:#?}", self.statuses());
        }
    }

    pub fn statuses(&self) -> Vec<ReplicaStatus> {
        self.cores.values().map(ReplicaCore::status).collect()
    }

    pub fn leader(&self, group: GroupId) -> Option<NodeId> {
        let leads_group =
            |core: &ReplicaCore<SimulatedDisk>| core.status().leads().any(|led| led == group);
        let mut leaders = self.cores.iter().filter(|(_, core)| leads_group(core));
        leaders.next().map(|(&node, _)| node)
    }

    /// Runs until every group has a leader; returns the leader of the control group.
    pub fn run_until_leaders(&mut self) -> NodeId {
        let groups = self.job_groups;
        self.run_until("leaders", |cluster| {
            (0..=groups).all(|group| cluster.leader(GroupId(group)).is_some())
        });
        self.leader(GroupId::CONTROL).expect("there is one")
    }

    pub fn ticket(&mut self) -> Ticket {
        self.last_ticket += 1;
        Ticket(self.last_ticket)
    }

    pub fn propose_to(&mut self, node: NodeId, group: GroupId, command: Vec<u8>) -> Ticket {
        let ticket = self.ticket();
        let input = Input::Propose {
            ticket,
            group,
            command,
        };
        self.input(node, input);
        ticket
    }

    /// Proposes to the current leader, with retries, until the command is committed.
    pub fn commit(&mut self, group: GroupId, command: &[u8]) -> Vec<u8> {
        let reply = self.try_commit(group, command, &|_| false);
        reply.unwrap_or_else(|| panic!("the command was not committed: {:#?}", self.statuses()))
    }

    /// Proposes to the current leader, with retries, until the command is committed or
    /// `stopped` returns true.
    pub fn try_commit(
        &mut self,
        group: GroupId,
        command: &[u8],
        stopped: &impl Fn(&Self) -> bool,
    ) -> Option<Vec<u8>> {
        for _ in 0..200 {
            if stopped(self) {
                return None;
            }
            let Some(leader) = self.leader(group) else {
                self.run_for(Duration::from_millis(50));
                continue;
            };
            let ticket = self.propose_to(leader, group, command.to_vec());
            let end = self.now + Duration::from_secs(10);
            while !self.answers.contains_key(&ticket) && !stopped(self) && self.advance(end) {}
            match self.answers.get(&ticket) {
                Some(Ok(reply)) => return Some(reply.clone()),
                _ => self.run_for(Duration::from_millis(50)),
            }
        }
        None
    }

    /// Confirms an intent; returns the new version, or `None` if `stopped` returned true.
    pub fn try_confirm(
        &mut self,
        number: u64,
        base: ConfigVersion,
        stopped: &impl Fn(&Self) -> bool,
    ) -> Option<ConfigVersion> {
        let reply = self.try_commit(GroupId::CONTROL, &intent(number, base), stopped)?;
        match molespan_state::decode(&reply) {
            Ok(ControlReply::Confirm(ConfirmReply::Confirmed { version })) => Some(version),
            other => panic!("{other:?}"),
        }
    }

    /// Confirms an intent with this number; returns the reply.
    pub fn confirm(&mut self, number: u64, base: ConfigVersion) -> ConfirmReply {
        let reply = self.commit(GroupId::CONTROL, &intent(number, base));
        match molespan_state::decode(&reply) {
            Ok(ControlReply::Confirm(reply)) => reply,
            other => panic!("{other:?}"),
        }
    }

    /// Confirms intents 1 to `count`, each based on the previous version.
    pub fn confirm_many(&mut self, count: u64) {
        for number in 1..=count {
            let base = ConfigVersion(number - 1);
            let version = ConfigVersion(number);
            let reply = self.confirm(number, base);
            assert_eq!(reply, ConfirmReply::Confirmed { version });
        }
    }

    /// Queries one node for the version of the configuration.
    pub fn version_at(&mut self, node: NodeId, consistency: Consistency) -> Option<ConfigVersion> {
        let ticket = self.ticket();
        let query = Input::Query {
            ticket,
            group: GroupId::CONTROL,
            consistency,
            query: molespan_state::encode(&ControlQuery::Configuration),
        };
        self.input(node, query);
        let end = self.now + Duration::from_secs(3);
        while !self.answers.contains_key(&ticket) && self.advance(end) {}
        let answer = self.answers.get(&ticket)?.as_ref().ok()?;
        match molespan_state::decode(answer) {
            Ok(ControlAnswer::Configuration(Some(configuration))) => Some(configuration.version),
            other => panic!("{other:?}"),
        }
    }

    /// Runs until all nodes participate and have applied the same entries in all groups.
    pub fn run_until_in_sync(&mut self) {
        self.run_until("equal replicas", |cluster| {
            let applied = |status: &ReplicaStatus| -> Vec<u64> {
                status.groups.iter().map(|group| group.applied).collect()
            };
            let statuses = cluster.statuses();
            let first = applied(&statuses[0]);
            let all = statuses.len() == cluster.disks.len();
            all && statuses
                .iter()
                .all(|status| applied(status) == first && status.takes_part)
        });
    }

    /// Whether the voters of each group are exactly the current incarnations of all nodes.
    pub fn all_nodes_vote(&self) -> bool {
        let members: BTreeSet<(NodeId, u32)> = self
            .statuses()
            .iter()
            .map(|status| (status.node, status.incarnation))
            .collect();
        members.len() == self.disks.len()
            && self.statuses().iter().all(|status| {
                status
                    .groups
                    .iter()
                    .all(|group| group.voters.iter().copied().collect::<BTreeSet<_>>() == members)
            })
    }
}

/// Returns an encoded intent that changes the policy.
pub fn intent(number: u64, base_version: ConfigVersion) -> Vec<u8> {
    let policy = Policy {
        tail_protection: (number % 100) as u8,
    };
    let confirm = ConfirmIntent {
        number: IntentNumber(number),
        operator: "operator".to_owned(),
        base_version,
        changes: vec![Change::PutPolicy { policy }],
    };
    molespan_state::encode(&ControlCommand::Confirm(confirm))
}
