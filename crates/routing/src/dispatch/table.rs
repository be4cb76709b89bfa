//! Table of all engines, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use molespan_types::{EngineIncarnation, NodeId, SoftwareVersion, Timestamp, ZoneName};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::candidate::{Candidate, answer_tokens};
use super::demand::DemandTable;
use super::engine::{Engine, EngineFacts, Failure, WorkShare};
use super::leaving::LeavingEngines;
use super::lives::{Departures, LatestIncarnations};
use super::load::EngineLoad;
use super::prompt::{PromptCost, PromptHolders, preferred_engine};
use super::room::{FreedSlots, UnobservedStarts};
use super::short::{COMPARED_ENGINES, WorkTimes};
use super::slot_time::SlotTimes;
use crate::reach::ReachTable;

/// Engines that a request with a short prompt considers, drawn at random. Other gateways
/// choose by the same figures at the same time; if each considered all engines, all of them
/// would choose the same one until they observe one another's requests.
const CONSIDERED_ENGINES: usize = 4;
/// Prompt tokens from which a request considers every engine: there are few such requests,
/// and their placement matters most.
const LONG_PROMPT_TOKENS: u64 = 4_000;
/// Share of its slots up to which an engine gets batch work: all of them, since batch work
/// can be preempted.
const MAX_BATCH_LOAD: f64 = 1.0;
/// Share of its slots up to which an engine gets online work.
const MAX_ONLINE_LOAD: f64 = 1.5;
/// Time for which an answer from any engine shows that this gateway is not cut off.
const ANSWER_TTL: Duration = Duration::from_secs(3);
/// Time for which an engine must have been known to count as stable. A request under which
/// engines ended goes to a stable one, because an engine that restarts repeatedly is the
/// emptiest of all whenever it is back. With this rule, 10 instead of 15 of 1.54 million
/// innocent requests were refused; where engines restart without any guilty request, 0
/// instead of 3, and beside two guilty ones, 7 either way (tests/suspect_schedules, 60
/// schedules of seven kinds).
const STABLE_AFTER: Duration = Duration::from_secs(10);
/// One of so many engines of a service may have come lately in a service that counts as settled.
const UNSETTLED_PER_ENGINES: usize = 4;
/// Time for which a report of another gateway shows that gateways exchange reports.
const REPORT_TTL: Duration = Duration::from_millis(1_200);

/// Class of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller waits for the answer.
    Online,
    /// The request may wait for idle engines.
    Batch,
}

/// Whether an online request can still meet its latency target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// The request meets its target if an engine starts it within `left`.
    InTime {
        /// Remaining time.
        left: Duration,
    },
    /// The request can no longer meet its target. It only gets a slot that is free, which
    /// requests that can meet theirs leave over.
    Late,
}

/// A request for an engine.
#[derive(Clone, Debug)]
pub struct Pick<'a> {
    /// Service name.
    pub service: &'a str,
    /// Class of the request.
    pub class: WorkClass,
    /// Whether it can meet its target; ignored for batch work.
    pub standing: Standing,
    /// Cost of reading its prompt.
    pub prompt: PromptCost,
    /// Engines that it was already sent to.
    pub tried: &'a BTreeSet<String>,
    /// Whether engines ended while they ran it.
    pub suspect: bool,
    /// The only software version that may run it, if its stream began at that version;
    /// `None` for any.
    pub version: Option<&'a SoftwareVersion>,
}

impl Pick<'_> {
    /// Whether an engine's software may run the request. Unknown versions are never taken
    /// for equal.
    pub(super) fn allows_version(&self, engine: &EngineFacts) -> bool {
        self.version.is_none() || self.version == engine.version.as_ref()
    }
}

/// An engine that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// The engine.
    pub facts: EngineFacts,
    /// Estimated number of requests there, without this one.
    pub load: f64,
    /// Prompt tokens that it has to read for this request.
    pub unread_tokens: u64,
    /// Prompt tokens that it has to read before that.
    pub queued_tokens: u64,
    /// Whether the request takes a slot that another request of this gateway has just
    /// freed.
    pub takes_over: bool,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// No engine of the service is known, or all of them are leaving.
    None,
    /// No engine of the only version that may run the request is known and reachable.
    Version,
    /// The request was already sent to all of them.
    Tried,
    /// All remaining engines fail or have no capacity.
    Busy,
}

/// All known engines.
#[derive(Debug)]
pub struct EngineTable {
    pub(super) zone: ZoneName,
    pub(super) engines: BTreeMap<String, Engine>,
    departures: Departures,
    leaving: LeavingEngines,
    /// Services whose last engine announced its departure.
    departed_services: BTreeSet<String>,
    latest: LatestIncarnations,
    holders: PromptHolders,
    /// When another gateway last reported its work.
    last_report: Option<Timestamp>,
    /// When an engine last answered this gateway.
    last_answer: Option<Timestamp>,
    /// Number of gateways, this one included.
    gateways: u32,
    /// Number of gateways that use each engine of a service, where it is limited.
    users: BTreeMap<String, u32>,
    batch_starts: UnobservedStarts,
    pub(super) online_starts: UnobservedStarts,
    freed: FreedSlots,
    pub(super) slot_times: SlotTimes,
    pub(super) work_times: WorkTimes,
    /// Reachability of zones.
    pub(super) reach: ReachTable,
    pub(super) demands: DemandTable,
    pub(super) random: ChaCha8Rng,
}

impl EngineTable {
    /// Returns an empty table for a node in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            engines: BTreeMap::new(),
            departures: Departures::default(),
            leaving: LeavingEngines::default(),
            departed_services: BTreeSet::new(),
            latest: LatestIncarnations::default(),
            holders: PromptHolders::default(),
            last_report: None,
            last_answer: None,
            gateways: 1,
            users: BTreeMap::new(),
            batch_starts: UnobservedStarts::new(seed.wrapping_add(1)),
            online_starts: UnobservedStarts::new(seed.wrapping_add(2)),
            freed: FreedSlots::default(),
            slot_times: SlotTimes::default(),
            work_times: WorkTimes::default(),
            reach: ReachTable::default(),
            demands: DemandTable::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Records that a control node lists an engine. An engine that departed, or that a
    /// later incarnation replaced, is not added again. An address belongs to the latest
    /// engine that has it.
    pub fn add_engine(&mut self, from: NodeId, facts: EngineFacts, now: Timestamp) {
        if self.departures.applies_to(&facts.id) || self.latest.has_later(&facts.id) {
            return;
        }
        if !self.engines.contains_key(&facts.id) {
            let incarnation = EngineIncarnation::of(&facts.id);
            self.engines.retain(|id, engine| {
                let ended = EngineIncarnation::of(id).is_superseded_by(&incarnation);
                !ended && engine.facts.address != facts.address
            });
            self.latest.note(&facts.id);
            self.leaving.replace(&facts.id);
        }
        self.departed_services.remove(&facts.service);
        let id = facts.id.clone();
        let engine = self
            .engines
            .entry(id)
            .or_insert_with(|| Engine::new(facts.clone(), now));
        engine.list(from, facts, now);
    }

    /// Records that a control node no longer lists an engine. The engine is removed once no
    /// control node lists it.
    pub fn remove_report(&mut self, from: NodeId, id: &str) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.unlist(from);
            if engine.known_by.is_empty() {
                self.engines.remove(id);
            }
        }
    }

    /// Removes a control node that no longer reports: engines that it alone listed are
    /// removed, and it no longer delays the removal of others.
    pub fn remove_control_node(&mut self, from: NodeId) {
        self.engines.retain(|_, engine| {
            let listed = engine.unlist(from);
            !listed || !engine.known_by.is_empty()
        });
    }

    /// Records how many gateways use each engine of a service, `None` for all, as a control
    /// node reports it. `subset` lists the engines that the control node assigns to this
    /// gateway; it is `None` if none was withdrawn.
    pub fn set_subset(
        &mut self,
        from: NodeId,
        service: &str,
        users: Option<u32>,
        subset: Option<&BTreeSet<String>>,
    ) {
        match users {
            Some(users) => self.users.insert(service.to_owned(), users),
            None => self.users.remove(service),
        };
        let Some(subset) = subset else {
            return;
        };
        self.engines.retain(|id, engine| {
            if engine.facts.service == service && !subset.contains(id) {
                engine.unlist(from);
            }
            !engine.known_by.is_empty()
        });
    }

    /// Returns the number of known engines.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Returns the number of gateways that use each engine of a service, this one included.
    pub(super) fn users_of(&self, service: &str) -> f64 {
        let users = self.users.get(service).copied();
        f64::from(
            users
                .map_or(self.gateways, |users| users.min(self.gateways))
                .max(1),
        )
    }

    /// Returns this gateway's slots of a service if all gateways have the same number.
    #[must_use]
    pub fn fair_slots(&self, service: &str) -> f64 {
        f64::from(self.slots(service)) / self.users_of(service)
    }

    /// Records that an engine leaves, in this incarnation and earlier ones. Returns whether
    /// that is new.
    pub fn depart(&mut self, id: &str, now: Timestamp) -> bool {
        let departed = EngineIncarnation::of(id);
        let mut services = BTreeSet::new();
        self.engines.retain(|id, engine| {
            let leaves = EngineIncarnation::of(id).departure_applies(&departed);
            if leaves {
                services.insert(engine.facts.service.clone());
                self.leaving.note(engine.facts.clone(), now);
            }
            !leaves
        });
        for service in services {
            if self.of_service(&service).next().is_none() {
                self.departed_services.insert(service);
            }
        }
        self.departures.note(id)
    }

    /// Whether the last engine of a service announced its departure: unlike an engine that
    /// stopped reporting or was not discovered yet, it will not come back. Always `false`
    /// for a gateway with a subset of the engines, which is assigned others.
    #[must_use]
    pub fn has_left(&self, service: &str) -> bool {
        self.departed_services.contains(service) && !self.users.contains_key(service)
    }

    /// Records that another engine answered at its address. The control nodes stop listing
    /// it soon; until then it is not chosen, and other gateways are informed.
    pub fn displaced(&mut self, id: &str, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.displaced(now);
        }
    }

    /// Returns since when a service's engines are known but for the latest quarter, so that one
    /// that ends again and again does not count among several; `None` if there is no engine.
    #[must_use]
    pub fn settled_since(&self, service: &str) -> Option<Timestamp> {
        let engines = self.of_service(service);
        let mut known_since: Vec<Timestamp> = engines.map(|engine| engine.known_since).collect();
        known_since.sort_unstable();
        let latest = known_since.len() / UNSETTLED_PER_ENGINES;
        known_since.into_iter().rev().nth(latest)
    }

    /// Whether an engine of a service is known that runs a software version.
    #[must_use]
    pub fn lists_version(&self, service: &str, version: &SoftwareVersion) -> bool {
        let mut engines = self.of_service(service);
        engines.any(|engine| engine.facts.version.as_ref() == Some(version))
    }

    /// Whether every engine of a service runs a software version.
    #[must_use]
    pub fn is_only_version(&self, service: &str, version: &SoftwareVersion) -> bool {
        let mut engines = self.of_service(service);
        engines.all(|engine| engine.facts.version.as_ref() == Some(version))
    }

    /// Whether new work may still go to the engine.
    #[must_use]
    pub fn is_present(&self, id: &str) -> bool {
        self.engines.contains_key(id)
    }

    /// Whether a request may still be sent to the engine that was picked for it: it is
    /// present, or a stream may go on there although it leaves.
    #[must_use]
    pub fn may_send(&self, id: &str, now: Timestamp) -> bool {
        self.is_present(id) || self.leaving.serves_on(id, now)
    }

    /// Returns how long ago a control node last listed an engine, with its version.
    #[must_use]
    pub fn listing_age(&self, id: &str, now: Timestamp) -> Option<Duration> {
        let engine = self.engines.get(id);
        engine.map(|engine| now.since(engine.listed_at))
    }

    /// Returns the address of an engine, if it is known.
    #[must_use]
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.engines.get(id).map(|engine| engine.facts.address)
    }

    /// Whether an engine announced its departure.
    #[must_use]
    pub fn has_departed(&self, id: &str) -> bool {
        self.departures.applies_to(id)
    }

    /// Whether an engine answered after a time.
    #[must_use]
    pub fn answered_after(&self, id: &str, at: Timestamp) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| engine.answered_after(at))
    }

    /// Records that a request was sent, with the tokens it has to read.
    pub fn started(&mut self, id: &str, class: WorkClass, unread_tokens: u64, now: Timestamp) {
        match class {
            WorkClass::Online => self.online_starts.note(now),
            WorkClass::Batch => self.batch_starts.note(now),
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.started(class, unread_tokens);
        }
    }

    /// Like [`Self::started`], for a request that takes a slot that another request of this
    /// gateway freed: other gateways observe as many requests as before.
    pub fn took_over(&mut self, id: &str, class: WorkClass, unread_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.started(class, unread_tokens);
        }
    }

    /// Records that a request of this gateway freed a slot of an engine.
    pub fn freed(&mut self, id: &str, now: Timestamp) {
        self.freed.note(id, now);
    }

    /// Records that a request's tokens are read, because its answer began or it ended.
    pub fn read(&mut self, id: &str, tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.read(tokens);
        }
    }

    /// Records that a request ended, for whatever reason.
    pub fn ended(&mut self, id: &str, class: WorkClass) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.ended(class);
        }
    }

    /// Records that an engine read a shared prompt.
    pub fn holds(&mut self, id: &str, key: u64, now: Timestamp) {
        self.holders.note(key, id, now);
    }

    /// Records a load report of an engine.
    pub fn report(&mut self, id: &str, load: EngineLoad, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.report(load, now);
        }
    }

    /// Returns this gateway's work at each engine, and its experience there, to report to
    /// others.
    #[must_use]
    pub fn shares(&self, now: Timestamp) -> Vec<WorkShare> {
        // Without a recent answer from any engine, this gateway may itself be cut off.
        let sure = self
            .last_answer
            .is_some_and(|answered| now.since(answered) < ANSWER_TTL);
        let engines = self.engines.values();
        engines
            .filter_map(|engine| {
                // The failure may be that of this gateway's links; others have their own.
                engine.share(now, sure && !self.reach.is_avoided(&engine.facts.zone))
            })
            .collect()
    }

    /// Records another gateway's complete report of its work at engines.
    pub fn note_shares(&mut self, from: NodeId, shares: &[WorkShare], now: Timestamp) {
        self.last_report = Some(now);
        // Runs many times a second over all engines; a linear search for each would take
        // quadratic time.
        let shares = shares.iter().map(|share| (share.engine.as_str(), share));
        let shares: BTreeMap<&str, &WorkShare> = shares.collect();
        for (id, engine) in &mut self.engines {
            engine.note_share(from, shares.get(id.as_str()).copied(), now);
        }
    }

    /// Discards another node's reports, since they come from a different node from now on.
    pub fn forget_shares(&mut self, from: NodeId) {
        for engine in self.engines.values_mut() {
            engine.forget_share(from);
        }
    }

    /// Returns the requests at all reachable engines as a share of their slots.
    #[must_use]
    pub fn occupancy(&self, now: Timestamp) -> f64 {
        let others_report = self.others_report(now);
        let engines = self.engines.values();
        let engines = engines.filter(|engine| !self.reach.is_avoided(&engine.facts.zone));
        let (load, slots) = engines.fold((0.0, 0), |(load, slots), engine| {
            (
                load + engine.load(now, others_report),
                slots + engine.facts.slots,
            )
        });
        load / f64::from(slots.max(1))
    }

    /// Records that an attempt failed.
    pub fn failed(&mut self, id: &str, failure: Failure, now: Timestamp) {
        if failure == Failure::Full {
            return self.record_rejection(id, now);
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.failed(failure, now);
        }
    }

    /// Records that an attempt was answered.
    pub fn succeeded(&mut self, id: &str, now: Timestamp) {
        self.last_answer = Some(now);
        if let Some(engine) = self.engines.get_mut(id) {
            engine.succeeded(now);
        }
    }

    /// Records that an engine answered an online request, or `failed` it.
    pub fn answered(&mut self, id: &str, failed: bool, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.answered(failed, now);
        }
    }

    /// Returns the total number of slots of all engines of a service.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let engines = self.of_service(service);
        engines.map(|engine| engine.facts.slots).sum()
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.facts.service == service)
    }

    pub(super) fn others_report(&self, now: Timestamp) -> bool {
        self.last_report
            .is_some_and(|reported| now.since(reported) < REPORT_TTL)
    }

    /// Sets the number of gateways, this one included.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Returns how many more batch requests this gateway may start at engines of the
    /// service: its share of what they take from all gateways.
    #[must_use]
    pub fn batch_headroom(&self, service: &str, now: Timestamp) -> f64 {
        let others_report = self.others_report(now);
        let of_service: Vec<&Engine> = self.reachable_engines(service).collect();
        let slots: u32 = of_service.iter().map(|one| one.facts.slots).sum();
        let loads = of_service.iter().map(|one| one.load(now, others_report));
        let reserved = self.reserved_for_online(service, now);
        let free = f64::from(slots) - loads.sum::<f64>() - reserved;
        let avoided = self.avoided(service, now);
        let usable = of_service
            .iter()
            .filter(|engine| !engine.is_backed_off(now) && !engine.is_batch_held_off(now))
            .filter(|engine| !avoided.contains(engine.facts.id.as_str()));
        let room: f64 = usable
            .map(|engine| {
                let slots = engine.slots(now);
                (slots - engine.load(now, others_report)).max(0.0)
            })
            .sum();
        let share = 1.0 / self.sharing_gateways(service);
        self.batch_starts.left(share, room.min(free), now)
    }

    /// Whether a batch request may start now. A fraction is rounded at random, so that all
    /// gateways together start as many as there is capacity for.
    fn may_start_batch(&mut self, service: &str, now: Timestamp) -> bool {
        let draw: f64 = self.random.random();
        self.batch_headroom(service, now) > draw
    }

    /// Returns the number of online requests up to which an engine gets such a request.
    pub(super) fn online_capacity(&self, engine: &Engine, pick: &Pick<'_>, now: Timestamp) -> f64 {
        let slots = engine.slots(now);
        match pick.standing {
            Standing::Late => slots,
            Standing::InTime { left } => {
                let times = &self.slot_times;
                let startable = times.starts_within(pick.service, left, slots, engine.pace(now));
                startable.min(slots * MAX_ONLINE_LOAD)
            }
        }
    }

    /// Whether an engine has reached its limit for such requests.
    fn is_full(&self, engine: &Engine, pick: &Pick<'_>, now: Timestamp) -> bool {
        let others_report = self.others_report(now);
        if pick.class == WorkClass::Batch {
            let slots = engine.slots(now);
            return engine.load(now, others_report) >= slots * MAX_BATCH_LOAD;
        }
        if let Some(full) = self.is_full_for_short_requests(engine, pick, now) {
            return full;
        }
        engine.online_load(now, others_report) + 1.0 > self.online_capacity(engine, pick, now)
    }

    /// Returns the engines at which this gateway's batch work is to be preempted, with the
    /// number of requests.
    pub fn batch_to_preempt(&mut self, now: Timestamp) -> Vec<(String, u32)> {
        let others_report = self.others_report(now);
        let mut cuts = Vec::new();
        for (id, engine) in &mut self.engines {
            let draw = self.random.random();
            let cut = engine.batch_to_preempt(now, others_report, draw);
            if cut > 0 {
                cuts.push((id.clone(), cut));
            }
        }
        cuts
    }

    /// Chooses the engine that is likely to answer first.
    ///
    /// # Errors
    /// Returns why there is none to choose.
    pub fn pick(&mut self, pick: &Pick<'_>, now: Timestamp) -> Result<Picked, NoEngine> {
        if let Some(none) = self.no_engine(pick, now) {
            return self.leaving.pick(pick, now).ok_or(none);
        }
        let may_start = match pick.class {
            WorkClass::Batch => self.may_start_batch(pick.service, now),
            WorkClass::Online => self.may_start_online(pick, now),
        };
        let chosen = match may_start {
            true => self.choose(pick, now),
            false => None,
        };
        let picked = chosen.or_else(|| self.take_over(pick, now));
        picked.ok_or(NoEngine::Busy)
    }

    /// Returns why no present engine will ever get a request, if that is so.
    fn no_engine(&self, pick: &Pick<'_>, now: Timestamp) -> Option<NoEngine> {
        if !self.has_version(pick, now) {
            return Some(NoEngine::Version);
        }
        let mut suitable = self
            .of_service(pick.service)
            .filter(|engine| pick.allows_version(&engine.facts))
            .peekable();
        if suitable.peek().is_none() {
            return Some(NoEngine::None);
        }
        let tried = suitable.all(|engine| pick.tried.contains(&engine.facts.id));
        tried.then_some(NoEngine::Tried)
    }

    /// Whether an engine of the only version that may run a request can be reached.
    fn has_version(&self, pick: &Pick<'_>, now: Timestamp) -> bool {
        if pick.version.is_none() {
            return true;
        }
        let mut engines = self.reachable_engines(pick.service);
        engines.any(|engine| pick.allows_version(&engine.facts) && !engine.is_unreachable(now))
    }

    /// Returns the engine that is likely to answer first among those with capacity.
    fn choose(&mut self, pick: &Pick<'_>, now: Timestamp) -> Option<Picked> {
        let others_report = self.others_report(now);
        let avoided = self.avoided(pick.service, now);
        let preferred_engine = self.preferred_engine(pick);
        let engines = self.engines.values();
        let engines = engines.filter(|engine| self.is_open(engine, pick, &avoided, now));
        let mut open: Vec<&Engine> = engines.collect();
        let is_stable = |engine: &&Engine| now.since(engine.known_since) >= STABLE_AFTER;
        if pick.suspect && open.iter().any(is_stable) {
            open.retain(is_stable);
        }
        let candidates = open
            .into_iter()
            .map(|one| self.candidate(one, pick, preferred_engine, others_report, now));
        let mut candidates: Vec<Candidate<'_>> = candidates.collect();
        let considered = match pick.prompt.tokens < LONG_PROMPT_TOKENS {
            true if self.work_times.short_mean(pick.service).is_some() => {
                COMPARED_ENGINES.min(candidates.len())
            }
            true => CONSIDERED_ENGINES.min(candidates.len()),
            false => candidates.len(),
        };
        let (considered, _) = candidates.partial_shuffle(&mut self.random, considered);
        let costs = considered.iter().map(|one| (one.cost(&self.zone), one));
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, candidate)| candidate.picked())
    }

    /// Returns an engine whose slot a request of this gateway has just freed. No other
    /// gateway counts that slot as free yet, so none fills it at the same time. A long
    /// prompt goes where it is cheapest to read instead.
    fn take_over(&mut self, pick: &Pick<'_>, now: Timestamp) -> Option<Picked> {
        if pick.prompt.tokens >= LONG_PROMPT_TOKENS || self.freed.is_empty(now) {
            return None;
        }
        let avoided = self.avoided(pick.service, now);
        let open = |id: &str| {
            let engine = self.engines.get(id);
            engine.is_some_and(|engine| self.is_open(engine, pick, &avoided, now))
        };
        let id = self.freed.find(now, open)?;
        let engine = self.engines.get(&id)?;
        let others_report = self.others_report(now);
        let candidate = self.candidate(
            engine,
            pick,
            self.preferred_engine(pick),
            others_report,
            now,
        );
        let picked = Picked {
            takes_over: true,
            ..candidate.picked()
        };
        self.freed.forget(&id);
        Some(picked)
    }

    /// Whether a request may go to an engine.
    fn is_open(
        &self,
        engine: &Engine,
        pick: &Pick<'_>,
        avoided: &BTreeSet<&str>,
        now: Timestamp,
    ) -> bool {
        let facts = &engine.facts;
        let failing = engine.is_backed_off(now) || avoided.contains(facts.id.as_str());
        let failing = failing || self.reach.is_avoided(&facts.zone);
        let tried = pick.tried.contains(&facts.id);
        let batch_held_off = pick.class == WorkClass::Batch && engine.is_batch_held_off(now);
        let excluded = failing || tried || batch_held_off;
        let suitable = facts.service == pick.service && pick.allows_version(facts);
        suitable && !excluded && !self.is_full(engine, pick, now)
    }

    /// Returns the engine that the shared part of a prompt is assigned to.
    fn preferred_engine(&self, pick: &Pick<'_>) -> Option<&str> {
        let shared = pick.prompt.shared?;
        let ids = self.of_service(pick.service);
        preferred_engine(shared.key, ids.map(|engine| engine.facts.id.as_str()))
    }

    fn candidate<'e>(
        &self,
        engine: &'e Engine,
        pick: &Pick<'_>,
        preferred_engine: Option<&str>,
        others_report: bool,
        now: Timestamp,
    ) -> Candidate<'e> {
        let facts = &engine.facts;
        let held = pick.prompt.shared.filter(|shared| {
            preferred_engine == Some(facts.id.as_str())
                || self.holders.holds(shared.key, &facts.id, now)
        });
        let held_tokens = held.map_or(0, |shared| shared.tokens);
        Candidate {
            facts,
            load: engine.load(now, others_report),
            unread_tokens: pick.prompt.tokens.saturating_sub(held_tokens),
            queued_tokens: engine.unread_tokens(now),
            own_batch: f64::from(engine.own_batch()),
            others_batch: f64::from(engine.others_batch(now)),
            pace: engine.pace(now),
            answer_tokens: answer_tokens(pick.class),
        }
    }
}
