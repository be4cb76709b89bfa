//! Decides whether a watcher has pending changes, and builds its updates.

use std::time::Duration;

use molespan_routing::subset::{Breadth, INITIAL_USERS};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::{WatchView, WatcherKind};

use super::state::State;
use crate::view::{ServiceSubset, ViewUpdate};

/// Delay after which this node sends a configuration to a watcher that should receive it
/// from another control node. The delay lets the configuration reach the watcher once
/// rather than from every control node; a response takes less time than this.
const CONFIGURATION_FALLBACK_DELAY: Duration = Duration::from_millis(400);

/// When a watch that lacks the configuration has to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigurationDue {
    /// At once, with the configuration.
    Now,
    /// At this time without it, so that the watcher says in its next request whether it still
    /// lacks it.
    AskedAgain(Timestamp),
}

impl ConfigurationDue {
    /// Returns the latest time of the answer.
    pub fn at(self, now: Timestamp) -> Timestamp {
        match self {
            Self::Now => now,
            Self::AskedAgain(due) => due,
        }
    }
}

/// Interval between responses to a gateway that has just started and is receiving its
/// first engines.
const FIRST_ENGINES_INTERVAL: Duration = Duration::from_millis(500);

impl State {
    /// Whether a watcher receives more than the topology from this node.
    fn sends_full_view(&self, watch: &WatchView) -> bool {
        self.is_member && watch.kind == WatcherKind::Gateway
    }

    /// Whether a change after `since` must be sent now to a watcher whose watch arrived at
    /// `began`. The departure of an
    /// engine that only few gateways use does not wake the other gateways, but is part of
    /// their next update: it must reach them too, because a partitioned control node may
    /// still announce the engine to them.
    pub fn has_changes(&self, watch: &WatchView, since: u64, began: Timestamp) -> bool {
        if !self.sends_full_view(watch) {
            return self.topology_changed > since;
        }
        let due = self.sends_configuration(watch, since, began);
        let global_changes = [
            self.topology_changed,
            self.shared_departure_changed,
            self.bars_changed,
        ];
        due || global_changes.iter().any(|changed| *changed > since)
            || self.subsets.has_changes(watch.node, since)
            || self
                .unpartitioned_services()
                .any(|service| self.registry.changed_since(service, since))
    }

    /// Returns when this node has to answer a watch that lacks its configuration; `None` if
    /// the watcher has it already or needs none. The watch arrived at `began`.
    pub fn configuration_due(
        &self,
        watch: &WatchView,
        since: u64,
        began: Timestamp,
    ) -> Option<ConfigurationDue> {
        if !self.sends_full_view(watch) {
            return None;
        }
        let configuration = self.configuration.as_ref()?;
        let Some(version) = watch.version else {
            return (self.configuration_changed > since).then_some(ConfigurationDue::Now);
        };
        if version >= configuration.version {
            return None;
        }
        if !watch.other_node_sends_first {
            return Some(ConfigurationDue::Now);
        }
        let lacking = self.configuration_times.lacking_since(version)?;
        let watcher = self.watchers.get(&watch.node)?;
        let due = lacking.max(watcher.since) + CONFIGURATION_FALLBACK_DELAY;
        Some(match began >= due {
            true => ConfigurationDue::Now,
            // What the watcher has received since it sent this watch is not known here.
            false => ConfigurationDue::AskedAgain(due),
        })
    }

    /// Returns the services of which every gateway uses every engine.
    fn unpartitioned_services(&self) -> impl Iterator<Item = &str> {
        let services = self.subsets.services();
        services.filter(|service| self.subsets.breadth(service).0 == Breadth::All)
    }

    fn sends_configuration(&self, watch: &WatchView, since: u64, began: Timestamp) -> bool {
        self.configuration_due(watch, since, began) == Some(ConfigurationDue::Now)
    }

    /// Builds the update with all changes after `since` that concern a watcher, whose watch
    /// arrived at `began`.
    pub fn update_after(&self, watch: &WatchView, since: u64, began: Timestamp) -> ViewUpdate {
        let topology = (self.topology_changed > since).then(|| self.topology.clone());
        let mut update = ViewUpdate {
            topology,
            ..ViewUpdate::default()
        };
        if !self.sends_full_view(watch) {
            return update;
        }
        if self.sends_configuration(watch, since, began) {
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
        let used_by_all = |service: &str| self.subsets.breadth(service).0 == Breadth::All;
        update.lost = self.registry.lost_in(since, used_by_all);
        for service in self.subsets.services() {
            self.add_service_changes(service, watch.node, since, &mut update);
        }
        update
    }

    /// Returns the deadline of a watch by a gateway that is receiving its first engines,
    /// or `None` for any other watch. Engines register within one heartbeat interval, and
    /// waking all gateways for each of them would take most of the CPU time of a node
    /// that is also starting.
    pub fn first_engines_due(&self, watch: &WatchView, now: Timestamp) -> Option<Timestamp> {
        let started_empty = self.sends_full_view(watch) && self.started_empty(watch.node);
        let mut services = self.subsets.services();
        let unsettled = services.any(|service| self.subsets.breadth(service).0 == Breadth::Unknown);
        (started_empty && unsettled).then(|| now + FIRST_ENGINES_INTERVAL)
    }

    fn started_empty(&self, gateway: NodeId) -> bool {
        let watcher = self.watchers.get(&gateway);
        watcher.is_some_and(|watcher| watcher.started_empty)
    }

    /// Adds provisional engines for a gateway that could serve no requests until the
    /// subsets are assigned. Gateways that already know engines keep using those.
    fn add_first_engines(
        &self,
        service: &str,
        gateway: NodeId,
        since: u64,
        update: &mut ViewUpdate,
    ) {
        if !self.started_empty(gateway) {
            return;
        }
        let engines = self.registry.changed_in(service, since);
        let first =
            engines.filter(|engine| self.subsets.is_initial_engine(gateway, service, &engine.id));
        let count_before = update.engines.len();
        update.engines.extend(first.cloned());
        if update.engines.len() > count_before {
            update.subsets.push(ServiceSubset {
                service: service.to_owned(),
                users: Some(INITIAL_USERS),
                engines: None,
            });
        }
    }

    /// Adds the changes of one service for a gateway.
    fn add_service_changes(
        &self,
        service: &str,
        gateway: NodeId,
        since: u64,
        update: &mut ViewUpdate,
    ) {
        let (breadth, changed) = self.subsets.breadth(service);
        let rebuilt = changed > since;
        let mut subset = ServiceSubset {
            service: service.to_owned(),
            users: None,
            engines: None,
        };
        if let Breadth::All = breadth {
            let since = if rebuilt { 0 } else { since };
            let engines = self.registry.changed_in(service, since);
            update.engines.extend(engines.cloned());
            if rebuilt {
                update.subsets.push(subset);
            }
            return;
        }
        if breadth == Breadth::Unknown {
            return self.add_first_engines(service, gateway, since, update);
        }
        let changes = self.subsets.changes_after(gateway, service, since);
        let records = changes.engines.iter();
        let records = records.filter_map(|engine| self.registry.record(engine));
        update.engines.extend(records.cloned());
        let gone = changes.removed.iter();
        let gone = gone.filter(|engine| self.registry.record(engine).is_none());
        update.lost.extend(gone.map(|engine| engine.to_string()));
        if rebuilt || changes.complete.is_some() {
            subset.users = Some(breadth.users() as u32);
            subset.engines = changes
                .complete
                .map(|ids| ids.iter().map(ToString::to_string).collect());
            update.subsets.push(subset);
        }
    }
}
