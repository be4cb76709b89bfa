//! The node registry.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};
use molespan_types::{Incarnation, NodeId};

use super::command::{ControlReply, NodeRecord, RegisterNode};

/// Registered nodes, and the last life of those that were removed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Nodes {
    #[n(0)]
    registered: BTreeMap<NodeId, NodeRecord>,
    #[n(1)]
    removed: BTreeMap<NodeId, Incarnation>,
}

impl Nodes {
    /// The registered nodes.
    pub(crate) fn records(&self) -> Vec<NodeRecord> {
        self.registered.values().cloned().collect()
    }

    /// Registers a life of a node. A life that was removed may come back, as
    /// one does that was cut off and taken for lost; an earlier one may not.
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

    /// Marks a life of a node as stopping.
    pub(crate) fn drain(&mut self, node: NodeId, incarnation: Incarnation) -> ControlReply {
        if let Some(refusal) = self.refuse(node, incarnation) {
            return refusal;
        }
        if let Some(record) = self.registered.get_mut(&node) {
            record.draining = true;
        }
        ControlReply::NodeAccepted
    }

    /// Removes a life of a node. Removing it again is harmless.
    pub(crate) fn remove(&mut self, node: NodeId, incarnation: Incarnation) -> ControlReply {
        let removed_before =
            !self.registered.contains_key(&node) && self.removed.get(&node) == Some(&incarnation);
        if removed_before {
            return ControlReply::NodeAccepted;
        }
        if let Some(refusal) = self.refuse(node, incarnation) {
            return refusal;
        }
        self.registered.remove(&node);
        self.removed.insert(node, incarnation);
        ControlReply::NodeAccepted
    }

    /// The latest life that was ever registered.
    fn latest(&self, node: NodeId) -> Incarnation {
        let registered = self.registered.get(&node);
        let registered = registered.map(|record| record.registration.incarnation);
        let removed = self.removed.get(&node).copied();
        registered.max(removed).unwrap_or_default()
    }

    /// The refusal of a command about a life that is not the registered one.
    fn refuse(&self, node: NodeId, incarnation: Incarnation) -> Option<ControlReply> {
        let latest = self.latest(node);
        if incarnation < latest {
            return Some(ControlReply::NodeStale { registered: latest });
        }
        let registered = self.registered.get(&node);
        let named = registered.is_some_and(|record| record.registration.incarnation == incarnation);
        (!named).then_some(ControlReply::NodeUnknown)
    }
}
