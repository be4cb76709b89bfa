//! Messages between replica processes.

use std::collections::BTreeSet;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_consensus::{Message, ReplicaId};

/// How far an incarnation has joined the groups.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub(crate) enum JoinState {
    /// It does not know the founders of the groups yet.
    #[default]
    #[n(0)]
    Blank,
    /// It is one of the founders, the initial voters.
    #[n(1)]
    Founder,
    /// It joined later and is not yet a voter in every group.
    #[n(2)]
    Joining,
    /// It joined later and is a voter in every group.
    #[n(3)]
    Member,
}

impl JoinState {
    /// Whether its confirmation counts when another replica restarts.
    pub fn is_voter(self) -> bool {
        matches!(self, Self::Founder | Self::Member)
    }
}

/// A process's assessment of the disk of the sender of a [`Hello`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Verdict {
    /// Session of the assessed process. A verdict for another session is ignored.
    #[n(0)]
    pub session: u64,
    /// Whether a later state of that disk is known, or its incarnation was replaced.
    #[n(1)]
    pub outdated: bool,
}

/// Announces the identity of a process and the state of its disk.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Hello {
    /// Replica identifier, made of the node and the incarnation of its disk.
    #[n(0)]
    pub replica: ReplicaId,
    /// Number of starts on that disk.
    #[n(1)]
    pub boot: u64,
    /// Session identifier, drawn at random at each start.
    #[n(2)]
    pub session: u64,
    /// Sequence number of the last synced write of its log.
    #[n(3)]
    pub sequence: u64,
    /// How far it has joined the groups.
    #[n(4)]
    pub join_state: JoinState,
    /// The founders; empty if it does not know them.
    #[n(5)]
    pub founders: BTreeSet<ReplicaId>,
    /// Its verdict on the receiver's disk, if it has heard from the receiver.
    #[n(6)]
    pub verdict: Option<Verdict>,
    /// Whether it requests a hello in return.
    #[n(7)]
    pub wants_reply: bool,
    /// The latest voters it knows, if members are discovered.
    #[n(8)]
    pub voters: KnownVoters,
}

/// Known voters of the single group of a process that discovers its members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct KnownVoters {
    /// Log index of the membership entry; a higher index supersedes a lower one.
    #[n(0)]
    pub index: u64,
    /// Voters, of both voter sets of a joint membership.
    #[n(1)]
    pub voters: BTreeSet<ReplicaId>,
}

/// Requests the next part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Pull {
    /// Log index of the last entry in the snapshot.
    #[n(0)]
    pub index: u64,
    /// Number of state machine bytes received so far.
    #[n(1)]
    pub machine_offset: u64,
    /// Offset in the sender's payload log up to which bytes have been received.
    #[n(2)]
    pub payload_offset: u64,
}

/// The part of a snapshot that a chunk belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub(crate) enum Part {
    /// The state machine.
    #[n(0)]
    Machine,
    /// The payload log.
    #[n(1)]
    Payload,
}

/// A chunk of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Chunk {
    /// Log index of the last entry in the snapshot.
    #[n(0)]
    pub index: u64,
    /// Encoded [`crate::group::SnapshotHeader`].
    #[n(1)]
    pub header: ByteVec,
    /// Total size of the state machine in bytes.
    #[n(2)]
    pub machine_length: u64,
    /// Checksum of the whole state machine.
    #[n(3)]
    pub machine_checksum: u64,
    /// The part that `bytes` belong to.
    #[n(4)]
    pub part: Part,
    /// Offset of `bytes` in that part.
    #[n(5)]
    pub offset: u64,
    /// Checksum of `bytes`.
    #[n(6)]
    pub checksum: u64,
    /// Content.
    #[n(7)]
    pub bytes: ByteVec,
}

/// The payload of a message to a replica of a group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum GroupPayload {
    /// A consensus message.
    #[n(0)]
    Consensus(#[n(0)] Message),
    /// Requests the next part of a snapshot.
    #[n(1)]
    Pull(#[n(0)] Pull),
    /// A chunk of a snapshot.
    #[n(2)]
    Chunk(#[n(0)] Chunk),
}

/// A message between replica processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum PeerMessage {
    /// Announces the identity of the sending process.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// A message between two replicas of a group.
    #[n(1)]
    Group {
        /// Sender.
        #[n(0)]
        from: ReplicaId,
        /// Receiver; another incarnation of its node ignores the message.
        #[n(1)]
        to: ReplicaId,
        /// Session of the sender's process.
        #[n(2)]
        session: u64,
        /// Sequence number of the last synced write of the sender's log.
        #[n(3)]
        sequence: u64,
        /// Content.
        #[n(4)]
        payload: GroupPayload,
    },
}
