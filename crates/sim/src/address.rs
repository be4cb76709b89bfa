//! Participants of a simulation and their addresses.

use derive_more::Display;
use molespan_types::{BackendId, NodeId};

/// Offset of a gateway's node identifier, which keeps it distinct from the node
/// identifiers of replicas.
const FIRST_GATEWAY_NODE: u32 = 100;

/// A participant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub enum Address {
    /// A replica process.
    #[display("replica {_0}")]
    Replica(u32),
    /// A gateway process.
    #[display("gateway {_0}")]
    Gateway(u32),
    /// A model engine.
    #[display("engine {_0}")]
    Engine(u32),
    /// The platform, which serves the machine list.
    #[display("platform")]
    Platform,
    /// A caller with one job or online request.
    #[display("client {_0}")]
    Client(u32),
    /// An operator with one intent or order.
    #[display("operator {_0}")]
    Operator(u32),
}

impl Address {
    /// Returns the address of a node.
    #[must_use]
    pub fn of_node(node: NodeId) -> Self {
        match node.0.checked_sub(FIRST_GATEWAY_NODE) {
            Some(gateway) => Self::Gateway(gateway),
            None => Self::Replica(node.0),
        }
    }

    /// Returns the address of a back end.
    #[must_use]
    pub fn of_backend(backend: BackendId) -> Self {
        Self::Engine(backend.0)
    }
}

/// Returns the node identifier of a replica.
#[must_use]
pub fn replica_node(replica: u32) -> NodeId {
    NodeId(replica)
}

/// Returns the node identifier of a gateway.
#[must_use]
pub fn gateway_node(gateway: u32) -> NodeId {
    NodeId(FIRST_GATEWAY_NODE + gateway)
}
