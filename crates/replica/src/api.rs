//! What goes into a replica process and what comes out of it.

use std::collections::{BTreeMap, BTreeSet};

use molespan_types::{ConfigVersion, GroupId, NodeId, RunOutcome};

/// How fresh a read must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// It sees every write that was acknowledged before it began.
    Linearizable,
    /// It sees what this replica has applied.
    Local,
}

/// Names a request of the driver, which chooses it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// Something that happened outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message of another replica process.
    Message {
        /// Sender.
        from: NodeId,
        /// Group it is for.
        group: GroupId,
        /// What an [`Output::Send`] of the sender held.
        bytes: Vec<u8>,
    },
    /// A command to be committed and applied.
    Propose {
        /// Named by the reply.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// Encoded command of its machine.
        command: Vec<u8>,
    },
    /// A read.
    Query {
        /// Named by the reply.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// How fresh.
        consistency: Consistency,
        /// Encoded query of its machine.
        query: Vec<u8>,
    },
    /// An operator asks to replace a node's lost replica by its new life. This
    /// happens by itself; the request tells what it waits for.
    ReplaceReplica {
        /// Named by the reply, which is empty on success.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// Node whose disk was lost.
        lost: NodeId,
    },
    /// The first voters of the only group are known now, where members are
    /// discovered. Nothing happens when they were known before.
    Found {
        /// Nodes and the lives of their disks.
        founders: BTreeMap<NodeId, u32>,
    },
    /// Nodes to greet, where members are discovered, and nodes that must not
    /// stay members.
    Members {
        /// Nodes that may be members.
        contacts: BTreeSet<NodeId>,
        /// Nodes that are to lose their place.
        retiring: BTreeSet<NodeId>,
    },
    /// Hands a group's leadership over, as before a planned stop.
    TransferLeadership {
        /// Named by the reply, which is empty and says that it was begun.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// Next leader.
        to: NodeId,
    },
}

impl Input {
    /// Whether only the leader of its group can carry it out.
    pub(crate) fn needs_leader(&self) -> bool {
        match self {
            Self::Propose { .. } | Self::TransferLeadership { .. } => true,
            Self::Query { consistency, .. } => *consistency == Consistency::Linearizable,
            Self::Message { .. }
            | Self::ReplaceReplica { .. }
            | Self::Found { .. }
            | Self::Members { .. } => false,
        }
    }
}

/// Something to be done outside.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a message to another replica process. It may get lost.
    Send {
        /// Receiver.
        to: NodeId,
        /// Group it is for.
        group: GroupId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// A request has its answer.
    Reply {
        /// Request.
        ticket: Ticket,
        /// Encoded reply or answer of the machine.
        result: Result<Vec<u8>, Refusal>,
    },
    /// Another node leads a group, or none that is known.
    LeaderChanged {
        /// Group.
        group: GroupId,
        /// Leader.
        leader: Option<NodeId>,
    },
    /// This replica applied a newer configuration.
    ConfigurationChanged {
        /// Its version.
        version: ConfigVersion,
    },
    /// This replica applied something that watchers of the group wait for.
    StateChanged {
        /// Group.
        group: GroupId,
    },
    /// Something that operators should see.
    Event(ReplicaEvent),
}

/// Why a request was not carried out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// Another node leads the group, or none that is known. Nothing was done.
    NotLeader {
        /// Leader.
        leader: Option<NodeId>,
    },
    /// It was refused, or its fate is not known.
    Refused {
        /// `NotRun`: it will never take effect. `Unknown`: it may yet.
        outcome: RunOutcome,
        /// One sentence for people.
        message: String,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Something that operators should see.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReplicaEvent {
    /// The first voters are fixed.
    #[display("the replicas of nodes {nodes:?} founded the groups")]
    Founded {
        /// Their nodes.
        nodes: Vec<NodeId>,
    },
    /// Other replicas confirmed that this disk was not rolled back.
    #[display("takes part with incarnation {incarnation:08x}")]
    TakesPart {
        /// Life of the disk.
        incarnation: u32,
    },
    /// The disk was blank or rolled back, so this is a new replica.
    #[display("starts anew with incarnation {incarnation:08x}: {reason}")]
    NewIncarnation {
        /// Life of the disk.
        incarnation: u32,
        /// What was found.
        reason: String,
    },
    /// A new life of a node took its old one's place in a group.
    #[display("group {group}: node {node} was replaced by its new incarnation")]
    ReplicaReplaced {
        /// Group.
        group: GroupId,
        /// Node.
        node: NodeId,
    },
    /// The disk is full or has room again.
    #[display("disk is {}", if *full { "full" } else { "no longer full" })]
    DiskFull {
        /// Whether it is full.
        full: bool,
    },
    /// A group's snapshot was taken.
    #[display("group {group}: snapshot at {index} of {bytes} bytes")]
    SnapshotTaken {
        /// Group.
        group: GroupId,
        /// Last entry in it.
        index: u64,
        /// Size of the machine's part.
        bytes: usize,
    },
    /// A snapshot of another replica was installed.
    #[display("group {group}: snapshot at {index} installed")]
    SnapshotInstalled {
        /// Group.
        group: GroupId,
        /// Last entry in it.
        index: u64,
    },
    /// Something contradicts the settings or the state of the group.
    #[display("{message}")]
    Fault {
        /// What was found.
        message: String,
    },
}
