//! The view of one control node, and who waits for changes of it.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::boot_clock::BootClock;
use molespan_routing::subset::{Breadth, Subsets};
use molespan_state::declared::{Bar, DeclaredState, Departure, RequestDigest};
use molespan_types::{NodeId, Timestamp, ZoneName};
use molespan_wire::{Response, ViewMark, WatchView, WatcherKind};

use super::change_log::ChangeLog;
use super::registry::{News, Registry};
use crate::view::{
    ConfigurationInForce, EngineRecord, MOST_NAMED, ServicePart, Topology, ViewUpdate,
};
use crate::wakeup::Wakeup;

/// A node that did not ask for longer is not counted.
const PRESENCE: Duration = Duration::from_secs(4);
/// A node that nobody asked for longer was away: every gateway and store asks anew
/// each 2 s.
const AWAY: Duration = Duration::from_millis(2_500);
/// Longest time that a watch is held open.
const LONGEST_WAIT: Duration = Duration::from_secs(10);

/// Shortest time between two times that all who wait are woken. The first change behind a
/// calm is told at once, and what follows goes together: while 10,000 engines register
/// within seconds every gateway has news all the time, and at 50 ms the answers alone take
/// more than a control node of the whole fleet has. Short beside the seconds within which
/// an engine that leaves, or a configuration, is to be known everywhere.
const ANNOUNCED_EVERY: Duration = Duration::from_millis(200);
/// How long a configuration is left to the control node that a watcher takes it from:
/// it is told once in place of by each node, and an answer takes less than this.
const LEFT_TO_ANOTHER: Duration = Duration::from_millis(400);
/// How long the engines of a gateway that is gone wait for it: longer than a restart
/// takes, and there are other gateways for each of them.
const ENGINES_KEPT: Duration = Duration::from_secs(30);
/// Time from the start of this node within which every gateway has asked, and every
/// engine was heard, here or by another control node: they ask and say so each 2 s, and
/// control nodes pass on what they heard once a second.
const SETTLED_AFTER: Duration = PRESENCE;

#[derive(Debug)]
struct Watcher {
    kind: WatcherKind,
    zone: Option<ZoneName>,
    at: Timestamp,
    /// Since when it asks without having the configuration in force.
    behind_since: Option<Timestamp>,
}

#[derive(Debug)]
struct State {
    /// Names this view to those who watch it.
    session: u64,
    revision: u64,
    registry: Registry,
    /// Whether this node holds the control group. Another one is called by engines and
    /// asked by whoever was given it as a seed; its view is not whole.
    is_member: bool,
    /// Which gateways use which engines.
    subsets: Subsets,
    /// When the view began, as gateways had to find it first.
    began: Timestamp,
    configuration: Option<ConfigurationInForce>,
    configuration_changed: u64,
    /// When it came into force here.
    configuration_since: Timestamp,
    departures: BTreeMap<String, (Departure, u64)>,
    departure_log: ChangeLog<String>,
    /// The last change at which an engine left that every gateway may use.
    departure_for_all: u64,
    /// Bars on requests, with the change of this view that brought them.
    bars: BTreeMap<RequestDigest, (Bar, u64)>,
    bars_changed: u64,
    topology: Topology,
    topology_changed: u64,
    watchers: BTreeMap<NodeId, Watcher>,
    /// Gateways whose engines are kept for them, with their zones.
    gateways: BTreeMap<NodeId, (Option<ZoneName>, Timestamp)>,
    /// When a node asked last.
    asked: Timestamp,
    /// Since when nodes ask here all the time.
    in_touch_since: Timestamp,
    /// Wakes all that wait at the next change.
    wakeup: Wakeup,
    /// Told that something changed that nobody was woken for.
    unannounced: Sender<()>,
}

/// The view of one control node.
#[derive(Debug)]
pub struct Hub {
    clock: BootClock,
    state: Mutex<State>,
    unannounced: Receiver<()>,
}

impl Hub {
    /// An empty view of a node in `zone`; engines are lost after `silence`.
    #[must_use]
    pub fn new(zone: ZoneName, silence: Duration, clock: BootClock) -> Self {
        let topology = Topology {
            zone: Some(zone),
            ..Topology::default()
        };
        let now = clock.now();
        let (sender, unannounced) = async_channel::bounded(1);
        let state = State {
            session: rand::random(),
            revision: 1,
            registry: Registry::new(silence),
            is_member: true,
            subsets: Subsets::default(),
            began: now,
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
            unannounced: sender,
        };
        Self {
            clock,
            state: Mutex::new(state),
            unannounced,
        }
    }

    /// Wakes those who wait for changes, for as long as it is polled. Without it they
    /// hear of them when they ask again.
    pub async fn announce(&self) {
        while self.unannounced.recv().await.is_ok() {
            self.lock().wakeup.wake();
            Timer::after(ANNOUNCED_EVERY).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Now, on the clock of the registry.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Takes a heartbeat of an engine in, unless it is known to leave. Says
    /// whether it told anything new.
    pub fn hear(&self, record: EngineRecord) -> bool {
        self.take_heartbeat(record, Registry::hear)
    }

    /// Takes in engines that another control node heard.
    pub fn hear_elsewhere(&self, records: Vec<EngineRecord>) {
        for record in records {
            self.take_heartbeat(record, Registry::hear_elsewhere);
        }
    }

    fn take_heartbeat(
        &self,
        record: EngineRecord,
        hear: fn(&mut Registry, EngineRecord, Timestamp, u64) -> bool,
    ) -> bool {
        let now = self.now();
        let mut state = self.lock();
        if state.departures.contains_key(&record.id) {
            return false;
        }
        let change = state.revision + 1;
        let changed = hear(&mut state.registry, record, now, change);
        if changed {
            state.assign(change);
            state.changed();
        }
        changed
    }

    /// Whether this node has a picture of all gateways: see [`SETTLED_AFTER`].
    fn is_settled(state: &State, now: Timestamp) -> bool {
        now.since(state.began) >= SETTLED_AFTER
    }

    /// How far an engine is on its way out.
    #[must_use]
    pub fn departure(&self, engine: &str) -> Option<Departure> {
        self.lock()
            .departures
            .get(engine)
            .map(|(departure, _)| *departure)
    }

    /// Engines heard at `since` or later.
    #[must_use]
    pub fn heard_since(&self, since: Timestamp) -> Vec<EngineRecord> {
        self.lock().registry.heard_since(since)
    }

    /// Loses silent engines, counts the gateways anew and decides which of them use
    /// which engines.
    pub fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        let change = state.revision + 1;
        let lost = state.registry.expire(now, change);
        state.assign(change);
        state
            .watchers
            .retain(|_, watcher| now.since(watcher.at) < PRESENCE);
        let counted = state.count_gateways(change);
        let planned = state.plan_subsets(now, change);
        if lost || counted || planned {
            state.changed();
        }
    }

    /// Takes in what this node's replica has applied, which is `applied` entries
    /// at least, and who holds the control group.
    pub fn take(&self, declared: &DeclaredState, control: BTreeSet<NodeId>, applied: u64) {
        let mut state = self.lock();
        let change = state.revision + 1;
        let mut changed = state.take_configuration(declared, change, self.now());
        changed |= state.take_departures(declared, change);
        changed |= state.take_bars(declared, change);
        changed |= state.take_topology(declared, control, applied, change);
        if changed {
            state.changed();
        }
    }

    /// Says whether this node holds the control group. If not, it tells who does, and
    /// nothing else: of few gateways and few engines it would reckon that all use all.
    pub fn set_member(&self, is_member: bool) {
        let mut state = self.lock();
        if state.is_member != is_member {
            state.is_member = is_member;
            // What watchers have of it says nothing of what they were not told.
            state.session = rand::random();
            state.changed();
        }
    }

    /// Nodes that hold the control group, as this node's replica knows.
    #[must_use]
    pub fn control_nodes(&self) -> BTreeSet<NodeId> {
        self.lock().topology.control.clone()
    }

    /// Requests that all engines heard run at the same time.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.lock().registry.slots()
    }

    /// How many gateways asked here lately.
    #[must_use]
    pub fn gateways(&self) -> u32 {
        self.lock().topology.gateway_count()
    }

    /// The gateways that use each of these engines; `None` for those that all use.
    #[must_use]
    pub fn users_of(&self, engines: &[&str]) -> Vec<Option<Vec<NodeId>>> {
        let state = self.lock();
        let users = engines.iter().map(|engine| {
            let service = &state.registry.record(engine)?.service;
            state.subsets.users(service, engine).map(<[NodeId]>::to_vec)
        });
        users.collect()
    }

    /// Whether every store that is alive has had the time to ask here, since this node
    /// started or was last frozen, suspended or cut off.
    #[must_use]
    pub fn knows_stores(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        now.since(state.asked) < AWAY && now.since(state.in_touch_since) >= PRESENCE
    }

    /// Stores that asked lately.
    #[must_use]
    pub fn live_stores(&self) -> BTreeSet<NodeId> {
        let now = self.now();
        let mut state = self.lock();
        let watchers = &mut state.watchers;
        watchers.retain(|_, watcher| now.since(watcher.at) < PRESENCE);
        state.watching(WatcherKind::Store)
    }

    /// Answers a watch, at once or when something is newer.
    pub async fn watch(&self, watch: &WatchView) -> Response {
        let wait = Duration::from_millis(u64::from(watch.wait_ms)).min(LONGEST_WAIT);
        let ends = self.now() + wait;
        loop {
            let (woken, ends) = {
                let mut state = self.lock();
                let now = self.now();
                state.note_asked(now);
                state.note_watcher(watch, now);
                let since = match watch.mark.session == state.session {
                    true => watch.mark.revision.min(state.revision),
                    false => 0,
                };
                if state.is_news(watch, since, now) || now >= ends {
                    return Self::response(&state, watch, since, now);
                }
                let due = state.configuration_due(watch, since);
                (state.wakeup.waiter(), due.unwrap_or(ends).min(ends))
            };
            let late = async {
                self.clock.wait_until(ends).await;
            };
            future::or(woken.woken(), late).await;
        }
    }

    fn response(state: &State, watch: &WatchView, since: u64, now: Timestamp) -> Response {
        let update = state.update_after(watch, since, now);
        Response::View {
            mark: ViewMark {
                session: state.session,
                revision: state.revision,
            },
            update: molespan_state::encode(&update).into(),
        }
    }
}

impl State {
    fn changed(&mut self) {
        self.revision += 1;
        let _already_told = self.unannounced.try_send(());
    }

    fn note_asked(&mut self, now: Timestamp) {
        if now.since(self.asked) >= AWAY {
            self.in_touch_since = now;
        }
        self.asked = now;
    }

    fn note_watcher(&mut self, watch: &WatchView, now: Timestamp) {
        let newest = self.configuration.as_ref().map_or(0, |held| held.version);
        let is_behind = watch.version.is_some_and(|version| version < newest);
        let before = self.watchers.get(&watch.node);
        let before = before.and_then(|watcher| watcher.behind_since);
        let watcher = Watcher {
            kind: watch.kind,
            zone: watch.zone.clone(),
            at: now,
            behind_since: is_behind.then_some(before.unwrap_or(now)),
        };
        self.watchers.insert(watch.node, watcher);
    }

    fn watching(&self, kind: WatcherKind) -> BTreeSet<NodeId> {
        let watchers = self.watchers.iter();
        let of_kind = watchers.filter(|(_, watcher)| watcher.kind == kind);
        of_kind.map(|(node, _)| *node).collect()
    }

    fn count_gateways(&mut self, change: u64) -> bool {
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
    fn assign(&mut self, change: u64) {
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

    fn plan_subsets(&mut self, now: Timestamp, change: u64) -> bool {
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
        let settled = Hub::is_settled(self, now);
        self.subsets.plan(&gateways.collect(), settled, change)
    }

    fn take_configuration(
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

    fn take_departures(&mut self, declared: &DeclaredState, change: u64) -> bool {
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

    /// Whether an engine is known to be used by few gateways.
    fn has_few_users(&self, engine: &str) -> bool {
        let record = self.registry.record(engine);
        record.is_some_and(|record| self.subsets.users(&record.service, engine).is_some())
    }

    fn take_bars(&mut self, declared: &DeclaredState, change: u64) -> bool {
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

    fn take_topology(
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

    /// Whether a watcher is told more here than what the cluster is.
    fn tells_all(&self, watch: &WatchView) -> bool {
        self.is_member && watch.kind == WatcherKind::Gateway
    }

    /// Whether there is anything behind `since` that a watcher is to hear of now. An engine
    /// of few gateways that leaves is told to the others with the next answer they get: it
    /// binds them in case that another control node, which was cut off, tells them of the
    /// engine.
    fn is_news(&self, watch: &WatchView, since: u64, now: Timestamp) -> bool {
        if !self.tells_all(watch) {
            return self.topology_changed > since;
        }
        let due = self
            .configuration_due(watch, since)
            .is_some_and(|due| now >= due);
        let of_all = [
            self.topology_changed,
            self.departure_for_all,
            self.bars_changed,
        ];
        due || of_all.iter().any(|changed| *changed > since)
            || self.subsets.is_news(watch.node, since)
            || self
                .whole_services()
                .any(|service| self.registry.changed_since(service, since))
    }

    /// From when on a watcher is to hear of the configuration here; `None` if it has it
    /// or needs none.
    fn configuration_due(&self, watch: &WatchView, since: u64) -> Option<Timestamp> {
        if !self.tells_all(watch) {
            return None;
        }
        let held = self.configuration.as_ref()?;
        let Some(version) = watch.version else {
            return (self.configuration_changed > since).then_some(self.configuration_since);
        };
        if version >= held.version {
            return None;
        }
        if !watch.told_elsewhere {
            return Some(self.configuration_since);
        }
        let watcher = self.watchers.get(&watch.node)?;
        let behind = watcher.behind_since.unwrap_or(watcher.at);
        Some(behind.max(self.configuration_since) + LEFT_TO_ANOTHER)
    }

    /// Services of which every gateway uses every engine.
    fn whole_services(&self) -> impl Iterator<Item = &str> {
        let services = self.subsets.services();
        services.filter(|service| self.subsets.breadth(service).0 == Breadth::Whole)
    }

    fn update_after(&self, watch: &WatchView, since: u64, now: Timestamp) -> ViewUpdate {
        let topology = (self.topology_changed > since).then(|| self.topology.clone());
        let mut update = ViewUpdate {
            topology,
            ..ViewUpdate::default()
        };
        if !self.tells_all(watch) {
            return update;
        }
        if self
            .configuration_due(watch, since)
            .is_some_and(|due| now >= due)
        {
            update.configuration.clone_from(&self.configuration);
        }
        let departures = self.departure_log.after(since);
        let departures = departures.filter_map(|engine| self.departures.get_key_value(engine));
        update.departures = departures
            .map(|(engine, (departure, _))| (engine.clone(), *departure))
            .collect();
        let bars = self
            .bars
            .iter()
            .filter(|(_, (_, changed))| *changed > since);
        update.bars = bars.map(|(request, (bar, _))| (*request, *bar)).collect();
        let is_whole = |service: &str| self.subsets.breadth(service).0 == Breadth::Whole;
        update.lost = self.registry.lost_of(since, is_whole);
        for service in self.subsets.services() {
            self.tell_service(service, watch.node, since, &mut update);
        }
        update
    }

    /// Adds what a gateway is to hear of a service.
    fn tell_service(&self, service: &str, gateway: NodeId, since: u64, update: &mut ViewUpdate) {
        let (breadth, changed) = self.subsets.breadth(service);
        let rebuilt = changed > since;
        let mut part = ServicePart {
            service: service.to_owned(),
            users: None,
            engines: None,
        };
        if let Breadth::Whole = breadth {
            let since = if rebuilt { 0 } else { since };
            let engines = self.registry.changed_in(service, since);
            update.engines.extend(engines.cloned());
            if rebuilt {
                update.parts.push(part);
            }
            return;
        }
        if breadth == Breadth::Unsettled {
            return;
        }
        let news = self.subsets.part_after(gateway, service, since);
        let records = news.engines.iter();
        let records = records.filter_map(|engine| self.registry.record(engine));
        update.engines.extend(records.cloned());
        let gone = news.gone.iter();
        let gone = gone.filter(|engine| self.registry.record(engine).is_none());
        update.lost.extend(gone.map(|engine| engine.to_string()));
        if rebuilt || news.whole.is_some() {
            part.users = Some(breadth.users() as u32);
            part.engines = news
                .whole
                .map(|ids| ids.iter().map(ToString::to_string).collect());
            update.parts.push(part);
        }
    }
}
