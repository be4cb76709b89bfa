//! Which engine gets an online request.
//!
//! The order of the rules is: engines of the own zone, unless that zone is
//! loaded and others are not; among these the one that holds the longest part
//! of the prompt in its cache, as long as its load stays near the least, or one
//! of another zone that holds clearly more; else the less loaded of two drawn
//! at random, or an engine on which batch work yields already, so that no
//! other has to be disturbed.
//!
//! Load is what the engine last reported, corrected by what this gateway
//! started and finished there since: reports lag, own requests are known.

mod engine_load;
mod limit;
mod policy;
mod prefix;
mod reason;

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_engine_api::CacheEventPage;
use molespan_types::{BackendId, Incarnation, Timestamp, ZoneName};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use engine_load::LoadSample;
pub use limit::LimitSettings;
pub use policy::PickPolicy;
pub use prefix::PrefixSettings;
pub use reason::{Considered, Pick, PickError, PickReason, PickRule};

use engine_load::EngineLoad;
use prefix::PrefixIndex;

/// Bounds of engine choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PickSettings {
    /// How engines are chosen.
    pub policy: PickPolicy,
    /// Load per unit of limit in the own zone from which others are used too.
    pub spill_at: f64,
    /// By how much a remote engine's load per limit must be lower to be used.
    pub spill_margin: f64,
    /// An engine with the prompt's prefix is taken if its load is at most the
    /// least load times this factor, plus the slack, plus a request for each so
    /// many blocks that it holds.
    pub affinity_factor: f64,
    /// Slack of that rule, in requests.
    pub affinity_slack: f64,
    /// Blocks that take as long to process as a request more delays another.
    pub affinity_blocks_per_request: f64,
    /// An engine of another zone is taken for the prompt's prefix if it holds
    /// this many blocks more than the best of the own zone: processing them
    /// must take longer than the way there.
    pub remote_affinity_blocks: u32,
    /// Requests that an arrival on an engine where batch work runs weighs as
    /// much as: it waits for the step in progress.
    pub disturbed_cost: f64,
    /// Requests that the way to another zone weighs as much as.
    pub zone_cost: f64,
    /// Age after which a load report no longer counts.
    pub report_valid_for: Duration,
    /// Adaptive concurrency limit of each engine.
    pub limit: LimitSettings,
    /// Bounds of the prefix index.
    pub prefix: PrefixSettings,
}

impl Default for PickSettings {
    fn default() -> Self {
        Self {
            policy: PickPolicy::Affinity,
            spill_at: 0.75,
            spill_margin: 0.25,
            affinity_factor: 1.25,
            affinity_slack: 2.0,
            affinity_blocks_per_request: 8.0,
            remote_affinity_blocks: 24,
            disturbed_cost: 2.0,
            zone_cost: 1.75,
            report_valid_for: Duration::from_secs(2),
            limit: LimitSettings::default(),
            prefix: PrefixSettings::default(),
        }
    }
}

/// An engine that may be chosen, as the directory has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Back end.
    pub backend: BackendId,
    /// Its life.
    pub incarnation: Incarnation,
    /// Where it stands.
    pub zone: ZoneName,
    /// Whether it is in doubt; used only when no other engine may be.
    pub suspect: bool,
}

/// What is known of the request to place.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Hashes of the prompt's prefixes, shortest first, as engines hash them.
    pub prefix_hashes: &'a [u64],
    /// Engines that must not be chosen, since they failed this request.
    pub exclude: &'a [BackendId],
}

/// How a request that was placed ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// It answered, with this time to the first byte.
    Answered {
        /// Time from sending to the first byte.
        first_byte: Duration,
    },
    /// The engine refused it for its load.
    Overloaded,
    /// It ended otherwise; nothing is learnt of the engine's load.
    Other,
}

/// Chooses engines of one service for one gateway.
#[derive(Clone, Debug)]
pub struct Picker {
    settings: PickSettings,
    zone: ZoneName,
    engines: BTreeMap<BackendId, EngineLoad>,
    /// Engines that may not be chosen now and still run own requests.
    set_aside: BTreeMap<BackendId, EngineLoad>,
    prefixes: PrefixIndex,
    rng: ChaCha8Rng,
    turn: usize,
}

impl Picker {
    /// A picker for a gateway in `zone`. The seed decides every random choice.
    #[must_use]
    pub fn new(zone: ZoneName, settings: PickSettings, seed: u64) -> Self {
        let prefixes = PrefixIndex::new(settings.prefix.clone());
        Self {
            settings,
            zone,
            engines: BTreeMap::new(),
            set_aside: BTreeMap::new(),
            prefixes,
            rng: ChaCha8Rng::seed_from_u64(seed),
            turn: 0,
        }
    }

    /// Replaces the engines that may be chosen. What is known of those that
    /// stay is kept; a new life starts with nothing known.
    pub fn set_engines(&mut self, candidates: Vec<Candidate>) {
        let mut engines = BTreeMap::new();
        for candidate in candidates {
            let engine = self.engine_for(&candidate);
            engines.insert(candidate.backend, engine);
        }
        let gone = std::mem::replace(&mut self.engines, engines);
        for (backend, engine) in gone {
            self.prefixes.drop_engine(backend);
            if engine.own_in_flight() > 0 {
                self.set_aside.insert(backend, engine);
            }
        }
    }

    /// What is known of this life of an engine, with its new description.
    fn engine_for(&mut self, candidate: &Candidate) -> EngineLoad {
        let backend = candidate.backend;
        let same_life = |engine: &EngineLoad| engine.incarnation() == candidate.incarnation;
        let known = self.engines.remove(&backend).filter(same_life);
        if known.is_none() {
            self.prefixes.drop_engine(backend);
        }
        let known = known.or_else(|| self.set_aside.remove(&backend).filter(same_life));
        let mut engine = known.unwrap_or_else(|| EngineLoad::new(&self.settings.limit));
        engine.set_candidate(candidate.clone());
        engine
    }

    /// Takes a load report, direct or passed on as a digest.
    pub fn observe_load(&mut self, sample: LoadSample) {
        if let Some(engine) = self.engines.get_mut(&sample.backend) {
            engine.observe(sample, &self.settings.limit);
        }
    }

    /// Takes cache events, which may be late and have gaps.
    pub fn observe_cache(&mut self, backend: BackendId, page: &CacheEventPage) {
        let current = self
            .engines
            .get(&backend)
            .is_some_and(|engine| engine.incarnation() == page.incarnation);
        if current {
            self.prefixes.apply_events(backend, &page.events);
        }
    }

    /// Chooses an engine. The caller reports with [`Picker::started`] when it
    /// sends the request there.
    ///
    /// # Errors
    /// When no engine is there, all are excluded, or all are at their limit.
    pub fn pick(&mut self, now: Timestamp, request: PickRequest<'_>) -> Result<Pick, PickError> {
        let mut open = policy::open_engines(&self.engines, now, request.exclude, &self.settings)?;
        if self.settings.policy == PickPolicy::RoundRobin {
            self.turn = self.turn.wrapping_add(1);
            return Ok(policy::round_robin(&open, self.turn));
        }
        if self.settings.policy == PickPolicy::LeastReported {
            return Ok(policy::least_reported(&open, &self.engines));
        }
        let elsewhere = policy::keep_zone(&mut open, &self.zone, &self.settings);
        let spilled = policy::spills(&open, &self.zone);
        let affine = self.settings.policy == PickPolicy::Affinity;
        if affine && !request.prefix_hashes.is_empty() {
            let pick = policy::affinity(
                &open,
                &elsewhere,
                &mut self.prefixes,
                request.prefix_hashes,
                spilled,
                &self.settings,
            );
            if let Some(pick) = pick {
                return Ok(pick);
            }
        }
        Ok(policy::least_cost(
            &open,
            &elsewhere,
            &self.zone,
            spilled,
            &self.settings,
            &mut self.rng,
        ))
    }

    /// A request was sent to `backend`; its prefixes will be cached there.
    pub fn started(&mut self, now: Timestamp, backend: BackendId, prefix_hashes: &[u64]) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            let held = self.prefixes.held_by(backend, prefix_hashes);
            engine.started(now, (prefix_hashes.len() - held) as u32);
            self.prefixes.expect(backend, prefix_hashes);
        }
    }

    /// A request that was sent to `backend` at `started` ended.
    pub fn finished(
        &mut self,
        now: Timestamp,
        backend: BackendId,
        started: Timestamp,
        finish: Finish,
    ) {
        let settings = &self.settings.limit;
        if let Some(engine) = self.engines.get_mut(&backend) {
            engine.finished(now, started, finish, settings);
        } else if let Some(engine) = self.set_aside.get_mut(&backend) {
            engine.finished(now, started, finish, settings);
            if engine.own_in_flight() == 0 {
                self.set_aside.remove(&backend);
            }
        }
    }

    /// Own requests in flight on `backend`.
    #[must_use]
    pub fn own_in_flight(&self, backend: BackendId) -> u32 {
        let engine = self.engines.get(&backend);
        let engine = engine.or_else(|| self.set_aside.get(&backend));
        engine.map_or(0, EngineLoad::own_in_flight)
    }

    /// Load of `backend` as a choice made now would see it, in requests.
    #[must_use]
    pub fn load(&self, now: Timestamp, backend: BackendId) -> Option<f64> {
        let engine = self.engines.get(&backend)?;
        Some(engine.load(now, self.settings.report_valid_for))
    }

    /// Adaptive limit of `backend`, in online requests of all gateways.
    #[must_use]
    pub fn limit(&self, backend: BackendId) -> Option<u32> {
        self.engines.get(&backend).map(EngineLoad::limit)
    }

    /// Requests that this gateway may have in flight now: its own plus the
    /// room below the limits of all engines. For admission's capacity.
    #[must_use]
    pub fn capacity(&self, now: Timestamp) -> u32 {
        let valid_for = self.settings.report_valid_for;
        self.engines
            .values()
            .map(|engine| {
                let room = f64::from(engine.limit()) - engine.load(now, valid_for);
                engine.own_in_flight() + room.max(0.0) as u32
            })
            .sum()
    }

    /// Prefixes that take memory now.
    #[must_use]
    pub fn indexed_prefixes(&self) -> usize {
        self.prefixes.len()
    }
}
