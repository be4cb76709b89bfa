//! Rendezvous (highest random weight) hashing: every node computes the same ranking
//! without communication, and a membership change moves only the affected keys.

use molespan_types::{BackendId, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Size of a node identifier and a back end identifier together, in bytes.
const KEY_BYTES: usize = 8;

/// Returns the weight of `node` for `backend`; the highest weight wins.
#[must_use]
pub fn weight(node: NodeId, backend: BackendId) -> u64 {
    let mut key = [0_u8; KEY_BYTES];
    key[..4].copy_from_slice(&node.0.to_le_bytes());
    key[4..].copy_from_slice(&backend.0.to_le_bytes());
    xxh3_64(&key)
}

/// Returns the node with the highest weight for `backend`.
pub fn highest(nodes: impl Iterator<Item = NodeId>, backend: BackendId) -> Option<NodeId> {
    nodes.max_by_key(|node| (weight(*node, backend), *node))
}
