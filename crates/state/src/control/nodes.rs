//! The node registry.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{Incarnation, NodeId};

use super::command::{ControlReply, NodeRecord, RegisterNode};

/// Registered nodes, and the last incarnation of each removed node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Nodes {
    #[n(0)]
    registered: BTreeMap<NodeId, NodeRecord>,
    #[n(1)]
    removed: BTreeMap<NodeId, Incarnation>,
}

impl Nodes {
    /// Returns the registered nodes.
    pub(crate) fn records(&self) -> Vec<NodeRecord> {
        self.registered.values().cloned().collect()
    }

    /// Registers an incarnation of a node. A removed incarnation may register again, for
    /// example after a partition during which it was considered lost; an earlier
    /// incarnation may not.
    pub(crate) fn register(&mut self, registration: &RegisterNode) -> ControlReply {
        let node = registration.node;
        let latest = self.latest(node);
        if registration.incarnation < latest {
            return ControlReply::NodeStale { registered: latest };
        }
        let known = self.registered.get(&node);
        let draining = known.is_some_and(|record| {
            record.draining && record.registration.incarnation == registration.incarnation
        });
        let record = NodeRecord {
            registration: registration.clone(),
            draining,
        };
        self.registered.insert(node, record);
        ControlReply::NodeAccepted
    }

    /// Marks an incarnation of a node as draining.
    pub(crate) fn drain(&mut self, node: NodeId, incarnation: Incarnation) -> ControlReply {
        if let Some(rejection) = self.reject(node, incarnation) {
            return rejection;
        }
        if let Some(record) = self.registered.get_mut(&node) {
            record.draining = true;
        }
        ControlReply::NodeAccepted
    }

    /// Removes an incarnation of a node. Removing it again has no effect.
    pub(crate) fn remove(&mut self, node: NodeId, incarnation: Incarnation) -> ControlReply {
        let removed_before =
            !self.registered.contains_key(&node) && self.removed.get(&node) == Some(&incarnation);
        if removed_before {
            return ControlReply::NodeAccepted;
        }
        if let Some(rejection) = self.reject(node, incarnation) {
            return rejection;
        }
        self.registered.remove(&node);
        self.removed.insert(node, incarnation);
        ControlReply::NodeAccepted
    }

    /// Returns the latest incarnation that was ever registered.
    fn latest(&self, node: NodeId) -> Incarnation {
        let registered = self.registered.get(&node);
        let registered = registered.map(|record| record.registration.incarnation);
        let removed = self.removed.get(&node).copied();
        registered.max(removed).unwrap_or_default()
    }

    /// Returns the rejection of a command for an incarnation that is not registered.
    fn reject(&self, node: NodeId, incarnation: Incarnation) -> Option<ControlReply> {
        let latest = self.latest(node);
        if incarnation < latest {
            return Some(ControlReply::NodeStale { registered: latest });
        }
        let registered = self.registered.get(&node);
        let named = registered.is_some_and(|record| record.registration.incarnation == incarnation);
        (!named).then_some(ControlReply::NodeUnknown)
    }
}
