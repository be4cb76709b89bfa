//! The view of one control node, and who waits for changes of it.

mod answer;
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
use molespan_wire::{Response, ViewMark, WatchView, WatcherKind};

use self::state::State;
use super::registry::Registry;
use crate::view::EngineRecord;

/// A node that did not ask for longer is not counted.
const PRESENCE: Duration = Duration::from_secs(4);
/// A node that nobody asked for longer was away: every gateway and store asks anew
/// each 2 s.
const AWAY: Duration = Duration::from_millis(2_500);
/// Longest time that a watch is held open.
const LONGEST_WAIT: Duration = Duration::from_secs(10);
/// Shortest time between two times that all who wait are woken. The first change behind a
/// calm is told at once, and what follows goes together: while 10,000 engines register
/// within seconds each of 836 gateways has news all the time, on paper 17,000 answers a
/// second at 50 ms and 40 microseconds each. Short beside the seconds within which an
/// engine that leaves, or a configuration, is to be known everywhere.
const ANNOUNCED_EVERY: Duration = Duration::from_millis(200);

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
        let (sender, unannounced) = async_channel::bounded(1);
        let state = State::new(zone, silence, sender, clock.now());
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
        if state.departure(&record.id).is_some() {
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

    /// How far an engine is on its way out.
    #[must_use]
    pub fn departure(&self, engine: &str) -> Option<Departure> {
        self.lock().departure(engine)
    }

    /// The life that an end of an engine without a start is of; `now_ms` are milliseconds
    /// since 1970.
    #[must_use]
    pub fn ends(&self, name: &str, now_ms: u64) -> String {
        self.lock().registry.ends(name, now_ms)
    }

    /// Whether there is a configuration and it does not name a service.
    #[must_use]
    pub fn is_unknown(&self, service: &str) -> bool {
        let state = self.lock();
        let held = state.configuration.as_ref();
        held.is_some_and(|held| held.model.service(service).is_none())
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

    /// How many gateways asked here lately that do not stand in one of these zones.
    #[must_use]
    pub fn gateways_outside(&self, zones: &BTreeSet<ZoneName>) -> u32 {
        let state = self.lock();
        let watchers = state.watchers.values();
        let gateways = watchers.filter(|watcher| watcher.kind == WatcherKind::Gateway);
        let beyond = gateways.filter(|watcher| {
            let zone = watcher.zone.as_ref();
            zone.is_some_and(|zone| zones.contains(zone))
        });
        let beyond = beyond.count() as u32;
        state.topology.gateway_count().saturating_sub(beyond)
    }

    /// Where a node stands that asked lately.
    #[must_use]
    pub fn zone_of(&self, node: NodeId) -> Option<ZoneName> {
        self.lock().watchers.get(&node)?.zone.clone()
    }

    /// Where this node stands.
    #[must_use]
    pub fn own_zone(&self) -> Option<ZoneName> {
        self.lock().topology.zone.clone()
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
        let began = self.now();
        let ends = began + wait;
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
                let first = state.first_engines_due(watch, began);
                let ends = [due, first]
                    .into_iter()
                    .flatten()
                    .fold(ends, Timestamp::min);
                if now >= ends {
                    return Self::response(&state, watch, since, now);
                }
                (state.wakeup.waiter(), ends)
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
