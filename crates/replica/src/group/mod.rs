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
use serving::OutgoingSnapshot;
use snapshots::SnapshotPolicy;
use transfer::Staging;
use watch::ProgressWatch;

/// Header of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct SnapshotHeader {
    /// Log position and membership.
    #[n(0)]
    pub meta: SnapshotMeta,
    /// Length of the payload log at the snapshot, in bytes.
    #[n(1)]
    pub payload_length: u64,
    /// Start of the part of the payload log that the state machine needs. Set if each
    /// replica has a payload log of its own and drops what is not needed; older builds
    /// had no payloads for such a state machine.
    #[n(2)]
    #[cbor(default)]
    pub payload_start: Option<u64>,
}

impl SnapshotHeader {
    /// Returns the range of the sender's payload log that belongs to the snapshot if
    /// each replica has a payload log of its own; `None` if the log is the same on all
    /// replicas.
    fn own_payloads(&self, machine: &Machine) -> Option<Range<u64>> {
        machine.oldest_needed_payload(0)?;
        // A state machine of an older build needs no payloads.
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
    /// Start of the payloads that the latest snapshot needs.
    payload_floor: u64,
    snapshots: SnapshotStore<D>,
    /// Last entry applied to the state machine.
    applied: Index,
    /// Committed entries not applied yet, for lack of space in the payload log.
    to_apply: VecDeque<Entry>,
    /// Messages to send after the sync of the write-ahead log.
    awaiting_sync: Option<Vec<Outgoing>>,
    proposals: Proposals,
    reads: Reads,
    leases: ProgressWatch<LeaseId>,
    submissions: ProgressWatch<JobId>,
    claims: ProgressWatch<OpenClaimRecord>,
    policy: SnapshotPolicy,
    staging: Staging,
    outgoing: Option<OutgoingSnapshot>,
    leader: Option<NodeId>,
    /// Membership as of the last applied change.
    membership: Membership,
    /// Log index of that change.
    membership_index: Index,
    /// Time of the last response of each member, while this replica leads.
    last_responses: BTreeMap<ReplicaId, Timestamp>,
    /// When a leader with a full disk next attempts to transfer leadership.
    next_full_disk_transfer: Timestamp,
}

impl<D: Disk> Group<D> {
    /// Opens the group from the state recovered from the log.
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
        let payloads = match machine.oldest_needed_payload(payload_length) {
            Some(_) => {
                FilePayloadLog::open_from(disk_of_payloads, id, payload_floor, payload_length)
            }
            None => FilePayloadLog::open(disk_of_payloads, id, payload_length),
        }?;
        let meta = header.map(|header| header.meta);
        let applied = meta.as_ref().map_or(Index::ZERO, |meta| meta.index);
        // Starts from the snapshot's membership because later changes are applied
        // again: compared with the latest membership, they would appear to remove
        // the incarnations added after them.
        let membership = meta.as_ref().map(|meta| meta.membership.clone());
        let persisted = persisted(id, recovery, meta)?;
        let replica = Replica::new(config, persisted)
            .map_err(|source| ReplicaError::Consensus { group: id, source })?;
        Ok(Self {
            id,
            disk: disk.clone(),
            membership: membership.unwrap_or_default(),
            membership_index: applied,
            last_responses: BTreeMap::new(),
            next_full_disk_transfer: Timestamp::ZERO,
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
            leases: ProgressWatch::default(),
            submissions: ProgressWatch::default(),
            claims: ProgressWatch::default(),
            policy: SnapshotPolicy::new(applied),
            staging: Staging::new(id),
            outgoing: None,
            leader: None,
        })
    }

    pub fn leads(&self) -> bool {
        self.replica.role() == Role::Leader
    }

    /// Returns the leader's node, if known.
    pub fn leader(&self) -> Option<NodeId> {
        self.replica.leader().map(node_of)
    }

    /// Whether this replica is a voter and the membership is not joint.
    pub fn is_settled_voter(&self) -> bool {
        let membership = self.replica.membership();
        !membership.is_joint() && membership.voters.contains(&self.replica.id())
    }

    pub fn tick(&mut self) {
        self.replica.tick();
    }

    /// Reports a change of the leader to the driver.
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
        let with_incarnations =
            |members: &mut dyn Iterator<Item = molespan_consensus::ReplicaId>| {
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
            voters: with_incarnations(&mut status.membership.all_voters().into_iter()),
            learners: with_incarnations(&mut status.membership.learners.into_iter()),
        }
    }
}

/// Loads the state machine from the snapshot that the log refers to.
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

/// Decodes the recovered log for consensus. The bytes of each entry are freed as soon
/// as it is decoded: keeping all bytes and all entries at once may exceed the memory
/// limit of the process.
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

/// Returns the consensus settings of one group.
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
