//! One group of a replica process.

mod apply;
mod leases;
mod members;
mod places;
mod proposals;
mod reads;
mod ready;
mod serving;
mod snapshots;
mod transfer;
mod watch;

use std::collections::{BTreeMap, VecDeque};
use std::ops::Range;

use minicbor::{Decode, Encode};
use molespan_consensus::{
    Config, Entry, Index, Membership, Outgoing, Persisted, Replica, ReplicaId, Role, SnapshotMeta,
};
use molespan_state::job::OpenClaimRecord;
use molespan_state::{Machine, PayloadLog};
use molespan_storage::{
    Disk, FilePayloadLog, GroupRecovery, SnapshotMark, SnapshotStore, StorageError,
};
use molespan_types::{GroupId, JobId, LeaseId, NodeId, Timestamp};

use crate::identity::{incarnation_of, node_of};
use crate::turn::Turn;
use crate::{GroupStatus, Output, ReplicaError, ReplicaSettings};
use proposals::Proposals;
use reads::Reads;
pub(crate) use ready::Progress;
use serving::Serving;
use snapshots::SnapshotPolicy;
use transfer::Staging;
use watch::Watch;

/// What a snapshot stands for.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SnapshotHeader {
    /// Position and members.
    #[n(0)]
    pub meta: SnapshotMeta,
    /// Bytes of the payload log that belong to it.
    #[n(1)]
    pub payload_length: u64,
    /// Where the part of it begins that the machine needs, where each replica has a log of
    /// its own and drops what is not needed; older builds had none for such a machine.
    #[n(2)]
    #[cbor(default)]
    pub payload_start: Option<u64>,
}

impl SnapshotHeader {
    /// The part of its sender's payload log that a snapshot comes with where each replica
    /// has a log of its own; `None` where all have the same.
    fn own_payloads(&self, machine: &Machine) -> Option<Range<u64>> {
        machine.payloads_needed_from(0)?;
        // An older build's machine needs none.
        let start = self.payload_start.unwrap_or(self.payload_length);
        Some(start..self.payload_length)
    }
}

/// One group of a replica process.
#[derive(Debug)]
pub(crate) struct Group<D> {
    id: GroupId,
    disk: D,
    replica: Replica,
    machine: Machine,
    payloads: FilePayloadLog<D>,
    /// Where the payloads begin that the latest snapshot needs.
    payload_floor: u64,
    snapshots: SnapshotStore<D>,
    /// Last entry that the machine has applied.
    applied: Index,
    /// Committed entries that wait for room in the payload log.
    to_apply: VecDeque<Entry>,
    /// Messages that wait for the write-ahead log.
    awaiting_sync: Option<Vec<Outgoing>>,
    proposals: Proposals,
    reads: Reads,
    leases: Watch<LeaseId>,
    submissions: Watch<JobId>,
    claims: Watch<OpenClaimRecord>,
    policy: SnapshotPolicy,
    staging: Staging,
    serving: Option<Serving>,
    leader: Option<NodeId>,
    /// Members as of the last applied change.
    membership: Membership,
    /// Position of that change.
    membership_index: Index,
    /// When each voter was last heard, while this replica leads.
    heard: BTreeMap<ReplicaId, Timestamp>,
    /// When a leader with a full disk tries again to hand over.
    next_step_aside: Timestamp,
}

impl<D: Disk> Group<D> {
    /// Starts the group from what the log holds of it.
    pub fn open(
        disk: &D,
        id: GroupId,
        config: Config,
        recovery: GroupRecovery,
    ) -> Result<Self, ReplicaError> {
        let snapshots = SnapshotStore::open(disk.clone(), id)?;
        let (machine, header) = restore(&snapshots, id, recovery.snapshot.as_ref())?;
        let payload_length = header.as_ref().map_or(0, |header| header.payload_length);
        let payload_start = header.as_ref().and_then(|header| header.payload_start);
        let payload_floor = payload_start.unwrap_or_default();
        let disk_of_payloads = disk.clone();
        let payloads = match machine.payloads_needed_from(payload_length) {
            Some(_) => {
                FilePayloadLog::open_from(disk_of_payloads, id, payload_floor, payload_length)
            }
            None => FilePayloadLog::open(disk_of_payloads, id, payload_length),
        }?;
        let meta = header.map(|header| header.meta);
        let applied = meta.as_ref().map_or(Index::ZERO, |meta| meta.index);
        // Later changes are applied anew: compared with the latest membership,
        // those would seem to remove the lives that came after them.
        let membership = meta.as_ref().map(|meta| meta.membership.clone());
        let persisted = persisted(id, recovery, meta)?;
        let replica = Replica::new(config, persisted)
            .map_err(|source| ReplicaError::Consensus { group: id, source })?;
        Ok(Self {
            id,
            disk: disk.clone(),
            membership: membership.unwrap_or_default(),
            membership_index: applied,
            heard: BTreeMap::new(),
            next_step_aside: Timestamp::ZERO,
            replica,
            machine,
            payloads,
            payload_floor,
            snapshots,
            applied,
            to_apply: VecDeque::new(),
            awaiting_sync: None,
            proposals: Proposals::default(),
            reads: Reads::default(),
            leases: Watch::default(),
            submissions: Watch::default(),
            claims: Watch::default(),
            policy: SnapshotPolicy::new(applied),
            staging: Staging::new(id),
            serving: None,
            leader: None,
        })
    }

    pub fn leads(&self) -> bool {
        self.replica.role() == Role::Leader
    }

    /// The leader's node, when known.
    pub fn leader(&self) -> Option<NodeId> {
        self.replica.leader().map(node_of)
    }

    /// Whether this replica votes here, and in no joint membership.
    pub fn is_settled_voter(&self) -> bool {
        let membership = self.replica.membership();
        !membership.is_joint() && membership.voters.contains(&self.replica.id())
    }

    pub fn tick(&mut self) {
        self.replica.tick();
    }

    /// Tells the driver when another node leads.
    pub fn report_leader(&mut self, turn: &mut Turn<'_, D>) {
        let leader = self.leader();
        if leader != self.leader {
            self.leader = leader;
            let group = self.id;
            turn.outputs.push(Output::LeaderChanged { group, leader });
        }
        if !self.leads() {
            self.leases.clear();
            self.submissions.clear();
            self.claims.clear();
        }
    }

    pub fn status(&self) -> GroupStatus {
        let status = self.replica.status();
        let lives = |members: &mut dyn Iterator<Item = molespan_consensus::ReplicaId>| {
            members
                .map(|id| (node_of(id), incarnation_of(id)))
                .collect()
        };
        GroupStatus {
            group: self.id,
            leads: self.leads(),
            leader: self.leader(),
            term: status.term.0,
            commit: status.commit.0,
            applied: self.applied.0,
            snapshot: self.policy.snapshot_index().0,
            payload_bytes: self.payloads.length(),
            voters: lives(&mut status.membership.all_voters().into_iter()),
            learners: lives(&mut status.membership.learners.into_iter()),
        }
    }
}

/// Loads the machine that the log refers to.
fn restore<D: Disk>(
    snapshots: &SnapshotStore<D>,
    group: GroupId,
    mark: Option<&SnapshotMark>,
) -> Result<(Machine, Option<SnapshotHeader>), ReplicaError> {
    let Some(mark) = mark else {
        return Ok((Machine::for_group(group), None));
    };
    let Some(snapshot) = snapshots.load(mark.index)? else {
        return Err(damaged(group, format!("snapshot {} is missing", mark.index)).into());
    };
    let header: SnapshotHeader = molespan_state::decode(&snapshot.header)
        .map_err(|error| damaged(group, error.to_string()))?;
    let machine = Machine::restore(group, &snapshot.machine)
        .map_err(|source| ReplicaError::State { group, source })?;
    Ok((machine, Some(header)))
}

/// What the log held, as consensus wants it. Each entry's bytes are given back as
/// it is read: both at once may be more than the process may have.
fn persisted(
    group: GroupId,
    recovery: GroupRecovery,
    snapshot: Option<SnapshotMeta>,
) -> Result<Persisted, ReplicaError> {
    let malformed = |error: molespan_state::DecodeError| damaged(group, error.to_string());
    let hard_state = match &recovery.hard_state {
        Some(bytes) => molespan_state::decode(bytes).map_err(malformed)?,
        None => Default::default(),
    };
    let mut entries = Vec::with_capacity(recovery.entries.len());
    for entry in recovery.entries {
        entries.push(molespan_state::decode(&entry.bytes).map_err(malformed)?);
    }
    Ok(Persisted {
        hard_state,
        snapshot,
        entries,
    })
}

fn damaged(group: GroupId, reason: String) -> StorageError {
    StorageError::Corrupt {
        file: format!("log of group {group}"),
        offset: 0,
        reason,
    }
}

/// The settings of consensus for one group.
pub(crate) fn config(
    settings: &ReplicaSettings,
    own: molespan_consensus::ReplicaId,
    group: GroupId,
) -> Config {
    Config {
        election_ticks: settings.election_ticks,
        heartbeat_ticks: settings.heartbeat_ticks,
        seed: settings.seed ^ own.0.rotate_left(group.0),
        ..Config::new(own)
    }
}
