//! A replica's view of itself and its group, for operators and metrics.

use std::collections::BTreeMap;

use derive_more::Display;

use crate::{Fault, Index, Membership, ReplicaId, Term};

/// Part that a replica plays in its term.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Role {
    /// Follows a leader, or waits for one.
    #[display("follower")]
    Follower,
    /// Asks whether an election could succeed.
    #[display("pre-candidate")]
    PreCandidate,
    /// Stands for election.
    #[display("candidate")]
    Candidate,
    /// Leads its term.
    #[display("leader")]
    Leader,
}

/// How a leader sends entries to a follower.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum FollowerState {
    /// One request at a time, to find where the logs agree.
    #[display("probe")]
    Probe,
    /// Requests ahead of the answers.
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
    /// Whether it was heard of since the last quorum check.
    pub recently_active: bool,
}

/// A replica's view of itself and its group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// This replica.
    pub id: ReplicaId,
    /// Its role.
    pub role: Role,
    /// Its term.
    pub term: Term,
    /// The leader of the term, when known.
    pub leader: Option<ReplicaId>,
    /// The last entry known to be committed.
    pub commit: Index,
    /// The last entry handed out to be applied.
    pub applied: Index,
    /// The first entry in memory.
    pub first_index: Index,
    /// The last entry.
    pub last_index: Index,
    /// The last entry that is synced.
    pub persisted: Index,
    /// The last snapshot.
    pub snapshot_index: Index,
    /// The membership in force.
    pub membership: Membership,
    /// The entry that set the membership in force.
    pub membership_index: Index,
    /// Followers and learners, on a leader.
    pub followers: BTreeMap<ReplicaId, FollowerStatus>,
    /// Bytes that wait to be committed, on a leader.
    pub uncommitted_bytes: usize,
    /// Why the replica has stopped.
    pub fault: Option<Fault>,
}
