//! Conversion between a consensus replica identifier and the node and disk
//! incarnation it consists of.

use molespan_consensus::ReplicaId;
use molespan_types::NodeId;

/// Number of low-order bits that hold the incarnation; the node is above them.
const INCARNATION_BITS: u32 = 32;

/// Returns the replica identifier of one incarnation of a node's disk.
pub(crate) fn replica_id(node: NodeId, incarnation: u32) -> ReplicaId {
    ReplicaId(u64::from(node.0) << INCARNATION_BITS | u64::from(incarnation))
}

/// Returns the node of a replica.
pub(crate) fn node_of(replica: ReplicaId) -> NodeId {
    NodeId((replica.0 >> INCARNATION_BITS) as u32)
}

/// Returns the disk incarnation of a replica.
pub(crate) fn incarnation_of(replica: ReplicaId) -> u32 {
    replica.0 as u32
}
