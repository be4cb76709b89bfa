//! All engines, and the choice among them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use molespan_types::{NodeId, Timestamp, ZoneName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::{Engine, EngineFacts, EngineLoad, Failure};

/// Departed engines that are remembered, so that a late word of one does not
/// bring it back.
const REMEMBERED_DEPARTURES: usize = 10_000;
/// Requests that a way into another zone weighs as much as.
const ZONE_PENALTY: f64 = 1.0;
/// Share of its slots up to which an engine is chosen for what it holds.
const AFFINITY_LOAD: f64 = 0.8;
/// Share of the slots by which it may be above the least loaded one.
const AFFINITY_LEAD: f64 = 0.4;
/// Share of its slots up to which an engine gets batch work.
const BATCH_LOAD: f64 = 0.6;
/// Share of its slots up to which an engine gets online work.
const ONLINE_LOAD: f64 = 1.5;

/// What a request is, as far as engines care.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller waits.
    Online,
    /// It may wait for idle engines.
    Batch,
}

/// A request that wants an engine.
#[derive(Clone, Debug)]
pub struct Pick<'a> {
    /// Service.
    pub service: &'a str,
    /// What it is.
    pub class: WorkClass,
    /// Shared beginning of its prompt, if that matters.
    pub affinity: Option<u64>,
    /// Engines that it has been to.
    pub tried: &'a BTreeSet<String>,
}

/// An engine that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// It.
    pub facts: EngineFacts,
    /// Requests there as far as is known, this one not counted.
    pub load: f64,
    /// Whether it was chosen for the prompt that it should hold.
    pub by_affinity: bool,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// None is known that does not leave.
    None,
    /// All that are left fail or have no room.
    Busy,
}

/// All engines that are known.
#[derive(Debug)]
pub struct EngineTable {
    zone: ZoneName,
    engines: BTreeMap<String, Engine>,
    departed: BTreeSet<String>,
    departed_order: VecDeque<String>,
    random: ChaCha8Rng,
}

impl EngineTable {
    /// A table for a node in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            engines: BTreeMap::new(),
            departed: BTreeSet::new(),
            departed_order: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A control node says that an engine is there. Nothing brings a departed
    /// one back, and an address belongs to the latest engine that has it.
    pub fn learn(&mut self, from: NodeId, facts: EngineFacts) {
        if self.departed.contains(&facts.id) {
            return;
        }
        if !self.engines.contains_key(&facts.id) {
            self.engines
                .retain(|_, engine| engine.facts.address != facts.address);
        }
        let id = facts.id.clone();
        let engine = self
            .engines
            .entry(id)
            .or_insert_with(|| Engine::new(facts.clone()));
        engine.facts = facts;
        engine.known_by.insert(from);
    }

    /// A control node lost sight of an engine. It is gone once all did.
    pub fn lose(&mut self, from: NodeId, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.known_by.remove(&from);
            if engine.known_by.is_empty() {
                self.engines.remove(id);
            }
        }
    }

    /// An engine leaves, for good. Says whether that is news.
    pub fn depart(&mut self, id: &str) -> bool {
        self.engines.remove(id);
        if !self.departed.insert(id.to_owned()) {
            return false;
        }
        self.departed_order.push_back(id.to_owned());
        if self.departed_order.len() > REMEMBERED_DEPARTURES
            && let Some(oldest) = self.departed_order.pop_front()
        {
            self.departed.remove(&oldest);
        }
        true
    }

    /// Another engine answered at its address. The control nodes lose sight of
    /// it soon; until then it is not chosen.
    pub fn displaced(&mut self, id: &str, now: Timestamp) {
        self.failed(id, Failure::Unreachable, now);
    }

    /// Whether new work may still go there.
    #[must_use]
    pub fn is_present(&self, id: &str) -> bool {
        self.engines.contains_key(id)
    }

    /// A request was sent.
    pub fn started(&mut self, id: &str, class: WorkClass) {
        if let Some(engine) = self.engines.get_mut(id) {
            *in_flight(engine, class) += 1;
        }
    }

    /// It has ended in whatever way.
    pub fn ended(&mut self, id: &str, class: WorkClass) {
        if let Some(engine) = self.engines.get_mut(id) {
            let count = in_flight(engine, class);
            *count = count.saturating_sub(1);
        }
    }

    /// An engine told its load.
    pub fn report(&mut self, id: &str, load: EngineLoad, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.report(load, now);
        }
    }

    /// An attempt failed.
    pub fn failed(&mut self, id: &str, failure: Failure, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.failed(failure, now);
        }
    }

    /// An attempt was answered.
    pub fn succeeded(&mut self, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.succeeded();
        }
    }

    /// Slots of all engines of a service together.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let engines = self
            .engines
            .values()
            .filter(|one| one.facts.service == service);
        engines.map(|engine| engine.facts.slots).sum()
    }

    /// Batch requests that an engine of the service would still take.
    #[must_use]
    pub fn batch_headroom(&self, service: &str, now: Timestamp) -> u32 {
        let engines = self
            .engines
            .values()
            .filter(|one| one.facts.service == service);
        let usable = engines.filter(|engine| !engine.is_paused(now));
        let room = usable.map(|engine| {
            let most = f64::from(engine.facts.slots) * BATCH_LOAD;
            (most - engine.load(now)).max(0.0) as u32
        });
        room.sum()
    }

    /// Chooses an engine.
    ///
    /// # Errors
    /// When there is none to choose.
    pub fn pick(&mut self, pick: &Pick<'_>, now: Timestamp) -> Result<Picked, NoEngine> {
        let of_service = |engine: &&Engine| engine.facts.service == pick.service;
        if !self.engines.values().any(|engine| of_service(&engine)) {
            return Err(NoEngine::None);
        }
        let share = match pick.class {
            WorkClass::Online => ONLINE_LOAD,
            WorkClass::Batch => BATCH_LOAD,
        };
        let engines = self.engines.values().filter(of_service);
        let usable: Vec<(&Engine, f64)> = engines
            .filter(|engine| !engine.is_paused(now) && !pick.tried.contains(&engine.facts.id))
            .map(|engine| (engine, engine.load(now)))
            .filter(|(engine, load)| *load < f64::from(engine.facts.slots) * share)
            .collect();
        if let Some(key) = pick.affinity
            && let Some(picked) = by_affinity(&usable, key)
        {
            return Ok(picked);
        }
        let weigh = |engine: &Engine, load: f64| {
            let far = engine.facts.zone != self.zone;
            let penalty = if far { ZONE_PENALTY } else { 0.0 };
            (load + penalty) / f64::from(engine.facts.slots.max(1))
        };
        let random = &mut self.random;
        let weighed = usable
            .iter()
            .map(|&(engine, load)| (weigh(engine, load), random.random::<u32>(), engine, load));
        let least =
            weighed.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
        let (_, _, engine, load) = least.ok_or(NoEngine::Busy)?;
        Ok(Picked {
            facts: engine.facts.clone(),
            load,
            by_affinity: false,
        })
    }
}

fn in_flight(engine: &mut Engine, class: WorkClass) -> &mut u32 {
    match class {
        WorkClass::Online => &mut engine.online,
        WorkClass::Batch => &mut engine.batch,
    }
}

/// The first engine in the order that the key gives, passing over those that
/// have much more to do than others.
fn by_affinity(usable: &[(&Engine, f64)], key: u64) -> Option<Picked> {
    let shares = usable
        .iter()
        .map(|(engine, load)| load / f64::from(engine.facts.slots.max(1)));
    let least = shares.fold(f64::INFINITY, f64::min);
    let limit = AFFINITY_LOAD.min(least + AFFINITY_LEAD);
    let fitting = usable
        .iter()
        .filter(|(engine, load)| load / f64::from(engine.facts.slots.max(1)) <= limit);
    let first =
        fitting.max_by_key(|(engine, _)| xxh3_64_with_seed(engine.facts.id.as_bytes(), key));
    first.map(|&(engine, load)| Picked {
        facts: engine.facts.clone(),
        load,
        by_affinity: true,
    })
}
