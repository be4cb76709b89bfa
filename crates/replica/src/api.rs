//! Inputs and outputs of a replica process.

use std::collections::{BTreeMap, BTreeSet};

use molespan_types::{ConfigVersion, GroupId, NodeId, RunOutcome};

/// Consistency level of a read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Consistency {
    /// The read observes every write that was acknowledged before it started.
    Linearizable,
    /// The read observes the entries that this replica has applied.
    Local,
}

/// Identifier of a request, chosen by the driver.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(pub u64);

/// An input for the replica process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// A message from another replica process.
    Message {
        /// Sender.
        from: NodeId,
        /// Group it is for.
        group: GroupId,
        /// The bytes of the sender's [`Output::Send`].
        bytes: Vec<u8>,
    },
    /// A command to commit and apply.
    Propose {
        /// Identifier for the reply.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// Encoded command for the group's state machine.
        command: Vec<u8>,
    },
    /// A read.
    Query {
        /// Identifier for the reply.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// Consistency level.
        consistency: Consistency,
        /// Encoded query for the group's state machine.
        query: Vec<u8>,
    },
    /// An operator's request to replace a node's lost replica by its new
    /// incarnation. Replacement happens automatically; the reply reports what it
    /// waits for.
    ReplaceReplica {
        /// Identifier for the reply, which is empty on success.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// The node that lost its disk.
        lost: NodeId,
    },
    /// Provides the founders of the single group, if members are discovered.
    /// Ignored if the founders are already known.
    Found {
        /// The founding nodes with the incarnations of their disks.
        founders: BTreeMap<NodeId, u32>,
    },
    /// Nodes to send hellos to, if members are discovered, and nodes to remove
    /// from the membership.
    Members {
        /// Nodes that may become members.
        contacts: BTreeSet<NodeId>,
        /// Nodes that must be replaced as voters.
        retiring: BTreeSet<NodeId>,
    },
    /// Transfers a group's leadership, for example before a planned stop.
    TransferLeadership {
        /// Identifier for the reply, which is empty and confirms that the transfer
        /// has started.
        ticket: Ticket,
        /// Group.
        group: GroupId,
        /// The node to become leader.
        to: NodeId,
    },
}

impl Input {
    /// Whether only the group's leader can process this input.
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

/// An output of the replica process, for the driver to process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// A message to send to another replica process. It may be lost.
    Send {
        /// Receiver.
        to: NodeId,
        /// Group it is for.
        group: GroupId,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The reply to a request.
    Reply {
        /// Request.
        ticket: Ticket,
        /// Encoded reply or query answer of the state machine.
        result: Result<Vec<u8>, Refusal>,
    },
    /// The leader of a group changed.
    LeaderChanged {
        /// Group.
        group: GroupId,
        /// Leader, if known.
        leader: Option<NodeId>,
    },
    /// This replica applied a new configuration.
    ConfigurationChanged {
        /// Its version.
        version: ConfigVersion,
    },
    /// This replica applied a change that watchers of the group wait for.
    StateChanged {
        /// Group.
        group: GroupId,
    },
    /// An event to report to operators.
    Event(ReplicaEvent),
}

/// Why a request was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// This replica does not lead the group. The request has no effect.
    NotLeader {
        /// Leader, if known.
        leader: Option<NodeId>,
    },
    /// The request was rejected, or its outcome is unknown.
    Refused {
        /// `NotRun`: the request will never take effect. `Unknown`: it may have
        /// taken effect or may still do so.
        outcome: RunOutcome,
        /// Human-readable reason.
        message: String,
        /// Delay before a retry, in milliseconds; 0 if none is suggested.
        retry_after_ms: u32,
    },
}

/// An event to report to operators.
#[derive(Clone, Debug, PartialEq, Eq, derive_more::Display)]
pub enum ReplicaEvent {
    /// The founders of the groups are determined.
    #[display("the replicas of nodes {nodes:?} founded the groups")]
    Founded {
        /// Nodes of the founders.
        nodes: Vec<NodeId>,
    },
    /// Other replicas confirmed that this disk was not rolled back.
    #[display("takes part with incarnation {incarnation:08x}")]
    TakesPart {
        /// Incarnation of the disk.
        incarnation: u32,
    },
    /// The disk was blank or rolled back, so this process is a new replica.
    #[display("starts anew with incarnation {incarnation:08x}: {reason}")]
    NewIncarnation {
        /// Incarnation of the disk.
        incarnation: u32,
        /// Reason.
        reason: String,
    },
    /// A replica lost its vote in a group to a replacement.
    #[display("group {group}: node {node} was replaced by its new incarnation")]
    ReplicaReplaced {
        /// Group.
        group: GroupId,
        /// Node of the replaced replica.
        node: NodeId,
    },
    /// Segments of the log that had been removed were there again, and were removed anew.
    #[display("{segments} removed log segments were found again")]
    LeftoverSegments {
        /// Number of segments.
        segments: usize,
    },
    /// The disk became full or has space again.
    #[display("disk is {}", if *full { "full" } else { "no longer full" })]
    DiskFull {
        /// Whether the disk is full.
        full: bool,
    },
    /// A snapshot of a group was taken.
    #[display("group {group}: snapshot at {index} of {bytes} bytes")]
    SnapshotTaken {
        /// Group.
        group: GroupId,
        /// Last entry in the snapshot.
        index: u64,
        /// Size of the state machine in the snapshot.
        bytes: usize,
    },
    /// A snapshot fetched from another replica was installed.
    #[display("group {group}: snapshot at {index} installed")]
    SnapshotInstalled {
        /// Group.
        group: GroupId,
        /// Last entry in the snapshot.
        index: u64,
    },
    /// An inconsistency with the settings or the state of a group was detected.
    #[display("{message}")]
    Fault {
        /// Description of the inconsistency.
        message: String,
    },
}
