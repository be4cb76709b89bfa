//! Highest-random-weight hashing: every node computes the same ranking without
//! talking to the others, and a change moves only the keys that it concerns.

use molespan_types::{BackendId, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a node and a back end together.
const KEY_BYTES: usize = 8;

/// Weight of `node` for `backend`; the highest weight wins.
#[must_use]
pub fn weight(node: NodeId, backend: BackendId) -> u64 {
    let mut key = [0_u8; KEY_BYTES];
    key[..4].copy_from_slice(&node.0.to_le_bytes());
    key[4..].copy_from_slice(&backend.0.to_le_bytes());
    xxh3_64(&key)
}

/// The node of `nodes` with the highest weight for `backend`.
pub fn highest(nodes: impl Iterator<Item = NodeId>, backend: BackendId) -> Option<NodeId> {
    nodes.max_by_key(|node| (weight(*node, backend), *node))
}
