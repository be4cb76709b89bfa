//! How a replica's identity in consensus is made of its node and the life of
//! its disk.

use molespan_consensus::ReplicaId;
use molespan_types::NodeId;

/// Bits of the incarnation, below those of the node.
const INCARNATION_BITS: u32 = 32;

/// The identity of one life of a node's disk.
pub(crate) fn replica_id(node: NodeId, incarnation: u32) -> ReplicaId {
    ReplicaId(u64::from(node.0) << INCARNATION_BITS | u64::from(incarnation))
}

/// The node of a replica.
pub(crate) fn node_of(replica: ReplicaId) -> NodeId {
    NodeId((replica.0 >> INCARNATION_BITS) as u32)
}

/// The life of a replica's disk.
pub(crate) fn incarnation_of(replica: ReplicaId) -> u32 {
    replica.0 as u32
}
