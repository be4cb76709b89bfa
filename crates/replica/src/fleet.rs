//! Identity of the replicas: founding of the groups, joining them, and
//! distinguishing a rolled back disk from an ordinary restart.
//!
//! The rules and their rationale are documented in
//! `docs/decisions/0003-replica-identity.md`.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, DiskIdentity, StorageError};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{NodeId, Timestamp};
use rand::Rng;
use rand::seq::IteratorRandom;

use crate::identity::{node_of, replica_id};
use crate::message::{Hello, JoinState, KnownVoters, Verdict};
use crate::records::{BootRecord, FleetRecord};
use crate::{FIRST_INCARNATION, ReplicaSettings};

/// Hello interval of a process that is neither a voter nor waiting to become one.
const JOINING_HELLO_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between hellos to all nodes otherwise.
const HELLO_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between hellos to the voters from a process that waits to become one.
/// Two of them may be lost within [`HELLO_TTL`].
const WAITING_HELLO_INTERVAL: Duration = Duration::from_secs(1);
/// TTL of a hello; a process without a newer one counts as absent.
const HELLO_TTL: Duration = Duration::from_secs(3);

/// A change that results from a hello.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FleetChange {
    /// The founders are known, so this replica's groups can be opened.
    FoundersKnown,
    /// This replica may participate in the groups.
    TakesPart,
    /// This disk is outdated, so this process must become a new replica.
    Outdated {
        /// The node that reported it.
        by: NodeId,
    },
    /// Another process knows different founders.
    Contradiction {
        /// The node of the other process.
        with: NodeId,
    },
}

/// The latest hello from another process.
#[derive(Clone, Debug)]
struct LatestHello {
    at: Timestamp,
    hello: Hello,
    outdated: bool,
    /// Whether the hello carries a verdict on this session, so it was sent after
    /// this process started.
    answered: bool,
}

/// Highest observed sequence number of synced writes of one incarnation, by session.
/// Later messages of a session may overtake the hello that announces it, so only
/// the writes observed in other sessions indicate that a disk was rolled back.
#[derive(Debug, Default)]
struct ObservedWrites {
    sessions: BTreeMap<u64, u64>,
}

impl ObservedWrites {
    fn observe(&mut self, session: u64, sequence: u64) {
        let highest = self.sessions.entry(session).or_default();
        *highest = sequence.max(*highest);
    }

    /// Returns the highest write observed in sessions other than `session`.
    fn highest_in_other_sessions(&self, session: u64) -> u64 {
        let others = self.sessions.iter().filter(|(one, _)| **one != session);
        others.map(|(_, sequence)| *sequence).max().unwrap_or(0)
    }

    /// Accepts that the log of `session` continues from all writes observed in other
    /// sessions.
    fn accept(&mut self, session: u64) {
        let highest = self.sessions.values().copied().max().unwrap_or(0);
        self.sessions = BTreeMap::from([(session, highest)]);
    }
}

/// The knowledge of this process about itself and the other processes.
#[derive(Debug)]
pub(crate) struct Fleet<D> {
    disk: D,
    identity: DiskIdentity,
    session: u64,
    record: FleetRecord,
    others: BTreeSet<NodeId>,
    /// Whether other nodes are discovered rather than listed.
    discovers: bool,
    /// Nodes that must not be voters.
    retiring: BTreeSet<NodeId>,
    latest_hellos: BTreeMap<NodeId, LatestHello>,
    /// Highest observed writes of each incarnation.
    sequences: BTreeMap<ReplicaId, ObservedWrites>,
    confirmed: BTreeSet<NodeId>,
    takes_part: bool,
    next_hello: Timestamp,
    /// When the next hello goes to all nodes, not only to voters.
    next_hello_to_all: Timestamp,
}

/// Progress of a process towards becoming a voter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum JoinProgress {
    /// It does not participate yet, or still joins a group with listed members.
    NotJoined,
    /// It participates and waits to become a voter, possibly forever.
    Waiting,
    /// It is a voter.
    Voter,
}

impl<D: Disk> Fleet<D> {
    /// Loads the record from disk. A process without peers founds its groups
    /// immediately.
    pub fn open(
        disk: D,
        identity: DiskIdentity,
        settings: &ReplicaSettings,
        session: u64,
        now: Timestamp,
    ) -> Result<(Self, Vec<FleetChange>), StorageError> {
        let record = FleetRecord::load(&disk)?;
        let mut others: BTreeSet<NodeId> = settings.peers.iter().copied().collect();
        if let Some(discovery) = &settings.discovery {
            others.extend(&discovery.contacts);
            others.extend(record.voters.voters.iter().map(|&voter| node_of(voter)));
        }
        others.remove(&identity.node);
        let mut fleet = Self {
            disk,
            identity,
            session,
            record,
            others,
            discovers: settings.discovery.is_some(),
            retiring: BTreeSet::new(),
            latest_hellos: BTreeMap::new(),
            sequences: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            takes_part: false,
            next_hello: now,
            next_hello_to_all: now,
        };
        let mut changes = Vec::new();
        match &settings.discovery {
            Some(discovery) => fleet.found_with(&discovery.founders, &mut changes)?,
            None => fleet.found_if_all_are_blank(now, &mut changes)?,
        }
        fleet.check_confirmations(&mut changes);
        Ok((fleet, changes))
    }

    /// Changes the record, on disk first: if the write fails, the record in memory
    /// stays unchanged.
    fn store(&mut self, change: impl FnOnce(&mut FleetRecord)) -> Result<(), StorageError> {
        let mut changed = self.record.clone();
        change(&mut changed);
        changed.store(&self.disk)?;
        self.record = changed;
        Ok(())
    }

    /// Returns the identifier of this replica.
    pub fn own_id(&self) -> ReplicaId {
        replica_id(self.identity.node, self.identity.incarnation)
    }

    pub fn identity(&self) -> DiskIdentity {
        self.identity
    }

    pub fn record(&self) -> &FleetRecord {
        &self.record
    }

    /// Whether enough other replicas confirmed that this disk was not rolled back.
    pub fn takes_part(&self) -> bool {
        self.takes_part
    }

    pub fn next_hello(&self) -> Timestamp {
        self.next_hello
    }

    /// Records up to which sequence number another replica has synced its log in one
    /// session.
    pub fn record_sequence(&mut self, replica: ReplicaId, session: u64, sequence: u64) {
        let seen = self.sequences.entry(replica).or_default();
        seen.observe(session, sequence);
    }

    /// Returns the hellos to send now, if any are due.
    pub fn hellos_due(&mut self, now: Timestamp, sequence: u64) -> Vec<(NodeId, Hello)> {
        if now < self.next_hello {
            return Vec::new();
        }
        let progress = self.join_progress();
        self.next_hello = now
            + match progress {
                JoinProgress::NotJoined => JOINING_HELLO_INTERVAL,
                JoinProgress::Waiting => WAITING_HELLO_INTERVAL,
                JoinProgress::Voter => HELLO_INTERVAL,
            };
        let to_all = progress != JoinProgress::Waiting || now >= self.next_hello_to_all;
        if to_all {
            self.next_hello_to_all = now + HELLO_INTERVAL;
        }
        let voters = self.known_voters();
        let others = self.others.iter();
        others
            .filter(|node| to_all || voters.contains(node))
            .map(|&node| (node, self.hello(node, sequence, true)))
            .collect()
    }

    /// Whether this process participates and waits to become a voter.
    pub fn is_waiting(&self) -> bool {
        self.join_progress() == JoinProgress::Waiting
    }

    /// Returns a random one of the known voters.
    pub fn random_voter(&self, random: &mut impl Rng) -> Option<NodeId> {
        self.known_voters().into_iter().choose(random)
    }

    fn join_progress(&self) -> JoinProgress {
        match self.record.join_state {
            JoinState::Founder | JoinState::Member if self.takes_part => JoinProgress::Voter,
            JoinState::Joining if self.takes_part && self.discovers => JoinProgress::Waiting,
            _ => JoinProgress::NotJoined,
        }
    }

    fn hello(&self, to: NodeId, sequence: u64, wants_reply: bool) -> Hello {
        let verdict = self.latest_hellos.get(&to).map(|latest| Verdict {
            session: latest.hello.session,
            outdated: latest.outdated,
        });
        Hello {
            replica: self.own_id(),
            boot: self.identity.boot,
            session: self.session,
            sequence,
            join_state: self.record.join_state,
            founders: self.record.founders.clone(),
            verdict,
            wants_reply,
            voters: self.record.voters.clone(),
        }
    }

    /// Handles a hello. Returns the resulting changes and the hello to reply with.
    pub fn receive(
        &mut self,
        now: Timestamp,
        hello: Hello,
        sequence: u64,
    ) -> Result<(Vec<FleetChange>, Option<Hello>), StorageError> {
        let from = node_of(hello.replica);
        let mut changes = Vec::new();
        if self.discovers && from != self.identity.node {
            self.others.insert(from);
        }
        if !self.others.contains(&from) {
            return Ok((changes, None));
        }
        let outdated = self.is_outdated(&hello)?;
        // A process that leads no group sends other followers only hellos.
        self.record_sequence(hello.replica, hello.session, hello.sequence);
        let verdict = hello.verdict;
        let answered = verdict.is_some_and(|verdict| verdict.session == self.session);
        let wants_reply = hello.wants_reply;
        let join_state = hello.join_state;
        let founders = hello.founders.clone();
        let voters = hello.voters.clone();
        let (replica, session, synced) = (hello.replica, hello.session, hello.sequence);
        let latest = LatestHello {
            at: now,
            hello,
            outdated,
            answered,
        };
        self.latest_hellos.insert(from, latest);
        if !outdated {
            // For a replica that leads no group, hellos are the only source of other
            // replicas' sequence numbers.
            self.record_sequence(replica, session, synced);
            self.compare_founders(from, founders, &mut changes)?;
            if self.discovers && join_state.is_voter() {
                self.record_voters(voters)?;
            }
        }
        if !self.discovers {
            self.found_if_all_are_blank(now, &mut changes)?;
        }
        if let Some(verdict) = verdict.filter(|_| answered) {
            self.handle_verdict(from, verdict, join_state, &mut changes);
        }
        let reply = wants_reply.then(|| self.hello(from, sequence, false));
        Ok((changes, reply))
    }

    /// Whether the sender's disk is older than a known state of it. A delayed hello of
    /// an earlier session is judged outdated too, which is harmless because the verdict
    /// names that session.
    fn is_outdated(&mut self, hello: &Hello) -> Result<bool, StorageError> {
        if !enabled(Mechanism::NewIncarnation) {
            return Ok(false);
        }
        if self.record.replaced.contains(&hello.replica) {
            return Ok(true);
        }
        let latest = self.latest_hellos.get(&node_of(hello.replica));
        if let Some(latest) = latest.filter(|known| known.hello.session == hello.session) {
            return Ok(latest.outdated);
        }
        if let Some(known) = self.record.boots.get(&hello.replica) {
            if known.session == hello.session {
                return Ok(false);
            }
            let seen = self.sequences.get(&hello.replica);
            let seen = seen.map_or(0, |seen| seen.highest_in_other_sessions(hello.session));
            if hello.boot <= known.boot || hello.sequence < seen {
                return Ok(true);
            }
        }
        let boot = BootRecord {
            boot: hello.boot,
            session: hello.session,
        };
        self.store(|record| {
            record.boots.insert(hello.replica, boot);
        })?;
        if let Some(seen) = self.sequences.get_mut(&hello.replica) {
            seen.accept(hello.session);
        }
        Ok(false)
    }

    /// Adopts the founders from another process, or reports a contradiction.
    fn compare_founders(
        &mut self,
        from: NodeId,
        founders: BTreeSet<ReplicaId>,
        changes: &mut Vec<FleetChange>,
    ) -> Result<(), StorageError> {
        if founders.is_empty() || founders == self.record.founders {
            return Ok(());
        }
        let known = !self.record.founders.is_empty();
        if known || !(self.discovers || self.covers_all_nodes(&founders)) {
            changes.push(FleetChange::Contradiction { with: from });
            return Ok(());
        }
        self.set_founders(founders, changes)
    }

    /// Records the founders, and with them the join state of this process.
    fn set_founders(
        &mut self,
        founders: BTreeSet<ReplicaId>,
        changes: &mut Vec<FleetChange>,
    ) -> Result<(), StorageError> {
        if !enabled(Mechanism::NewIncarnation) {
            self.reuse_old_identity(&founders)?;
        }
        let founder = founders.contains(&self.own_id());
        let join_state = if founder {
            JoinState::Founder
        } else {
            JoinState::Joining
        };
        self.store(|record| {
            record.founders = founders;
            record.join_state = join_state;
        })?;
        self.next_hello = Timestamp::ZERO;
        changes.push(FleetChange::FoundersKnown);
        Ok(())
    }

    /// Reuses the identity of an earlier incarnation, which a blank disk must never
    /// do. Only mutation runs call this.
    fn reuse_old_identity(&mut self, founders: &BTreeSet<ReplicaId>) -> Result<(), StorageError> {
        let node = self.identity.node;
        if let Some(&old) = founders.iter().find(|&&founder| node_of(founder) == node) {
            self.identity.incarnation = crate::identity::incarnation_of(old);
            self.identity.store(&self.disk)?;
        }
        Ok(())
    }

    /// Whether the founders are exactly one incarnation of each node in the settings.
    fn covers_all_nodes(&self, founders: &BTreeSet<ReplicaId>) -> bool {
        let nodes: BTreeSet<NodeId> = founders.iter().map(|&founder| node_of(founder)).collect();
        let mut expected = self.others.clone();
        expected.insert(self.identity.node);
        nodes == expected && founders.len() == expected.len()
    }

    /// Founds the groups, only on the lowest node, and only once every other node
    /// has answered this session with a blank disk of its own.
    fn found_if_all_are_blank(
        &mut self,
        now: Timestamp,
        changes: &mut Vec<FleetChange>,
    ) -> Result<(), StorageError> {
        let lowest = self.others.iter().all(|&other| other > self.identity.node);
        if self.record.join_state != JoinState::Blank || !lowest {
            return Ok(());
        }
        let mut founders = BTreeSet::from([self.own_id()]);
        for node in &self.others {
            let Some(latest) = self.latest_hellos.get(node) else {
                return Ok(());
            };
            let blank = latest.hello.join_state == JoinState::Blank;
            if !blank || !latest.answered || now.since(latest.at) > HELLO_TTL {
                return Ok(());
            }
            founders.insert(latest.hello.replica);
        }
        self.store(|record| {
            record.founders = founders;
            record.join_state = JoinState::Founder;
        })?;
        self.next_hello = Timestamp::ZERO;
        changes.push(FleetChange::FoundersKnown);
        Ok(())
    }

    fn handle_verdict(
        &mut self,
        from: NodeId,
        verdict: Verdict,
        join_state: JoinState,
        changes: &mut Vec<FleetChange>,
    ) {
        if verdict.outdated && enabled(Mechanism::NewIncarnation) {
            changes.push(FleetChange::Outdated { by: from });
            return;
        }
        if join_state.is_voter() {
            self.confirmed.insert(from);
        }
        self.check_confirmations(changes);
    }

    /// Checks whether this replica may participate: once it and the nodes that
    /// confirmed it form a majority.
    fn check_confirmations(&mut self, changes: &mut Vec<FleetChange>) {
        let formed = self.record.join_state != JoinState::Blank;
        if !self.takes_part && formed && self.is_confirmed() {
            self.takes_part = true;
            changes.push(FleetChange::TakesPart);
        }
    }

    fn is_confirmed(&self) -> bool {
        if !self.discovers {
            return self.confirmed.len() >= self.others.len().div_ceil(2);
        }
        // A new incarnation has made no promises yet, so one confirming voter is
        // enough.
        if self.record.join_state == JoinState::Joining {
            return !self.confirmed.is_empty();
        }
        let voters = self.voters();
        let confirmed = voters
            .iter()
            .filter(|&&voter| voter == self.own_id() || self.confirmed.contains(&node_of(voter)));
        confirmed.count() > voters.len() / 2
    }

    /// Returns the known voters; initially the founders.
    fn voters(&self) -> &BTreeSet<ReplicaId> {
        match self.record.voters.voters.is_empty() {
            true => &self.record.founders,
            false => &self.record.voters.voters,
        }
    }

    /// Returns the nodes of the known voters.
    pub fn known_voters(&self) -> BTreeSet<NodeId> {
        self.voters().iter().map(|&voter| node_of(voter)).collect()
    }

    /// Records the voters, unless a later membership is known.
    pub fn record_voters(&mut self, voters: KnownVoters) -> Result<(), StorageError> {
        if !self.discovers || voters.voters.is_empty() || voters.index <= self.record.voters.index {
            return Ok(());
        }
        let own = self.identity.node;
        let nodes = voters.voters.iter().map(|&voter| node_of(voter));
        self.others.extend(nodes.filter(|&node| node != own));
        self.store(|record| record.voters = voters)
    }

    /// Records the nodes that may become members, and those that must not stay members.
    pub fn record_contacts(&mut self, contacts: &BTreeSet<NodeId>, retiring: BTreeSet<NodeId>) {
        let own = self.identity.node;
        self.others
            .extend(contacts.iter().filter(|&&node| node != own));
        self.retiring = retiring;
    }

    /// Returns the nodes that must not stay members.
    pub fn retiring(&self) -> &BTreeSet<NodeId> {
        &self.retiring
    }

    /// Founds the group with nodes that are known in advance and whose disks have
    /// their first incarnation.
    fn found_with(
        &mut self,
        founders: &BTreeSet<NodeId>,
        changes: &mut Vec<FleetChange>,
    ) -> Result<(), StorageError> {
        let founders = founders.iter().map(|&node| (node, FIRST_INCARNATION));
        self.found(&founders.collect(), changes)
    }

    /// Adopts the given founders, unless founders are already known.
    pub fn found(
        &mut self,
        founders: &BTreeMap<NodeId, u32>,
        changes: &mut Vec<FleetChange>,
    ) -> Result<(), StorageError> {
        let blank = self.record.join_state == JoinState::Blank;
        if !self.discovers || !blank || founders.is_empty() {
            return Ok(());
        }
        let replicas = founders
            .iter()
            .map(|(&node, &incarnation)| replica_id(node, incarnation));
        let founders = replicas.collect();
        let own = self.identity.node;
        self.set_founders(founders, changes)?;
        let nodes = self.record.founders.iter().map(|&founder| node_of(founder));
        self.others.extend(nodes.filter(|&node| node != own));
        self.check_confirmations(changes);
        Ok(())
    }

    /// Returns the replicas that wait to become voters and sent a hello recently.
    pub fn joining(&self, now: Timestamp) -> Vec<ReplicaId> {
        let waiting = self.latest_hellos.values().filter(|latest| {
            let joining = latest.hello.join_state == JoinState::Joining;
            joining && !latest.outdated && now.since(latest.at) <= HELLO_TTL
        });
        waiting.map(|latest| latest.hello.replica).collect()
    }

    /// Records that replicas were permanently replaced.
    pub fn record_replaced(&mut self, replaced: &BTreeSet<ReplicaId>) -> Result<(), StorageError> {
        if replaced.is_subset(&self.record.replaced) {
            return Ok(());
        }
        self.store(|record| {
            for replica in replaced {
                record.replaced.insert(*replica);
                record.boots.remove(replica);
            }
        })
    }

    /// Records that the founders' common first entries are in the log.
    pub fn record_bootstrapped(&mut self) -> Result<(), StorageError> {
        self.store(|record| record.bootstrapped = true)
    }

    /// Records that this incarnation votes in every group.
    pub fn record_member(&mut self) -> Result<(), StorageError> {
        self.store(|record| record.join_state = JoinState::Member)?;
        self.next_hello = Timestamp::ZERO;
        Ok(())
    }
}
