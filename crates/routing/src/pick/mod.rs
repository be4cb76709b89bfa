//! Choice of the engine for an online request.
//!
//! The rules apply in this order. Engines of the own zone come first, unless that zone is
//! loaded and others are not. Among these, the engine that caches the longest part of the
//! prompt is chosen if its load is near the least, or one of another zone that caches
//! clearly more. Otherwise the less loaded of two random engines is chosen, or an engine on
//! which batch work already yields, so that batch work on no other engine is interrupted.
//!
//! Load is what the engine last reported, corrected by the requests that this gateway
//! started and finished there since: reports lag, while the gateway's own requests are
//! known.

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

/// Settings of the engine choice.
#[derive(Clone, Debug, PartialEq)]
pub struct PickSettings {
    /// Policy by which engines are chosen.
    pub policy: PickPolicy,
    /// Load per unit of limit in the own zone from which other zones are used too.
    pub spill_at: f64,
    /// Difference in load per unit of limit by which a remote engine must be below the own
    /// zone to be used.
    pub spill_margin: f64,
    /// Factor of the affinity rule: an engine that caches the prompt's prefix is chosen if
    /// its load is at most the least load times this factor, plus [`Self::affinity_slack`],
    /// plus one request for every [`Self::affinity_blocks_per_request`] blocks that it
    /// caches.
    pub affinity_factor: f64,
    /// Slack of the affinity rule, in requests.
    pub affinity_slack: f64,
    /// Blocks whose processing takes as long as one more request delays the others.
    pub affinity_blocks_per_request: f64,
    /// Blocks that an engine of another zone must cache beyond the best of the own zone to
    /// be chosen for the prompt's prefix: processing them must take longer than the network
    /// latency.
    pub remote_affinity_blocks: u32,
    /// Cost of sending a request to an engine that runs batch work, in requests: it waits
    /// for the step in progress.
    pub batch_interruption_cost: f64,
    /// Cost of sending a request to another zone, in requests.
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
            batch_interruption_cost: 2.0,
            zone_cost: 1.75,
            report_valid_for: Duration::from_secs(2),
            limit: LimitSettings::default(),
            prefix: PrefixSettings::default(),
        }
    }
}

/// An engine that may be chosen, as listed by the directory.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Backend.
    pub backend: BackendId,
    /// Incarnation of the backend.
    pub incarnation: Incarnation,
    /// Zone that it runs in.
    pub zone: ZoneName,
    /// Whether it is suspected to have failed; used only if no healthy engine is available.
    pub suspect: bool,
}

/// Properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug, Default)]
pub struct PickRequest<'a> {
    /// Hashes of the prompt's prefixes, shortest first, as engines hash them.
    pub prefix_hashes: &'a [u64],
    /// Engines that must not be chosen, since they failed this request.
    pub exclude: &'a [BackendId],
}

/// How a dispatched request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Finish {
    /// The engine answered.
    Answered {
        /// Time from sending to the first byte.
        first_byte: Duration,
    },
    /// The engine rejected it because of its load.
    Overloaded,
    /// It ended in another way, which reveals nothing about the engine's load.
    Other,
}

/// Chooses engines of one service for one gateway.
#[derive(Clone, Debug)]
pub struct Picker {
    settings: PickSettings,
    zone: ZoneName,
    engines: BTreeMap<BackendId, EngineLoad>,
    /// Engines that may not be chosen now but still run requests of this gateway.
    draining: BTreeMap<BackendId, EngineLoad>,
    prefixes: PrefixIndex,
    rng: ChaCha8Rng,
    next_index: usize,
}

impl Picker {
    /// Returns a picker for a gateway in `zone`. All random choices derive from the seed.
    #[must_use]
    pub fn new(zone: ZoneName, settings: PickSettings, seed: u64) -> Self {
        let prefixes = PrefixIndex::new(settings.prefix.clone());
        Self {
            settings,
            zone,
            engines: BTreeMap::new(),
            draining: BTreeMap::new(),
            prefixes,
            rng: ChaCha8Rng::seed_from_u64(seed),
            next_index: 0,
        }
    }

    /// Replaces the engines that may be chosen. Keeps the state of incarnations that
    /// remain; a new incarnation starts without any.
    pub fn set_engines(&mut self, candidates: Vec<Candidate>) {
        let mut engines = BTreeMap::new();
        for candidate in candidates {
            let engine = self.engine_for(&candidate);
            engines.insert(candidate.backend, engine);
        }
        let removed = std::mem::replace(&mut self.engines, engines);
        for (backend, engine) in removed {
            self.prefixes.drop_engine(backend);
            if engine.own_in_flight() > 0 {
                self.draining.insert(backend, engine);
            }
        }
    }

    /// Returns the kept state of this incarnation of an engine, or a new one, with its
    /// current description.
    fn engine_for(&mut self, candidate: &Candidate) -> EngineLoad {
        let backend = candidate.backend;
        let same_incarnation = |engine: &EngineLoad| engine.incarnation() == candidate.incarnation;
        let known = self.engines.remove(&backend).filter(same_incarnation);
        if known.is_none() {
            self.prefixes.drop_engine(backend);
        }
        let known = known.or_else(|| self.draining.remove(&backend).filter(same_incarnation));
        let mut engine = known.unwrap_or_else(|| EngineLoad::new(&self.settings.limit));
        engine.set_candidate(candidate.clone());
        engine
    }

    /// Records a load report, received directly or relayed in a digest.
    pub fn observe_load(&mut self, sample: LoadSample) {
        if let Some(engine) = self.engines.get_mut(&sample.backend) {
            engine.observe(sample, &self.settings.limit);
        }
    }

    /// Records cache events, which may be late and have gaps.
    pub fn observe_cache(&mut self, backend: BackendId, page: &CacheEventPage) {
        let current = self
            .engines
            .get(&backend)
            .is_some_and(|engine| engine.incarnation() == page.incarnation);
        if current {
            self.prefixes.apply_events(backend, &page.events);
        }
    }

    /// Chooses an engine. The caller must call [`Picker::started`] when it sends the
    /// request there.
    ///
    /// # Errors
    /// Returns an error if there is no engine, all are excluded, or all are at their limit.
    pub fn pick(&mut self, now: Timestamp, request: PickRequest<'_>) -> Result<Pick, PickError> {
        let mut available =
            policy::available_engines(&self.engines, now, request.exclude, &self.settings)?;
        if self.settings.policy == PickPolicy::RoundRobin {
            self.next_index = self.next_index.wrapping_add(1);
            return Ok(policy::round_robin(&available, self.next_index));
        }
        if self.settings.policy == PickPolicy::LeastReported {
            return Ok(policy::least_reported(&available, &self.engines));
        }
        let elsewhere = policy::restrict_to_zone(&mut available, &self.zone, &self.settings);
        let spilled = policy::uses_remote_zone(&available, &self.zone);
        let use_affinity = self.settings.policy == PickPolicy::Affinity;
        if use_affinity && !request.prefix_hashes.is_empty() {
            let pick = policy::affinity(
                &available,
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
            &available,
            &elsewhere,
            &self.zone,
            spilled,
            &self.settings,
            &mut self.rng,
        ))
    }

    /// Records that a request was sent to `backend`, which will probably cache its
    /// prefixes.
    pub fn started(&mut self, now: Timestamp, backend: BackendId, prefix_hashes: &[u64]) {
        if let Some(engine) = self.engines.get_mut(&backend) {
            let held = self.prefixes.held_by(backend, prefix_hashes);
            engine.started(now, (prefix_hashes.len() - held) as u32);
            self.prefixes.add_expected(backend, prefix_hashes);
        }
    }

    /// Records the end of a request that was sent to `backend` at `started`.
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
        } else if let Some(engine) = self.draining.get_mut(&backend) {
            engine.finished(now, started, finish, settings);
            if engine.own_in_flight() == 0 {
                self.draining.remove(&backend);
            }
        }
    }

    /// Returns this gateway's requests in flight on `backend`.
    #[must_use]
    pub fn own_in_flight(&self, backend: BackendId) -> u32 {
        let engine = self.engines.get(&backend);
        let engine = engine.or_else(|| self.draining.get(&backend));
        engine.map_or(0, EngineLoad::own_in_flight)
    }

    /// Returns the load of `backend` as a choice made now would see it, in requests.
    #[must_use]
    pub fn load(&self, now: Timestamp, backend: BackendId) -> Option<f64> {
        let engine = self.engines.get(&backend)?;
        Some(engine.load(now, self.settings.report_valid_for))
    }

    /// Returns the adaptive limit of `backend`, in online requests of all gateways.
    #[must_use]
    pub fn limit(&self, backend: BackendId) -> Option<u32> {
        self.engines.get(&backend).map(EngineLoad::limit)
    }

    /// Returns the requests that this gateway may have in flight now: its own plus the
    /// remaining capacity below the limits of all engines. Admission uses this as capacity.
    #[must_use]
    pub fn capacity(&self, now: Timestamp) -> u32 {
        let valid_for = self.settings.report_valid_for;
        self.engines
            .values()
            .map(|engine| {
                let headroom = f64::from(engine.limit()) - engine.load(now, valid_for);
                engine.own_in_flight() + headroom.max(0.0) as u32
            })
            .sum()
    }

    /// Returns the number of prefixes in the index.
    #[must_use]
    pub fn indexed_prefixes(&self) -> usize {
        self.prefixes.len()
    }
}
