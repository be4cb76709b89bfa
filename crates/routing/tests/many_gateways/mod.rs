//! Simulation of a service with many gateways, without a network: engines with slots and a
//! queue, gateways that choose by their tables, and relays between them.

#![allow(dead_code, reason = "each test file uses a part of it")]

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use molespan_routing::dispatch::{
    DemandRelay, EngineFacts, EngineLoad, EngineTable, Failure, Pick, Picked, PromptCost,
    ReportSource, Standing, WorkClass, WorkRelay,
};
use molespan_types::{NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SERVICE: &str = "s";
/// Requests that an engine queues before it rejects one.
const MAX_QUEUED: usize = 24;
/// Longest time for which a request holds a slot, as a multiple of the mean.
const LONGEST_WORK: f64 = 7.3;
/// Mean slot time including the few requests that take several times as long, as a multiple
/// of the nominal mean.
pub const MEAN_WORK: f64 = 1.04;
/// Latency target of requests, and the part of it within which an engine must start them.
const TARGET_MS: u64 = 300;
const START_WITHIN_MS: u64 = 240;
/// How long callers wait, and the part of it after which a late request is refused.
const CALLER_TIMEOUT_MS: u64 = 1_500;
const MAX_WAIT_MS: u64 = 1_050;
/// Time without a response after which a request is sent elsewhere.
const RESPONSE_TIMEOUT_MS: u64 = 450;
/// Network latency between a gateway and an engine or a relay.
const LATENCY_MS: u64 = 1;
/// Time between two attempts to find an engine, in time and late.
const RETRY_MS: u64 = 8;
const LATE_RETRY_MS: u64 = 20;
/// Time between two reports of a gateway, and two rounds of a relay.
const REPORT_MS: u64 = 50;
const RELAYS: usize = 3;
/// Load steps: factors of the mean in peaks and lulls, the period, and when the peak begins
/// in it.
const PEAK: f64 = 1.87;
const LULL: f64 = 0.383;
const PERIOD_MS: u64 = 5_800;
const PEAK_FROM_MS: u64 = 3_400;
const CONTROL: NodeId = NodeId(9_999);

/// Fault of an engine.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// The engine works slower by this factor.
    Slow(f64),
    /// The engine accepts requests and never responds.
    Unresponsive,
    /// The engine leaves, and the gateways are informed.
    Gone,
}

/// The engines of the service.
#[derive(Clone, Debug)]
pub struct Engines {
    count: usize,
    /// Requests that each runs concurrently.
    pub slots: usize,
    /// Mean time for which a request holds a slot, in milliseconds.
    pub work_ms: f64,
    /// Whether an answer begins when a slot is assigned, rather than when it ends.
    pub streams: bool,
    /// When the first engine becomes faulty, in milliseconds, and its fault.
    pub fault: Option<(u64, Fault)>,
}

impl Engines {
    pub fn new(count: usize, slots: usize, work_ms: f64) -> Self {
        Self {
            count,
            slots,
            work_ms,
            streams: false,
            fault: None,
        }
    }
}

/// Load on the service.
#[derive(Clone, Debug)]
pub struct Load {
    pub gateways: usize,
    pub engines: Engines,
    /// Mean share of all slots that requests want.
    pub demand: f64,
    /// Whether the load changes in steps.
    pub peaks: bool,
    /// Whether gateways report their demand.
    pub demand_reported: bool,
}

/// Results as seen by callers and engines.
#[derive(Clone, Debug, Default)]
pub struct Results {
    pub asked: u64,
    pub in_time: u64,
    pub late: u64,
    pub refused: u64,
    /// Requests that may have run and got no answer.
    pub lost: u64,
    /// Arrivals at engines, and those rejected.
    pub arrivals: u64,
    pub rejected: u64,
    /// Total time of requests in time, in milliseconds.
    in_time_ms: u64,
    /// Requests and those in time, by gateway.
    pub by_gateway: Vec<(u64, u64)>,
}

impl Results {
    pub fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.asked.max(1) as f64
    }

    pub fn share_rejected(&self) -> f64 {
        self.rejected as f64 / self.arrivals.max(1) as f64
    }

    pub fn share_lost(&self) -> f64 {
        self.lost as f64 / self.asked.max(1) as f64
    }

    /// Returns the share in time for the callers of each zone; gateway `g` is in zone `g %
    /// 3`.
    pub fn by_zone(&self) -> [f64; 3] {
        [0, 1, 2].map(|zone| {
            let of_zone = self.by_gateway.iter().skip(zone).step_by(3);
            let (asked, in_time) = of_zone.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
            in_time as f64 / asked.max(1) as f64
        })
    }

    /// Returns the share in time at the worst tenth of gateways.
    pub fn worst_gateways(&self) -> f64 {
        let asked = self.by_gateway.iter().filter(|(asked, _)| *asked > 0);
        let shares = asked.map(|&(asked, in_time)| in_time as f64 / asked as f64);
        let mut shares: Vec<f64> = shares.collect();
        shares.sort_by(f64::total_cmp);
        let worst = shares.len().div_ceil(10);
        shares[..worst].iter().sum::<f64>() / worst as f64
    }

    pub fn summary(&self) -> String {
        let asked = self.asked.max(1) as f64;
        format!(
            "asked {} in time {:.3} late {:.3} refused {:.3} lost {:.3}; arrivals {} turned away \
             {:.3}; mean {:.0} ms",
            self.asked,
            self.in_time as f64 / asked,
            self.late as f64 / asked,
            self.refused as f64 / asked,
            self.lost as f64 / asked,
            self.arrivals,
            self.share_rejected(),
            self.in_time_ms as f64 / self.in_time.max(1) as f64,
        )
    }
}

type Id = usize;

#[derive(Clone, Debug)]
struct Request {
    gateway: usize,
    arrived: u64,
    next_try: u64,
    tried: BTreeSet<String>,
    /// Engine that the request is at, and since when.
    at: Option<(usize, u64)>,
    attempt: u32,
    runs: u32,
    /// When its answer began.
    began: Option<u64>,
}

#[derive(Clone, Debug, Default)]
struct Engine {
    /// Running requests: when they end, with the attempt.
    running: Vec<(u64, Id, u32)>,
    queue: VecDeque<(Id, u32)>,
}

/// A message in transit.
#[derive(Clone, Debug)]
enum Message {
    ToEngine(usize, Id, u32),
    Begins(Id, u32),
    Answer(usize, Id, u32, bool, EngineLoad),
}

pub struct Simulation {
    load: Load,
    now: u64,
    tables: Vec<EngineTable>,
    relays: Vec<WorkRelay>,
    demand_relays: Vec<DemandRelay>,
    weights: Vec<f64>,
    requests: BTreeMap<Id, Request>,
    next: Id,
    in_time: Vec<Vec<Id>>,
    late: Vec<VecDeque<Id>>,
    engines: Vec<Engine>,
    messages: BTreeMap<u64, Vec<Message>>,
    results: Results,
    random: ChaCha8Rng,
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn name(engine: usize) -> String {
    format!("e{engine}")
}

impl Simulation {
    pub fn new(load: Load, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let table = |gateway: usize| {
            let mut table =
                EngineTable::new(format!("z{}", gateway % 3).as_str().into(), gateway as u64);
            table.set_gateways(load.gateways as u32);
            for engine in 0..load.engines.count {
                let facts = EngineFacts {
                    id: name(engine),
                    service: SERVICE.to_owned(),
                    address: ([127, 0, 0, engine as u8 + 1], 80).into(),
                    zone: format!("z{}", engine % 3).as_str().into(),
                    slots: load.engines.slots as u32,
                    version: None,
                };
                table.add_engine(CONTROL, facts, at(0));
            }
            table
        };
        let tables = (0..load.gateways).map(table).collect();
        // Callers are unevenly distributed, and one zone has more.
        let weights: Vec<f64> = (0..load.gateways)
            .map(|gateway| {
                let zone = if gateway % 3 == 2 { 1.4 } else { 1.0 };
                zone * random.random_range(0.4..1.6)
            })
            .collect();
        Self {
            now: 0,
            tables,
            relays: vec![WorkRelay::default(); RELAYS],
            demand_relays: vec![DemandRelay::default(); RELAYS],
            weights,
            requests: BTreeMap::new(),
            next: 0,
            in_time: vec![Vec::new(); load.gateways],
            late: vec![VecDeque::new(); load.gateways],
            engines: vec![Engine::default(); load.engines.count],
            messages: BTreeMap::new(),
            results: Results {
                by_gateway: vec![(0, 0); load.gateways],
                ..Results::default()
            },
            load,
            random,
        }
    }

    /// Runs for `for_ms` milliseconds, and then until all callers have an answer or gave
    /// up.
    pub fn run(mut self, for_ms: u64) -> Results {
        while self.now < for_ms + CALLER_TIMEOUT_MS {
            self.now += 1;
            if self.now < for_ms {
                self.arrive();
            }
            self.apply_fault();
            self.deliver();
            self.serve();
            self.exchange();
            self.time_out();
            self.try_waiting();
        }
        self.results
    }

    fn arrive(&mut self) {
        let peak = match (self.load.peaks, self.now % PERIOD_MS >= PEAK_FROM_MS) {
            (false, _) => 1.0,
            (true, true) => PEAK,
            (true, false) => LULL,
        };
        let slots = (self.load.engines.count * self.load.engines.slots) as f64;
        let per_ms = self.load.demand * slots / self.load.engines.work_ms * peak;
        let all: f64 = self.weights.iter().sum();
        for gateway in 0..self.load.gateways {
            if self
                .random
                .random_bool((per_ms * self.weights[gateway] / all).min(1.0))
            {
                let request = Request {
                    gateway,
                    arrived: self.now,
                    next_try: self.now,
                    tried: BTreeSet::new(),
                    at: None,
                    attempt: 0,
                    runs: 0,
                    began: None,
                };
                self.results.asked += 1;
                self.results.by_gateway[gateway].0 += 1;
                self.requests.insert(self.next, request);
                self.tables[gateway].record_arrival(SERVICE, at(self.now));
                self.tables[gateway].start_waiting(SERVICE);
                self.in_time[gateway].push(self.next);
                self.next += 1;
            }
        }
    }

    fn apply_fault(&mut self) {
        if let Some((from, Fault::Gone)) = self.load.engines.fault
            && self.now == from
        {
            let now = at(self.now);
            for table in &mut self.tables {
                table.depart(&name(0), now);
            }
        }
    }

    fn slowness(&self, engine: usize) -> f64 {
        match self.load.engines.fault {
            Some((from, Fault::Slow(by))) if engine == 0 && self.now >= from => by,
            _ => 1.0,
        }
    }

    fn is_unresponsive(&self, engine: usize) -> bool {
        let fault = self.load.engines.fault;
        matches!(fault, Some((from, Fault::Unresponsive)) if engine == 0 && self.now >= from)
    }

    fn send(&mut self, message: Message) {
        self.messages
            .entry(self.now + LATENCY_MS)
            .or_default()
            .push(message);
    }

    fn deliver(&mut self) {
        for message in self.messages.remove(&self.now).unwrap_or_default() {
            match message {
                Message::ToEngine(engine, id, attempt) => self.at_engine(engine, id, attempt),
                Message::Begins(id, attempt) => self.begins(id, attempt),
                Message::Answer(engine, id, attempt, ran, load) => {
                    self.answered(engine, id, attempt, ran, load);
                }
            }
        }
    }

    fn at_engine(&mut self, engine: usize, id: Id, attempt: u32) {
        self.results.arrivals += 1;
        if self.is_unresponsive(engine) {
            return;
        }
        if self.engines[engine].queue.len() >= MAX_QUEUED {
            self.results.rejected += 1;
            let load = self.load_report(engine);
            self.send(Message::Answer(engine, id, attempt, false, load));
            return;
        }
        self.engines[engine].queue.push_back((id, attempt));
    }

    fn load_report(&self, engine: usize) -> EngineLoad {
        EngineLoad {
            running: self.engines[engine].running.len() as u32,
            waiting: self.engines[engine].queue.len() as u32,
            slots: self.load.engines.slots as u32,
            pace: None,
        }
    }

    /// Returns the slot time of a request in milliseconds: most take about the mean, a few
    /// several times as much.
    fn work_ms(&mut self) -> f64 {
        let normal: f64 = (0..12).map(|_| self.random.random::<f64>()).sum::<f64>() - 6.0;
        let mean = self.load.engines.work_ms;
        let work = mean * (0.5 * normal - 0.125).exp();
        let work = match self.random.random_bool(0.01) {
            true => work * 5.0,
            false => work,
        };
        work.min(mean * LONGEST_WORK)
    }

    fn serve(&mut self) {
        for engine in 0..self.engines.len() {
            if self.is_unresponsive(engine) {
                continue;
            }
            let now = self.now;
            let running = std::mem::take(&mut self.engines[engine].running);
            let (ended, running) = running.into_iter().partition(|(ends, _, _)| *ends <= now);
            self.engines[engine].running = running;
            let ended: Vec<(u64, Id, u32)> = ended;
            for (_, id, attempt) in ended {
                let load = self.load_report(engine);
                self.send(Message::Answer(engine, id, attempt, true, load));
            }
            while self.engines[engine].running.len() < self.load.engines.slots {
                let Some((id, attempt)) = self.engines[engine].queue.pop_front() else {
                    break;
                };
                // A caller or a gateway that gave up has ended its request.
                let held = self.requests.get(&id);
                if held.is_none_or(|request| request.attempt != attempt) {
                    continue;
                }
                let work = self.work_ms() * self.slowness(engine);
                if self.load.engines.streams {
                    self.send(Message::Begins(id, attempt));
                }
                self.engines[engine]
                    .running
                    .push((now + work.max(1.0) as u64, id, attempt));
            }
        }
    }

    fn end_attempt(&mut self, id: Id) -> Option<(usize, u64)> {
        let request = self.requests.get_mut(&id)?;
        let (engine, since) = request.at.take()?;
        request.attempt += 1;
        self.tables[request.gateway].ended(&name(engine), WorkClass::Online);
        Some((engine, since))
    }

    fn begins(&mut self, id: Id, attempt: u32) {
        let now = self.now;
        if let Some(request) = self.requests.get_mut(&id)
            && request.attempt == attempt
        {
            request.began = Some(now);
            let age = now - request.arrived;
            let gateway = request.gateway;
            self.count(gateway, age);
        }
    }

    /// Records an answered request of this age in milliseconds.
    fn count(&mut self, gateway: usize, age: u64) {
        match age <= TARGET_MS {
            true => {
                self.results.in_time += 1;
                self.results.in_time_ms += age;
                self.results.by_gateway[gateway].1 += 1;
            }
            false => self.results.late += 1,
        }
    }

    fn answered(&mut self, engine: usize, id: Id, attempt: u32, ran: bool, load: EngineLoad) {
        let now = at(self.now);
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if request.attempt != attempt || request.at.is_none() {
            return;
        }
        let gateway = request.gateway;
        let request_began = request.began;
        let since = request.at.map_or(0, |(_, since)| since);
        let table = &mut self.tables[gateway];
        table.report(&name(engine), load, now);
        if !ran {
            table.failed(&name(engine), Failure::Full, now);
            self.end_attempt(id);
            self.requeue(id);
            return;
        }
        table.answered(&name(engine), false, now);
        table.succeeded(&name(engine), now);
        self.end_attempt(id);
        let table = &mut self.tables[gateway];
        table.freed(&name(engine), now);
        let held = request_began.map_or(0, |began| self.now - began);
        table.note_slot_time(SERVICE, Duration::from_millis(held));
        let took = Duration::from_millis(self.now - since);
        table.record_time_at_engine(&name(engine), took, now);
        let request = self.requests.remove(&id).expect("the request exists");
        if request.began.is_none() {
            self.count(gateway, self.now - request.arrived);
        }
    }

    /// Lets a request retry at once, in time or late by its age.
    fn requeue(&mut self, id: Id) {
        let request = self.requests.get_mut(&id).expect("the request exists");
        request.next_try = self.now;
        let gateway = request.gateway;
        if self.now - request.arrived < START_WITHIN_MS {
            self.tables[gateway].start_waiting(SERVICE);
        }
        match self.now - request.arrived < START_WITHIN_MS {
            true => self.in_time[gateway].push(id),
            false => self.late[gateway].push_back(id),
        }
    }

    fn exchange(&mut self) {
        let now = at(self.now);
        for gateway in 0..self.tables.len() {
            if (self.now + gateway as u64 * 7).is_multiple_of(REPORT_MS) {
                let shares = self.tables[gateway].shares(now);
                let from = NodeId(gateway as u32);
                self.relays[gateway % RELAYS].note(from, ReportSource::Gateway, shares, now);
                if self.load.demand_reported {
                    let demands = self.tables[gateway].demands(now);
                    self.demand_relays[gateway % RELAYS].note(
                        from,
                        ReportSource::Gateway,
                        demands,
                        now,
                    );
                }
            }
        }
        for relay in 0..RELAYS {
            if !(self.now + relay as u64 * 17).is_multiple_of(REPORT_MS) {
                continue;
            }
            let from = NodeId(1_000 + relay as u32);
            self.relays[relay].expire(now);
            let sum = self.relays[relay].sum_of_gateways();
            for other in (0..RELAYS).filter(|&other| other != relay) {
                self.relays[other].note(from, ReportSource::Relay, sum.clone(), now);
            }
            self.exchange_demand(relay);
            for (gateway, shares) in self.relays[relay].shares_by_gateway() {
                self.tables[gateway.0 as usize].note_shares(from, &shares, now);
            }
        }
    }

    fn exchange_demand(&mut self, relay: usize) {
        let now = at(self.now);
        let from = NodeId(1_000 + relay as u32);
        self.demand_relays[relay].expire(now);
        let sum = self.demand_relays[relay].of_gateways();
        for other in (0..RELAYS).filter(|&other| other != relay) {
            self.demand_relays[other].note(from, ReportSource::Relay, sum.clone(), now);
        }
        for (gateway, demands) in self.demand_relays[relay].by_gateway() {
            self.tables[gateway.0 as usize].note_demands(from, demands, now);
        }
    }

    /// Ends requests whose caller has given up, and attempts that time out.
    fn time_out(&mut self) {
        let now = self.now;
        let over = self.requests.iter().filter(|(_, request)| {
            let silent = request
                .at
                .is_some_and(|(_, since)| now - since >= RESPONSE_TIMEOUT_MS);
            let over = now - request.arrived >= CALLER_TIMEOUT_MS;
            request.began.is_none() && (over || silent)
        });
        let over: Vec<Id> = over.map(|(&id, _)| id).collect();
        for id in over {
            let left = self.end_attempt(id);
            let request = self.requests.get_mut(&id).expect("the request exists");
            let gateway = request.gateway;
            if let Some((engine, _)) = left {
                request.runs += 1;
                request.tried.insert(name(engine));
                let table = &mut self.tables[gateway];
                table.failed(&name(engine), Failure::Silent, at(now));
            }
            if now - request.arrived < CALLER_TIMEOUT_MS && request.runs < 3 {
                self.requeue(id);
                continue;
            }
            if left.is_none() && now - self.requests[&id].arrived < START_WITHIN_MS {
                self.tables[gateway].stop_waiting(SERVICE);
            }
            self.in_time[gateway].retain(|one| *one != id);
            self.late[gateway].retain(|one| *one != id);
            let request = self.requests.remove(&id).expect("the request exists");
            match request.runs {
                0 => self.results.refused += 1,
                _ => self.results.lost += 1,
            }
        }
    }

    /// Lets waiting requests try to find an engine.
    fn try_waiting(&mut self) {
        for gateway in 0..self.load.gateways {
            for id in std::mem::take(&mut self.in_time[gateway]) {
                let request = &self.requests[&id];
                let age = self.now - request.arrived;
                if age >= START_WITHIN_MS {
                    self.tables[gateway].stop_waiting(SERVICE);
                    self.late[gateway].push_back(id);
                    continue;
                }
                if request.next_try > self.now {
                    self.in_time[gateway].push(id);
                    continue;
                }
                let left = Duration::from_millis(START_WITHIN_MS - age);
                if !self.start(id, Standing::InTime { left }) {
                    let request = self.requests.get_mut(&id).expect("the request exists");
                    request.next_try = self.now + RETRY_MS;
                    self.in_time[gateway].push(id);
                }
            }
            self.try_late(gateway);
        }
    }

    /// Lets the oldest late request of a gateway try.
    fn try_late(&mut self, gateway: usize) {
        let now = self.now;
        let (over, waiting): (VecDeque<Id>, VecDeque<Id>) = std::mem::take(&mut self.late[gateway])
            .into_iter()
            .partition(|id| now - self.requests[id].arrived >= MAX_WAIT_MS);
        self.late[gateway] = waiting;
        for id in over {
            let request = self.requests.remove(&id).expect("the request exists");
            match request.runs {
                0 => self.results.refused += 1,
                _ => self.results.lost += 1,
            }
        }
        let oldest = self.late[gateway].iter().copied();
        let Some(id) = oldest.min_by_key(|id| self.requests[id].arrived) else {
            return;
        };
        if self.requests[&id].next_try > now {
            return;
        }
        if self.start(id, Standing::Late) {
            self.late[gateway].retain(|one| *one != id);
        } else {
            let request = self.requests.get_mut(&id).expect("the request exists");
            request.next_try = now + LATE_RETRY_MS;
        }
    }

    fn start(&mut self, id: Id, standing: Standing) -> bool {
        let now = at(self.now);
        let request = &self.requests[&id];
        let gateway = request.gateway;
        let pick = Pick {
            service: SERVICE,
            class: WorkClass::Online,
            standing,
            prompt: PromptCost::default(),
            tried: &request.tried,
            suspect: false,
            version: None,
        };
        let Ok(picked) = self.tables[gateway].pick(&pick, now) else {
            return false;
        };
        let Picked {
            facts, takes_over, ..
        } = picked;
        let table = &mut self.tables[gateway];
        if standing != Standing::Late {
            table.stop_waiting(SERVICE);
        }
        match takes_over {
            true => table.took_over(&facts.id, WorkClass::Online, 0),
            false => table.started(&facts.id, WorkClass::Online, 0, now),
        }
        let engine: usize = facts.id[1..].parse().expect("a number");
        let request = self.requests.get_mut(&id).expect("the request exists");
        request.at = Some((engine, self.now));
        let attempt = request.attempt;
        self.send(Message::ToEngine(engine, id, attempt));
        true
    }
}
