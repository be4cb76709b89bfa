//! State and counters of a gateway, owned by one thread.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::cluster::{Cluster, WireTransport};
use molespan_fleet::ViewSink;
use molespan_fleet::refusals::RefusalLog;
use molespan_fleet::view::{EngineRecord, ServiceSubset, Topology, TopologyView, ViewUpdate};
use molespan_routing::dispatch::{
    EngineFacts, EngineTable, Picked, RelayChoice, WeightedSplit, WorkClass,
};
use molespan_routing::isolation::IsolationDetector;
use molespan_routing::quota::TenantTable;
use molespan_routing::renewal::{Renewal, SendingChange};
use molespan_routing::streams::Holder;
use molespan_routing::suspects::SuspectTable;
use molespan_state::declared::{Route, RouteKind, ServingModel};
use molespan_types::{NodeId, Timestamp, ZoneName};
use slog::{Logger, info, warn};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::bar_trials::BarTrials;
use crate::bars::{Bars, Trials};
use crate::batch::BatchRuns;
use crate::engine_ends::BrokenRequests;
use crate::gateway::GatewayOptions;
use crate::metrics::GatewayMetrics;
use crate::newest_version::NewestVersion;
use crate::pace::PaceWatch;
use crate::pool::Pool;
use crate::queue::ServiceQueue;
use crate::reach::Reach;
use crate::room::Shortages;
use crate::streams::Streams;
use crate::tenants::{Keys, limits};
use crate::waiting::WaitingRequests;

/// The configuration in force.
#[derive(Debug)]
pub(crate) struct InForce {
    pub version: u64,
    pub model: ServingModel,
    /// Weighted splits of the routes, in the order of the routes.
    splits: Vec<RefCell<WeightedSplit>>,
    /// Keys and ranks of tenants; `None` if there are no tenants.
    pub keys: Option<Keys>,
}

impl InForce {
    fn new(version: u64, model: ServingModel) -> Self {
        let splits = model.routes.iter().map(|route| {
            let weights: Vec<u32> = route.destinations.iter().map(|one| one.weight).collect();
            RefCell::new(WeightedSplit::new(&weights, rand::random()))
        });
        Self {
            version,
            splits: splits.collect(),
            keys: model.tenants.as_deref().map(Keys::new),
            model,
        }
    }

    /// Returns the service that gets the next request of a route.
    pub fn service(&self, route: &Route) -> Option<String> {
        let place = self
            .model
            .routes
            .iter()
            .position(|one| std::ptr::eq(one, route))?;
        let chosen = self.splits[place].borrow_mut().next()?;
        Some(route.destinations[chosen].service.clone())
    }
}

/// Number of unread prompt tokens of a request from which on the other gateways are
/// informed at once: an engine takes longer to read them than a short request may wait.
const REPORT_AT_ONCE_TOKENS: u64 = 2_000;

/// State and counters of a gateway.
pub(crate) struct GatewayState {
    pub own: NodeId,
    zone: ZoneName,
    max_key_age: Option<Duration>,
    pub engines: RefCell<EngineTable>,
    /// Rate limits of tenants.
    pub tenants: RefCell<TenantTable>,
    /// Requests that ran at engines when these ended.
    pub suspects: RefCell<SuspectTable>,
    /// Requests that try out a part of their prompts.
    pub trials: Trials,
    /// Requests that engines broke off.
    pub broken_requests: BrokenRequests,
    /// Bars of the control group.
    pub bars: Bars,
    /// Trials of what is barred.
    pub bar_trials: BarTrials,
    /// Client of the control group.
    pub control: Arc<Cluster>,
    /// Choice of the relay that forwards this gateway's reports where there are many
    /// gateways.
    pub relay: RefCell<RelayChoice>,
    pub pool: Pool,
    /// Probes and reports of zone reachability.
    pub reach: Reach,
    /// Batch items that run here.
    pub batch_runs: BatchRuns,
    /// Origins of streams.
    pub streams: Streams,
    /// Requests that wait for an engine.
    pub waiting: WaitingRequests,
    /// Services that lack engine capacity.
    pub shortages: Shortages,
    /// Client of the batch group.
    pub batch: Arc<Cluster>,
    /// Age of the batch group's last answer about which items here are to stop.
    pub renewal: Cell<Renewal>,
    pub logger: Logger,
    /// Metrics for operators.
    pub metrics: GatewayMetrics,
    /// What was reported to operators about engines' paces.
    pub pace: PaceWatch,
    /// Clock that keeps running while the machine is suspended.
    pub clock: BootClock,
    in_force: RefCell<Option<Rc<InForce>>>,
    /// The newest version of the configuration, as the control group answered.
    pub newest_version: NewestVersion,
    /// Reported engines that cannot be used.
    unusable: RefCell<RefusalLog>,
    topology: RefCell<Topology>,
    topology_view: RefCell<TopologyView>,
    /// Detects when this gateway is cut off from all other nodes.
    pub isolation: Cell<IsolationDetector>,
    /// Signalled to send a report to the other gateways early.
    report_requests: (Sender<()>, Receiver<()>),
    /// Whether a planned stop has begun.
    stopping: Cell<bool>,
    /// Closed when idle connections are to be closed.
    closing_idle: (Sender<()>, Receiver<()>),
    requests: Cell<u32>,
    connections: Cell<u32>,
}

impl GatewayState {
    pub fn new(
        options: &GatewayOptions,
        control: Arc<Cluster>,
        batch: Arc<Cluster>,
        wire: Arc<WireTransport>,
        logger: Logger,
    ) -> Self {
        let zone = options.zone.clone();
        Self {
            own: options.addresses.own,
            max_key_age: options.max_key_age,
            engines: RefCell::new(EngineTable::new(zone.clone(), rand::random())),
            tenants: RefCell::new(TenantTable::new(Timestamp::ZERO)),
            zone,
            suspects: RefCell::default(),
            trials: Trials::default(),
            broken_requests: BrokenRequests::default(),
            bars: Bars::default(),
            bar_trials: BarTrials::default(),
            control,
            relay: RefCell::default(),
            pool: Pool::default(),
            reach: Reach::default(),
            batch_runs: BatchRuns::default(),
            streams: Streams::new(wire),
            waiting: WaitingRequests::default(),
            shortages: Shortages::default(),
            batch,
            renewal: Cell::new(Renewal::new(options.withdrawn_within)),
            logger,
            metrics: GatewayMetrics::default(),
            pace: PaceWatch::default(),
            clock: options.clock.clone(),
            in_force: RefCell::default(),
            newest_version: NewestVersion::default(),
            unusable: RefCell::default(),
            topology: RefCell::default(),
            topology_view: RefCell::default(),
            isolation: Cell::default(),
            report_requests: async_channel::bounded(1),
            stopping: Cell::new(false),
            closing_idle: async_channel::bounded(1),
            requests: Cell::new(0),
            connections: Cell::new(0),
        }
    }

    /// Returns the current time, on the clock of the engine table.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the configuration in force, if any is known.
    pub fn in_force(&self) -> Option<Rc<InForce>> {
        self.in_force.borrow().clone()
    }

    /// Whether the keys are recent enough to exclude a missed revocation; always true if
    /// the gateway need not make sure.
    pub fn has_current_keys(&self) -> bool {
        let view = self.topology_view.borrow();
        let now = self.now();
        self.max_key_age
            .is_none_or(|limit| view.is_current(limit, now))
    }

    /// Whether a request of this class may be sent to an engine now. A batch item may not
    /// if its job may have been ended without this gateway knowing.
    pub fn may_start(&self, class: WorkClass) -> bool {
        if class == WorkClass::Online {
            return true;
        }
        self.log_renewal_change();
        self.renewal.get().may_send(self.now())
    }

    /// Records that the batch group answered a call that began at `called`.
    pub fn renewed(&self, called: Timestamp) {
        let mut renewal = self.renewal.get();
        renewal.record_answer(called);
        self.renewal.set(renewal);
        self.log_renewal_change();
    }

    /// Logs when batch items begin or cease to be held back.
    fn log_renewal_change(&self) {
        let mut renewal = self.renewal.get();
        let change = renewal.change(self.now());
        self.renewal.set(renewal);
        match change {
            Some(SendingChange::HeldBack(silence)) => {
                warn!(self.logger, "batch items held back, the stores are silent";
                    "silence_ms" => silence.as_millis() as u64);
                self.metrics.batch_held_back();
            }
            Some(SendingChange::Resumed) => info!(self.logger, "batch items go on"),
            None => {}
        }
    }

    /// Whether there are tenants, whose usage the gateways report to each other.
    pub fn has_tenants(&self) -> bool {
        let in_force = self.in_force.borrow();
        in_force.as_ref().is_some_and(|held| held.keys.is_some())
    }

    /// Returns the zone of this gateway.
    pub fn zone(&self) -> &ZoneName {
        &self.zone
    }

    /// Returns the number of gateways, including this one.
    pub fn gateways(&self) -> u32 {
        self.topology.borrow().gateway_count().max(1)
    }

    /// Whether any store of batch jobs is known.
    pub fn has_stores(&self) -> bool {
        !self.topology.borrow().stores.is_empty()
    }

    /// Returns the other gateways.
    pub fn other_gateways(&self) -> Vec<NodeId> {
        let topology = self.topology.borrow();
        let others = topology.gateways.iter().filter(|&&node| node != self.own);
        others.copied().collect()
    }

    /// Returns the control nodes that keep the origins of streams.
    pub fn stream_holders(&self) -> Vec<Holder> {
        self.topology_view.borrow().stream_holders(self.now())
    }

    /// Returns the relay in use, if any is known.
    pub fn relay_in_use(&self) -> Option<NodeId> {
        let control = &self.topology.borrow().control;
        let same_zone = self
            .topology_view
            .borrow()
            .control_nodes_in_zone(&self.zone);
        let mut choice = self.relay.borrow_mut();
        choice.relay(self.own, control, &same_zone, self.now())
    }

    pub fn is_stopping(&self) -> bool {
        self.stopping.get()
    }

    pub fn stop(&self) {
        self.stopping.set(true);
    }

    /// Closes connections without a request in progress from now on.
    pub fn close_idle_connections(&self) {
        self.closing_idle.0.close();
    }

    /// Whether a planned stop is closing idle connections.
    pub fn is_closing_idle(&self) -> bool {
        self.closing_idle.0.is_closed()
    }

    /// Waits until idle connections are to be closed.
    pub async fn idle_connections_closed(&self) {
        let _closed = self.closing_idle.1.recv().await;
    }

    /// Whether new connections should be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.in_force.borrow().is_some()
    }

    pub fn requests_in_flight(&self) -> u32 {
        self.requests.get()
    }

    pub fn open_connections(&self) -> u32 {
        self.connections.get()
    }

    /// Counts a request until the guard is dropped.
    pub fn count_request(self: &Rc<Self>) -> CountGuard {
        CountGuard::new(self.clone(), |state| &state.requests)
    }

    /// Counts a connection until the guard is dropped.
    pub fn count_connection(self: &Rc<Self>) -> CountGuard {
        CountGuard::new(self.clone(), |state| &state.connections)
    }

    /// Counts a request as waiting for an engine of a service until the guard is dropped.
    pub fn count_waiting_request(self: &Rc<Self>, service: &str) -> WaitingGuard {
        self.engines.borrow_mut().start_waiting(service);
        WaitingGuard {
            state: self.clone(),
            service: service.to_owned(),
        }
    }

    /// Counts a request at an engine until the guard is dropped.
    pub fn count_in_flight(self: &Rc<Self>, picked: &Picked, class: WorkClass) -> InFlightGuard {
        let engine = &picked.facts.id;
        let unread_tokens = picked.unread_tokens;
        let mut engines = self.engines.borrow_mut();
        match picked.takes_over {
            true => engines.took_over(engine, class, unread_tokens),
            false => engines.started(engine, class, unread_tokens, self.now()),
        }
        drop(engines);
        if unread_tokens >= REPORT_AT_ONCE_TOKENS {
            self.request_report();
        }
        let queue = (class == WorkClass::Online).then(|| self.queue(&picked.facts.service));
        if let Some(queue) = &queue {
            queue.started();
        }
        InFlightGuard {
            state: self.clone(),
            queue,
            engine: engine.clone(),
            service: picked.facts.service.clone(),
            class,
            unread_tokens: Cell::new(unread_tokens),
            started: self.now(),
            began: Cell::new(None),
            is_serving: Cell::new(false),
        }
    }

    /// Records that an engine broke off an answer that it had begun.
    pub fn note_broken(&self, engine: &str) {
        let now = self.now();
        self.engines.borrow_mut().answered(engine, true, now);
    }

    /// Records a message from another node.
    pub fn record_node_message(&self) {
        let mut isolation = self.isolation.get();
        isolation.record_message(self.now());
        self.isolation.set(isolation);
    }

    /// Requests that changes here are reported to other gateways at once.
    pub fn request_report(&self) {
        let _already_requested = self.report_requests.0.try_send(());
    }

    /// Waits until a report to other gateways is requested.
    pub async fn report_requested(&self) {
        let _requested = self.report_requests.1.recv().await;
    }

    fn apply_configuration(&self, version: u64, model: ServingModel) {
        let held = self.in_force.borrow().as_ref().map(|held| held.version);
        if held.is_some_and(|held| held >= version) {
            return;
        }
        info!(self.logger, "configuration in force"; "version" => version,
            "routes" => model.routes.len());
        let now = self.now();
        self.tenants.borrow_mut().set_limits(limits(&model), now);
        self.engines.borrow_mut().serve(services(&model));
        self.metrics.capacity.clear_services();
        self.shortages.clear();
        // Remaining services keep their measurements.
        let services = model.services.iter().map(|service| service.name.as_str());
        self.waiting.retain_services(&services.collect());
        *self.in_force.borrow_mut() = Some(Rc::new(InForce::new(version, model)));
    }

    fn apply_topology(&self, from: NodeId, reported: Option<Topology>) {
        let now = self.now();
        // A control node that started again sends its whole view.
        if reported.is_some() {
            self.streams.repeat_soon();
        }
        let mut view = self.topology_view.borrow_mut();
        view.record(from, reported, now);
        let topology = view.current(now);
        if *self.topology.borrow() == topology {
            return;
        }
        let stores = topology.stores.difference(&topology.retiring);
        let stores = in_search_order(self.own, stores.copied().collect());
        self.batch.set_replicas(stores);
        if !topology.control.is_empty() {
            let control = topology.control.iter().copied().collect();
            self.control.set_replicas(control);
        }
        let gateways = topology.gateway_count();
        self.engines.borrow_mut().set_gateways(gateways);
        self.tenants.borrow_mut().set_gateways(gateways, now);
        *self.topology.borrow_mut() = topology;
    }

    fn add_engine(&self, from: NodeId, record: EngineRecord) {
        let Ok(address) = record.address.parse() else {
            self.note_unusable(&record);
            return;
        };
        let facts = EngineFacts {
            id: record.id,
            service: record.service,
            address,
            zone: record.zone,
            slots: record.slots.max(1),
            version: record.version,
        };
        let now = self.now();
        self.engines.borrow_mut().add_engine(from, facts, now);
    }

    /// Counts an engine record without a usable address; control nodes of an older release
    /// accept such records.
    fn note_unusable(&self, record: &EngineRecord) {
        self.metrics.unusable_engine();
        let mut refusals = self.unusable.borrow_mut();
        if let Some(count) = refusals.record(&record.id, &record.address) {
            warn!(self.logger, "engine without a usable address"; "engine" => &record.id,
                "address" => &record.address, "refused_so_far" => count);
        }
    }

    fn set_subset(&self, from: NodeId, subset: ServiceSubset) {
        let engines: Option<BTreeSet<String>> = subset.engines.map(|ids| ids.into_iter().collect());
        let mut table = self.engines.borrow_mut();
        table.set_subset(from, &subset.service, subset.users, engines.as_ref());
        info!(self.logger, "assigned part of a service"; "service" => subset.service,
            "users" => subset.users, "told" => engines.map(|ids| ids.len()), "from" => from.0,
            "engines_known" => table.len());
    }

    fn depart(&self, engine: &str) {
        let now = self.now();
        if self.engines.borrow_mut().depart(engine, now) {
            info!(self.logger, "engine is leaving"; "engine" => engine);
            self.pool.forget_departed(engine);
        }
    }
}

impl ViewSink for GatewayState {
    fn update(&self, from: NodeId, update: ViewUpdate) {
        self.record_node_message();
        if let Some(configuration) = update.configuration {
            self.apply_configuration(configuration.version, configuration.model);
        }
        for (engine, _) in update.departures {
            self.depart(&engine);
        }
        for record in update.engines {
            self.add_engine(from, record);
        }
        for engine in update.lost {
            self.engines.borrow_mut().remove_report(from, &engine);
        }
        for subset in update.subsets {
            self.set_subset(from, subset);
        }
        for (request, bar) in update.bars {
            self.apply_bar(request, bar);
        }
        self.apply_topology(from, update.topology);
    }

    fn on_unwatched(&self, node: NodeId) {
        self.engines.borrow_mut().remove_control_node(node);
    }

    fn version(&self) -> Option<u64> {
        let in_force = self.in_force.borrow();
        Some(in_force.as_ref().map_or(0, |held| held.version))
    }

    fn same_zone_control_nodes(&self) -> BTreeSet<NodeId> {
        self.topology_view
            .borrow()
            .control_nodes_in_zone(&self.zone)
    }
}

/// Sorts the stores in an order specific to this gateway, in which it searches for a lost
/// leader. Gateways therefore neither all start at the same store nor all try the stores of
/// one zone first.
fn in_search_order(own: NodeId, mut stores: Vec<NodeId>) -> Vec<NodeId> {
    stores.sort_by_key(|store| xxh3_64_with_seed(&store.0.to_be_bytes(), u64::from(own.0)));
    stores
}

/// Guard that counts something until it is dropped.
pub(crate) struct CountGuard {
    state: Rc<GatewayState>,
    counter: fn(&GatewayState) -> &Cell<u32>,
}

impl CountGuard {
    fn new(state: Rc<GatewayState>, counter: fn(&GatewayState) -> &Cell<u32>) -> Self {
        let count = counter(&state);
        count.set(count.get() + 1);
        Self { state, counter }
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        let count = (self.counter)(&self.state);
        count.set(count.get() - 1);
    }
}

/// Guard of a request that waits for an engine.
pub(crate) struct WaitingGuard {
    state: Rc<GatewayState>,
    service: String,
}

impl Drop for WaitingGuard {
    fn drop(&mut self) {
        let mut engines = self.state.engines.borrow_mut();
        engines.stop_waiting(&self.service);
    }
}

/// Guard of a request at an engine.
pub(crate) struct InFlightGuard {
    state: Rc<GatewayState>,
    /// Queue that an online request came through.
    queue: Option<Rc<ServiceQueue>>,
    engine: String,
    service: String,
    class: WorkClass,
    /// Prompt tokens that the engine has not read yet.
    unread_tokens: Cell<u64>,
    started: Timestamp,
    /// When the engine began to answer, and so the request held a slot.
    began: Cell<Option<Timestamp>>,
    /// Whether the engine's answer shows that it is working on the request.
    is_serving: Cell<bool>,
}

impl InFlightGuard {
    /// Records that the engine began to answer.
    pub fn note_answer_begun(&self) {
        self.began.set(Some(self.state.now()));
        self.clear_unread_tokens();
    }

    /// Records that the engine works on the request, so that its time there is a
    /// measurement of such work.
    pub fn note_serving(&self) {
        self.is_serving.set(true);
    }

    /// Records that `events` events of the answer arrived within `took`.
    pub fn note_events(&self, events: u32, took: Duration) {
        let now = self.state.now();
        let mut engines = self.state.engines.borrow_mut();
        engines.record_answer_events(&self.engine, events, took, now);
    }

    /// Returns the current time, on the clock of the engine table.
    pub fn now(&self) -> Timestamp {
        self.state.now()
    }

    /// Whether the engine has ended together with its answer, so that the answer may be cut.
    pub async fn engine_has_ended(&self) -> bool {
        self.state.has_ended_with_answer(&self.engine).await
    }

    /// Returns the gateway's log.
    pub fn logger(&self) -> &Logger {
        &self.state.logger
    }

    fn clear_unread_tokens(&self) {
        let read = self.unread_tokens.replace(0);
        self.state.engines.borrow_mut().read(&self.engine, read);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.clear_unread_tokens();
        let mut engines = self.state.engines.borrow_mut();
        engines.ended(&self.engine, self.class);
        let now = self.state.now();
        let held = self.began.get().map(|began| now.since(began));
        if held.is_some() {
            engines.freed(&self.engine, now);
        }
        if let Some(held) = held.filter(|_| self.class == WorkClass::Online) {
            engines.note_slot_time(&self.service, held);
        }
        if self.class == WorkClass::Online && self.is_serving.get() {
            engines.record_time_at_engine(&self.engine, now.since(self.started), now);
        }
        drop(engines);
        match (&self.queue, held) {
            (Some(queue), held) => queue.ended(held),
            (None, Some(_)) => self.state.wake_queue(&self.service),
            (None, None) => {}
        }
    }
}

/// Returns the services that online routes lead to.
fn services(model: &ServingModel) -> impl Iterator<Item = String> {
    let online = model.routes.iter();
    let online = online.filter(|route| route.kind != RouteKind::Batch);
    online
        .flat_map(|route| &route.destinations)
        .map(|destination| destination.service.clone())
}
