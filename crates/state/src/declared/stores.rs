//! Nodes that hold batch jobs, who founded their group, and who is to leave it.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use minicbor::{Decode, Encode};
use molespan_types::{NodeId, ZoneName};

use super::command::{RegisterStore, RetireReply};

/// How far the emptying of a node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Encode, Decode)]
#[cbor(index_only)]
pub enum Retirement {
    /// Its copies are being made elsewhere.
    #[n(0)]
    #[display("active")]
    Active,
    /// It holds nothing that the others do not hold.
    #[n(1)]
    #[display("completed")]
    Completed,
}

/// A node that can hold batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoreNode {
    /// Name that operators use.
    #[n(0)]
    pub name: String,
    /// Where it stands.
    #[n(1)]
    pub zone: ZoneName,
    /// Life of its disk.
    #[n(2)]
    pub incarnation: u32,
    /// Set once an operator asked to empty it.
    #[n(3)]
    pub retirement: Option<Retirement>,
}

/// The nodes that can hold batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Stores {
    #[n(0)]
    nodes: BTreeMap<NodeId, StoreNode>,
    /// The first voters of the batch group and the lives of their disks; fixed
    /// once.
    #[n(1)]
    founders: BTreeMap<NodeId, u32>,
}

impl Stores {
    /// All registered nodes.
    #[must_use]
    pub fn nodes(&self) -> &BTreeMap<NodeId, StoreNode> {
        &self.nodes
    }

    /// The first voters of the batch group; empty before the founding.
    #[must_use]
    pub fn founders(&self) -> &BTreeMap<NodeId, u32> {
        &self.founders
    }

    /// Nodes that an operator wants emptied.
    #[must_use]
    pub fn retiring(&self) -> BTreeSet<NodeId> {
        let retiring = self
            .nodes
            .iter()
            .filter(|(_, node)| node.retirement.is_some());
        retiring.map(|(id, _)| *id).collect()
    }

    /// The node of this name.
    #[must_use]
    pub fn named(&self, name: &str) -> Option<(NodeId, &StoreNode)> {
        let mut nodes = self.nodes.iter();
        nodes
            .find(|(_, node)| node.name == name)
            .map(|(id, node)| (*id, node))
    }

    /// Takes a node in; founds the group once enough are there. Says whether
    /// anything changed.
    pub(super) fn register(&mut self, register: &RegisterStore) -> bool {
        let known = self.nodes.get(&register.node);
        let same = known.is_some_and(|node| {
            node.incarnation == register.incarnation && node.name == register.name
        });
        if !same {
            let retirement = known.and_then(|node| node.retirement);
            let node = StoreNode {
                name: register.name.clone(),
                zone: register.zone.clone(),
                incarnation: register.incarnation,
                retirement,
            };
            self.nodes.insert(register.node, node);
        }
        let founded = self.found_if_due(register);
        !same || founded
    }

    fn found_if_due(&mut self, register: &RegisterStore) -> bool {
        let wanted = register.replicas as usize;
        if !self.founders.is_empty() {
            return false;
        }
        let chosen = spread_over_zones(&self.nodes, wanted);
        // The stores of one zone may all register before any other.
        let enough = chosen.len() == wanted && self.outlive_a_zone(&chosen);
        if !enough && !register.patience_over {
            return false;
        }
        self.founders = chosen
            .into_iter()
            .map(|id| (id, self.nodes[&id].incarnation))
            .collect();
        true
    }

    /// Whether most of these nodes are left when any one zone is lost. One alone, which
    /// outlives nothing, is as good anywhere.
    fn outlive_a_zone(&self, chosen: &[NodeId]) -> bool {
        let mut of_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for id in chosen {
            *of_zone.entry(&self.nodes[id].zone).or_default() += 1;
        }
        let most = of_zone.values().copied().max().unwrap_or_default();
        chosen.len() == 1 || most * 2 < chosen.len()
    }

    /// Asks to empty the node of this name, if at least `replicas` of those
    /// that are `alive` stay.
    pub(super) fn retire(
        &mut self,
        name: &str,
        replicas: u32,
        alive: &BTreeSet<NodeId>,
    ) -> RetireReply {
        let Some((id, node)) = self.named(name) else {
            return RetireReply::Unknown;
        };
        if let Some(retirement) = node.retirement {
            return RetireReply::Taken { retirement };
        }
        let retiring = self.retiring();
        let staying = alive
            .iter()
            .filter(|one| **one != id && !retiring.contains(one));
        if staying.count() < replicas as usize {
            return RetireReply::TooFew;
        }
        self.set_retirement(id, Retirement::Active);
        RetireReply::Taken {
            retirement: Retirement::Active,
        }
    }

    /// Notes that a node holds nothing any more.
    pub(super) fn complete(&mut self, id: NodeId) -> bool {
        let active = self.nodes.get(&id).and_then(|node| node.retirement);
        if active != Some(Retirement::Active) {
            return false;
        }
        self.set_retirement(id, Retirement::Completed);
        true
    }

    fn set_retirement(&mut self, id: NodeId, retirement: Retirement) {
        if let Some(node) = self.nodes.get_mut(&id) {
            node.retirement = Some(retirement);
        }
    }
}

/// Up to `wanted` nodes, taking one of each zone before a second of any.
fn spread_over_zones(nodes: &BTreeMap<NodeId, StoreNode>, wanted: usize) -> Vec<NodeId> {
    let mut taken_of: BTreeMap<&ZoneName, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, NodeId)> = Vec::new();
    for (id, node) in nodes {
        let taken = taken_of.entry(&node.zone).or_default();
        ranked.push((*taken, *id));
        *taken += 1;
    }
    ranked.sort_unstable();
    ranked.into_iter().take(wanted).map(|(_, id)| id).collect()
}
