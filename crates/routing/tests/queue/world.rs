//! Simulates the queue of one gateway in virtual time: requests arrive, are dispatched
//! when a slot is free and they are first in the order, hold the slot for a while, and
//! end.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_routing::queue::{EntryId, Limits, Queue, QueueRequest, Rank, retry_after};
use molespan_types::Timestamp;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Step of the virtual clock, in microseconds.
const STEP_US: u64 = 1_000;
/// Target of all requests, the part of it within which they have to start, and the
/// patience and maximum wait of callers.
pub const TARGET_MS: u64 = 300;
const BEGINS_WITHIN_MS: u64 = 240;
const PATIENCE_MS: u64 = 5_000;
const WAITS_MS: u64 = 3_500;
/// Minimum and maximum time from the start of a request to its first output, in
/// milliseconds.
const ANSWERS_WITHIN_MS: (f64, f64) = (10.0, 70.0);
/// Chance that a late request finds a slot before one in time if nothing orders them: it
/// looks every 20 ms, the others every 8.
const LATE_SEARCH_CHANCE: f64 = 0.4;

/// In which order requests are dispatched, and which are refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Each request in time looks for an engine on its own, and so does the oldest late
    /// one. A request that waited for 0.7 of its patience is refused.
    Unordered,
    /// The oldest request goes first; same refusals.
    OldestFirst,
    /// Requests in time go first, the newest of them first; same refusals.
    NewestFirst,
    /// The queue without answer sizes.
    Queue,
    /// The queue with answer sizes.
    QueueBySize,
}

/// A simulated request.
#[derive(Clone, Debug)]
struct Request {
    tenant: Option<usize>,
    rank: u32,
    counted: bool,
    arrived_ms: f64,
    holds_ms: f64,
    size: u64,
}

/// Load of one simulation.
#[derive(Clone, Debug)]
pub struct Load {
    pub slots: usize,
    pub holds_ms: f64,
    /// Requests per second at a time in milliseconds.
    pub rate: fn(u64) -> f64,
    pub for_ms: u64,
    /// Period during which engines start and answer nothing.
    pub stopped_ms: (u64, u64),
    /// Number of tenants, and the fraction of all requests that the first one sends.
    pub tenants: usize,
    pub first_tenant_share: f64,
    /// Fraction of all requests with the lower rank.
    pub lower_rank: f64,
    /// Requests that arrive earlier are not counted.
    pub counted_from_ms: u64,
    pub seed: u64,
}

/// Outcomes of one kind of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    pub arrived: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests refused on arrival, included in `refused`.
    pub at_once: u32,
    /// Sum and maximum of the waits of refused requests, in milliseconds.
    pub refused_waits_ms: f64,
    pub longest_refused_ms: f64,
    /// Refused requests that were told to retry before their patience ends.
    pub told_to_retry: u32,
}

impl Tally {
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }

    pub fn refused_wait_ms(&self) -> f64 {
        self.refused_waits_ms / f64::from(self.refused.max(1))
    }
}

/// One simulation.
pub struct Simulation {
    policy: Policy,
    load: Load,
    random: ChaCha8Rng,
    /// Separate generator, so that arrivals are the same for every policy.
    arrivals: ChaCha8Rng,
    queue: Queue,
    waiting: BTreeMap<EntryId, Request>,
    last: EntryId,
    /// End time and slot time of each running request, in milliseconds.
    running: Vec<(f64, f64)>,
    now_us: u64,
    pub all: Tally,
    pub by_tenant: Vec<Tally>,
    pub by_rank: [Tally; 2],
    pub longest_queue: usize,
}

/// Simulates a load under one policy.
pub fn simulate(policy: Policy, load: &Load) -> Simulation {
    let mut simulation = Simulation {
        policy,
        random: ChaCha8Rng::seed_from_u64(load.seed),
        arrivals: ChaCha8Rng::seed_from_u64(load.seed + 1),
        queue: Queue::new(Limits::default()),
        waiting: BTreeMap::new(),
        last: 0,
        running: Vec::new(),
        now_us: 1_000_000,
        all: Tally::default(),
        by_tenant: vec![Tally::default(); load.tenants],
        by_rank: [Tally::default(); 2],
        longest_queue: 0,
        load: load.clone(),
    };
    let started_us = simulation.now_us;
    let mut next_ms = 0.0;
    loop {
        let ms = (simulation.now_us - started_us) / 1_000;
        let arriving = ms < simulation.load.for_ms;
        if !arriving && simulation.waiting.is_empty() {
            return simulation;
        }
        while arriving && next_ms <= ms as f64 {
            simulation.arrive(ms >= simulation.load.counted_from_ms);
            let rate = (simulation.load.rate)(ms);
            let draw: f64 = simulation.arrivals.random_range(1e-9..1.0);
            next_ms += -draw.ln() / rate * 1_000.0;
        }
        let (stopped_from, stopped_until) = simulation.load.stopped_ms;
        let stopped = (stopped_from..stopped_until).contains(&ms);
        if stopped {
            let step_ms = STEP_US as f64 / 1_000.0;
            simulation
                .running
                .iter_mut()
                .for_each(|(ends, _)| *ends += step_ms);
        }
        simulation.step(stopped);
        simulation.now_us += STEP_US;
    }
}

impl Simulation {
    fn now(&self) -> Timestamp {
        Timestamp(self.now_us)
    }

    fn now_ms(&self) -> f64 {
        self.now_us as f64 / 1_000.0
    }

    fn tally(&mut self, request: &Request, update: impl Fn(&mut Tally)) {
        if !request.counted {
            return;
        }
        update(&mut self.all);
        update(&mut self.by_rank[request.rank as usize]);
        if let Some(tenant) = request.tenant {
            update(&mut self.by_tenant[tenant]);
        }
    }

    fn is_queue(&self) -> bool {
        matches!(self.policy, Policy::Queue | Policy::QueueBySize)
    }

    fn arrive(&mut self, counted: bool) {
        let tenant = (self.load.tenants > 0).then(|| {
            let first = self.arrivals.random_bool(self.load.first_tenant_share);
            match first || self.load.tenants == 1 {
                true => 0,
                false => self.arrivals.random_range(1..self.load.tenants),
            }
        });
        let size = self.arrivals.random_range(40..=160_u64);
        let holds_ms = self.load.holds_ms * size as f64 / 100.0;
        let request = Request {
            tenant,
            rank: u32::from(self.arrivals.random_bool(self.load.lower_rank)),
            counted,
            arrived_ms: self.now_ms(),
            holds_ms,
            size,
        };
        self.tally(&request, |tally| tally.arrived += 1);
        self.last += 1;
        let enqueued = match self.is_queue() {
            true => self.enqueue(&request),
            false => Ok(self.last),
        };
        match enqueued {
            Ok(place) => {
                self.waiting.insert(place, request);
            }
            Err(capacity_in) => {
                self.refuse(&request, capacity_in);
            }
        }
        self.longest_queue = self.longest_queue.max(self.waiting.len());
    }

    fn enqueue(&mut self, request: &Request) -> Result<EntryId, Option<Duration>> {
        let arrived = self.now();
        let tenant = request.tenant.map(|number| number.to_string());
        let queue_request = QueueRequest {
            tenant: tenant.as_deref(),
            weight: 1,
            rank: Rank::new(None, request.rank),
            size: (self.policy == Policy::QueueBySize).then_some(request.size),
            start_by: arrived + Duration::from_millis(BEGINS_WITHIN_MS),
            useful_until: arrived + Duration::from_millis(WAITS_MS),
            returned: false,
        };
        let now = self.now();
        let enqueued = self.queue.enqueue(&queue_request, now);
        enqueued.map_err(|refused| refused.capacity_in)
    }

    fn refuse(&mut self, request: &Request, capacity_in: Option<Duration>) {
        let waited = self.now_ms() - request.arrived_ms;
        let left = Duration::from_secs_f64((PATIENCE_MS as f64 - waited) / 1_000.0);
        let delay = retry_after(capacity_in, left, self.random.random());
        self.tally(request, |tally| {
            tally.refused += 1;
            tally.at_once += u32::from(waited == 0.0);
            tally.refused_waits_ms += waited;
            tally.longest_refused_ms = tally.longest_refused_ms.max(waited);
            tally.told_to_retry += u32::from(delay < left);
        });
    }

    fn step(&mut self, stopped: bool) {
        let now_ms = self.now_ms();
        let queue = &mut self.queue;
        self.running.retain(|&(ends, holds_ms)| {
            let runs = ends > now_ms;
            if !runs {
                let held = Duration::from_secs_f64(holds_ms / 1_000.0);
                queue.ended(Some(held));
            }
            runs
        });
        self.drop_hopeless();
        while !stopped && self.running.len() < self.load.slots {
            let Some(place) = self.next() else {
                return;
            };
            self.begin(place);
        }
    }

    fn drop_hopeless(&mut self) {
        let now = self.now();
        if self.is_queue() {
            for (place, refused) in self.queue.sweep(now) {
                let request = self.waiting.remove(&place).expect("the request waits");
                self.refuse(&request, refused.capacity_in);
            }
            return;
        }
        let now_ms = self.now_ms();
        let expired = |request: &Request| now_ms - request.arrived_ms >= WAITS_MS as f64;
        let waiting = self.waiting.iter();
        let expired: Vec<EntryId> = waiting
            .filter(|(_, request)| expired(request))
            .map(|(&place, _)| place)
            .collect();
        for place in expired {
            let request = self.waiting.remove(&place).expect("the request waits");
            self.refuse(&request, Some(Duration::ZERO));
        }
    }

    /// Returns the request to dispatch next.
    fn next(&mut self) -> Option<EntryId> {
        let now_ms = self.now_ms();
        if self.is_queue() {
            let searching = self.queue.searching(Timestamp(self.now_us));
            return searching.first().map(|&(place, _)| place);
        }
        let in_time = |request: &Request| now_ms - request.arrived_ms < BEGINS_WITHIN_MS as f64;
        let oldest = self.waiting.keys().next().copied();
        let in_time_places = self.waiting.iter().filter(|(_, one)| in_time(one));
        let in_time_places: Vec<EntryId> = in_time_places.map(|(&place, _)| place).collect();
        match self.policy {
            Policy::OldestFirst => oldest,
            Policy::NewestFirst => in_time_places.last().copied().or(oldest),
            _ => {
                let late = oldest.filter(|oldest| in_time_places.first() != Some(oldest));
                let late_chance = if late.is_some() {
                    LATE_SEARCH_CHANCE
                } else {
                    0.0
                };
                let all = in_time_places.len() as f64 + late_chance;
                if all == 0.0 {
                    return None;
                }
                let draw = self.random.random_range(0.0..all);
                in_time_places.get(draw as usize).copied().or(late)
            }
        }
    }

    fn begin(&mut self, place: EntryId) {
        let now = self.now();
        let now_ms = self.now_ms();
        let request = self.waiting.remove(&place).expect("the request waits");
        if self.is_queue() {
            self.queue
                .dispatched(place, now)
                .expect("the request waits");
            self.queue.started();
        }
        let (from, to) = ANSWERS_WITHIN_MS;
        let answers_ms = now_ms + self.random.random_range(from..to);
        let in_time = answers_ms - request.arrived_ms <= TARGET_MS as f64;
        self.tally(&request, |tally| match in_time {
            true => tally.in_time += 1,
            false => tally.late += 1,
        });
        self.running
            .push((now_ms + request.holds_ms, request.holds_ms));
    }
}
