//! Errors and faults.

use derive_more::{Display, Error};

use crate::{Index, ReplicaId, Term};

/// Why a replica cannot start, or a message cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ConsensusError {
    /// Settings that cannot work.
    #[display("settings out of range: {}", settings.join(", "))]
    InvalidConfig {
        /// Names of the faulty settings.
        settings: Vec<&'static str>,
    },
    /// The stored entries do not follow each other or the snapshot.
    #[display("the stored log has a gap: expected entry {expected}, found {found}")]
    LogGap {
        /// Index that should come next.
        expected: Index,
        /// Index that was found.
        found: Index,
    },
    /// The stored terms fall along the log, or exceed the stored term.
    #[display("the stored entry {index} has term {term} out of order")]
    TermOutOfOrder {
        /// Index of the entry.
        index: Index,
        /// Its term.
        term: Term,
    },
    /// The stored commit index lies behind the end of the stored log.
    #[display("the stored commit index {commit} is behind the last stored entry {last}")]
    CommitBeyondLog {
        /// Stored commit index.
        commit: Index,
        /// Index of the last stored entry.
        last: Index,
    },
    /// Bytes that are no message.
    #[display("cannot decode a consensus message: {reason}")]
    Decode {
        /// What the decoder said.
        reason: String,
    },
}

/// Why a proposal, a membership change or a transfer was refused. Nothing was
/// appended to the log.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ProposeError {
    /// Another replica may be the leader.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// Too many bytes wait to be committed; try again later.
    #[display("too many uncommitted bytes")]
    Busy,
    /// Leadership is on its way to another replica; try again later.
    #[display("leadership is being transferred")]
    TransferInProgress,
    /// An earlier membership change is not finished.
    #[display("another membership change is open")]
    ChangeInProgress,
    /// The leader has not committed an entry of its term yet; try again later.
    #[display("the leader has not committed an entry of its term yet")]
    TermNotCommitted,
    /// The replacement has not durably caught up; try again later.
    #[display("replica {replica} has not caught up")]
    NotCaughtUp {
        /// The replica that lags.
        replica: ReplicaId,
    },
    /// The change names a replica that is not a voter.
    #[display("replica {replica} is not a voter")]
    NotAVoter {
        /// The replica.
        replica: ReplicaId,
    },
    /// The change names a replica that is not a learner.
    #[display("replica {replica} is not a learner")]
    NotALearner {
        /// The replica.
        replica: ReplicaId,
    },
    /// The change adds a replica that is a member already.
    #[display("replica {replica} is a member already")]
    AlreadyMember {
        /// The replica.
        replica: ReplicaId,
    },
    /// The change would leave the group without voters, or list a replica both
    /// as voter and learner.
    #[display("the membership is not valid")]
    InvalidMembership,
}

/// Why a read was refused.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ReadError {
    /// Another replica may be the leader.
    #[display("this replica is not the leader")]
    NotLeader {
        /// The leader, when known.
        leader: Option<ReplicaId>,
    },
    /// Too many reads wait for confirmation; try again later.
    #[display("too many pending reads")]
    Busy,
}

/// A contradiction that must not be papered over. The replica stops taking
/// part; an operator has to look at it, and its disk should be replaced.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Display, Error)]
pub enum Fault {
    /// The leader's log differs from an entry that is committed here.
    #[display("entry {index} is committed with term {committed}, but the leader has term {told}")]
    CommittedEntryConflict {
        /// Index of the entry.
        index: Index,
        /// Term of the entry committed here.
        committed: Term,
        /// Term of the leader's entry.
        told: Term,
    },
    /// The leader holds acknowledgements of this replica for entries that it
    /// does not have: its disk was rolled back.
    #[display("entry {acknowledged} was acknowledged, but the log ends at {last}")]
    AcknowledgedEntriesLost {
        /// An index that the leader has on record as acknowledged.
        acknowledged: Index,
        /// Index of the last entry.
        last: Index,
    },
}
