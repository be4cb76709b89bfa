//! Simulates gateways, relays and engines of three zones in virtual time, with links
//! between zones that can be cut.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_routing::dispatch::{
    EngineFacts, EngineLoad, EngineTable, Failure, Pick, Picked, Probe, PromptCost, ReportSource,
    Standing, SuspectReason, WorkClass, WorkRelay,
};
use molespan_routing::reach::{Change, ReachRelay, ReturnEvidence};
use molespan_types::{NodeId, Timestamp, ZoneName};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub const ZONES: [&str; 3] = ["a", "b", "c"];
pub const SLOTS: u32 = 8;
const CONTROL: NodeId = NodeId(900);
/// Target of requests, and the part of it within which they have to start. All times are
/// in milliseconds.
const TARGET: u64 = 300;
const START_WITHIN: u64 = 240;
/// Time for which a request holds a slot.
const SLOT_TIME: u64 = 700;
/// Time that a connect takes over working links, and its timeout.
const CONNECT_TIME: u64 = 2;
const CONNECT_TIMEOUT: u64 = 300;
/// Silence after which a request that was sent goes to another engine.
const SILENCE_TIMEOUT: u64 = 450;
/// Intervals of the searches of a request for an engine, of reports and of probes.
const SEARCH_INTERVAL: u64 = 8;
const REPORT_INTERVAL: u64 = 50;
const PROBE_TICK: u64 = 20;

/// How links between zones fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Links {
    /// The links work.
    Up,
    /// Data is dropped without notice.
    Drop,
    /// Connects are refused immediately.
    Refuse,
}

/// Parameters of a simulation.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Whether zones out of reach are detected.
    pub by_zone: bool,
    pub gateways: usize,
    /// Number of engines in each zone.
    pub engines: usize,
    /// Requests per second over all gateways.
    pub rate: f64,
    /// Fraction of requests sent over a connection kept from before.
    pub kept: f64,
    pub seed: u64,
}

struct Engine {
    id: String,
    zone: usize,
    alive: bool,
    running: u32,
}

pub struct Gateway {
    pub zone: usize,
    pub table: EngineTable,
    open_probes: Vec<OpenProbe>,
    pub changes: Vec<(u64, Change)>,
}

struct Connect {
    picked: Picked,
    engine: usize,
    began: u64,
    /// Whether the request was sent over a kept connection.
    kept: bool,
}

struct OpenProbe {
    probe: Probe,
    began: u64,
}

struct Request {
    gateway: usize,
    arrived: u64,
    next: u64,
    tried: BTreeSet<String>,
    connects: Vec<Connect>,
    raced: bool,
}

/// A request that started, or never did.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    pub arrived: u64,
    pub gateway: usize,
    /// Zone of the gateway.
    pub zone: usize,
    /// Milliseconds from arrival until an engine received the request.
    pub waited: Option<u64>,
    /// Whether that engine had no free slot then.
    pub queued: bool,
}

impl Outcome {
    /// Whether an engine received the request in time.
    pub fn arrived_in_time(&self) -> bool {
        self.waited.is_some_and(|waited| waited <= TARGET)
    }

    /// Whether an engine started the request in time.
    pub fn is_in_time(&self) -> bool {
        self.arrived_in_time() && !self.queued
    }
}

pub struct Simulation {
    pub now: u64,
    scenario: Scenario,
    /// How the links from each zone to the others fail.
    pub links: [Links; 3],
    pub gateways: Vec<Gateway>,
    engines: Vec<Engine>,
    relays: Vec<(WorkRelay, ReachRelay)>,
    /// Whether relays forward anything.
    pub relays_up: bool,
    open: Vec<Request>,
    running: Vec<(u64, usize, usize)>,
    pub outcomes: Vec<Outcome>,
    pub probes: u64,
    due: f64,
    random: ChaCha8Rng,
}

fn at(millis: u64) -> Timestamp {
    // Keeps the simulation away from the start of the clock.
    Timestamp::from_millis(10_000 + millis)
}

fn number(id: &str) -> usize {
    id[1..].parse().expect("a number")
}

pub fn facts(number: usize, zone: &str) -> EngineFacts {
    EngineFacts {
        id: format!("e{number}"),
        service: "s".to_owned(),
        address: ([127, 0, 1 + (number / 200) as u8, (number % 200) as u8], 80).into(),
        zone: zone.into(),
        slots: SLOTS,
        version: None,
    }
}

impl Simulation {
    pub fn new(scenario: Scenario) -> Self {
        let engines: Vec<Engine> = (0..scenario.engines * ZONES.len())
            .map(|number| Engine {
                id: format!("e{number}"),
                zone: number % ZONES.len(),
                alive: true,
                running: 0,
            })
            .collect();
        let gateway = |number: usize| {
            let zone = number % ZONES.len();
            let seed = scenario.seed * 1_000 + number as u64;
            let mut table = EngineTable::new(ZONES[zone].into(), seed);
            for (number, engine) in engines.iter().enumerate() {
                table.add_engine(CONTROL, facts(number, ZONES[engine.zone]), at(0));
            }
            table.set_gateways(scenario.gateways as u32);
            // Measurements of the engines from earlier requests.
            table.note_slot_time("s", Duration::from_millis(SLOT_TIME));
            for id in engines.iter().map(|engine| &engine.id) {
                table.connected(id, Duration::from_millis(CONNECT_TIME));
            }
            Gateway {
                zone,
                table,
                open_probes: Vec::new(),
                changes: Vec::new(),
            }
        };
        Self {
            now: 0,
            links: [Links::Up; 3],
            gateways: (0..scenario.gateways).map(gateway).collect(),
            relays: vec![Default::default(); ZONES.len()],
            relays_up: true,
            open: Vec::new(),
            running: Vec::new(),
            outcomes: Vec::new(),
            probes: 0,
            due: 0.0,
            random: ChaCha8Rng::seed_from_u64(scenario.seed),
            engines,
            scenario,
        }
    }

    /// Terminates a random part of the engines of all zones at once.
    pub fn crash(&mut self, share: f64) {
        let count = (self.engines.len() as f64 * share).round() as usize;
        for place in rand::seq::index::sample(&mut self.random, self.engines.len(), count) {
            self.engines[place].alive = false;
        }
    }

    /// Advances time.
    pub fn run(&mut self, millis: u64) {
        let ends = self.now + millis;
        while self.now < ends {
            self.now += 1;
            self.end_requests();
            self.arrive();
            let mut open = std::mem::take(&mut self.open);
            open.retain_mut(|request| !self.advance(request));
            self.open = open;
            self.advance_probes();
            if self.now.is_multiple_of(REPORT_INTERVAL) {
                self.exchange_reports();
            }
        }
    }

    /// Outcomes of the requests that arrived in this period.
    pub fn arrived_between(&self, from: u64, to: u64) -> Vec<Outcome> {
        let began = self.outcomes.iter().copied();
        let open = self.open.iter().map(|request| Outcome {
            arrived: request.arrived,
            gateway: request.gateway,
            zone: self.gateways[request.gateway].zone,
            waited: None,
            queued: false,
        });
        let all = began.chain(open);
        all.filter(|one| (from..to).contains(&one.arrived))
            .collect()
    }

    fn end_requests(&mut self) {
        let now = self.now;
        let (ended, running) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|(ends, _, _)| *ends <= now);
        self.running = running;
        let ended: Vec<(u64, usize, usize)> = ended;
        for (_, gateway, engine) in ended {
            let table = &mut self.gateways[gateway].table;
            let id = self.engines[engine].id.clone();
            table.ended(&id, WorkClass::Online);
            table.freed(&id, at(now));
            table.note_slot_time("s", Duration::from_millis(SLOT_TIME));
            self.engines[engine].running -= 1;
        }
    }

    fn arrive(&mut self) {
        self.due += self.scenario.rate / 1_000.0;
        while self.due >= 1.0 {
            self.due -= 1.0;
            let gateway = self.random.random_range(0..self.gateways.len());
            self.open.push(Request {
                gateway,
                arrived: self.now,
                next: self.now,
                tried: BTreeSet::new(),
                connects: Vec::new(),
                raced: false,
            });
        }
    }

    fn link(&self, one: usize, other: usize) -> Links {
        if one == other {
            return Links::Up;
        }
        let cut = [self.links[one], self.links[other]];
        let cut = cut.into_iter().find(|links| *links != Links::Up);
        cut.unwrap_or(Links::Up)
    }

    /// Result of a connect so far; `None` while it is pending.
    fn connected(&self, from: usize, engine: usize, began: u64, timeout: u64) -> Option<bool> {
        let took = self.now - began;
        let to = &self.engines[engine];
        match self.link(from, to.zone) {
            Links::Up if to.alive && took >= CONNECT_TIME => Some(true),
            Links::Up if !to.alive && took >= CONNECT_TIME => Some(false),
            Links::Refuse if took >= CONNECT_TIME => Some(false),
            Links::Drop if took >= timeout => Some(false),
            _ => None,
        }
    }

    /// Advances a request. Returns whether it started.
    fn advance(&mut self, request: &mut Request) -> bool {
        let now = self.now;
        if request.connects.is_empty() {
            if now >= request.next {
                request.next = now + SEARCH_INTERVAL;
                self.pick(request);
            }
            return false;
        }
        if let Some(place) = self.settle(request) {
            let winner = request.connects.remove(place);
            self.drop_connects(request);
            self.begin(request, &winner);
            return true;
        }
        self.race(request);
        false
    }

    fn pick(&mut self, request: &mut Request) {
        let now = self.now;
        let left = (request.arrived + START_WITHIN).saturating_sub(now);
        let standing = match left {
            0 => Standing::Late,
            left => Standing::InTime {
                left: Duration::from_millis(left),
            },
        };
        let pick = Pick {
            service: "s",
            class: WorkClass::Online,
            standing,
            prompt: PromptCost::default(),
            tried: &request.tried,
            suspect: false,
            version: None,
        };
        let kept = self.random.random_bool(self.scenario.kept);
        let table = &mut self.gateways[request.gateway].table;
        if let Ok(picked) = table.pick(&pick, at(now)) {
            Self::occupy(table, request, picked, kept, now);
        }
    }

    fn occupy(
        table: &mut EngineTable,
        request: &mut Request,
        picked: Picked,
        kept: bool,
        now: u64,
    ) {
        let id = &picked.facts.id;
        match picked.takes_over {
            true => table.took_over(id, WorkClass::Online, 0),
            false => table.started(id, WorkClass::Online, 0, at(now)),
        }
        request.connects.push(Connect {
            engine: number(id),
            picked,
            began: now,
            kept,
        });
    }

    /// Records which connects succeeded or failed. Returns the index of one that
    /// succeeded.
    fn settle(&mut self, request: &mut Request) -> Option<usize> {
        let (now, from) = (self.now, self.gateways[request.gateway].zone);
        let mut place = 0;
        while place < request.connects.len() {
            let Connect {
                engine,
                began,
                kept,
                ..
            } = request.connects[place];
            let id = self.engines[engine].id.clone();
            let timeout = if kept {
                SILENCE_TIMEOUT
            } else {
                CONNECT_TIMEOUT
            };
            let result = self.connected(from, engine, began, timeout);
            let gateway = &mut self.gateways[request.gateway];
            let out = gateway.table.is_zone_found_unreachable(&id);
            match result {
                Some(true) => {
                    if self.scenario.by_zone {
                        gateway.table.record_reachable(
                            &id,
                            at(began),
                            ReturnEvidence::Connect,
                            at(now),
                        );
                    }
                    return Some(place);
                }
                None if !out => place += 1,
                _ => {
                    gateway.table.ended(&id, WorkClass::Online);
                    if result.is_some() {
                        request.tried.insert(id.clone());
                        gateway.table.failed(&id, Failure::Unreachable, at(now));
                        if self.scenario.by_zone {
                            gateway.table.record_unreachable(&id, at(began), at(now));
                            gateway.check_suspect(&id, SuspectReason::Failed, now);
                        }
                    }
                    request.connects.remove(place);
                    request.next = now;
                }
            }
        }
        None
    }

    /// Tries another engine in parallel if a connect is slow.
    fn race(&mut self, request: &mut Request) {
        let now = self.now;
        if !self.scenario.by_zone || request.raced || request.connects.is_empty() {
            return;
        }
        let first = &request.connects[0];
        if first.kept {
            return;
        }
        let id = first.picked.facts.id.clone();
        let gateway = &mut self.gateways[request.gateway];
        let target = Duration::from_millis(TARGET);
        let slow = gateway.table.connect_is_slow_after(&id, target);
        if now - first.began < slow.as_millis() as u64 {
            return;
        }
        request.raced = true;
        gateway.check_suspect(&id, SuspectReason::Slow, now);
        let left = (request.arrived + START_WITHIN).saturating_sub(now);
        let mut tried = request.tried.clone();
        tried.insert(id.clone());
        let pick = Pick {
            service: "s",
            class: WorkClass::Online,
            standing: match left {
                0 => Standing::Late,
                left => Standing::InTime {
                    left: Duration::from_millis(left),
                },
            },
            prompt: PromptCost::default(),
            tried: &tried,
            suspect: false,
            version: None,
        };
        let picked = gateway.table.pick_alternative(&pick, &id, at(now));
        if let Some(picked) = picked {
            Self::occupy(&mut gateway.table, request, picked, false, now);
        }
    }

    fn drop_connects(&mut self, request: &mut Request) {
        for connect in request.connects.drain(..) {
            let table = &mut self.gateways[request.gateway].table;
            table.ended(&connect.picked.facts.id, WorkClass::Online);
        }
    }

    fn begin(&mut self, request: &Request, winner: &Connect) {
        let now = self.now;
        let engine = &mut self.engines[winner.engine];
        let is_full = engine.running >= SLOTS;
        engine.running += 1;
        let gateway = &mut self.gateways[request.gateway];
        gateway.table.succeeded(&engine.id, at(now));
        let load = EngineLoad {
            running: engine.running,
            waiting: 0,
            slots: SLOTS,
            pace: None,
        };
        gateway.table.report(&engine.id, load, at(now));
        if self.scenario.by_zone {
            gateway
                .table
                .record_reachable(&engine.id, at(now), ReturnEvidence::Answer, at(now));
        }
        self.running
            .push((now + SLOT_TIME, request.gateway, winner.engine));
        self.outcomes.push(Outcome {
            arrived: request.arrived,
            gateway: request.gateway,
            zone: gateway.zone,
            waited: Some(now - request.arrived),
            queued: is_full,
        });
    }

    /// Advances the probes that check whether engines are reachable.
    fn advance_probes(&mut self) {
        let now = self.now;
        for place in 0..self.gateways.len() {
            let open_probes = std::mem::take(&mut self.gateways[place].open_probes);
            let (zone, mut open) = (self.gateways[place].zone, Vec::new());
            let mut failed = Vec::new();
            for open_probe in open_probes {
                let timeout = open_probe.probe.timeout.as_millis() as u64;
                let engine = number(&open_probe.probe.engine);
                let result = self.connected(zone, engine, open_probe.began, timeout);
                let table = &mut self.gateways[place].table;
                let id = &open_probe.probe.engine;
                match result {
                    None => open.push(open_probe),
                    Some(true) => table.record_reachable(
                        id,
                        at(open_probe.began),
                        ReturnEvidence::Connect,
                        at(now),
                    ),
                    Some(false) => {
                        if !table.is_zone_avoided(id) {
                            table.failed(id, Failure::Unreachable, at(now));
                        }
                        table.record_unreachable(id, at(open_probe.began), at(now));
                        failed.push(open_probe.probe.engine.clone());
                    }
                }
            }
            let gateway = &mut self.gateways[place];
            gateway.open_probes.extend(open);
            for id in failed {
                gateway.check_suspect(&id, SuspectReason::Failed, now);
            }
            if now.is_multiple_of(PROBE_TICK) && !gateway.table.unreachable_zones().is_empty() {
                let due = gateway.table.probes(at(now));
                self.probes += due.len() as u64;
                gateway.start_probes(due, now);
            }
            let changes = gateway.table.take_reach_changes(at(now));
            let changes = changes.into_iter().map(|change| (now, change));
            gateway.changes.extend(changes);
        }
    }

    /// Exchanges reports through one relay per zone.
    fn exchange_reports(&mut self) {
        if !self.relays_up {
            return;
        }
        let now = at(self.now);
        for (place, gateway) in self.gateways.iter().enumerate() {
            let shares = gateway.table.shares(now);
            let (relay, reach) = &mut self.relays[gateway.zone];
            let node = NodeId(place as u32);
            relay.note(node, ReportSource::Gateway, shares, now);
            let findings = gateway.table.reach_report().into_iter().collect();
            reach.note(node, ReportSource::Gateway, findings, now);
        }
        let sums: Vec<_> = self
            .relays
            .iter()
            .map(|(relay, reach)| {
                let sum = relay.sum_of_gateways();
                (sum, relay.gateways(), reach.of_gateways())
            })
            .collect();
        for (zone, name) in ZONES.into_iter().enumerate() {
            for (other, (sum, gateways, out)) in sums.iter().enumerate() {
                if other != zone && self.link(zone, other) == Links::Up {
                    let node = NodeId(800 + other as u32);
                    let (relay, reach) = &mut self.relays[zone];
                    relay.note(node, ReportSource::Relay, sum.clone(), now);
                    relay.record_represented_gateways(node, *gateways, now);
                    reach.note(node, ReportSource::Relay, out.clone(), now);
                }
            }
            let (relay, reach) = &mut self.relays[zone];
            relay.expire(now);
            reach.expire(now);
            let own: ZoneName = name.into();
            let unreachable = reach.out_of_reach(&own).len() * self.scenario.gateways / ZONES.len();
            let present = self.scenario.gateways - unreachable;
            let total_to_reported_ratio = relay.total_to_reported_ratio(present as u32, now);
            for (gateway, mut shares) in relay.shares_by_gateway() {
                shares
                    .iter_mut()
                    .for_each(|share| share.multiply(total_to_reported_ratio));
                let findings = reach.for_gateway(gateway, &own);
                let gateway = &mut self.gateways[gateway.0 as usize];
                let node = NodeId(800 + zone as u32);
                gateway.table.note_shares(node, &shares, now);
                if let Some(findings) = findings.filter(|_| self.scenario.by_zone) {
                    let probes = gateway.table.record_reach_report(&findings, now);
                    gateway.start_probes(probes, self.now);
                }
            }
        }
    }

    /// Changes in reachability at all gateways, by gateway.
    pub fn changes(&self) -> BTreeMap<usize, &[(u64, Change)]> {
        let gateways = self.gateways.iter().enumerate();
        gateways
            .filter(|(_, gateway)| !gateway.changes.is_empty())
            .map(|(place, gateway)| (place, gateway.changes.as_slice()))
            .collect()
    }
}

impl Gateway {
    fn check_suspect(&mut self, id: &str, reason: SuspectReason, now: u64) {
        let probes = self.table.probes_for_suspect(id, reason, at(now));
        self.start_probes(probes, now);
    }

    fn start_probes(&mut self, probes: Vec<Probe>, now: u64) {
        let open_probes = probes
            .into_iter()
            .map(|probe| OpenProbe { probe, began: now });
        self.open_probes.extend(open_probes);
    }
}
