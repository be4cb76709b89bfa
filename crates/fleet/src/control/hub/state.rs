//! What a control node has heard and applied, with the change of the view at which each of
//! it became as it is.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use async_channel::Sender;
use molespan_routing::subset::{Breadth, Subsets};
use molespan_state::declared::{Bar, DeclaredState, Departure, RequestDigest};
use molespan_types::{EngineLife, NodeId, Timestamp, ZoneName, lives_of};
use molespan_wire::{ViewMark, WatchView, WatcherKind};

use super::{AWAY, PRESENCE};
use crate::control::change_log::ChangeLog;
use crate::control::registry::{News, Registry};
use crate::view::{ConfigurationInForce, MOST_NAMED, Topology};
use crate::wakeup::Wakeup;

/// How long the engines of a gateway that is gone wait for it: longer than a restart
/// takes, and there are other gateways for each of them.
const ENGINES_KEPT: Duration = Duration::from_secs(30);
/// Time from the start of this node, or from when it was last frozen or cut off, within
/// which every gateway has asked, and every engine was heard, here or by another control
/// node: they ask and say so each 2 s, and control nodes pass on what they heard once a
/// second.
const SETTLED_AFTER: Duration = PRESENCE;

#[derive(Debug)]
pub struct Watcher {
    pub kind: WatcherKind,
    pub zone: Option<ZoneName>,
    pub at: Timestamp,
    /// Since when it asks without having the configuration in force.
    pub behind_since: Option<Timestamp>,
    /// Whether it had heard nothing from anybody when it first asked here.
    pub begins: bool,
}

#[derive(Debug)]
pub struct State {
    /// Names this view to those who watch it.
    pub session: u64,
    pub revision: u64,
    pub registry: Registry,
    /// Whether this node holds the control group. Another one is called by engines and
    /// asked by whoever was given it as a seed; its view is not whole.
    pub is_member: bool,
    /// Which gateways use which engines.
    pub subsets: Subsets,
    pub configuration: Option<ConfigurationInForce>,
    pub configuration_changed: u64,
    /// When it came into force here.
    pub configuration_since: Timestamp,
    pub departures: BTreeMap<String, (Departure, u64)>,
    pub departure_log: ChangeLog<String>,
    /// The last change at which an engine left that every gateway may use.
    pub departure_for_all: u64,
    /// Bars on requests, with the change of this view that brought them.
    pub bars: BTreeMap<RequestDigest, (Bar, u64)>,
    pub bars_changed: u64,
    pub topology: Topology,
    pub topology_changed: u64,
    pub watchers: BTreeMap<NodeId, Watcher>,
    /// Gateways whose engines are kept for them, with their zones.
    pub gateways: BTreeMap<NodeId, (Option<ZoneName>, Timestamp)>,
    /// When a node asked last.
    pub asked: Timestamp,
    /// Since when nodes ask here all the time.
    pub in_touch_since: Timestamp,
    /// Wakes all that wait at the next change.
    pub wakeup: Wakeup,
    /// Told that something changed that nobody was woken for.
    pub unannounced: Sender<()>,
}

impl State {
    /// Nothing was heard yet by a node in `zone`; engines are lost after `silence`.
    pub fn new(zone: ZoneName, silence: Duration, unannounced: Sender<()>, now: Timestamp) -> Self {
        let topology = Topology {
            zone: Some(zone),
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
            configuration_since: now,
            departures: BTreeMap::new(),
            departure_log: ChangeLog::default(),
            departure_for_all: 0,
            bars: BTreeMap::new(),
            bars_changed: 0,
            topology,
            topology_changed: 0,
            watchers: BTreeMap::new(),
            gateways: BTreeMap::new(),
            asked: now,
            in_touch_since: now,
            wakeup: Wakeup::default(),
            unannounced,
        }
    }

    pub fn changed(&mut self) {
        self.revision += 1;
        let _already_told = self.unannounced.try_send(());
    }

    pub fn note_asked(&mut self, now: Timestamp) {
        if now.since(self.asked) >= AWAY {
            self.in_touch_since = now;
        }
        self.asked = now;
    }

    pub fn note_watcher(&mut self, watch: &WatchView, now: Timestamp) {
        let newest = self.configuration.as_ref().map_or(0, |held| held.version);
        let is_behind = watch.version.is_some_and(|version| version < newest);
        let before = self.watchers.get(&watch.node);
        let begins =
            watch.mark == ViewMark::default() || before.is_some_and(|watcher| watcher.begins);
        let before = before.and_then(|watcher| watcher.behind_since);
        let watcher = Watcher {
            kind: watch.kind,
            zone: watch.zone.clone(),
            at: now,
            behind_since: is_behind.then_some(before.unwrap_or(now)),
            begins,
        };
        self.watchers.insert(watch.node, watcher);
    }

    pub fn watching(&self, kind: WatcherKind) -> BTreeSet<NodeId> {
        let watchers = self.watchers.iter();
        let of_kind = watchers.filter(|(_, watcher)| watcher.kind == kind);
        of_kind.map(|(node, _)| *node).collect()
    }

    pub fn count_gateways(&mut self, change: u64) -> bool {
        let mut gateways = self.watching(WatcherKind::Gateway);
        let count = gateways.len() as u32;
        if gateways.len() > MOST_NAMED {
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

    /// Takes what happened to engines over into the choice of who uses them.
    pub fn assign(&mut self, change: u64) {
        for news in self.registry.take_news() {
            match news {
                News::Heard {
                    service,
                    engine,
                    zone,
                } => self.subsets.insert(&service, &engine, &zone, change),
                News::Gone { service, engine } => self.subsets.remove(&service, &engine, change),
            }
        }
    }

    pub fn plan_subsets(&mut self, now: Timestamp, change: u64) -> bool {
        for (node, watcher) in &self.watchers {
            if watcher.kind == WatcherKind::Gateway {
                let gateway = (watcher.zone.clone(), watcher.at);
                self.gateways.insert(*node, gateway);
            }
        }
        self.gateways
            .retain(|_, (_, at)| now.since(*at) < ENGINES_KEPT);
        let gateways = self.gateways.iter();
        let gateways = gateways.map(|(&node, (zone, _))| (node, zone.clone()));
        let settled = now.since(self.in_touch_since) >= SETTLED_AFTER;
        self.subsets.plan(&gateways.collect(), settled, change)
    }

    pub fn take_configuration(
        &mut self,
        declared: &DeclaredState,
        change: u64,
        now: Timestamp,
    ) -> bool {
        let held = self.configuration.as_ref().map(|held| held.version);
        let Some(newest) = declared.configuration() else {
            return false;
        };
        if held.is_some_and(|held| held >= newest.version) {
            return false;
        }
        self.configuration = Some(ConfigurationInForce {
            version: newest.version,
            model: newest.model.clone(),
        });
        self.configuration_changed = change;
        self.configuration_since = now;
        true
    }

    pub fn take_departures(&mut self, declared: &DeclaredState, change: u64) -> bool {
        let mut changed = false;
        for (engine, departure) in declared.departures().iter() {
            let known = self.departures.get(engine).copied();
            if known.is_none_or(|(known, _)| known < departure) {
                let engine = engine.to_owned();
                let before = known.map(|(_, before)| before);
                if before.is_none() && !self.has_few_users(&engine) {
                    self.departure_for_all = change;
                }
                self.departure_log.note(&engine, before, change);
                self.registry.remove(&engine);
                self.departures.insert(engine, (departure, change));
                changed = true;
            }
        }
        self.assign(change);
        changed
    }

    /// How far an engine is on its way out, in this life or a later one.
    pub fn departure(&self, id: &str) -> Option<Departure> {
        let life = EngineLife::of(id);
        let departed = lives_of(&self.departures, life.name);
        let binding = departed.filter(|(id, _)| life.is_bound_by(&EngineLife::of(id)));
        binding.map(|(_, (departure, _))| *departure).max()
    }

    /// Whether an engine is known to be used by few gateways. Before it is known who they
    /// are, whoever knows the engine from before has to hear of it.
    pub fn has_few_users(&self, engine: &str) -> bool {
        let record = self.registry.bound_by(engine);
        record.is_some_and(|record| {
            let (breadth, _) = self.subsets.breadth(&record.service);
            matches!(breadth, Breadth::Few(_))
        })
    }

    pub fn take_bars(&mut self, declared: &DeclaredState, change: u64) -> bool {
        let held = declared.bars();
        self.bars.retain(|request, _| held.get(request).is_some());
        let mut changed = false;
        for (request, bar) in held.iter() {
            let known = self.bars.get(request).map(|(known, _)| known);
            if known != Some(bar) {
                self.bars.insert(*request, (*bar, change));
                self.bars_changed = change;
                changed = true;
            }
        }
        changed
    }

    pub fn take_topology(
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
