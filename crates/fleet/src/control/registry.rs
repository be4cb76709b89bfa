//! Engines that say they are there. Kept in memory: an engine says so again
//! and again, and a control node that starts anew hears of all within a
//! heartbeat.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use molespan_routing::dispatch::LatestLives;
use molespan_types::{EngineLife, Timestamp, ZoneName, lives_of};

use super::change_log::ChangeLog;
use crate::view::EngineRecord;

/// Engines that were lost and are still told of; the oldest go first.
const REMEMBERED_LOST: usize = 1_000;

#[derive(Clone, Debug)]
struct Entry {
    record: EngineRecord,
    heard: Timestamp,
    /// Whether it was this node that it called last.
    called_here: bool,
    /// Change of the view at which it was new or changed.
    changed: u64,
}

/// An engine that fell silent or whose address was taken.
#[derive(Clone, Debug)]
struct Lost {
    id: String,
    service: String,
}

/// What happened to an engine, for whoever decides which gateways use it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum News {
    /// It is new, or something of it changed.
    Heard {
        service: String,
        engine: String,
        zone: ZoneName,
    },
    /// It is not there any more.
    Gone { service: String, engine: String },
}

/// Engines, with the change at which each became as it is.
#[derive(Clone, Debug)]
pub struct Registry {
    engines: BTreeMap<String, Entry>,
    /// The engine that has each address: a search through all of them for each that is
    /// new would cost the square of their number.
    by_address: HashMap<String, String>,
    /// Engines of each service by the change at which they became as they are.
    changes: BTreeMap<String, ChangeLog<String>>,
    /// Slots of all engines together.
    slots: u64,
    /// Engines that fell silent or whose address was taken, by the change.
    lost: BTreeMap<u64, Vec<Lost>>,
    /// The last change that lost an engine of a service.
    last_lost: BTreeMap<String, u64>,
    /// What happened since it was asked for.
    news: Vec<News>,
    /// Addresses that engines lost to later ones. A heartbeat that a cut held up
    /// may still come and must not take the address back.
    displaced: BTreeMap<String, String>,
    /// Their identifiers, the oldest first.
    displaced_order: VecDeque<String>,
    /// The latest start of each engine that tells one.
    latest: LatestLives,
    silence: Duration,
}

impl Registry {
    /// An empty registry; an engine is lost after `silence`.
    #[must_use]
    pub fn new(silence: Duration) -> Self {
        Self {
            engines: BTreeMap::new(),
            by_address: HashMap::new(),
            changes: BTreeMap::new(),
            slots: 0,
            lost: BTreeMap::new(),
            last_lost: BTreeMap::new(),
            news: Vec::new(),
            displaced: BTreeMap::new(),
            displaced_order: VecDeque::new(),
            latest: LatestLives::default(),
            silence,
        }
    }

    /// Takes a heartbeat in that came to this node. `change` is the number that a change
    /// gets; says whether there was one.
    pub fn hear(&mut self, record: EngineRecord, now: Timestamp, change: u64) -> bool {
        self.note(record, true, now, change)
    }

    /// The same of a heartbeat that came to another control node. One that is not newer
    /// than what is known says nothing: nodes that pass on to each other what they were
    /// told would keep an engine that has crashed for good.
    pub fn hear_elsewhere(&mut self, record: EngineRecord, now: Timestamp, change: u64) -> bool {
        let known = self.engines.get(&record.id);
        if known.is_some_and(|known| record.sequence <= known.record.sequence) {
            return false;
        }
        self.note(record, false, now, change)
    }

    fn note(&mut self, record: EngineRecord, here: bool, now: Timestamp, change: u64) -> bool {
        if self.latest.has_later(&record.id) {
            return false;
        }
        if let Some(entry) = self.engines.get_mut(&record.id) {
            if record.sequence < entry.record.sequence {
                return false;
            }
            if entry.record.is_same_engine(&record) {
                entry.heard = now;
                entry.called_here = here;
                entry.record = record;
                return false;
            }
            self.forget(&record.id);
        } else if self.displaced.get(&record.id) == Some(&record.address) {
            return false;
        }
        self.lose_earlier(&record.id, change);
        self.displace(&record.address, change);
        self.insert(record, here, now, change);
        true
    }

    /// An engine that starts again has ended before.
    fn lose_earlier(&mut self, id: &str, change: u64) {
        let life = EngineLife::of(id);
        let known = lives_of(&self.engines, life.name);
        let earlier = known.filter(|(id, _)| EngineLife::of(id).is_before(&life));
        let earlier: Vec<String> = earlier.map(|(id, _)| id.clone()).collect();
        for id in &earlier {
            self.lose(id, change);
        }
        self.latest.note(id);
    }

    fn insert(&mut self, record: EngineRecord, here: bool, now: Timestamp, change: u64) {
        let id = record.id.clone();
        let log = self.changes.entry(record.service.clone()).or_default();
        log.note(&id, None, change);
        self.slots += u64::from(record.slots);
        self.by_address.insert(record.address.clone(), id.clone());
        self.news.push(News::Heard {
            service: record.service.clone(),
            engine: id.clone(),
            zone: record.zone.clone(),
        });
        let entry = Entry {
            heard: now,
            called_here: here,
            changed: change,
            record,
        };
        self.engines.insert(id, entry);
    }

    /// Takes an engine out of everything but the memory of those that were lost.
    fn forget(&mut self, id: &str) -> Option<Entry> {
        let entry = self.engines.remove(id)?;
        let EngineRecord {
            service, address, ..
        } = &entry.record;
        self.slots -= u64::from(entry.record.slots);
        if let Some(log) = self.changes.get_mut(service) {
            log.forget(&entry.record.id, entry.changed);
        }
        if self.by_address.get(address).map(String::as_str) == Some(id) {
            self.by_address.remove(address);
        }
        self.news.push(News::Gone {
            service: service.clone(),
            engine: id.to_owned(),
        });
        Some(entry)
    }

    /// An engine that registers an address has it alone.
    fn displace(&mut self, address: &str, change: u64) {
        let Some(id) = self.by_address.get(address).cloned() else {
            return;
        };
        self.lose(&id, change);
        self.displaced_order.push_back(id.clone());
        self.displaced.insert(id, address.to_owned());
        while self.displaced_order.len() > REMEMBERED_LOST
            && let Some(oldest) = self.displaced_order.pop_front()
        {
            self.displaced.remove(&oldest);
        }
    }

    fn lose(&mut self, id: &str, change: u64) {
        if let Some(entry) = self.forget(id) {
            let service = entry.record.service;
            self.last_lost.insert(service.clone(), change);
            let lost = Lost {
                id: id.to_owned(),
                service,
            };
            self.lost.entry(change).or_default().push(lost);
        }
        while self.lost.len() > REMEMBERED_LOST {
            self.lost.pop_first();
        }
    }

    /// Removes an engine that left, in this life or one before; its departure is told in
    /// another way.
    pub fn remove(&mut self, departed: &str) {
        if let Some(id) = self.bound_by(departed).map(|record| record.id.clone()) {
            let _known = self.forget(&id);
        }
    }

    /// The engine that is there and that a departure binds.
    pub(super) fn bound_by(&self, departed: &str) -> Option<&EngineRecord> {
        let departed = EngineLife::of(departed);
        let mut lives = lives_of(&self.engines, departed.name);
        let bound = lives.find(|(id, _)| EngineLife::of(id).is_bound_by(&departed));
        bound.map(|(_, entry)| &entry.record)
    }

    /// The life that an end without a start is of, or a later one that binds all that
    /// have begun by `now_ms`, milliseconds since 1970.
    pub(super) fn ends(&self, name: &str, now_ms: u64) -> String {
        if self.engines.contains_key(name) {
            return name.to_owned();
        }
        let born = self.latest.latest(name).unwrap_or_default().max(now_ms);
        let life = EngineLife {
            name,
            born: Some(born),
        };
        life.id()
    }

    /// Loses engines that are silent for too long; says whether there were any.
    pub fn expire(&mut self, now: Timestamp, change: u64) -> bool {
        let engines = self.engines.iter();
        let silent = engines.filter(|(_, entry)| now.since(entry.heard) >= self.silence);
        let silent: Vec<String> = silent.map(|(id, _)| id.clone()).collect();
        for id in &silent {
            self.lose(id, change);
        }
        !silent.is_empty()
    }

    /// Engines that are new or changed after `change`.
    pub fn changed_after(&self, change: u64) -> Vec<EngineRecord> {
        let services = self.changes.keys();
        let changed = services.flat_map(|service| self.changed_in(service, change));
        let mut changed: Vec<EngineRecord> = changed.cloned().collect();
        changed.sort_unstable_by(|one, other| one.id.cmp(&other.id));
        changed
    }

    /// Engines of a service that are new or changed after `change`.
    pub(super) fn changed_in(
        &self,
        service: &str,
        change: u64,
    ) -> impl Iterator<Item = &EngineRecord> {
        let log = self.changes.get(service);
        let ids = log.into_iter().flat_map(move |log| log.after(change));
        ids.filter_map(|id| self.record(id))
    }

    /// Slots of all engines together.
    pub(super) fn slots(&self) -> u64 {
        self.slots
    }

    /// Whether an engine of a service came, changed or was lost behind `since`.
    pub(super) fn changed_since(&self, service: &str, since: u64) -> bool {
        let changed = self.changes.get(service).map_or(0, ChangeLog::last);
        let lost = self.last_lost.get(service).copied().unwrap_or_default();
        changed.max(lost) > since
    }

    /// What an engine last said.
    pub(super) fn record(&self, id: &str) -> Option<&EngineRecord> {
        self.engines.get(id).map(|entry| &entry.record)
    }

    /// Engines that were lost after `change` and are not back.
    pub fn lost_after(&self, change: u64) -> Vec<String> {
        self.lost_of(change, |_| true)
    }

    /// The same of the services that `of_service` names.
    pub(super) fn lost_of(&self, change: u64, of_service: impl Fn(&str) -> bool) -> Vec<String> {
        let lost = self.lost.range(change + 1..).flat_map(|(_, lost)| lost);
        let gone = lost.filter(|one| !self.engines.contains_key(&one.id));
        let told = gone.filter(|one| of_service(&one.service));
        told.map(|one| one.id.clone()).collect()
    }

    /// What happened to engines since this was last called.
    pub(super) fn take_news(&mut self) -> Vec<News> {
        std::mem::take(&mut self.news)
    }

    /// Engines that called this node at `since` or later, for telling other control nodes.
    /// Whom they called last tells of them: if each node told all that it had heard, every
    /// heartbeat would go from each of them to all others.
    pub fn heard_since(&self, since: Timestamp) -> Vec<EngineRecord> {
        let engines = self.engines.values();
        let engines = engines.filter(|entry| entry.called_here && entry.heard >= since);
        engines.map(|entry| entry.record.clone()).collect()
    }
}
