//! The interface of a replica process for its driver.

use std::collections::BTreeMap;

use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, DiskIdentity, Recovery, StorageError, WriteAheadLog};
use molespan_types::{GroupId, NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::bootstrap::{group_ids, open_groups};
use crate::fleet::{Fleet, FleetChange};
use crate::group::{Group, Progress};
use crate::identity::node_of;
use crate::message::{GroupPayload, Hello, JoinState, PeerMessage};
use crate::shared::Shared;
use crate::turn::not_run;
use crate::{
    FIRST_INCARNATION, Input, Output, Refusal, ReplicaError, ReplicaEvent, ReplicaSettings,
    ReplicaStatus, Ticket, records,
};

/// Retry delay suggested by a replica that does not participate yet, in milliseconds.
const NOT_READY_RETRY_MS: u32 = 500;

/// Returns the incarnation for a blank disk: [`FIRST_INCARNATION`] if this node is
/// one of the founders known in advance, otherwise a new random one.
fn fresh_incarnation<D: Disk>(
    disk: &D,
    settings: &ReplicaSettings,
    random: &mut ChaCha8Rng,
) -> Result<u32, ReplicaError> {
    // A disk that was wiped by an earlier incarnation still records the founders.
    let first_life = records::FleetRecord::load(disk)?.founders.is_empty();
    let founds = settings
        .discovery
        .as_ref()
        .is_some_and(|discovery| discovery.founders.contains(&settings.node));
    if first_life && founds {
        return Ok(FIRST_INCARNATION);
    }
    Ok(random.random_range(FIRST_INCARNATION + 1..=u32::MAX))
}

/// A replica process.
#[derive(Debug)]
pub struct ReplicaCore<D> {
    disk: D,
    random: ChaCha8Rng,
    fleet: Fleet<D>,
    shared: Shared<D>,
    /// State recovered from the log, until the groups are opened with it.
    recovery: Option<Recovery>,
    groups: BTreeMap<GroupId, Group<D>>,
    next_tick: Timestamp,
    /// An error that occurred while handling an input; the next poll returns it.
    failure: Option<ReplicaError>,
}

impl<D: Disk> ReplicaCore<D> {
    /// Starts a replica process from the state on `disk`.
    ///
    /// # Errors
    /// [`ReplicaError`] if the settings are invalid, the disk returns an error, or the
    /// stored state is corrupt.
    pub fn open(disk: D, settings: ReplicaSettings, now: Timestamp) -> Result<Self, ReplicaError> {
        settings.check()?;
        let random = ChaCha8Rng::seed_from_u64(settings.seed);
        Self::load(disk, settings, random, now)
    }

    fn load(
        disk: D,
        settings: ReplicaSettings,
        mut random: ChaCha8Rng,
        now: Timestamp,
    ) -> Result<Self, ReplicaError> {
        records::finish_wipe(&disk, group_ids(&settings))?;
        let fresh = fresh_incarnation(&disk, &settings, &mut random)?;
        let identity = DiskIdentity::open(&disk, settings.node, fresh)?;
        let session = random.random();
        let (fleet, changes) = Fleet::open(disk.clone(), identity, &settings, session, now)?;
        let (log, recovery) = WriteAheadLog::open(disk.clone(), settings.log)?;
        let mut shared = Shared::new(settings, fleet.own_id(), session, log);
        if recovery.leftover_segments > 0 {
            let segments = recovery.leftover_segments;
            shared.event(ReplicaEvent::LeftoverSegments { segments });
        }
        let mut core = Self {
            disk,
            random,
            fleet,
            shared,
            recovery: Some(recovery),
            groups: BTreeMap::new(),
            next_tick: now,
            failure: None,
        };
        if core.fleet.record().join_state != JoinState::Blank {
            core.open_groups()?;
        }
        core.apply_fleet_changes(now, changes)?;
        Ok(core)
    }

    fn open_groups(&mut self) -> Result<(), ReplicaError> {
        let Some(recovery) = self.recovery.take() else {
            return Ok(());
        };
        self.shared.own = self.fleet.own_id();
        self.groups = open_groups(&self.disk, &mut self.fleet, &mut self.shared, recovery)?;
        Ok(())
    }

    /// Handles an input. The next [`ReplicaCore::poll`] returns its outputs.
    pub fn handle(&mut self, now: Timestamp, input: Input) {
        let result = match input {
            Input::Message { from, group, bytes } => self.receive(now, from, group, &bytes),
            Input::Found { founders } => self.handle_founders(now, &founders),
            Input::Members { contacts, retiring } => {
                self.fleet.record_contacts(&contacts, retiring);
                Ok(())
            }
            request => {
                self.handle_request(now, request);
                Ok(())
            }
        };
        if let Err(error) = result {
            self.failure.get_or_insert(error);
        }
    }

    fn handle_request(&mut self, now: Timestamp, request: Input) {
        let (ticket, group) = match &request {
            Input::Message { .. } | Input::Found { .. } | Input::Members { .. } => return,
            Input::Propose { ticket, group, .. }
            | Input::Query { ticket, group, .. }
            | Input::ReplaceReplica { ticket, group, .. }
            | Input::TransferLeadership { ticket, group, .. } => (*ticket, *group),
        };
        if !self.fleet.takes_part() {
            return self.refuse(ticket, "the replica does not take part yet");
        }
        let joining = self.fleet.joining(now);
        let Some(group) = self.groups.get_mut(&group) else {
            return self.refuse(ticket, "there is no such group");
        };
        if self.fleet.is_waiting() && request.needs_leader() {
            // A replica that waits to become a voter receives nothing from a leader, but
            // knows the voters.
            let leader = group.leader();
            let leader = leader.or_else(|| self.fleet.random_voter(&mut self.random));
            let result = Err(Refusal::NotLeader { leader });
            return self.shared.outputs.push(Output::Reply { ticket, result });
        }
        let turn = &mut self.shared.turn(now);
        match request {
            Input::Message { .. } | Input::Found { .. } | Input::Members { .. } => {}
            Input::Propose { command, .. } => group.propose(turn, ticket, command),
            Input::Query {
                consistency, query, ..
            } => group.query(turn, ticket, consistency, query),
            Input::ReplaceReplica { lost, .. } => {
                group.report_replacement(turn, ticket, lost, &joining);
            }
            Input::TransferLeadership { to, .. } => group.transfer_leadership(turn, ticket, to),
        }
    }

    /// Handles the announced founders, and founds the group if this node is one of them.
    fn handle_founders(
        &mut self,
        now: Timestamp,
        founders: &BTreeMap<NodeId, u32>,
    ) -> Result<(), ReplicaError> {
        let mut changes = Vec::new();
        self.fleet.found(founders, &mut changes)?;
        self.apply_fleet_changes(now, changes)
    }

    fn refuse(&mut self, ticket: Ticket, message: &str) {
        let result = Err(not_run(message, NOT_READY_RETRY_MS));
        self.shared.outputs.push(Output::Reply { ticket, result });
    }

    /// Handles a message. An undecodable message is treated as lost.
    fn receive(
        &mut self,
        now: Timestamp,
        from: NodeId,
        group: GroupId,
        bytes: &[u8],
    ) -> Result<(), ReplicaError> {
        match molespan_state::decode(bytes) {
            Ok(PeerMessage::Hello(hello)) if node_of(hello.replica) == from => {
                self.receive_hello(now, hello)
            }
            Ok(PeerMessage::Group {
                from: sender,
                to,
                session,
                sequence,
                payload,
            }) if node_of(sender) == from && to == self.fleet.own_id() => {
                self.fleet.record_sequence(sender, session, sequence);
                self.receive_group(now, sender, group, payload)
            }
            _ => Ok(()),
        }
    }

    fn receive_hello(&mut self, now: Timestamp, hello: Hello) -> Result<(), ReplicaError> {
        let to = node_of(hello.replica);
        let sequence = self.shared.log.sequence();
        let (changes, reply) = match self.fleet.receive(now, hello, sequence) {
            // Treated as lost: the sender repeats its hello until it gets an answer.
            Err(error) if error.is_full() => return Ok(()),
            received => received?,
        };
        if let Some(reply) = reply {
            self.send_hello(to, reply);
        }
        self.apply_fleet_changes(now, changes)
    }

    fn receive_group(
        &mut self,
        now: Timestamp,
        from: ReplicaId,
        group: GroupId,
        payload: GroupPayload,
    ) -> Result<(), ReplicaError> {
        if !self.fleet.takes_part() {
            return Ok(());
        }
        let Some(group) = self.groups.get_mut(&group) else {
            return Ok(());
        };
        let turn = &mut self.shared.turn(now);
        match payload {
            GroupPayload::Consensus(message) => group.step(from, message),
            GroupPayload::Pull(pull) => group.send_chunk(turn, from, &pull)?,
            GroupPayload::Chunk(chunk) => group.receive_chunk(turn, from, &chunk)?,
        }
        Ok(())
    }

    /// Applies changes reported by the fleet state.
    fn apply_fleet_changes(
        &mut self,
        now: Timestamp,
        changes: Vec<FleetChange>,
    ) -> Result<(), ReplicaError> {
        for change in changes {
            match change {
                FleetChange::FoundersKnown => {
                    self.open_groups()?;
                    self.report_founding();
                }
                FleetChange::TakesPart => {
                    // Members that start together confirm each other
                    // simultaneously; a random offset prevents that all of them
                    // tick, and start elections, at the same times afterwards.
                    let tick = self.shared.settings.tick;
                    self.next_tick = now + tick.mul_f64(self.random.random());
                    let incarnation = self.fleet.identity().incarnation;
                    self.shared.event(ReplicaEvent::TakesPart { incarnation });
                }
                FleetChange::Outdated { by } => {
                    let reason = format!("node {by} knows a later state of this disk");
                    return self.start_new_incarnation(now, reason);
                }
                FleetChange::Contradiction { with } => {
                    let message = format!("node {with} has other first voters");
                    self.shared.event(ReplicaEvent::Fault { message });
                }
            }
        }
        Ok(())
    }

    fn report_founding(&mut self) {
        let record = self.fleet.record();
        let event = if record.join_state == JoinState::Founder {
            let founders = record.founders.iter();
            ReplicaEvent::Founded {
                nodes: founders.map(|&founder| node_of(founder)).collect(),
            }
        } else {
            ReplicaEvent::NewIncarnation {
                incarnation: self.fleet.identity().incarnation,
                reason: "the disk was blank".to_owned(),
            }
        };
        self.shared.event(event);
    }

    /// Ends the current incarnation: wipes the disk and reloads the process as a new
    /// incarnation.
    fn start_new_incarnation(
        &mut self,
        now: Timestamp,
        reason: String,
    ) -> Result<(), ReplicaError> {
        for group in self.groups.values_mut() {
            group.abandon_all(&mut self.shared.turn(now));
        }
        let settings = self.shared.settings.clone();
        records::wipe(&self.disk, self.fleet.record(), group_ids(&settings))?;
        let outputs = std::mem::take(&mut self.shared.outputs);
        let random = ChaCha8Rng::from_rng(&mut self.random);
        *self = Self::load(self.disk.clone(), settings, random, now)?;
        let later = std::mem::replace(&mut self.shared.outputs, outputs);
        let incarnation = self.fleet.identity().incarnation;
        self.shared.event(ReplicaEvent::NewIncarnation {
            incarnation,
            reason,
        });
        self.shared.outputs.extend(later);
        Ok(())
    }

    /// Performs all due work. Call it after a batch of inputs and at
    /// [`ReplicaCore::next_deadline`].
    ///
    /// # Errors
    /// No error is recoverable; the core must be dropped.
    pub fn poll(&mut self, now: Timestamp) -> Result<Vec<Output>, ReplicaError> {
        if let Some(failure) = self.failure.take() {
            return Err(failure);
        }
        self.send_due_hellos(now);
        if self.fleet.takes_part() {
            let ticked = self.tick(now);
            self.process_groups(now)?;
            if ticked {
                self.maintain(now)?;
                self.process_groups(now)?;
            }
            self.report_changes(now)?;
        }
        Ok(std::mem::take(&mut self.shared.outputs))
    }

    fn send_due_hellos(&mut self, now: Timestamp) {
        let sequence = self.shared.log.sequence();
        for (node, hello) in self.fleet.hellos_due(now, sequence) {
            self.send_hello(node, hello);
        }
    }

    fn send_hello(&mut self, to: NodeId, hello: Hello) {
        self.shared.outputs.push(Output::Send {
            to,
            group: GroupId::CONTROL,
            bytes: molespan_state::encode(&PeerMessage::Hello(hello)),
        });
    }

    /// Runs the due ticks of every group; returns whether there was one. After a long
    /// pause the ticks are capped at the longest election timeout, since further ones
    /// have no additional effect.
    fn tick(&mut self, now: Timestamp) -> bool {
        let most = 2 * self.shared.settings.election_ticks;
        let mut ticks = 0;
        while self.next_tick <= now && ticks < most {
            self.next_tick = self.next_tick + self.shared.settings.tick;
            ticks += 1;
            for group in self.groups.values_mut() {
                group.tick();
            }
        }
        if self.next_tick <= now {
            self.next_tick = now + self.shared.settings.tick;
        }
        if ticks > 0 {
            self.shared.record_tick();
        }
        ticks > 0
    }

    /// Processes all groups until no work is left, with one sync for all of them in
    /// each round.
    fn process_groups(&mut self, now: Timestamp) -> Result<(), ReplicaError> {
        loop {
            let mut worked = false;
            for group in self.groups.values_mut() {
                match group.process_ready(&mut self.shared.turn(now))? {
                    Progress::Idle => {}
                    Progress::Worked => worked = true,
                    Progress::RolledBack => {
                        let reason = "acknowledged entries are missing".to_owned();
                        return self.start_new_incarnation(now, reason);
                    }
                }
            }
            if !self.shared.sync()? {
                return Ok(());
            }
            for group in self.groups.values_mut() {
                group.after_sync(&mut self.shared.turn(now));
            }
            if !worked {
                return Ok(());
            }
        }
    }

    /// Performs the periodic work that is due at each tick.
    fn maintain(&mut self, now: Timestamp) -> Result<(), ReplicaError> {
        self.shared.check_disk_space(now)?;
        let joining = self.fleet.joining(now);
        let retiring = self.fleet.retiring().clone();
        for group in self.groups.values_mut() {
            let turn = &mut self.shared.turn(now);
            group.apply(turn)?;
            group.time_out_proposals(turn);
            group.expire_leases(turn);
            group.abandon_submissions(turn);
            group.settle_expired_claims(turn);
            group.replace_lost(&joining);
            group.transfer_leadership_when_full(turn);
            group.maintain_voters(turn, &joining, &retiring);
            group.check_transfer(turn);
            group.drop_idle_outgoing(now);
        }
        self.take_due_snapshot(now)?;
        self.shared.log.remove_obsolete()?;
        Ok(())
    }

    /// Takes at most one snapshot, and only once the log record of the previous one is
    /// durable: the log must never refer to a removed snapshot.
    fn take_due_snapshot(&mut self, now: Timestamp) -> Result<(), ReplicaError> {
        if self.shared.log.has_unsynced() {
            return Ok(());
        }
        let segments = self.shared.settings.max_segments();
        let lagging = self.shared.log.lagging_group(segments);
        for (&id, group) in &mut self.groups {
            let turn = &mut self.shared.turn(now);
            if group.snapshot_if_due(turn, lagging == Some(id))? {
                break;
            }
        }
        Ok(())
    }

    /// Reports leader changes, and records membership changes durably.
    fn report_changes(&mut self, now: Timestamp) -> Result<(), ReplicaError> {
        for group in self.groups.values_mut() {
            group.report_leader(&mut self.shared.turn(now));
        }
        match self.record_membership_changes() {
            // Retried at the next poll.
            Err(error) if error.is_full() => Ok(()),
            result => Ok(result?),
        }
    }

    /// Records which replicas were replaced, who votes, and whether this replica votes
    /// in every group.
    fn record_membership_changes(&mut self) -> Result<(), StorageError> {
        self.fleet.record_replaced(&self.shared.replaced)?;
        self.shared.replaced.clear();
        if self.shared.settings.discovery.is_some() {
            let voters = self.groups.values().next().map(Group::known_voters);
            self.fleet.record_voters(voters.unwrap_or_default())?;
        }
        let joining = self.fleet.record().join_state == JoinState::Joining;
        if joining && self.groups.values().all(Group::is_settled_voter) {
            self.fleet.record_member()?;
        }
        Ok(())
    }

    /// Returns when to poll again if no input arrives earlier.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        let hello = self.fleet.next_hello();
        if self.fleet.takes_part() {
            hello.min(self.next_tick)
        } else {
            hello
        }
    }

    /// Returns the status for operators and metrics.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        let identity = self.fleet.identity();
        ReplicaStatus {
            node: identity.node,
            incarnation: identity.incarnation,
            boot: identity.boot,
            takes_part: self.fleet.takes_part(),
            disk_full: self.shared.log.is_reserve_spent(),
            log_bytes: self.shared.log.size(),
            log_syncs: self.shared.syncs,
            groups: self.groups.values().map(Group::status).collect(),
            known_voters: self.fleet.known_voters(),
        }
    }
}
