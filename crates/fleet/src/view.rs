//! What control nodes tell the other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_state::declared::{Bar, Departure, RequestDigest, ServingModel};
use molespan_types::{NodeId, Timestamp, ZoneName};

use crate::watch::MOST_WATCHED;

/// An engine as its heartbeats describe it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineRecord {
    /// Identifier of its incarnation.
    #[n(0)]
    pub id: String,
    /// Service that it belongs to.
    #[n(1)]
    pub service: String,
    /// Address that it serves on.
    #[n(2)]
    pub address: String,
    /// Where it stands.
    #[n(3)]
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    #[n(4)]
    pub slots: u32,
    /// Rises with each heartbeat, so that a late one can be told.
    #[n(5)]
    pub sequence: u64,
    /// How much longer it is slow from its start, in milliseconds.
    #[n(6)]
    pub cold_left_ms: u32,
}

impl EngineRecord {
    /// Whether a heartbeat says the same but for its sequence.
    pub(crate) fn is_same_engine(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
    }
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationInForce {
    /// The operator's number.
    #[n(0)]
    pub version: u64,
    /// What it says.
    #[n(1)]
    pub model: ServingModel,
}

/// What the control nodes say of the cluster itself.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Topology {
    /// Nodes that hold the control group.
    #[n(0)]
    pub control: BTreeSet<NodeId>,
    /// Nodes that can hold batch jobs.
    #[n(1)]
    pub stores: BTreeSet<NodeId>,
    /// First voters of the batch group, with the lives of their disks.
    #[n(2)]
    pub founders: BTreeMap<NodeId, u32>,
    /// Stores that are to be emptied.
    #[n(3)]
    pub retiring: BTreeSet<NodeId>,
    /// Gateways that were heard of lately.
    #[n(4)]
    pub gateways: BTreeSet<NodeId>,
    /// Entries of the control group that the rest follows from, at least.
    #[n(5)]
    pub applied: u64,
    /// Where the control node stands that says this; an older one does not say.
    #[n(6)]
    pub zone: Option<ZoneName>,
    /// How many gateways were heard of lately. Beyond [`MOST_NAMED`] they are not named:
    /// nobody tells all of them anything, and the names of each change would grow with
    /// the square of their number.
    #[n(7)]
    #[cbor(default)]
    pub gateway_count: u32,
}

impl Topology {
    /// How many gateways there are.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        self.gateway_count.max(self.gateways.len() as u32)
    }
}

/// Gateways that are named at the most: as many as tell each other directly.
pub const MOST_NAMED: usize = 12;

/// The cluster as several control nodes describe it.
#[derive(Clone, Debug, Default)]
pub struct TopologyView {
    told: BTreeMap<NodeId, ToldTopology>,
}

#[derive(Clone, Debug)]
struct ToldTopology {
    topology: Topology,
    heard: Timestamp,
}

/// A control node that says nothing for longer, not even that nothing changed,
/// does not count as knowing the gateways.
const TOLD_LATELY: Duration = Duration::from_secs(5);

impl TopologyView {
    /// A control node said something, perhaps of the cluster.
    pub fn note(&mut self, from: NodeId, topology: Option<Topology>, now: Timestamp) {
        match (topology, self.told.get_mut(&from)) {
            (Some(topology), _) => {
                let told = ToldTopology {
                    topology,
                    heard: now,
                };
                self.told.insert(from, told);
            }
            (None, Some(told)) => told.heard = now,
            (None, None) => {}
        }
    }

    /// What is known: the log's part from the node that applied the most of it,
    /// and every gateway that some node counts. A node that has just started
    /// counts none yet. It names no zone: it is nobody's word alone.
    #[must_use]
    pub fn current(&self, now: Timestamp) -> Topology {
        let told = self.told.values();
        let newest = told.max_by_key(|told| (told.topology.applied, told.heard));
        let mut topology = newest.map(|told| told.topology.clone()).unwrap_or_default();
        topology.gateways.clear();
        let lately = self.told.values().filter(|told| {
            let silence = now.since(told.heard);
            silence < TOLD_LATELY
        });
        topology.gateway_count = 0;
        for told in lately {
            topology.gateways.extend(&told.topology.gateways);
            topology.gateway_count = topology.gateway_count.max(told.topology.gateway_count);
        }
        topology.zone = None;
        topology
    }

    /// Whether most control nodes were heard within `limit`: one of them has what was
    /// committed before. Of many, those count that a node watches.
    #[must_use]
    pub fn is_current(&self, limit: Duration, now: Timestamp) -> bool {
        let control = self.current(now).control;
        let heard = control.iter().filter_map(|node| self.told.get(node));
        let lately = heard.filter(|told| now.since(told.heard) < limit);
        lately.count() * 2 > control.len().min(MOST_WATCHED)
    }

    /// Control nodes that say that they stand in `zone`.
    pub fn control_in(&self, zone: &ZoneName) -> BTreeSet<NodeId> {
        let told = self.told.iter();
        let there = told.filter(|(_, told)| told.topology.zone.as_ref() == Some(zone));
        there.map(|(&node, _)| node).collect()
    }
}

/// Changes since what a node was told before.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ViewUpdate {
    /// The configuration, if another one came into force.
    #[n(0)]
    pub configuration: Option<ConfigurationInForce>,
    /// Engines that are new or changed.
    #[n(1)]
    pub engines: Vec<EngineRecord>,
    /// Engines that leave.
    #[n(2)]
    pub departures: Vec<(String, Departure)>,
    /// Engines that fell silent, or whose address another one took.
    #[n(3)]
    pub lost: Vec<String>,
    /// The cluster, if anything of it changed.
    #[n(4)]
    pub topology: Option<Topology>,
    /// Bars on requests that are new or changed, lifted ones included; an older
    /// control node tells none.
    #[n(5)]
    #[cbor(default)]
    pub bars: Vec<(RequestDigest, Bar)>,
    /// Services of which it changed which engines the asker is to use, as this control
    /// node reckons; an older one tells none.
    #[n(6)]
    #[cbor(default)]
    pub parts: Vec<ServicePart>,
}

/// What a gateway uses of a service.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServicePart {
    /// Service.
    #[n(0)]
    pub service: String,
    /// Gateways that use each engine of it; `None` where all use all.
    #[n(1)]
    pub users: Option<u32>,
    /// The engines that the asker uses, of those that this control node knows, where
    /// others have to be forgotten.
    #[n(2)]
    pub engines: Option<Vec<String>>,
}
