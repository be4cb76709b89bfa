//! A replica with its disk and its state machine, which is a list of commands.

use std::collections::BTreeMap;

use molespan_consensus::{
    Config, Entry, EntryKind, HardState, Index, Persisted, Ready, Replica, ReplicaId, SnapshotMeta,
    SnapshotOffer,
};

/// The state that survives a crash.
#[derive(Clone, Debug, Default)]
pub struct Disk {
    pub persisted: Persisted,
    pub snapshot_commands: Vec<Vec<u8>>,
}

/// A write whose sync is in progress.
#[derive(Debug)]
pub struct PendingSync {
    pub ready: Ready,
    pub done_at: u64,
}

/// A snapshot fetch in progress.
#[derive(Debug)]
pub struct Fetch {
    pub from: ReplicaId,
    pub meta: SnapshotMeta,
    pub commands: Vec<Vec<u8>>,
    pub requested_at: u64,
}

/// The state that is lost in a crash.
#[derive(Debug)]
pub struct Running {
    pub replica: Replica,
    pub commands: Vec<Vec<u8>>,
    pub applied: Index,
    pub pending_sync: Option<PendingSync>,
    pub fetch: Option<Fetch>,
    /// Pending reads by context, each with the last committed index at the time of
    /// the request.
    pub reads: BTreeMap<u64, Index>,
    pub failed_reads: usize,
    pub answered_reads: usize,
}

#[derive(Debug)]
pub struct Node {
    pub config: Config,
    pub disk: Disk,
    pub running: Option<Running>,
}

impl Disk {
    pub fn store(&mut self, hard_state: Option<HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.persisted.hard_state = hard_state;
        }
        if let Some(first) = entries.first() {
            let stored = &mut self.persisted.entries;
            stored.retain(|entry| entry.index < first.index);
            stored.extend_from_slice(entries);
        }
    }

    fn store_snapshot(&mut self, meta: SnapshotMeta, commands: Vec<Vec<u8>>, whole_log: bool) {
        let index = meta.index;
        let stored = &mut self.persisted.entries;
        stored.retain(|entry| !whole_log && entry.index > index);
        self.persisted.snapshot = Some(meta);
        self.snapshot_commands = commands;
    }
}

impl Node {
    pub fn start(config: Config, disk: Disk) -> Self {
        let mut node = Self {
            config,
            disk,
            running: None,
        };
        node.restart();
        node
    }

    /// Restarts from the state on disk.
    pub fn restart(&mut self) {
        let persisted = self.disk.persisted.clone();
        let applied = persisted
            .snapshot
            .as_ref()
            .map_or(Index::ZERO, |meta| meta.index);
        self.config.seed = self.config.seed.wrapping_add(1);
        self.running = Some(Running {
            replica: Replica::new(self.config.clone(), persisted).unwrap(),
            commands: self.disk.snapshot_commands.clone(),
            applied,
            pending_sync: None,
            fetch: None,
            reads: BTreeMap::new(),
            failed_reads: 0,
            answered_reads: 0,
        });
    }

    pub fn replica(&mut self) -> &mut Replica {
        &mut self.running.as_mut().unwrap().replica
    }

    /// Stores a snapshot of the state machine and compacts the log.
    pub fn compact(&mut self) {
        let running = self.running.as_mut().unwrap();
        let Some(meta) = running.replica.snapshot_meta(running.applied) else {
            return;
        };
        self.disk
            .store_snapshot(meta.clone(), running.commands.clone(), false);
        running.replica.compact(meta);
    }

    /// Replaces the state machine by a fetched snapshot.
    pub fn install(&mut self, meta: &SnapshotMeta, commands: Vec<Vec<u8>>) {
        let running = self.running.as_mut().unwrap();
        if !running.replica.wants_snapshot(meta) {
            return;
        }
        // A write in progress completes before the log is replaced.
        if let Some(PendingSync { ready, .. }) = &running.pending_sync {
            self.disk.store(ready.hard_state, &ready.entries);
        }
        let differs = running.replica.term_at(meta.index) != Some(meta.term);
        self.disk
            .store_snapshot(meta.clone(), commands.clone(), differs);
        running.commands = commands;
        running.applied = meta.index;
        running.replica.snapshot_installed(meta.clone());
    }
}

impl Running {
    pub fn apply(&mut self, entry: Entry) {
        assert_eq!(entry.index, self.applied.next(), "an entry is left out");
        self.applied = entry.index;
        if let EntryKind::Command(command) = entry.kind {
            self.commands.push(command);
        }
    }

    pub fn start_fetch(&mut self, offer: SnapshotOffer) {
        let same = self
            .fetch
            .as_ref()
            .is_some_and(|fetch| fetch.meta == offer.meta && fetch.from == offer.from);
        if !same {
            self.fetch = Some(Fetch {
                from: offer.from,
                meta: offer.meta,
                commands: Vec::new(),
                requested_at: 0,
            });
        }
    }
}
