//! How evenly a zone's gateways load its engines, by the size of a subset:
//! real subsets and engine choice under virtual time, with load reports that
//! are a second apart.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use molespan_membership::{
    GatewayRecord, GatewaySet, GatewaySetSettings, SubsetBackend, SubsetSettings, subset,
};
use molespan_routing::pick::{
    Candidate, Finish, LimitSettings, LoadSample, PickRequest, PickSettings, Picker,
};
use molespan_types::{BackendId, NodeId, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::REPEATS;
use crate::scale::fleet::{incarnation, zone_of};
use crate::scale::{Recorder, ScaleError};

/// Gateways and engines of one service in one of 17 zones.
const GATEWAYS: u32 = 106;
const ENGINES: u32 = 147;
/// Online requests a second of that zone and service.
const REQUESTS_PER_SECOND: f64 = 691.0;
/// Mean time that a request runs: 319 tokens, 32 ms apart.
const MEAN_SECONDS: f64 = 10.2;
/// Time until the load has settled, and time that is looked at.
const SETTLED_SECONDS: u64 = 40;
const MEASURED_SECONDS: u64 = 20;
/// Highest limit of an engine, so that none turns anybody away.
const NO_LIMIT: u32 = 10_000;

/// Load of the busiest engines against the mean, by the size of a subset.
pub(super) fn balance(recorder: &mut Recorder) -> Result<(), ScaleError> {
    for size in [8_u32, 16, 24, 48, 64] {
        for seed in 0..REPEATS {
            let mut zone = Zone::new(size as usize, u64::from(seed));
            let spread = zone.run();
            let measures = [
                ("p99_over_mean", spread.p99_over_mean),
                ("most_over_mean", spread.most_over_mean),
                ("engines_per_gateway", zone.engines_per_gateway()),
            ];
            recorder.note("subset_size", f64::from(size), &measures);
        }
    }
    Ok(())
}

/// How unevenly engines are loaded.
struct Spread {
    p99_over_mean: f64,
    most_over_mean: f64,
}

/// A request that runs.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Running {
    ends: Timestamp,
    gateway: usize,
    engine: BackendId,
    started: Timestamp,
}

/// One zone's gateways and engines.
struct Zone {
    now: Timestamp,
    random: ChaCha8Rng,
    pickers: Vec<Picker>,
    /// Gateways that route to an engine.
    listeners: BTreeMap<BackendId, Vec<usize>>,
    loads: BTreeMap<BackendId, u32>,
    running: BinaryHeap<Reverse<Running>>,
}

/// Numbers that are this far apart stand in the same zone.
const SAME_ZONE: u32 = crate::scale::fleet::ZONES;

impl Zone {
    fn new(size: usize, seed: u64) -> Self {
        let nodes: Vec<NodeId> = (0..GATEWAYS)
            .map(|number| NodeId(number * SAME_ZONE))
            .collect();
        let engines = (0..ENGINES).map(|number| BackendId(number * SAME_ZONE));
        let engines: Vec<BackendId> = engines.collect();
        let gateways = gateway_set(&nodes);
        let listed = engines.iter().map(|id| SubsetBackend {
            id: *id,
            zone: zone_of(0),
        });
        let listed: Vec<SubsetBackend> = listed.collect();
        let settings = SubsetSettings {
            size,
            spill: 0,
            ..SubsetSettings::default()
        };
        let mut zone = Self {
            now: Timestamp::from_millis(1),
            random: ChaCha8Rng::seed_from_u64(seed),
            pickers: Vec::new(),
            listeners: BTreeMap::new(),
            loads: engines.iter().map(|engine| (*engine, 0)).collect(),
            running: BinaryHeap::new(),
        };
        for (gateway, node) in nodes.iter().enumerate() {
            let chosen = subset(*node, &zone_of(0), &gateways, &listed, &settings);
            for engine in &chosen {
                zone.listeners.entry(*engine).or_default().push(gateway);
            }
            let seed = seed * u64::from(GATEWAYS) + gateway as u64;
            zone.pickers.push(picker(&chosen, seed));
        }
        zone
    }

    fn engines_per_gateway(&self) -> f64 {
        let pairs: usize = self.listeners.values().map(Vec::len).sum();
        pairs as f64 / f64::from(GATEWAYS)
    }

    fn run(&mut self) -> Spread {
        let mut ratios = Vec::new();
        let mut most: f64 = 0.0;
        for second in 1..=SETTLED_SECONDS + MEASURED_SECONDS {
            self.run_until(Timestamp::from_millis(second * 1_000));
            self.report(second);
            if second > SETTLED_SECONDS {
                let total: u32 = self.loads.values().sum();
                let mean = f64::from(total) / f64::from(ENGINES);
                let of_mean = self.loads.values().map(|load| f64::from(*load) / mean);
                ratios.extend(of_mean);
            }
        }
        ratios.sort_by(f64::total_cmp);
        most = most.max(ratios.last().copied().unwrap_or(0.0));
        let p99 = ratios.len() * 99 / 100;
        Spread {
            p99_over_mean: ratios.get(p99).copied().unwrap_or(0.0),
            most_over_mean: most,
        }
    }

    /// Requests come and end until `end`.
    fn run_until(&mut self, end: Timestamp) {
        loop {
            let pause = self.exponential(1.0 / REQUESTS_PER_SECOND);
            let next = self.now + pause;
            if next > end {
                self.end_requests(end);
                self.now = end;
                return;
            }
            self.end_requests(next);
            self.now = next;
            self.start_request();
        }
    }

    fn start_request(&mut self) {
        let gateway = self.random.random_range(0..self.pickers.len());
        let runs_for = self.exponential(MEAN_SECONDS);
        let now = self.now;
        let picker = &mut self.pickers[gateway];
        let Ok(pick) = picker.pick(now, PickRequest::default()) else {
            return;
        };
        picker.started(now, pick.backend, &[]);
        *self.loads.entry(pick.backend).or_default() += 1;
        self.running.push(Reverse(Running {
            ends: now + runs_for,
            gateway,
            engine: pick.backend,
            started: now,
        }));
    }

    fn end_requests(&mut self, until: Timestamp) {
        while let Some(Reverse(first)) = self.running.peek().copied() {
            if first.ends > until {
                return;
            }
            self.running.pop();
            let picker = &mut self.pickers[first.gateway];
            picker.finished(first.ends, first.engine, first.started, Finish::Other);
            if let Some(load) = self.loads.get_mut(&first.engine) {
                *load -= 1;
            }
        }
    }

    /// Every engine's load reaches the gateways that route to it.
    fn report(&mut self, sequence: u64) {
        for (engine, load) in &self.loads {
            for gateway in self.listeners.get(engine).into_iter().flatten() {
                self.pickers[*gateway].observe_load(LoadSample {
                    backend: *engine,
                    incarnation: incarnation(),
                    sequence,
                    observed: self.now,
                    online: *load,
                    online_waiting: 0,
                    batch: 0,
                    batch_running: 0,
                    max_running: 0,
                    kv_used: 0.5,
                    step: Duration::from_millis(20),
                });
            }
        }
    }

    fn exponential(&mut self, mean_seconds: f64) -> Duration {
        let uniform: f64 = self.random.random_range(f64::MIN_POSITIVE..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean_seconds)
    }
}

fn gateway_set(nodes: &[NodeId]) -> GatewaySet {
    let mut set = GatewaySet::new(GatewaySetSettings::default());
    let records = nodes.iter().map(|node| GatewayRecord {
        node: *node,
        incarnation: incarnation(),
        zone: zone_of(0),
        draining: false,
    });
    set.update(Timestamp::from_millis(1), records.collect());
    set
}

fn picker(engines: &[BackendId], seed: u64) -> Picker {
    let settings = PickSettings {
        limit: LimitSettings {
            initial: NO_LIMIT,
            highest: NO_LIMIT,
            ..LimitSettings::default()
        },
        ..PickSettings::default()
    };
    let mut picker = Picker::new(zone_of(0), settings, seed);
    let candidates = engines.iter().map(|engine| Candidate {
        backend: *engine,
        incarnation: incarnation(),
        zone: zone_of(0),
        suspect: false,
    });
    picker.set_engines(candidates.collect());
    picker
}
