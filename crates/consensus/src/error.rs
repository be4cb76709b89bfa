//! Errors and faults.

use derive_more::{Display, Error};

use crate::{Index, ReplicaId, Term};

/// An error while starting a replica or decoding a message.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ConsensusError {
    /// The settings are invalid.
    #[display("settings out of range: {}", settings.join(", "))]
    InvalidConfig {
        /// Names of the invalid settings.
        settings: Vec<&'static str>,
    },
    /// The stored entries are not contiguous with each other or with the snapshot.
    #[display("the stored log has a gap: expected entry {expected}, found {found}")]
    LogGap {
        /// Expected index.
        expected: Index,
        /// Index found instead.
        found: Index,
    },
    /// The terms of the stored entries decrease, or exceed the stored current term.
    #[display("the stored entry {index} has term {term} out of order")]
    TermOutOfOrder {
        /// Index of the entry.
        index: Index,
        /// Its term.
        term: Term,
    },
    /// The stored commit index is beyond the end of the stored log.
    #[display("the stored commit index {commit} is beyond the last stored entry {last}")]
    CommitBeyondLog {
        /// Stored commit index.
        commit: Index,
        /// Index of the last stored entry.
        last: Index,
    },
    /// The bytes are not a valid message.
    #[display("cannot decode a consensus message: {reason}")]
    Decode {
        /// The decoder's error message.
        reason: String,
    },
}

/// Why a proposal, a membership change or a leadership transfer was rejected.
/// Nothing was appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// This replica is not the leader.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Too many bytes are uncommitted; retry later.
    #[display("too many uncommitted bytes")]
    Busy,
    /// A leadership transfer is in progress; retry later.
    #[display("leadership is being transferred")]
    TransferInProgress,
    /// An earlier membership change is still in progress.
    #[display("another membership change is open")]
    ChangeInProgress,
    /// The leader has not yet committed an entry of its term; retry later.
    #[display("the leader has not committed an entry of its term yet")]
    TermNotCommitted,
    /// The replacement has not durably stored all committed entries; retry later.
    #[display("replica {replica} has not caught up")]
    NotCaughtUp {
        /// The lagging replica.
        replica: ReplicaId,
    },
    /// The replica to remove or to transfer leadership to is not a voter.
    #[display("replica {replica} is not a voter")]
    NotAVoter {
        /// The replica.
        replica: ReplicaId,
    },
    /// The replica to remove or promote is not a learner.
    #[display("replica {replica} is not a learner")]
    NotALearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// The replica to add is already a member.
    #[display("replica {replica} is a member already")]
    AlreadyMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// The change would leave the group without voters, or make a replica both
    /// voter and learner.
    #[display("the membership is not valid")]
    InvalidMembership,
}

/// Why a read was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ReadError {
    /// This replica is not the leader.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The leader, if known.
        leader: Option<ReplicaId>,
    },
    /// Too many reads are waiting for confirmation; retry later.
    #[display("too many pending reads")]
    Busy,
}

/// An inconsistency with the leader's log that the replica cannot recover from.
/// The replica stops participating; an operator has to investigate, and its disk
/// should be replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Fault {
    /// The leader's log conflicts with an entry that is committed on this replica.
    #[display("entry {index} is committed with term {committed}, but the leader has term {told}")]
    CommittedEntryConflict {
        /// Index of the entry.
        index: Index,
        /// Term of the committed entry.
        committed: Term,
        /// Term of the leader's entry.
        told: Term,
    },
    /// The leader has received acknowledgements from this replica for entries that
    /// the replica no longer has, so its disk was rolled back.
    #[display("entry {acknowledged} was acknowledged, but the log ends at {last}")]
    AcknowledgedEntriesLost {
        /// An index that the leader recorded as acknowledged.
        acknowledged: Index,
        /// Index of the last entry.
        last: Index,
    },
}
