//! State of the cluster view, with the revision at which each part last changed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use async_channel::Sender;
use molespan_routing::subset::{Breadth, Subsets};
use molespan_state::declared::{Bar, DeclaredState, Departure, RequestDigest};
use molespan_types::{EngineIncarnation, NodeId, Timestamp, ZoneName, incarnations_of};
use molespan_wire::{ViewPosition, WatchView, WatcherKind};

use super::configuration_times::ConfigurationTimes;
use super::{LIVE_TTL, MAX_WATCH_GAP};
use crate::control::change_log::ChangeLog;
use crate::control::registry::{Registry, RegistryEvent};
use crate::view::{ConfigurationInForce, MAX_LISTED_GATEWAYS, Topology};
use crate::wakeup::Wakeup;

/// Time for which a gateway that is gone keeps its assigned engines. Longer than a
/// restart takes; meanwhile, other gateways use the same engines.
const ASSIGNMENT_RETENTION: Duration = Duration::from_secs(30);
/// Time after a start, suspension or partition of this node by which every gateway has
/// sent a watch request and every engine is known, directly or through another control
/// node. Gateways and engines send every 2 s, and control nodes forward heartbeats once
/// per second.
const SETTLE_TIME: Duration = LIVE_TTL;

#[derive(Debug)]
pub struct Watcher {
    pub kind: WatcherKind,
    pub zone: Option<ZoneName>,
    pub last_seen: Timestamp,
    /// When it began to watch this node.
    pub since: Timestamp,
    /// Whether its first request to this node had an empty position, so that it may know no
    /// engines yet.
    pub started_empty: bool,
}

#[derive(Debug)]
pub struct State {
    /// Identifies this view in the positions of its watchers.
    pub session: u64,
    pub revision: u64,
    pub registry: Registry,
    /// Whether this node is a member of the control group. A non-member may still be
    /// called by engines, and watched by nodes that were given it as a seed; its view is
    /// incomplete.
    pub is_member: bool,
    /// Assignment of engines to gateways.
    pub subsets: Subsets,
    pub configuration: Option<ConfigurationInForce>,
    pub configuration_changed: u64,
    /// When recent configurations came into force on this node, by version.
    pub configuration_times: ConfigurationTimes,
    pub departures: BTreeMap<String, (Departure, u64)>,
    pub departure_log: ChangeLog<String>,
    /// Revision of the latest departure of an engine that any gateway may use.
    pub shared_departure_changed: u64,
    /// Bars on requests, with the revision at which each changed.
    pub bars: BTreeMap<RequestDigest, (Bar, u64)>,
    pub bars_changed: u64,
    pub topology: Topology,
    pub topology_changed: u64,
    pub watchers: BTreeMap<NodeId, Watcher>,
    /// Gateways that keep their assigned engines, with their zones and when they were
    /// last seen.
    pub gateways: BTreeMap<NodeId, (Option<ZoneName>, Timestamp)>,
    /// When the latest watch request arrived.
    pub last_watch_at: Timestamp,
    /// Since when watch requests have arrived without a long gap.
    pub watched_since: Timestamp,
    /// Wakes all waiting watches at the next change.
    pub wakeup: Wakeup,
    /// Signals a change for which no watch has been woken yet.
    pub change_signal: Sender<()>,
}

impl State {
    /// Creates an empty state for a node in `zone`; engines are lost after `silence`
    /// without a heartbeat.
    pub fn new(
        zone: ZoneName,
        silence: Duration,
        change_signal: Sender<()>,
        now: Timestamp,
    ) -> Self {
        let topology = Topology {
            zone: Some(zone),
            holds_streams: true,
            ..Topology::default()
        };
        Self {
            session: rand::random(),
            revision: 1,
            registry: Registry::new(silence),
            is_member: true,
            subsets: Subsets::default(),
            configuration: None,
            configuration_changed: 0,
            configuration_times: ConfigurationTimes::default(),
            departures: BTreeMap::new(),
            departure_log: ChangeLog::default(),
            shared_departure_changed: 0,
            bars: BTreeMap::new(),
            bars_changed: 0,
            topology,
            topology_changed: 0,
            watchers: BTreeMap::new(),
            gateways: BTreeMap::new(),
            last_watch_at: now,
            watched_since: now,
            wakeup: Wakeup::default(),
            change_signal,
        }
    }

    pub fn mark_changed(&mut self) {
        self.revision += 1;
        let _already_signaled = self.change_signal.try_send(());
    }

    pub fn record_watch_request(&mut self, now: Timestamp) {
        if now.since(self.last_watch_at) >= MAX_WATCH_GAP {
            self.watched_since = now;
        }
        self.last_watch_at = now;
    }

    /// Records a watch that arrived at `began` and is open now.
    pub fn record_watcher(&mut self, watch: &WatchView, began: Timestamp, now: Timestamp) {
        let before = self.watchers.get(&watch.node);
        let starts = watch.position == ViewPosition::default();
        let started_empty = starts || before.is_some_and(|watcher| watcher.started_empty);
        let watcher = Watcher {
            kind: watch.kind,
            zone: watch.zone.clone(),
            last_seen: now,
            since: before
                .filter(|_| !starts)
                .map_or(began, |watcher| watcher.since),
            started_empty,
        };
        self.watchers.insert(watch.node, watcher);
    }

    pub fn watchers_of(&self, kind: WatcherKind) -> BTreeSet<NodeId> {
        let watchers = self.watchers.iter();
        let matching = watchers.filter(|(_, watcher)| watcher.kind == kind);
        matching.map(|(node, _)| *node).collect()
    }

    pub fn update_gateways(&mut self, change: u64) -> bool {
        let mut gateways = self.watchers_of(WatcherKind::Gateway);
        let count = gateways.len() as u32;
        if gateways.len() > MAX_LISTED_GATEWAYS {
            gateways.clear();
        }
        if count == self.topology.gateway_count && gateways == self.topology.gateways {
            return false;
        }
        self.topology.gateways = gateways;
        self.topology.gateway_count = count;
        self.topology_changed = change;
        true
    }

    /// Applies registry events to the assignment of engines to gateways.
    pub fn apply_registry_events(&mut self, change: u64) {
        for event in self.registry.take_events() {
            match event {
                RegistryEvent::Registered {
                    service,
                    engine,
                    zone,
                } => self.subsets.insert(&service, &engine, &zone, change),
                RegistryEvent::Gone { service, engine } => {
                    self.subsets.remove(&service, &engine, change)
                }
            }
        }
    }

    pub fn plan_subsets(&mut self, now: Timestamp, change: u64) -> bool {
        for (node, watcher) in &self.watchers {
            if watcher.kind == WatcherKind::Gateway {
                let gateway = (watcher.zone.clone(), watcher.last_seen);
                self.gateways.insert(*node, gateway);
            }
        }
        self.gateways
            .retain(|_, (_, last_seen)| now.since(*last_seen) < ASSIGNMENT_RETENTION);
        let gateways = self.gateways.iter();
        let gateways = gateways.map(|(&node, (zone, _))| (node, zone.clone()));
        let settled = now.since(self.watched_since) >= SETTLE_TIME;
        self.subsets.plan(&gateways.collect(), settled, change)
    }

    pub fn apply_configuration(
        &mut self,
        declared: &DeclaredState,
        change: u64,
        now: Timestamp,
    ) -> bool {
        let current = self.configuration.as_ref().map(|current| current.version);
        let Some(newest) = declared.configuration() else {
            return false;
        };
        if current.is_some_and(|current| current >= newest.version) {
            return false;
        }
        self.configuration = Some(ConfigurationInForce {
            version: newest.version,
            model: newest.model.clone(),
        });
        self.configuration_changed = change;
        self.configuration_times.record(newest.version, now);
        true
    }

    pub fn apply_departures(&mut self, declared: &DeclaredState, change: u64) -> bool {
        let mut changed = false;
        for (engine, departure) in declared.departures().iter() {
            let known = self.departures.get(engine).copied();
            if known.is_none_or(|(known, _)| known < departure) {
                let engine = engine.to_owned();
                let before = known.map(|(_, before)| before);
                if before.is_none() && !self.has_few_users(&engine) {
                    self.shared_departure_changed = change;
                }
                self.departure_log.record(&engine, before, change);
                self.registry.remove(&engine);
                self.departures.insert(engine, (departure, change));
                changed = true;
            }
        }
        self.apply_registry_events(change);
        changed
    }

    /// Returns the departure state of an engine, which also binds its earlier
    /// incarnations.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        let incarnation = EngineIncarnation::of(id);
        let departed = incarnations_of(&self.departures, incarnation.name);
        let binding =
            departed.filter(|(id, _)| incarnation.departure_applies(&EngineIncarnation::of(id)));
        binding.map(|(_, (departure, _))| *departure).max()
    }

    /// Whether the engine is assigned to only some of the gateways. Until the assignment
    /// is known, a departure must reach every gateway that may know the engine.
    pub fn has_few_users(&self, engine: &str) -> bool {
        let record = self.registry.bound_by(engine);
        record.is_some_and(|record| {
            let (breadth, _) = self.subsets.breadth(&record.service);
            matches!(breadth, Breadth::Few(_))
        })
    }

    pub fn apply_bars(&mut self, declared: &DeclaredState, change: u64) -> bool {
        let declared_bars = declared.bars();
        self.bars
            .retain(|request, _| declared_bars.get(request).is_some());
        let mut changed = false;
        for (request, bar) in declared_bars.iter() {
            let known = self.bars.get(request).map(|(known, _)| known);
            if known != Some(bar) {
                self.bars.insert(*request, (*bar, change));
                self.bars_changed = change;
                changed = true;
            }
        }
        changed
    }

    pub fn apply_topology(
        &mut self,
        declared: &DeclaredState,
        control: BTreeSet<NodeId>,
        applied: u64,
        change: u64,
    ) -> bool {
        let stores = declared.stores();
        let topology = Topology {
            control,
            stores: stores.nodes().keys().copied().collect(),
            founders: stores.founders().clone(),
            retiring: stores.retiring(),
            gateways: self.topology.gateways.clone(),
            gateway_count: self.topology.gateway_count,
            applied: self.topology.applied,
            zone: self.topology.zone.clone(),
            holds_streams: self.topology.holds_streams,
        };
        if topology == self.topology {
            return false;
        }
        self.topology = Topology {
            applied,
            ..topology
        };
        self.topology_changed = change;
        true
    }
}
