//! Registry of the nodes that store batch jobs, the founders of their group, and retiring
//! nodes.

use std::collections::{BTreeMap, BTreeSet};

use derive_more::Display;
use minicbor::{Decode, Encode};
use molespan_types::{NodeId, ZoneName};

use super::command::{RegisterStore, RetireReply};

/// Progress of the retirement of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Encode, Decode)]
#[cbor(index_only)]
pub enum Retirement {
    /// Its data is being copied to other stores.
    #[n(0)]
    #[display("active")]
    Active,
    /// It holds no data that other stores do not have.
    #[n(1)]
    #[display("completed")]
    Completed,
}

/// A node that can store batch jobs.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct StoreNode {
    /// Name used by operators.
    #[n(0)]
    pub name: String,
    /// Zone of the node.
    #[n(1)]
    pub zone: ZoneName,
    /// Incarnation of its disk.
    #[n(2)]
    pub incarnation: u32,
    /// Progress of its retirement; set once an operator requested it.
    #[n(3)]
    pub retirement: Option<Retirement>,
}

/// The nodes that can store batch jobs.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Stores {
    #[n(0)]
    nodes: BTreeMap<NodeId, StoreNode>,
    /// Initial voters of the batch group and the incarnations of their disks; never changed
    /// once set.
    #[n(1)]
    founders: BTreeMap<NodeId, u32>,
}

impl Stores {
    /// Returns all registered nodes.
    #[must_use]
    pub fn nodes(&self) -> &BTreeMap<NodeId, StoreNode> {
        &self.nodes
    }

    /// Returns the initial voters of the batch group; empty before the group is created.
    #[must_use]
    pub fn founders(&self) -> &BTreeMap<NodeId, u32> {
        &self.founders
    }

    /// Returns the nodes that an operator requested to retire.
    #[must_use]
    pub fn retiring(&self) -> BTreeSet<NodeId> {
        let retiring = self
            .nodes
            .iter()
            .filter(|(_, node)| node.retirement.is_some());
        retiring.map(|(id, _)| *id).collect()
    }

    /// Returns the node with this name.
    #[must_use]
    pub fn by_name(&self, name: &str) -> Option<(NodeId, &StoreNode)> {
        let mut nodes = self.nodes.iter();
        nodes
            .find(|(_, node)| node.name == name)
            .map(|(id, node)| (*id, node))
    }

    /// Registers a node, and creates the group once enough nodes are registered. Returns
    /// whether anything changed.
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
        let created = self.create_group_if_ready(register);
        !same || created
    }

    fn create_group_if_ready(&mut self, register: &RegisterStore) -> bool {
        let wanted = register.replicas as usize;
        if !self.founders.is_empty() {
            return false;
        }
        let chosen = spread_over_zones(&self.nodes, wanted);
        // All stores of one zone may register before those of other zones.
        let enough = chosen.len() == wanted && self.survive_zone_loss(&chosen);
        if !enough && !register.wait_timed_out {
            return false;
        }
        self.founders = chosen
            .into_iter()
            .map(|id| (id, self.nodes[&id].incarnation))
            .collect();
        true
    }

    /// Whether a majority of these nodes survives the loss of any one zone. A single node
    /// is accepted, since it survives no loss in any zone.
    fn survive_zone_loss(&self, chosen: &[NodeId]) -> bool {
        let mut of_zone: BTreeMap<&ZoneName, usize> = BTreeMap::new();
        for id in chosen {
            *of_zone.entry(&self.nodes[id].zone).or_default() += 1;
        }
        let most = of_zone.values().copied().max().unwrap_or_default();
        chosen.len() == 1 || most * 2 < chosen.len()
    }

    /// Starts the retirement of the node with this name if at least `replicas` of the
    /// `alive` nodes remain.
    pub(super) fn retire(
        &mut self,
        name: &str,
        replicas: u32,
        alive: &BTreeSet<NodeId>,
    ) -> RetireReply {
        let Some((id, node)) = self.by_name(name) else {
            return RetireReply::Unknown;
        };
        if let Some(retirement) = node.retirement {
            return RetireReply::Taken { retirement };
        }
        let retiring = self.retiring();
        let staying = alive
            .iter()
            .filter(|other| **other != id && !retiring.contains(other));
        if staying.count() < replicas as usize {
            return RetireReply::TooFew;
        }
        self.set_retirement(id, Retirement::Active);
        RetireReply::Taken {
            retirement: Retirement::Active,
        }
    }

    /// Records that the retirement of a node is complete.
    pub(super) fn complete_retirement(&mut self, id: NodeId) -> bool {
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

/// Selects up to `wanted` nodes, taking one of each zone before a second of any zone.
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
