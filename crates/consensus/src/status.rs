//! Status of a replica and its group, for operators and metrics.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::{Fault, Index, Membership, ReplicaId, Term};

/// The role of a replica in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Role {
    /// Follows a leader, or waits for one to be elected.
    #[display("follower")]
    Follower,
    /// Checks by a pre-vote whether an election could succeed.
    #[display("pre-candidate")]
    PreCandidate,
    /// Requests votes in an election.
    #[display("candidate")]
    Candidate,
    /// Leads its term.
    #[display("leader")]
    Leader,
}

/// How a leader sends entries to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum FollowerState {
    /// One request at a time, to find the last matching entry.
    #[display("probe")]
    Probe,
    /// Pipelined requests, without waiting for each response.
    #[display("replicate")]
    Replicate,
    /// The follower has to fetch a snapshot.
    #[display("snapshot")]
    Snapshot,
}

/// A leader's view of a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct FollowerStatus {
    /// The last entry that the follower has durably stored.
    pub match_index: Index,
    /// The next entry to send.
    pub next_index: Index,
    /// How entries are sent.
    pub state: FollowerState,
    /// Whether the follower has responded since the last quorum check.
    pub recently_active: bool,
}

/// Status of a replica and its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// Identifier of this replica.
    pub id: ReplicaId,
    /// Its role in the current term.
    pub role: Role,
    /// The current term.
    pub term: Term,
    /// The leader of the term, if known.
    pub leader: Option<ReplicaId>,
    /// The last entry known to be committed.
    pub commit: Index,
    /// The last entry returned to the driver to be applied.
    pub applied: Index,
    /// The first entry in memory.
    pub first_index: Index,
    /// The last entry.
    pub last_index: Index,
    /// The last entry that is synced.
    pub persisted: Index,
    /// The last entry contained in the latest snapshot.
    pub snapshot_index: Index,
    /// The membership in force.
    pub membership: Membership,
    /// Index of the entry that set the membership in force.
    pub membership_index: Index,
    /// Status of followers and learners; empty unless this replica leads.
    pub followers: BTreeMap<ReplicaId, FollowerStatus>,
    /// Bytes of uncommitted entries; 0 unless this replica leads.
    pub uncommitted_bytes: usize,
    /// The fault because of which the replica has stopped, if any.
    pub fault: Option<Fault>,
}
