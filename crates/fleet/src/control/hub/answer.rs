//! What a watcher is told: whether there is anything, and what.

use std::time::Duration;

use molespan_routing::subset::{Breadth, FIRST_USERS};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::{WatchView, WatcherKind};

use super::state::State;
use crate::view::{ServicePart, ViewUpdate};

/// How long a configuration is left to the control node that a watcher takes it from:
/// it is told once in place of by each node, and an answer takes less than this.
const LEFT_TO_ANOTHER: Duration = Duration::from_millis(400);

/// Time between two answers to a gateway that hears of first engines.
const FIRST_ENGINES_EVERY: Duration = Duration::from_millis(500);

impl State {
    /// Whether a watcher is told more here than what the cluster is.
    fn tells_all(&self, watch: &WatchView) -> bool {
        self.is_member && watch.kind == WatcherKind::Gateway
    }

    /// Whether there is anything behind `since` that a watcher is to hear of now. An engine
    /// of few gateways that leaves is told to the others with the next answer they get: it
    /// binds them in case that another control node, which was cut off, tells them of the
    /// engine.
    pub fn is_news(&self, watch: &WatchView, since: u64, now: Timestamp) -> bool {
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
    pub fn configuration_due(&self, watch: &WatchView, since: u64) -> Option<Timestamp> {
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

    /// All that a watcher is to hear of behind `since`.
    pub fn update_after(&self, watch: &WatchView, since: u64, now: Timestamp) -> ViewUpdate {
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

    /// Until when a watch is held open at the most, for a gateway that is to hear of first
    /// engines: they register within a heartbeat, and waking all for each would cost a
    /// node that starts too most of its time.
    pub fn first_engines_due(&self, watch: &WatchView, now: Timestamp) -> Option<Timestamp> {
        let begins = self.tells_all(watch) && self.begins(watch.node);
        let mut services = self.subsets.services();
        let unsettled =
            services.any(|service| self.subsets.breadth(service).0 == Breadth::Unsettled);
        (begins && unsettled).then(|| now + FIRST_ENGINES_EVERY)
    }

    fn begins(&self, gateway: NodeId) -> bool {
        let watcher = self.watchers.get(&gateway);
        watcher.is_some_and(|watcher| watcher.begins)
    }

    /// Adds engines for a gateway that would serve nobody until it is known who uses which.
    /// Whoever knows engines from before goes on with them.
    fn tell_first(&self, service: &str, gateway: NodeId, since: u64, update: &mut ViewUpdate) {
        if !self.begins(gateway) {
            return;
        }
        let engines = self.registry.changed_in(service, since);
        let first = engines.filter(|engine| self.subsets.is_first(gateway, service, &engine.id));
        let told = update.engines.len();
        update.engines.extend(first.cloned());
        if update.engines.len() > told {
            update.parts.push(ServicePart {
                service: service.to_owned(),
                users: Some(FIRST_USERS),
                engines: None,
            });
        }
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
            return self.tell_first(service, gateway, since, update);
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
