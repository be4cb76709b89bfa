//! Decides whether a watcher has pending changes, and builds its updates.

use std::time::Duration;

use molespan_routing::subset::{Breadth, FIRST_USERS};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::{WatchView, WatcherKind};

use super::state::State;
use crate::view::{ServicePart, ViewUpdate};

/// Delay after which this node sends a configuration to a watcher that should receive it
/// from another control node. The delay lets the configuration reach the watcher once
/// rather than from every control node; a response takes less time than this.
const LEFT_TO_ANOTHER: Duration = Duration::from_millis(400);

/// Interval between responses to a gateway that has just started and is receiving its
/// first engines.
const FIRST_ENGINES_EVERY: Duration = Duration::from_millis(500);

impl State {
    /// Whether a watcher receives more than the topology from this node.
    fn tells_all(&self, watch: &WatchView) -> bool {
        self.is_member && watch.kind == WatcherKind::Gateway
    }

    /// Whether a change after `since` must be sent to a watcher now. The departure of an
    /// engine that only few gateways use does not wake the other gateways, but is part of
    /// their next update: it must reach them too, because a partitioned control node may
    /// still announce the engine to them.
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

    /// Returns the time from which this node may send its configuration to a watcher;
    /// `None` if the watcher has it already or needs none.
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

    /// Returns the services of which every gateway uses every engine.
    fn whole_services(&self) -> impl Iterator<Item = &str> {
        let services = self.subsets.services();
        services.filter(|service| self.subsets.breadth(service).0 == Breadth::Whole)
    }

    /// Builds the update with all changes after `since` that concern a watcher.
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

    /// Returns the deadline of a watch by a gateway that is receiving its first engines,
    /// or `None` for any other watch. Engines register within one heartbeat interval, and
    /// waking all gateways for each of them would take most of the CPU time of a node
    /// that is also starting.
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

    /// Adds provisional engines for a gateway that could serve no requests until the
    /// subsets are assigned. Gateways that already know engines keep using those.
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

    /// Adds the changes of one service for a gateway.
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
