//! The cluster view that control nodes send to the other nodes.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_routing::streams::Holder;
use molespan_state::declared::{Bar, Departure, RequestDigest, ServingModel};
use molespan_types::{NodeId, SoftwareVersion, Timestamp, ZoneName};

use crate::watch::MAX_WATCHED_NODES;

/// An engine as described by its heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct EngineRecord {
    /// Identifier of the engine's current life: its name, and its start time if it
    /// reports one.
    #[n(0)]
    pub id: String,
    /// Service that the engine belongs to.
    #[n(1)]
    pub service: String,
    /// Address that the engine serves on.
    #[n(2)]
    pub address: String,
    /// Zone of the engine.
    #[n(3)]
    pub zone: ZoneName,
    /// Number of concurrency slots: requests that the engine runs at the same time.
    #[n(4)]
    pub slots: u32,
    /// Increases with each heartbeat, so that a reordered heartbeat can be detected.
    #[n(5)]
    pub sequence: u64,
    /// Remaining time during which the engine is slow after its start, in milliseconds.
    #[n(6)]
    pub cold_left_ms: u32,
    /// Version of its software; `None` if it names none, or from an older control node.
    #[n(7)]
    #[cbor(default)]
    pub version: Option<SoftwareVersion>,
}

impl EngineRecord {
    /// Whether two heartbeats agree in service, address, zone, slots and software version.
    pub(crate) fn is_same_engine(&self, other: &Self) -> bool {
        self.service == other.service
            && self.address == other.address
            && self.zone == other.zone
            && self.slots == other.slots
            && self.version == other.version
    }
}

/// The configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationInForce {
    /// Version number assigned by the operator.
    #[n(0)]
    pub version: u64,
    /// Content of the configuration.
    #[n(1)]
    pub model: ServingModel,
}

/// Membership of the cluster, as reported by one control node.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Topology {
    /// Members of the control group.
    #[n(0)]
    pub control: BTreeSet<NodeId>,
    /// Nodes that can store batch jobs.
    #[n(1)]
    pub stores: BTreeSet<NodeId>,
    /// Initial voters of the batch group, with the incarnations of their disks.
    #[n(2)]
    pub founders: BTreeMap<NodeId, u32>,
    /// Stores that are being retired.
    #[n(3)]
    pub retiring: BTreeSet<NodeId>,
    /// Gateways that contacted the control node recently. Empty beyond
    /// [`MAX_LISTED_GATEWAYS`] gateways.
    #[n(4)]
    pub gateways: BTreeSet<NodeId>,
    /// Lower bound of the applied entries of the control group that this report is based
    /// on.
    #[n(5)]
    pub applied: u64,
    /// Zone of the reporting control node; `None` from older versions.
    #[n(6)]
    pub zone: Option<ZoneName>,
    /// Number of gateways that contacted the control node recently. Beyond
    /// [`MAX_LISTED_GATEWAYS`] they are counted but not listed: no node sends messages to
    /// all of them, and listing them on each change would cost traffic quadratic in their
    /// number.
    #[n(7)]
    #[cbor(default)]
    pub gateway_count: u32,
    /// Whether the reporting control node holds the origins of streams; `false` from older
    /// versions.
    #[n(8)]
    #[cbor(default)]
    pub holds_streams: bool,
}

impl Topology {
    /// Returns the number of gateways.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        self.gateway_count.max(self.gateways.len() as u32)
    }
}

/// Largest number of gateways that a topology lists by name; up to this many, gateways
/// send to each other directly.
pub const MAX_LISTED_GATEWAYS: usize = 12;

/// The cluster topology, merged from the reports of several control nodes.
#[derive(Clone, Debug, Default)]
pub struct TopologyView {
    reports: BTreeMap<NodeId, ReportedTopology>,
}

#[derive(Clone, Debug)]
struct ReportedTopology {
    topology: Topology,
    received_at: Timestamp,
}

/// Time without any message, not even an empty update, after which the gateway list of a
/// control node is ignored.
const REPORT_TTL: Duration = Duration::from_secs(5);

impl TopologyView {
    /// Records a message of a control node; `topology` is `None` if the topology did not
    /// change.
    pub fn record(&mut self, from: NodeId, topology: Option<Topology>, now: Timestamp) {
        match (topology, self.reports.get_mut(&from)) {
            (Some(topology), _) => {
                let report = ReportedTopology {
                    topology,
                    received_at: now,
                };
                self.reports.insert(from, report);
            }
            (None, Some(report)) => report.received_at = now,
            (None, None) => {}
        }
    }

    /// Returns the merged topology. The replicated part comes from the control node that
    /// has applied the most entries. The gateways are the union over all recent reports,
    /// since a control node that has just started counts none yet. The zone is `None`,
    /// because it describes a single control node, and so does `holds_streams`.
    #[must_use]
    pub fn current(&self, now: Timestamp) -> Topology {
        let reports = self.reports.values();
        let newest = reports.max_by_key(|report| (report.topology.applied, report.received_at));
        let mut topology = newest
            .map(|report| report.topology.clone())
            .unwrap_or_default();
        topology.gateways.clear();
        let recent = self.reports.values().filter(|report| {
            let silence = now.since(report.received_at);
            silence < REPORT_TTL
        });
        topology.gateway_count = 0;
        for report in recent {
            topology.gateways.extend(&report.topology.gateways);
            topology.gateway_count = topology.gateway_count.max(report.topology.gateway_count);
        }
        topology.zone = None;
        topology.holds_streams = false;
        topology
    }

    /// Returns the members of the control group that hold the origins of streams, as far as
    /// they were heard from recently.
    #[must_use]
    pub fn stream_holders(&self, now: Timestamp) -> Vec<Holder> {
        let control = self.current(now).control;
        let reports = self.reports.iter();
        let holders = reports.filter(|(node, report)| {
            let recent = now.since(report.received_at) < REPORT_TTL;
            recent && report.topology.holds_streams && control.contains(node)
        });
        let holders = holders.map(|(&node, report)| Holder {
            node,
            zone: report.topology.zone.clone(),
        });
        holders.collect()
    }

    /// Whether a majority of the control nodes was heard from within `limit`, so that at
    /// least one of them has everything that was committed before. If there are many
    /// control nodes, the majority is taken of the number that a node watches.
    #[must_use]
    pub fn is_current(&self, limit: Duration, now: Timestamp) -> bool {
        let control = self.current(now).control;
        let member_reports = control.iter().filter_map(|node| self.reports.get(node));
        let recent = member_reports.filter(|report| now.since(report.received_at) < limit);
        recent.count() * 2 > control.len().min(MAX_WATCHED_NODES)
    }

    /// Returns the control nodes that report `zone` as theirs.
    pub fn control_nodes_in_zone(&self, zone: &ZoneName) -> BTreeSet<NodeId> {
        let reports = self.reports.iter();
        let in_zone = reports.filter(|(_, report)| report.topology.zone.as_ref() == Some(zone));
        in_zone.map(|(&node, _)| node).collect()
    }
}

/// Changes since the last update that a node received.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ViewUpdate {
    /// The new configuration, if another one came into force.
    #[n(0)]
    pub configuration: Option<ConfigurationInForce>,
    /// Engines that were added or changed.
    #[n(1)]
    pub engines: Vec<EngineRecord>,
    /// Engines that are leaving.
    #[n(2)]
    pub departures: Vec<(String, Departure)>,
    /// Engines that stopped sending heartbeats, or whose address was taken by another
    /// engine.
    #[n(3)]
    pub lost: Vec<String>,
    /// The topology, if it changed.
    #[n(4)]
    pub topology: Option<Topology>,
    /// Bars on requests that were added or changed, including lifted ones. Empty from
    /// older control nodes.
    #[n(5)]
    #[cbor(default)]
    pub bars: Vec<(RequestDigest, Bar)>,
    /// Services for which this control node assigned other engines to the receiver. Empty
    /// from older control nodes.
    #[n(6)]
    #[cbor(default)]
    pub subsets: Vec<ServiceSubset>,
}

/// The subset of a service's engines that a gateway uses.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceSubset {
    /// Name of the service.
    #[n(0)]
    pub service: String,
    /// Number of gateways that use each engine; `None` if every gateway uses every
    /// engine.
    #[n(1)]
    pub users: Option<u32>,
    /// The complete set of engines that the receiver uses, among those known to this
    /// control node, if the receiver has to drop all others; `None` if it drops none.
    #[n(2)]
    pub engines: Option<Vec<String>>,
}
