//! A group of nodes on virtual time.

use std::collections::BTreeMap;

use molespan_consensus::{
    Config, Index, Membership, Outgoing, Persisted, ReadReady, ReplicaId, Role,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::checker::Checker;
use crate::network::{Network, Packet};
use crate::node::{Disk, Node, PendingSync};

/// Ticks after which the next part of a snapshot is requested again.
const CHUNK_RETRY_TICKS: u64 = 4;

/// Maximum time to wait for a condition, in ticks.
const MAX_WAIT_TICKS: u64 = 3_000;

pub struct Cluster {
    pub nodes: BTreeMap<ReplicaId, Node>,
    pub network: Network,
    pub checker: Checker,
    pub random: ChaCha8Rng,
    pub now: u64,
    /// Maximum duration of a sync, in ticks.
    pub sync_ticks: u64,
    /// Applied entries between two snapshots; 0 disables snapshots.
    pub compact_every: u64,
    configure: fn(&mut Config),
    proposals: u64,
    reads: u64,
}

impl Cluster {
    pub fn new(voters: u64, seed: u64) -> Self {
        Self::with_config(voters, seed, |_| {})
    }

    pub fn with_config(voters: u64, seed: u64, configure: fn(&mut Config)) -> Self {
        let ids: Vec<ReplicaId> = (1..=voters).map(ReplicaId).collect();
        let disk = Disk {
            persisted: Persisted::bootstrap(Membership::of_voters(ids.iter().copied())),
            snapshot_commands: Vec::new(),
        };
        let mut cluster = Self {
            nodes: BTreeMap::new(),
            network: Network::default(),
            checker: Checker::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
            now: 0,
            sync_ticks: 0,
            compact_every: 0,
            configure,
            proposals: 0,
            reads: 0,
        };
        for id in ids {
            cluster.start(id, disk.clone());
        }
        cluster
    }

    pub fn start(&mut self, id: ReplicaId, disk: Disk) {
        let mut config = Config::new(id);
        config.seed = self.random.random();
        (self.configure)(&mut config);
        self.nodes.insert(id, Node::start(config, disk));
    }

    pub fn node(&mut self, id: ReplicaId) -> &mut Node {
        self.nodes.get_mut(&id).unwrap()
    }

    pub fn crash(&mut self, id: ReplicaId) {
        self.node(id).running = None;
    }

    pub fn restart(&mut self, id: ReplicaId) {
        self.node(id).restart();
    }

    /// Returns the running leader of the latest term.
    pub fn leader(&self) -> Option<ReplicaId> {
        let replicas = self.nodes.values().filter_map(|node| node.running.as_ref());
        replicas
            .map(|running| &running.replica)
            .filter(|replica| replica.role() == Role::Leader)
            .max_by_key(|replica| replica.term())
            .map(|replica| replica.id())
    }

    pub fn elect(&mut self) -> ReplicaId {
        self.wait("a leader", |cluster| cluster.leader().is_some());
        self.leader().unwrap()
    }

    /// Proposes a new command on `id`; returns whether it was accepted.
    pub fn propose(&mut self, id: ReplicaId) -> bool {
        self.proposals += 1;
        let command = self.proposals.to_be_bytes().to_vec();
        let accepted = self.node(id).replica().propose(command).is_ok();
        self.process_ready(id);
        accepted
    }

    /// Requests a read from `id`; returns whether it was accepted.
    pub fn read(&mut self, id: ReplicaId) -> bool {
        self.reads += 1;
        let (context, committed) = (self.reads, self.checker.last());
        let running = self.node(id).running.as_mut().unwrap();
        let accepted = running.replica.read_index(context).is_ok();
        if accepted {
            running.reads.insert(context, committed);
        }
        self.process_ready(id);
        accepted
    }

    pub fn run(&mut self, ticks: u64) {
        for _ in 0..ticks {
            self.tick();
        }
    }

    pub fn wait(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + MAX_WAIT_TICKS;
        while !holds(self) {
            assert!(self.now < end, "no {what} within {MAX_WAIT_TICKS} ticks");
            self.tick();
        }
    }

    pub fn tick(&mut self) {
        self.now += 1;
        let running: Vec<ReplicaId> = self.running();
        for id in running {
            self.node(id).replica().tick();
            self.finish_sync(id);
            self.request_chunk(id);
            self.process_ready(id);
        }
        while let Some((from, to, packet)) = self.network.take_due(self.now) {
            self.receive(from, to, packet);
        }
    }

    pub fn running(&self) -> Vec<ReplicaId> {
        let nodes = self.nodes.iter();
        nodes
            .filter(|(_, node)| node.running.is_some())
            .map(|(id, _)| *id)
            .collect()
    }

    fn receive(&mut self, from: ReplicaId, to: ReplicaId, packet: Packet) {
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        if node.running.is_none() {
            return;
        }
        match packet {
            Packet::Consensus(message) => node.replica().step(from, message),
            Packet::Pull { snapshot, position } => self.send_chunk(to, from, snapshot, position),
            Packet::Chunk {
                meta,
                position,
                total,
                command,
            } => {
                let fetch = node.running.as_mut().unwrap().fetch.as_mut();
                let Some(fetch) = fetch.filter(|fetch| fetch.meta == meta) else {
                    return;
                };
                if fetch.commands.len() == position {
                    fetch.commands.extend(command);
                    fetch.requested_at = 0;
                }
                if fetch.commands.len() == total {
                    let fetch = node.running.as_mut().unwrap().fetch.take().unwrap();
                    assert_eq!(fetch.commands, self.checker.commands(meta.index));
                    node.install(&meta, fetch.commands);
                }
                self.request_chunk(to);
            }
        }
        self.process_ready(to);
    }

    /// Sends one command of the stored snapshot.
    fn send_chunk(&mut self, id: ReplicaId, to: ReplicaId, snapshot: Index, position: usize) {
        let disk = &self.nodes[&id].disk;
        let Some(meta) = disk.persisted.snapshot.clone() else {
            return;
        };
        if meta.index != snapshot {
            return;
        }
        let chunk = Packet::Chunk {
            meta,
            position,
            total: disk.snapshot_commands.len(),
            command: disk.snapshot_commands.get(position).cloned(),
        };
        self.send(id, to, chunk);
    }

    /// Requests the next command of a snapshot, if a request is due.
    fn request_chunk(&mut self, id: ReplicaId) {
        let now = self.now;
        let Some(running) = self.node(id).running.as_mut() else {
            return;
        };
        let Some(fetch) = running.fetch.as_mut() else {
            return;
        };
        if fetch.requested_at + CHUNK_RETRY_TICKS > now && fetch.requested_at > 0 {
            return;
        }
        fetch.requested_at = now;
        let (to, snapshot, position) = (fetch.from, fetch.meta.index, fetch.commands.len());
        self.send(id, to, Packet::Pull { snapshot, position });
    }

    fn send(&mut self, from: ReplicaId, to: ReplicaId, packet: Packet) {
        self.network
            .send(self.now, &mut self.random, (from, to), packet);
    }

    fn send_all(&mut self, from: ReplicaId, messages: Vec<Outgoing>) {
        for Outgoing { to, message } in messages {
            self.send(from, to, Packet::Consensus(message));
        }
    }

    /// Processes all pending work of a replica.
    pub fn process_ready(&mut self, id: ReplicaId) {
        while let Some(running) = self.node(id).running.as_mut() {
            let Some(mut ready) = running.replica.ready() else {
                break;
            };
            assert_eq!(ready.fault, None, "replica {id} stopped");
            if let Some(offer) = ready.snapshot_offer.take() {
                running.start_fetch(offer);
            }
            for entry in std::mem::take(&mut ready.committed) {
                self.checker.record_applied(id, &entry);
                self.node(id).running.as_mut().unwrap().apply(entry);
            }
            self.answer(id, &ready.reads, &ready.failed_reads);
            self.send_all(id, std::mem::take(&mut ready.messages));
            if ready.needs_sync() {
                let done_at = self.now + self.random.random_range(0..=self.sync_ticks);
                self.node(id).running.as_mut().unwrap().pending_sync =
                    Some(PendingSync { ready, done_at });
                self.finish_sync(id);
            } else {
                self.send_all(id, ready.messages_after_sync);
            }
        }
        self.check(id);
    }

    fn answer(&mut self, id: ReplicaId, reads: &[ReadReady], failed: &[u64]) {
        let running = self.node(id).running.as_mut().unwrap();
        for read in reads {
            let committed = running.reads.remove(&read.context).unwrap();
            assert!(read.index >= committed, "replica {id} answers a stale read");
            running.answered_reads += 1;
        }
        running.failed_reads += failed.len();
    }

    fn finish_sync(&mut self, id: ReplicaId) {
        let now = self.now;
        let node = self.node(id);
        let Some(running) = node.running.as_mut() else {
            return;
        };
        if running
            .pending_sync
            .as_ref()
            .is_none_or(|pending_sync| pending_sync.done_at > now)
        {
            return;
        }
        let PendingSync { ready, .. } = running.pending_sync.take().unwrap();
        node.disk.store(ready.hard_state, &ready.entries);
        node.replica().persisted();
        self.send_all(id, ready.messages_after_sync);
    }

    fn check(&mut self, id: ReplicaId) {
        let compact_every = self.compact_every;
        let Some(running) = self.node(id).running.as_ref() else {
            return;
        };
        let status = running.replica.status();
        let due = running.applied.0 >= status.snapshot_index.0 + compact_every;
        if compact_every > 0 && due {
            self.node(id).compact();
        }
        if status.role == Role::Leader {
            self.checker.record_leader(id, status.term);
        }
    }

    /// Ends all faults, and expects the members to agree and commit further entries.
    pub fn expect_recovery(&mut self) {
        self.network.heal();
        self.network.fault_rates = crate::network::FaultRates::default();
        for id in self.nodes.keys().copied().collect::<Vec<_>>() {
            if self.node(id).running.is_none() {
                self.restart(id);
            }
        }
        let before = self.checker.last();
        // Lets transfers in progress complete or be aborted.
        self.run(100);
        let leader = self.elect();
        assert!(self.propose(leader), "the leader rejected a command");
        self.wait("agreement", |cluster| {
            let last = cluster.checker.last();
            let members = cluster.members();
            let all_applied = members.iter().all(|id| cluster.applied(*id) == last);
            last > before && all_applied
        });
        let last = self.checker.last();
        let commands = self.checker.commands(last);
        for id in self.members() {
            assert_eq!(self.node(id).running.as_ref().unwrap().commands, commands);
        }
    }

    /// Returns the members according to the leader; empty if there is no leader.
    pub fn members(&self) -> Vec<ReplicaId> {
        let Some(leader) = self.leader() else {
            return Vec::new();
        };
        let running = self.nodes[&leader].running.as_ref().unwrap();
        running.replica.membership().members().into_iter().collect()
    }

    pub fn applied(&self, id: ReplicaId) -> Index {
        let running = self.nodes[&id].running.as_ref();
        running.map_or(Index::ZERO, |running| running.applied)
    }
}
