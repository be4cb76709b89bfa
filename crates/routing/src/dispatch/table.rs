//! All engines, and the choice among them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use molespan_types::{EngineLife, NodeId, Timestamp, ZoneName};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::candidate::{Candidate, answer_tokens};
use super::demand::Demands;
use super::engine::{Engine, EngineFacts, Failure, WorkShare};
use super::lives::{Departures, LatestLives};
use super::load::EngineLoad;
use super::prompt::{Holders, PromptCost, home};
use super::room::{FreedSlots, UnseenStarts};
use super::short::{COMPARED, WorkTimes};
use super::slot_time::SlotTimes;
use crate::reach::ReachTable;

/// Engines that a short request looks at, drawn at random. Other gateways choose
/// by the same figures at the same time; if each looked at all engines, all of
/// them would take the same one until they hear of each other.
const LOOKED_AT: usize = 4;
/// Prompt tokens from which on a request looks at every engine: there are few
/// such requests, and where they run matters most.
const LONG_PROMPT_TOKENS: u64 = 4_000;
/// Share of its slots up to which an engine gets batch work: all of them, since
/// it gives way.
const BATCH_LOAD: f64 = 1.0;
/// Share of its slots up to which an engine gets online work.
const ONLINE_LOAD: f64 = 1.5;
/// How long an answer from any engine says that this gateway reaches engines.
const ANSWERED_LATELY: Duration = Duration::from_secs(3);
/// How long an engine has to be there to count as one that stays. A request that
/// engines ended under goes there: one that flaps is the emptiest of all each time it
/// comes back. Of 1.54 million innocents 10 were refused in place of 15; alone where
/// engines flap beside no guilty request, none in place of 3, and beside two 7 either way
/// (tests/suspect_schedules, 60 schedules of seven kinds).
const STAYS: Duration = Duration::from_secs(10);
/// How long gateways count as telling each other what they have.
const TOLD_LATELY: Duration = Duration::from_millis(1_200);

/// What a request is, as far as engines care.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkClass {
    /// A caller waits.
    Online,
    /// It may wait for idle engines.
    Batch,
}

/// How an online request stands to its target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It is answered in time if an engine begins with it within `left`.
    InTime {
        /// That time.
        left: Duration,
    },
    /// It cannot be in time any more. It takes what those leave that can: a slot
    /// that is free.
    Late,
}

/// A request that wants an engine.
#[derive(Clone, Debug)]
pub struct Pick<'a> {
    /// Service.
    pub service: &'a str,
    /// What it is.
    pub class: WorkClass,
    /// How it stands; of no matter to batch work.
    pub standing: Standing,
    /// What its prompt costs to read.
    pub prompt: PromptCost,
    /// Engines that it has been to.
    pub tried: &'a BTreeSet<String>,
    /// Whether engines ended under it before.
    pub suspect: bool,
}

/// An engine that was chosen.
#[derive(Clone, Debug, PartialEq)]
pub struct Picked {
    /// It.
    pub facts: EngineFacts,
    /// Requests there as far as is known, this one not counted.
    pub load: f64,
    /// Prompt tokens that it has to read for this one.
    pub unread_tokens: u64,
    /// Prompt tokens that it has to read before.
    pub before_tokens: u64,
    /// Whether it takes a slot that an own request has just left.
    pub takes_over: bool,
}

/// Why no engine was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoEngine {
    /// None is known that does not leave.
    None,
    /// The request has been to all of them.
    Tried,
    /// All that are left fail or have no room.
    Busy,
}

/// All engines that are known.
#[derive(Debug)]
pub struct EngineTable {
    pub(super) zone: ZoneName,
    pub(super) engines: BTreeMap<String, Engine>,
    departures: Departures,
    /// Services whose last engine said that it leaves.
    left: BTreeSet<String>,
    latest: LatestLives,
    holders: Holders,
    /// When another gateway last told what it has.
    told: Option<Timestamp>,
    /// When an engine last answered here.
    answered: Option<Timestamp>,
    /// Gateways, this one included.
    gateways: u32,
    /// Gateways that use each engine of a service, where they are few.
    users: BTreeMap<String, u32>,
    batch_starts: UnseenStarts,
    pub(super) online_starts: UnseenStarts,
    freed: FreedSlots,
    pub(super) slot_times: SlotTimes,
    pub(super) work_times: WorkTimes,
    /// Zones that are out of reach.
    pub(super) reach: ReachTable,
    pub(super) demands: Demands,
    pub(super) random: ChaCha8Rng,
}

impl EngineTable {
    /// A table for a node in `zone`.
    #[must_use]
    pub fn new(zone: ZoneName, seed: u64) -> Self {
        Self {
            zone,
            engines: BTreeMap::new(),
            departures: Departures::default(),
            left: BTreeSet::new(),
            latest: LatestLives::default(),
            holders: Holders::default(),
            told: None,
            answered: None,
            gateways: 1,
            users: BTreeMap::new(),
            batch_starts: UnseenStarts::new(seed.wrapping_add(1)),
            online_starts: UnseenStarts::new(seed.wrapping_add(2)),
            freed: FreedSlots::default(),
            slot_times: SlotTimes::default(),
            work_times: WorkTimes::default(),
            reach: ReachTable::default(),
            demands: Demands::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A control node says that an engine is there. Nothing brings a departed one back,
    /// or a life behind which another began, and an address belongs to the latest engine
    /// that has it.
    pub fn learn(&mut self, from: NodeId, facts: EngineFacts, now: Timestamp) {
        if self.departures.bind(&facts.id) || self.latest.has_later(&facts.id) {
            return;
        }
        if !self.engines.contains_key(&facts.id) {
            let life = EngineLife::of(&facts.id);
            self.engines.retain(|id, engine| {
                let ended = EngineLife::of(id).is_before(&life);
                !ended && engine.facts.address != facts.address
            });
            self.latest.note(&facts.id);
        }
        self.left.remove(&facts.service);
        let id = facts.id.clone();
        let engine = self
            .engines
            .entry(id)
            .or_insert_with(|| Engine::new(facts.clone(), now));
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

    /// A control node says nothing any more: an engine that it alone knew is gone, and
    /// it holds up the loss of no other.
    pub fn forget_teller(&mut self, from: NodeId) {
        self.engines.retain(|_, engine| {
            let told = engine.known_by.remove(&from);
            !told || !engine.known_by.is_empty()
        });
    }

    /// A control node says how many gateways use each engine of a service, `None` for
    /// all, and, unless nothing was taken from this one, which engines it knows for it.
    pub fn use_part(
        &mut self,
        from: NodeId,
        service: &str,
        users: Option<u32>,
        part: Option<&BTreeSet<String>>,
    ) {
        match users {
            Some(users) => self.users.insert(service.to_owned(), users),
            None => self.users.remove(service),
        };
        let Some(part) = part else {
            return;
        };
        self.engines.retain(|id, engine| {
            if engine.facts.service == service && !part.contains(id) {
                engine.known_by.remove(&from);
            }
            !engine.known_by.is_empty()
        });
    }

    /// Engines that are known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Whether no engine is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.engines.is_empty()
    }

    /// Gateways, this one included, that use each engine of a service.
    pub(super) fn users_of(&self, service: &str) -> f64 {
        let users = self.users.get(service).copied();
        f64::from(
            users
                .map_or(self.gateways, |users| users.min(self.gateways))
                .max(1),
        )
    }

    /// Slots of a service that are this gateway's if all gateways have as many.
    #[must_use]
    pub fn fair_slots(&self, service: &str) -> f64 {
        f64::from(self.slots(service)) / self.users_of(service)
    }

    /// An engine leaves, in this life and those before. Says whether that is news.
    pub fn depart(&mut self, id: &str) -> bool {
        let departed = EngineLife::of(id);
        let engines = self.engines.iter();
        let leaving = engines.filter(|(id, _)| EngineLife::of(id).is_bound_by(&departed));
        let services: Vec<String> = leaving
            .map(|(_, engine)| engine.facts.service.clone())
            .collect();
        self.engines
            .retain(|id, _| !EngineLife::of(id).is_bound_by(&departed));
        for service in services {
            if self.of_service(&service).next().is_none() {
                self.left.insert(service);
            }
        }
        self.departures.note(id)
    }

    /// Whether the last engine of a service said that it leaves: unlike one that fell
    /// silent or was not heard yet it does not come back. Who knows a part of the engines
    /// is told of others.
    #[must_use]
    pub fn has_left(&self, service: &str) -> bool {
        self.left.contains(service) && !self.users.contains_key(service)
    }

    /// Another engine answered at its address. The control nodes lose sight of
    /// it soon; until then it is not chosen, and the others hear of it.
    pub fn displaced(&mut self, id: &str, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.displaced(now);
        }
    }

    /// Whether new work may still go there.
    #[must_use]
    pub fn is_present(&self, id: &str) -> bool {
        self.engines.contains_key(id)
    }

    /// Where an engine serves, if it is known.
    #[must_use]
    pub fn address(&self, id: &str) -> Option<SocketAddr> {
        self.engines.get(id).map(|engine| engine.facts.address)
    }

    /// Whether an engine said that it leaves.
    #[must_use]
    pub fn has_departed(&self, id: &str) -> bool {
        self.departures.bind(id)
    }

    /// Whether an engine answered something behind a time.
    #[must_use]
    pub fn answered_after(&self, id: &str, at: Timestamp) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| engine.answered_after(at))
    }

    /// A request was sent, with so many tokens to read.
    pub fn started(&mut self, id: &str, class: WorkClass, unread_tokens: u64, now: Timestamp) {
        match class {
            WorkClass::Online => self.online_starts.note(now),
            WorkClass::Batch => self.batch_starts.note(now),
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.started(class, unread_tokens);
        }
    }

    /// The same of a request that takes over a slot of an own one: others see as many
    /// as before.
    pub fn took_over(&mut self, id: &str, class: WorkClass, unread_tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.started(class, unread_tokens);
        }
    }

    /// An own request has left a slot of an engine.
    pub fn freed(&mut self, id: &str, now: Timestamp) {
        self.freed.note(id, now);
    }

    /// A request began to answer, or ended before: its tokens are read.
    pub fn read(&mut self, id: &str, tokens: u64) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.read(tokens);
        }
    }

    /// A request has ended in whatever way.
    pub fn ended(&mut self, id: &str, class: WorkClass) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.ended(class);
        }
    }

    /// An engine read a shared prompt.
    pub fn holds(&mut self, id: &str, key: u64, now: Timestamp) {
        self.holders.note(key, id, now);
    }

    /// An engine told its load.
    pub fn report(&mut self, id: &str, load: EngineLoad, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.report(load, now);
        }
    }

    /// What this gateway has at each engine, and how it fared there, for telling
    /// the others.
    #[must_use]
    pub fn shares(&self, now: Timestamp) -> Vec<WorkShare> {
        // Without an answer from any engine this gateway may be the one that fails.
        let sure = self
            .answered
            .is_some_and(|answered| now.since(answered) < ANSWERED_LATELY);
        let engines = self.engines.values();
        engines
            .filter_map(|engine| {
                // Its links may be what fails, and others have their own.
                engine.share(now, sure && !self.reach.is_avoided(&engine.facts.zone))
            })
            .collect()
    }

    /// Another gateway tells all that it has at engines.
    pub fn note_shares(&mut self, from: NodeId, shares: &[WorkShare], now: Timestamp) {
        self.told = Some(now);
        // Many times a second, of all engines: a search for each would cost the
        // square of their number.
        let shares = shares.iter().map(|share| (share.engine.as_str(), share));
        let shares: BTreeMap<&str, &WorkShare> = shares.collect();
        for (id, engine) in &mut self.engines {
            engine.note_share(from, shares.get(id.as_str()).copied(), now);
        }
    }

    /// Forgets what another node told: it is told by somebody else from now on.
    pub fn forget_shares(&mut self, from: NodeId) {
        for engine in self.engines.values_mut() {
            engine.forget_share(from);
        }
    }

    /// Requests at all engines as a share of their slots.
    #[must_use]
    pub fn occupancy(&self, now: Timestamp) -> f64 {
        let others_tell = self.others_tell(now);
        let engines = self.engines.values();
        let engines = engines.filter(|engine| !self.reach.is_avoided(&engine.facts.zone));
        let (load, slots) = engines.fold((0.0, 0), |(load, slots), engine| {
            (
                load + engine.load(now, others_tell),
                slots + engine.facts.slots,
            )
        });
        load / f64::from(slots.max(1))
    }

    /// An attempt failed.
    pub fn failed(&mut self, id: &str, failure: Failure, now: Timestamp) {
        if failure == Failure::Full {
            return self.turned_away(id, now);
        }
        if let Some(engine) = self.engines.get_mut(id) {
            engine.failed(failure, now);
        }
    }

    /// An attempt was answered.
    pub fn succeeded(&mut self, id: &str, now: Timestamp) {
        self.answered = Some(now);
        if let Some(engine) = self.engines.get_mut(id) {
            engine.succeeded(now);
        }
    }

    /// An engine answered an online request, well or as a failure of its own.
    pub fn answered(&mut self, id: &str, failed: bool, now: Timestamp) {
        if let Some(engine) = self.engines.get_mut(id) {
            engine.answered(failed, now);
        }
    }

    /// Slots of all engines of a service together.
    #[must_use]
    pub fn slots(&self, service: &str) -> u32 {
        let engines = self.of_service(service);
        engines.map(|engine| engine.facts.slots).sum()
    }

    pub(super) fn of_service(&self, service: &str) -> impl Iterator<Item = &Engine> {
        let engines = self.engines.values();
        engines.filter(move |engine| engine.facts.service == service)
    }

    pub(super) fn others_tell(&self, now: Timestamp) -> bool {
        self.told.is_some_and(|told| now.since(told) < TOLD_LATELY)
    }

    /// How many gateways there are, this one included.
    pub fn set_gateways(&mut self, gateways: u32) {
        self.gateways = gateways.max(1);
    }

    /// Batch requests that this gateway may still start at engines of the
    /// service: its part of what all of them together would take.
    #[must_use]
    pub fn batch_headroom(&self, service: &str, now: Timestamp) -> f64 {
        let others_tell = self.others_tell(now);
        let of_service: Vec<&Engine> = self.within_reach(service).collect();
        let slots: u32 = of_service.iter().map(|one| one.facts.slots).sum();
        let loads = of_service.iter().map(|one| one.load(now, others_tell));
        let kept = self.kept_for_online(service, now);
        let free = f64::from(slots) - loads.sum::<f64>() - kept;
        let avoided = self.avoided(service, now);
        let usable = of_service
            .iter()
            .filter(|engine| !engine.is_paused(now) && !engine.is_crowded(now))
            .filter(|engine| !avoided.contains(engine.facts.id.as_str()));
        let room: f64 = usable
            .map(|engine| {
                let slots = engine.slots(now);
                (slots - engine.load(now, others_tell)).max(0.0)
            })
            .sum();
        let share = 1.0 / self.sharers(service);
        self.batch_starts.left(share, room.min(free), now)
    }

    /// Whether a batch request may start now. Less than one is rounded by
    /// chance, so that all gateways together start what there is room for.
    fn may_start_batch(&mut self, service: &str, now: Timestamp) -> bool {
        let draw: f64 = self.random.random();
        self.batch_headroom(service, now) > draw
    }

    /// Online requests up to which an engine gets such a one.
    pub(super) fn places(&self, engine: &Engine, pick: &Pick<'_>, now: Timestamp) -> f64 {
        let slots = engine.slots(now);
        match pick.standing {
            Standing::Late => slots,
            Standing::InTime { left } => {
                let times = &self.slot_times;
                let begun = times.begun_within(pick.service, left, slots, engine.pace(now));
                begun.min(slots * ONLINE_LOAD)
            }
        }
    }

    /// Whether an engine has all that it is to get of such requests.
    fn is_full(&self, engine: &Engine, pick: &Pick<'_>, now: Timestamp) -> bool {
        let others_tell = self.others_tell(now);
        if pick.class == WorkClass::Batch {
            let slots = engine.slots(now);
            return engine.load(now, others_tell) >= slots * BATCH_LOAD;
        }
        if let Some(full) = self.is_full_of_short(engine, pick, now) {
            return full;
        }
        engine.online_load(now, others_tell) + 1.0 > self.places(engine, pick, now)
    }

    /// Engines at which own batch work is to give way, and how many requests.
    pub fn batch_to_cut(&mut self, now: Timestamp) -> Vec<(String, u32)> {
        let others_tell = self.others_tell(now);
        let mut cuts = Vec::new();
        for (id, engine) in &mut self.engines {
            let draw = self.random.random();
            let cut = engine.batch_to_cut(now, others_tell, draw);
            if cut > 0 {
                cuts.push((id.clone(), cut));
            }
        }
        cuts
    }

    /// Chooses the engine that is likely to answer first.
    ///
    /// # Errors
    /// When there is none to choose.
    pub fn pick(&mut self, pick: &Pick<'_>, now: Timestamp) -> Result<Picked, NoEngine> {
        if self.of_service(pick.service).next().is_none() {
            return Err(NoEngine::None);
        }
        if self
            .of_service(pick.service)
            .all(|one| pick.tried.contains(&one.facts.id))
        {
            return Err(NoEngine::Tried);
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

    /// The engine of those with room that is likely to answer first.
    fn choose(&mut self, pick: &Pick<'_>, now: Timestamp) -> Option<Picked> {
        let others_tell = self.others_tell(now);
        let avoided = self.avoided(pick.service, now);
        let home = self.home(pick);
        let engines = self.engines.values();
        let engines = engines.filter(|engine| self.is_open(engine, pick, &avoided, now));
        let mut open: Vec<&Engine> = engines.collect();
        let stays = |engine: &&Engine| now.since(engine.known_since) >= STAYS;
        if pick.suspect && open.iter().any(stays) {
            open.retain(stays);
        }
        let candidates = open
            .into_iter()
            .map(|one| self.candidate(one, pick, home, others_tell, now));
        let mut candidates: Vec<Candidate<'_>> = candidates.collect();
        let looked_at = match pick.prompt.tokens < LONG_PROMPT_TOKENS {
            true if self.work_times.short(pick.service).is_some() => COMPARED.min(candidates.len()),
            true => LOOKED_AT.min(candidates.len()),
            false => candidates.len(),
        };
        let (looked_at, _) = candidates.partial_shuffle(&mut self.random, looked_at);
        let costs = looked_at.iter().map(|one| (one.cost(&self.zone), one));
        let best = costs.min_by(|(one, _), (other, _)| one.total_cmp(other));
        best.map(|(_, candidate)| candidate.picked())
    }

    /// An engine whose slot a request of this gateway has just left. Nobody else
    /// counts it as room yet, so that no other gateway fills it at the same time. A
    /// long prompt goes where it is cheapest to read.
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
        let others_tell = self.others_tell(now);
        let candidate = self.candidate(engine, pick, self.home(pick), others_tell, now);
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
        let failing = engine.is_paused(now) || avoided.contains(facts.id.as_str());
        let failing = failing || self.reach.is_avoided(&facts.zone);
        let tried = pick.tried.contains(&facts.id);
        let crowded = pick.class == WorkClass::Batch && engine.is_crowded(now);
        let shut = failing || tried || crowded;
        facts.service == pick.service && !shut && !self.is_full(engine, pick, now)
    }

    /// The engine that the shared part of a prompt belongs to.
    fn home(&self, pick: &Pick<'_>) -> Option<&str> {
        let shared = pick.prompt.shared?;
        let ids = self.of_service(pick.service);
        home(shared.key, ids.map(|engine| engine.facts.id.as_str()))
    }

    fn candidate<'e>(
        &self,
        engine: &'e Engine,
        pick: &Pick<'_>,
        home: Option<&str>,
        others_tell: bool,
        now: Timestamp,
    ) -> Candidate<'e> {
        let facts = &engine.facts;
        let held = pick.prompt.shared.filter(|shared| {
            home == Some(facts.id.as_str()) || self.holders.holds(shared.key, &facts.id, now)
        });
        let kept_tokens = held.map_or(0, |shared| shared.tokens);
        Candidate {
            facts,
            load: engine.load(now, others_tell),
            unread_tokens: pick.prompt.tokens.saturating_sub(kept_tokens),
            before_tokens: engine.unread_tokens(now),
            own_batch: f64::from(engine.own_batch()),
            others_batch: f64::from(engine.others_batch(now)),
            pace: engine.pace(now),
            answer_tokens: answer_tokens(pick.class),
        }
    }
}
