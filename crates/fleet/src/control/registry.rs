//! Registry of live engines, built from their heartbeats. It is kept in memory only:
//! engines repeat their heartbeats, so a restarted control node knows all of them again
//! within one heartbeat interval.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use molespan_routing::dispatch::LatestIncarnations;
use molespan_types::{EngineIncarnation, Timestamp, ZoneName, incarnations_of};

use super::change_log::ChangeLog;
use crate::view::EngineRecord;

/// Maximum number of displaced engines, and of revisions with lost engines, that are
/// remembered; the oldest are dropped first.
const MAX_REMEMBERED: usize = 1_000;

#[derive(Clone, Debug)]
struct Entry {
    record: EngineRecord,
    last_heartbeat: Timestamp,
    /// Whether the latest heartbeat was sent to this node.
    received_here: bool,
    /// Revision of the view at which the engine was added or changed.
    changed: u64,
}

/// An engine that stopped sending heartbeats or whose address was taken by another one.
#[derive(Clone, Debug)]
struct Lost {
    id: String,
    service: String,
}

/// A change of an engine, used to assign engines to gateways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum RegistryEvent {
    /// The engine was added or changed.
    Registered {
        service: String,
        engine: String,
        zone: ZoneName,
    },
    /// The engine was removed.
    Gone { service: String, engine: String },
}

/// Live engines, with the revision at which each last changed.
#[derive(Clone, Debug)]
pub struct Registry {
    engines: BTreeMap<String, Entry>,
    /// The engine at each address. Scanning all engines for each new one would take
    /// quadratic time.
    by_address: HashMap<String, String>,
    /// Engines of each service by the revision at which they last changed.
    changes: BTreeMap<String, ChangeLog<String>>,
    /// Total number of concurrency slots.
    slots: u64,
    /// Engines that stopped sending heartbeats or whose address was taken, by revision.
    lost: BTreeMap<u64, Vec<Lost>>,
    /// Revision of the latest loss of an engine, by service.
    last_lost: BTreeMap<String, u64>,
    /// Events since the last call of `take_events`.
    events: Vec<RegistryEvent>,
    /// Addresses that engines lost to later ones. A heartbeat delayed by a network
    /// partition may still arrive and must not reclaim the address.
    displaced: BTreeMap<String, String>,
    /// Identifiers of the displaced engines, oldest first.
    displaced_order: VecDeque<String>,
    /// Latest known start time of each engine that reports one.
    latest: LatestIncarnations,
    silence: Duration,
}

impl Registry {
    /// Creates an empty registry; an engine is lost after `silence` without a heartbeat.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        Self {
            engines: BTreeMap::new(),
            by_address: HashMap::new(),
            changes: BTreeMap::new(),
            slots: 0,
            lost: BTreeMap::new(),
            last_lost: BTreeMap::new(),
            events: Vec::new(),
            displaced: BTreeMap::new(),
            displaced_order: VecDeque::new(),
            latest: LatestIncarnations::default(),
            silence,
        }
    }

    /// Records a heartbeat that was sent to this node. `change` is the revision that a
    /// change gets. Returns whether there was one.
    pub fn record_heartbeat(&mut self, record: EngineRecord, now: Timestamp, change: u64) -> bool {
        self.apply_heartbeat(record, true, now, change)
    }

    /// Records a heartbeat that was sent to another control node. It is ignored unless it
    /// is newer than the known one: otherwise, control nodes that forward heartbeats to
    /// each other would keep a crashed engine alive forever.
    pub fn record_forwarded(&mut self, record: EngineRecord, now: Timestamp, change: u64) -> bool {
        let known = self.engines.get(&record.id);
        if known.is_some_and(|known| record.sequence <= known.record.sequence) {
            return false;
        }
        self.apply_heartbeat(record, false, now, change)
    }

    fn apply_heartbeat(
        &mut self,
        record: EngineRecord,
        here: bool,
        now: Timestamp,
        change: u64,
    ) -> bool {
        if self.latest.has_later(&record.id) {
            return false;
        }
        if let Some(entry) = self.engines.get_mut(&record.id) {
            if record.sequence < entry.record.sequence {
                return false;
            }
            if entry.record.is_same_engine(&record) {
                entry.last_heartbeat = now;
                entry.received_here = here;
                entry.record = record;
                return false;
            }
            self.remove_entry(&record.id);
        } else if self.displaced.get(&record.id) == Some(&record.address) {
            return false;
        }
        self.remove_earlier_incarnations(&record.id, change);
        self.release_address(&record.address, change);
        self.insert(record, here, now, change);
        true
    }

    /// Removes the earlier incarnations of an engine that restarted.
    fn remove_earlier_incarnations(&mut self, id: &str, change: u64) {
        let incarnation = EngineIncarnation::of(id);
        let known = incarnations_of(&self.engines, incarnation.name);
        let earlier =
            known.filter(|(id, _)| EngineIncarnation::of(id).is_superseded_by(&incarnation));
        let earlier: Vec<String> = earlier.map(|(id, _)| id.clone()).collect();
        for id in &earlier {
            self.mark_lost(id, change);
        }
        self.latest.note(id);
    }

    fn insert(&mut self, record: EngineRecord, here: bool, now: Timestamp, change: u64) {
        let id = record.id.clone();
        let log = self.changes.entry(record.service.clone()).or_default();
        log.record(&id, None, change);
        self.slots += u64::from(record.slots);
        self.by_address.insert(record.address.clone(), id.clone());
        self.events.push(RegistryEvent::Registered {
            service: record.service.clone(),
            engine: id.clone(),
            zone: record.zone.clone(),
        });
        let entry = Entry {
            last_heartbeat: now,
            received_here: here,
            changed: change,
            record,
        };
        self.engines.insert(id, entry);
    }

    /// Removes an engine without recording it as lost.
    fn remove_entry(&mut self, id: &str) -> Option<Entry> {
        let entry = self.engines.remove(id)?;
        let EngineRecord {
            service, address, ..
        } = &entry.record;
        self.slots -= u64::from(entry.record.slots);
        if let Some(log) = self.changes.get_mut(service) {
            log.remove(&entry.record.id, entry.changed);
        }
        if self.by_address.get(address).map(String::as_str) == Some(id) {
            self.by_address.remove(address);
        }
        self.events.push(RegistryEvent::Gone {
            service: service.clone(),
            engine: id.to_owned(),
        });
        Some(entry)
    }

    /// Removes the engine that holds `address`, since another one has registered it.
    fn release_address(&mut self, address: &str, change: u64) {
        let Some(id) = self.by_address.get(address).cloned() else {
            return;
        };
        self.mark_lost(&id, change);
        self.displaced_order.push_back(id.clone());
        self.displaced.insert(id, address.to_owned());
        while self.displaced_order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.displaced_order.pop_front()
        {
            self.displaced.remove(&oldest);
        }
    }

    fn mark_lost(&mut self, id: &str, change: u64) {
        if let Some(entry) = self.remove_entry(id) {
            let service = entry.record.service;
            self.last_lost.insert(service.clone(), change);
            let lost = Lost {
                id: id.to_owned(),
                service,
            };
            self.lost.entry(change).or_default().push(lost);
        }
        while self.lost.len() > MAX_REMEMBERED {
            self.lost.pop_first();
        }
    }

    /// Removes an engine, in the incarnation that departed or an earlier one. Departures
    /// are reported separately, so the engine is not recorded as lost.
    pub fn remove(&mut self, departed: &str) {
        if let Some(id) = self.bound_by(departed).map(|record| record.id.clone()) {
            let _known = self.remove_entry(&id);
        }
    }

    /// Returns the live engine that a departure of `departed` applies to.
    pub(super) fn bound_by(&self, departed: &str) -> Option<&EngineRecord> {
        let departed = EngineIncarnation::of(departed);
        let mut incarnations = incarnations_of(&self.engines, departed.name);
        let bound =
            incarnations.find(|(id, _)| EngineIncarnation::of(id).departure_applies(&departed));
        bound.map(|(_, entry)| &entry.record)
    }

    /// Returns the incarnation that a shutdown without a start time applies to. Unless the
    /// live engine reports no start time, this is an incarnation late enough that the
    /// departure applies to every incarnation started by `now_ms`, in milliseconds since
    /// the Unix epoch.
    pub(super) fn ended_incarnation(&self, name: &str, now_ms: u64) -> String {
        if self.engines.contains_key(name) {
            return name.to_owned();
        }
        let started_at_ms = self.latest.latest(name).unwrap_or_default().max(now_ms);
        let incarnation = EngineIncarnation {
            name,
            started_at_ms: Some(started_at_ms),
        };
        incarnation.id()
    }

    /// Removes engines that were silent for too long. Returns whether there were any.
    pub fn expire(&mut self, now: Timestamp, change: u64) -> bool {
        let engines = self.engines.iter();
        let silent = engines.filter(|(_, entry)| now.since(entry.last_heartbeat) >= self.silence);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.mark_lost(id, change);
        }
        !silent.is_empty()
    }

    /// Returns the engines that were added or changed after revision `change`.
    pub fn changed_after(&self, change: u64) -> Vec<EngineRecord> {
        let services = self.changes.keys();
        let changed = services.flat_map(|service| self.changed_in(service, change));
        let mut changed: Vec<EngineRecord> = changed.cloned().collect();
        changed.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        changed
    }

    /// Returns the engines of a service that were added or changed after revision
    /// `change`.
    pub(super) fn changed_in(
        &self,
        service: &str,
        change: u64,
    ) -> impl Iterator<Item = &EngineRecord> {
        let log = self.changes.get(service);
        let ids = log.into_iter().flat_map(move |log| log.after(change));
        ids.filter_map(|id| self.record(id))
    }

    /// Returns the total number of concurrency slots.
    pub(super) fn slots(&self) -> u64 {
        self.slots
    }

    /// Whether an engine of a service was added, changed or lost after revision `since`.
    pub(super) fn changed_since(&self, service: &str, since: u64) -> bool {
        let changed = self.changes.get(service).map_or(0, ChangeLog::latest);
        let lost = self.last_lost.get(service).copied().unwrap_or_default();
        changed.max(lost) > since
    }

    /// Returns the latest heartbeat of an engine.
    pub(super) fn record(&self, id: &str) -> Option<&EngineRecord> {
        self.engines.get(id).map(|entry| &entry.record)
    }

    /// Returns the engines that were lost after revision `change` and have not come back.
    pub fn lost_after(&self, change: u64) -> Vec<String> {
        self.lost_in(change, |_| true)
    }

    /// Same as [`lost_after`](Self::lost_after), for the services accepted by
    /// `of_service`.
    pub(super) fn lost_in(&self, change: u64, of_service: impl Fn(&str) -> bool) -> Vec<String> {
        let lost = self.lost.range(change + 1..).flat_map(|(_, lost)| lost);
        let gone = lost.filter(|engine| !self.engines.contains_key(&engine.id));
        let matching = gone.filter(|engine| of_service(&engine.service));
        matching.map(|engine| engine.id.clone()).collect()
    }

    /// Returns the events since the last call.
    pub(super) fn take_events(&mut self) -> Vec<RegistryEvent> {
        std::mem::take(&mut self.events)
    }

    /// Returns the engines whose latest heartbeat was sent to this node, at or after
    /// `since`, to forward to other control nodes. Only the node that received a
    /// heartbeat forwards it; otherwise every node would send every heartbeat to all
    /// others.
    pub fn heartbeats_since(&self, since: Timestamp) -> Vec<EngineRecord> {
        let engines = self.engines.values();
        let engines = engines.filter(|entry| entry.received_here && entry.last_heartbeat >= since);
        engines.map(|entry| entry.record.clone()).collect()
    }
}
