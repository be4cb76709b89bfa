//! The cluster view of one control node, and the watches that wait for its changes.

mod answer;
mod configuration_times;
mod state;

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_channel::Receiver;
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::boot_clock::BootClock;
use molespan_state::declared::{DeclaredState, Departure};
use molespan_types::{NodeId, Timestamp, ZoneName};
use molespan_wire::{Response, ViewPosition, WatchView, WatcherKind};

use self::state::State;
use super::registry::Registry;
use crate::view::EngineRecord;

/// Time after its latest watch request for which a node counts as live.
const LIVE_TTL: Duration = Duration::from_secs(4);
/// Gap without any watch request after which this node must have been suspended or
/// partitioned: every gateway and store sends a new request every 2 s.
const MAX_WATCH_GAP: Duration = Duration::from_millis(2_500);
/// Longest time for which a watch is held open.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(10);
/// Minimum interval between wakeups of all waiting watches. The first change after a
/// quiet period is announced at once and subsequent changes are batched: while 10,000
/// engines register within seconds, each of 836 gateways always has pending changes, and
/// an interval of 50 ms would cause 17,000 responses per second at 40 microseconds each.
/// The interval is short compared to the seconds within which a leaving engine or a
/// configuration must be known everywhere.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(200);

/// The cluster view of one control node.
#[derive(Debug)]
pub struct Hub {
    clock: BootClock,
    state: Mutex<State>,
    change_signal: Receiver<()>,
}

impl Hub {
    /// Creates an empty view for a node in `zone`; engines are lost after `silence`
    /// without a heartbeat.
    #[must_use]
    pub fn new(zone: ZoneName, silence: Duration, clock: BootClock) -> Self {
        let (sender, change_signal) = async_channel::bounded(1);
        let state = State::new(zone, silence, sender, clock.now());
        Self {
            clock,
            state: Mutex::new(state),
            change_signal,
        }
    }

    /// Wakes waiting watches on changes for as long as the future is polled. Without it
    /// they see changes only when they time out.
    pub async fn announce(&self) {
        while self.change_signal.recv().await.is_ok() {
            self.lock().wakeup.wake();
            Timer::after(ANNOUNCE_INTERVAL).await;
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current time on the clock of the registry.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Records a heartbeat that an engine sent to this node, unless the engine is
    /// leaving. Returns whether it changed the view.
    pub fn record_heartbeat(&self, record: EngineRecord) -> bool {
        self.apply_heartbeat(record, Registry::record_heartbeat)
    }

    /// Records heartbeats that another control node received.
    pub fn record_forwarded(&self, records: Vec<EngineRecord>) {
        for record in records {
            self.apply_heartbeat(record, Registry::record_forwarded);
        }
    }

    fn apply_heartbeat(
        &self,
        record: EngineRecord,
        record_heartbeat: fn(&mut Registry, EngineRecord, Timestamp, u64) -> bool,
    ) -> bool {
        let now = self.now();
        let mut state = self.lock();
        if state.departure(&record.id).is_some() {
            return false;
        }
        let change = state.revision + 1;
        let changed = record_heartbeat(&mut state.registry, record, now, change);
        if changed {
            state.apply_registry_events(change);
            state.mark_changed();
        }
        changed
    }

    /// Returns the departure state of an engine, if it is leaving.
    #[must_use]
    pub fn departure(&self, engine: &str) -> Option<Departure> {
        self.lock().departure(engine)
    }

    /// Returns the identifier of the engine incarnation that a shutdown without a start
    /// time applies to; `now_ms` is in milliseconds since the Unix epoch.
    #[must_use]
    pub fn ended_incarnation(&self, name: &str, now_ms: u64) -> String {
        self.lock().registry.ended_incarnation(name, now_ms)
    }

    /// Whether a configuration is in force that does not name `service`.
    #[must_use]
    pub fn is_unknown_service(&self, service: &str) -> bool {
        let state = self.lock();
        let configuration = state.configuration.as_ref();
        configuration.is_some_and(|configuration| configuration.model.service(service).is_none())
    }

    /// Returns the engines that sent a heartbeat to this node at or after `since`.
    #[must_use]
    pub fn heartbeats_since(&self, since: Timestamp) -> Vec<EngineRecord> {
        self.lock().registry.heartbeats_since(since)
    }

    /// Expires silent engines, recounts the gateways and reassigns engines to gateways.
    pub fn expire(&self) {
        let now = self.now();
        let mut state = self.lock();
        let change = state.revision + 1;
        let lost = state.registry.expire(now, change);
        state.apply_registry_events(change);
        state
            .watchers
            .retain(|_, watcher| now.since(watcher.last_seen) < LIVE_TTL);
        let counted = state.update_gateways(change);
        let planned = state.plan_subsets(now, change);
        if lost || counted || planned {
            state.mark_changed();
        }
    }

    /// Applies the state of this node's replica, which includes at least `applied`
    /// entries, and the members of the control group.
    pub fn apply_declared(
        &self,
        declared: &DeclaredState,
        control: BTreeSet<NodeId>,
        applied: u64,
    ) {
        let mut state = self.lock();
        let change = state.revision + 1;
        let mut changed = state.apply_configuration(declared, change, self.now());
        changed |= state.apply_departures(declared, change);
        changed |= state.apply_bars(declared, change);
        changed |= state.apply_topology(declared, control, applied, change);
        if changed {
            state.mark_changed();
        }
    }

    /// Sets whether this node is a member of the control group. If not, it reports only
    /// the members and nothing else: it is in contact with few gateways and engines, so
    /// it would assign every engine to every gateway.
    pub fn set_member(&self, is_member: bool) {
        let mut state = self.lock();
        if state.is_member != is_member {
            state.is_member = is_member;
            // A position of the old session does not cover what was withheld from its
            // watcher.
            state.session = rand::random();
            state.mark_changed();
        }
    }

    /// Returns the members of the control group, as known to this node's replica.
    #[must_use]
    pub fn control_nodes(&self) -> BTreeSet<NodeId> {
        self.lock().topology.control.clone()
    }

    /// Returns the total number of concurrency slots of all live engines.
    #[must_use]
    pub fn slots(&self) -> u64 {
        self.lock().registry.slots()
    }

    /// Returns the number of live gateways.
    #[must_use]
    pub fn gateway_count(&self) -> u32 {
        self.lock().topology.gateway_count()
    }

    /// Returns the number of live gateways that are not known to be in one of `zones`.
    #[must_use]
    pub fn gateway_count_outside(&self, zones: &BTreeSet<ZoneName>) -> u32 {
        let state = self.lock();
        let watchers = state.watchers.values();
        let gateways = watchers.filter(|watcher| watcher.kind == WatcherKind::Gateway);
        let inside = gateways.filter(|watcher| {
            let zone = watcher.zone.as_ref();
            zone.is_some_and(|zone| zones.contains(zone))
        });
        let inside = inside.count() as u32;
        state.topology.gateway_count().saturating_sub(inside)
    }

    /// Returns the zone of a live node, if it reported one.
    #[must_use]
    pub fn zone_of(&self, node: NodeId) -> Option<ZoneName> {
        self.lock().watchers.get(&node)?.zone.clone()
    }

    /// Returns the zone of this node.
    #[must_use]
    pub fn own_zone(&self) -> Option<ZoneName> {
        self.lock().topology.zone.clone()
    }

    /// Returns the gateways that use each of `engines`; `None` for an engine that every
    /// gateway uses.
    #[must_use]
    pub fn users_of(&self, engines: &[&str]) -> Vec<Option<Vec<NodeId>>> {
        let state = self.lock();
        let users = engines.iter().map(|engine| {
            let service = &state.registry.record(engine)?.service;
            state.subsets.users(service, engine).map(<[NodeId]>::to_vec)
        });
        users.collect()
    }

    /// Whether every live store has had time to contact this node since it started or was
    /// last suspended or partitioned.
    #[must_use]
    pub fn store_list_is_complete(&self) -> bool {
        let now = self.now();
        let state = self.lock();
        now.since(state.last_watch_at) < MAX_WATCH_GAP && now.since(state.watched_since) >= LIVE_TTL
    }

    /// Returns the live stores.
    #[must_use]
    pub fn live_stores(&self) -> BTreeSet<NodeId> {
        let now = self.now();
        let mut state = self.lock();
        let watchers = &mut state.watchers;
        watchers.retain(|_, watcher| now.since(watcher.last_seen) < LIVE_TTL);
        state.watchers_of(WatcherKind::Store)
    }

    /// Answers a watch, immediately if there are changes, or else when one occurs or the
    /// wait time is over.
    pub async fn watch(&self, watch: &WatchView) -> Response {
        let wait = Duration::from_millis(u64::from(watch.wait_ms)).min(MAX_WATCH_WAIT);
        let began = self.now();
        let deadline = began + wait;
        loop {
            let (waiter, deadline) = {
                let mut state = self.lock();
                let now = self.now();
                state.record_watch_request(now);
                state.record_watcher(watch, began, now);
                let since = match watch.position.session == state.session {
                    true => watch.position.revision.min(state.revision),
                    false => 0,
                };
                if state.has_changes(watch, since, began) || now >= deadline {
                    return Self::response(&state, watch, since, began);
                }
                let due = state.configuration_due(watch, since, began);
                let due = due.map(|due| due.at(now));
                let first = state.first_engines_due(watch, began);
                let deadline = [due, first]
                    .into_iter()
                    .flatten()
                    .fold(deadline, Timestamp::min);
                if now >= deadline {
                    return Self::response(&state, watch, since, began);
                }
                (state.wakeup.waiter(), deadline)
            };
            let timeout = async {
                self.clock.wait_until(deadline).await;
            };
            future::or(waiter.wait(), timeout).await;
        }
    }

    fn response(state: &State, watch: &WatchView, since: u64, began: Timestamp) -> Response {
        let update = state.update_after(watch, since, began);
        Response::View {
            position: ViewPosition {
                session: state.session,
                revision: state.revision,
            },
            update: molespan_state::encode(&update).into(),
        }
    }
}
