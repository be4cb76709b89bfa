//! Messages between replica processes.

use std::collections::BTreeSet;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};
use molespan_consensus::{Message, ReplicaId};

/// How a life of a disk came to take part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub(crate) enum Standing {
    /// It knows of no founding.
    #[default]
    #[n(0)]
    Blank,
    /// It is one of the first voters.
    #[n(1)]
    Founder,
    /// It came later and is not yet a voter everywhere.
    #[n(2)]
    Joining,
    /// It came later and is a voter everywhere.
    #[n(3)]
    Member,
}

impl Standing {
    /// Whether its word counts when another replica restarts.
    pub fn is_voter(self) -> bool {
        matches!(self, Self::Founder | Self::Member)
    }
}

/// What a process thinks of the disk behind a [`Hello`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Verdict {
    /// Session of the judged process. A verdict on another one is void.
    #[n(0)]
    pub session: u64,
    /// Whether later states of that disk are known, or its life was replaced.
    #[n(1)]
    pub outdated: bool,
}

/// A process says which life of which disk it is.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Hello {
    /// The life of its disk.
    #[n(0)]
    pub replica: ReplicaId,
    /// Starts on that disk.
    #[n(1)]
    pub boot: u64,
    /// Drawn at random at each start.
    #[n(2)]
    pub session: u64,
    /// Number of the last synced write of its log.
    #[n(3)]
    pub sequence: u64,
    /// How it takes part.
    #[n(4)]
    pub standing: Standing,
    /// The first voters; empty when it knows of no founding.
    #[n(5)]
    pub founders: BTreeSet<ReplicaId>,
    /// What it thinks of the receiver.
    #[n(6)]
    pub verdict: Option<Verdict>,
    /// Whether it wants a hello back.
    #[n(7)]
    pub wants_reply: bool,
    /// The voters as far as it knows, where members are discovered.
    #[n(8)]
    pub voters: KnownVoters,
}

/// Voters of the only group of a process that discovers its members.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct KnownVoters {
    /// Position of the entry that made them so; later ones supersede.
    #[n(0)]
    pub index: u64,
    /// Lives that vote, of both sides of a joint membership.
    #[n(1)]
    pub voters: BTreeSet<ReplicaId>,
}

/// Asks for the next part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Pull {
    /// Last entry in the snapshot.
    #[n(0)]
    pub index: u64,
    /// Bytes of the machine that have arrived.
    #[n(1)]
    pub machine_offset: u64,
    /// Bytes of the payload log that are there.
    #[n(2)]
    pub payload_offset: u64,
}

/// Which part of a snapshot a chunk belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
#[cbor(index_only)]
pub(crate) enum Part {
    /// The machine's bytes.
    #[n(0)]
    Machine,
    /// The payload log.
    #[n(1)]
    Payload,
}

/// A part of a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Chunk {
    /// Last entry in the snapshot.
    #[n(0)]
    pub index: u64,
    /// Encoded [`crate::group::SnapshotHeader`].
    #[n(1)]
    pub header: ByteVec,
    /// Bytes of the whole machine.
    #[n(2)]
    pub machine_length: u64,
    /// Checksum of the whole machine.
    #[n(3)]
    pub machine_checksum: u64,
    /// What `bytes` belong to.
    #[n(4)]
    pub part: Part,
    /// Where they belong.
    #[n(5)]
    pub offset: u64,
    /// Checksum of `bytes`.
    #[n(6)]
    pub checksum: u64,
    /// Content.
    #[n(7)]
    pub bytes: ByteVec,
}

/// What a message to a replica of a group is about.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum GroupPayload {
    /// Consensus.
    #[n(0)]
    Consensus(#[n(0)] Message),
    /// Asks for the next part of a snapshot.
    #[n(1)]
    Pull(#[n(0)] Pull),
    /// A part of a snapshot.
    #[n(2)]
    Chunk(#[n(0)] Chunk),
}

/// A message between replica processes.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) enum PeerMessage {
    /// A process says who it is.
    #[n(0)]
    Hello(#[n(0)] Hello),
    /// From one life of a replica to one life of another.
    #[n(1)]
    Group {
        /// Sender.
        #[n(0)]
        from: ReplicaId,
        /// Receiver; another life of it ignores the message.
        #[n(1)]
        to: ReplicaId,
        /// Start of the sender's process.
        #[n(2)]
        session: u64,
        /// Number of the last synced write of the sender's log.
        #[n(3)]
        sequence: u64,
        /// Content.
        #[n(4)]
        payload: GroupPayload,
    },
}
