//! Draws the fault schedule of a seed.

use std::ops::Range;
use std::time::Duration;

use molespan_types::Timestamp;
use rand::Rng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;

use super::combination::combination;
use super::{AnswerFault, Fault, FaultClass, FaultKind};
use crate::address::Address;
use crate::network::{Cut, Disturbance, Endpoint};

/// Number of faults in one run.
const FAULTS: Range<usize> = 5..14;
/// Duration of a fault, in milliseconds.
const LENGTH_MS: Range<u64> = 200..7_000;
/// Downtime of a killed process, in milliseconds.
const DOWN_MS: Range<u64> = 5..2_500;
/// Share of faults that begin at or shortly after the start or end of an earlier
/// fault.
const FOLLOWS_ANOTHER: f64 = 0.35;
/// Longest delay after the earlier fault, in milliseconds.
const FOLLOWS_WITHIN_MS: u64 = 400;

/// The number of participants and the times of a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Topology {
    /// Replicas, numbered from 1.
    pub replicas: u32,
    /// Gateways, numbered from 1.
    pub gateways: u32,
    /// Engines, numbered from 1.
    pub engines: u32,
    /// Zones, numbered from 0.
    pub zones: u32,
    /// Earliest start of a fault.
    pub faults_begin: Timestamp,
    /// When a job with long items is submitted; it is cancelled later.
    pub long_items_at: Timestamp,
    /// Time by which every fault has ended.
    pub faults_end: Timestamp,
}

/// Share of runs that include a combination of faults that is dangerous as a whole.
const WITH_COMBINATION: f64 = 0.9;

/// Draws faults of `classes`, sorted by start time.
#[must_use]
pub fn schedule(
    random: &mut ChaCha8Rng,
    topology: &Topology,
    classes: &[FaultClass],
) -> Vec<Fault> {
    let timed: Vec<FaultClass> = classes
        .iter()
        .copied()
        .filter(|class| *class != FaultClass::Clocks)
        .collect();
    if timed.is_empty() {
        return Vec::new();
    }
    let count = random.random_range(FAULTS);
    let mut faults: Vec<Fault> = Vec::with_capacity(count);
    for _ in 0..count {
        let Some(&class) = timed.choose(random) else {
            break;
        };
        let begins = beginning(random, topology, &faults);
        let kind = kind(random, topology, class);
        let length = length(random, &kind);
        let ends = (begins + length).min(topology.faults_end);
        faults.push(Fault { begins, ends, kind });
    }
    if random.random_bool(WITH_COMBINATION) {
        faults.extend(combination(random, topology, classes));
    }
    faults.sort_by_key(|fault| fault.begins);
    faults
}

fn beginning(random: &mut ChaCha8Rng, topology: &Topology, faults: &[Fault]) -> Timestamp {
    let earlier = faults.choose(random);
    if let Some(earlier) = earlier.filter(|_| random.random_bool(FOLLOWS_ANOTHER)) {
        let after = random.random_range(0..=FOLLOWS_WITHIN_MS);
        let from = if random.random() {
            earlier.begins
        } else {
            earlier.ends
        };
        return (from + Duration::from_millis(after)).min(topology.faults_end);
    }
    let begin = topology.faults_begin.0;
    Timestamp(random.random_range(begin..topology.faults_end.0))
}

fn length(random: &mut ChaCha8Rng, kind: &FaultKind) -> Duration {
    let millis = match kind {
        FaultKind::Kill(_) | FaultKind::LoseDisk(_) => random.random_range(DOWN_MS),
        _ => random.random_range(LENGTH_MS),
    };
    Duration::from_millis(millis)
}

fn kind(random: &mut ChaCha8Rng, topology: &Topology, class: FaultClass) -> FaultKind {
    match class {
        FaultClass::Network => disturbance(random, topology),
        FaultClass::Cuts => FaultKind::Cut(cuts(random, topology)),
        FaultClass::Kills => FaultKind::Kill(victims(random, topology)),
        FaultClass::Freezes => FaultKind::Freeze(any_process(random, topology)),
        FaultClass::Disks | FaultClass::Clocks => disk(random, topology),
        FaultClass::Answers => answers(random, topology),
        FaultClass::Platform => platform(random, topology),
        FaultClass::Stops => FaultKind::PlannedStop(number(random, topology.gateways)),
    }
}

fn number(random: &mut ChaCha8Rng, count: u32) -> u32 {
    random.random_range(1..=count)
}

fn any_process(random: &mut ChaCha8Rng, topology: &Topology) -> Address {
    match random.random_range(0..5) {
        0 | 1 => Address::Replica(number(random, topology.replicas)),
        2 | 3 => Address::Gateway(number(random, topology.gateways)),
        _ => Address::Engine(number(random, topology.engines)),
    }
}

fn disturbance(random: &mut ChaCha8Rng, topology: &Topology) -> FaultKind {
    let at = match random.random_range(0..4) {
        0 => Endpoint::Any,
        1 => Endpoint::Replicas,
        _ => Endpoint::One(any_process(random, topology)),
    };
    FaultKind::Disturb(Disturbance {
        at,
        loss: random.random_range(0..30) as f64 / 100.0,
        duplicates: random.random_range(0..40) as f64 / 100.0,
        longest_delay: Duration::from_millis(random.random_range(0..150)),
    })
}

fn cuts(random: &mut ChaCha8Rng, topology: &Topology) -> Vec<Cut> {
    let both = |one: Endpoint, other: Endpoint| {
        vec![
            Cut {
                from: one,
                to: other,
            },
            Cut {
                from: other,
                to: one,
            },
        ]
    };
    match random.random_range(0..6) {
        0 => {
            let zone = random.random_range(0..topology.zones);
            both(Endpoint::Zone(zone), Endpoint::OutsideZone(zone))
        }
        1 => {
            let zone = random.random_range(0..topology.zones);
            vec![Cut {
                from: Endpoint::Zone(zone),
                to: Endpoint::OutsideZone(zone),
            }]
        }
        2 | 3 => {
            // Cuts only the links to replicas: the gateway still reaches engines and
            // callers.
            let gateway = Address::Gateway(number(random, topology.gateways));
            both(Endpoint::One(gateway), Endpoint::Replicas)
        }
        4 => {
            let replica = Address::Replica(number(random, topology.replicas));
            both(Endpoint::One(replica), Endpoint::Replicas)
        }
        _ => vec![Cut {
            from: Endpoint::One(any_process(random, topology)),
            to: Endpoint::One(any_process(random, topology)),
        }],
    }
}

fn victims(random: &mut ChaCha8Rng, topology: &Topology) -> Vec<Address> {
    match random.random_range(0..6) {
        0 => (1..=topology.replicas).map(Address::Replica).collect(),
        1 => {
            let first = number(random, topology.replicas);
            let second = 1 + first % topology.replicas;
            vec![Address::Replica(first), Address::Replica(second)]
        }
        2 => vec![Address::Engine(number(random, topology.engines))],
        3 => vec![Address::Gateway(number(random, topology.gateways))],
        _ => vec![any_process(random, topology)],
    }
}

fn disk(random: &mut ChaCha8Rng, topology: &Topology) -> FaultKind {
    let replica = number(random, topology.replicas);
    match random.random_range(0..7) {
        0..3 => FaultKind::LoseDisk(replica),
        3 | 4 => FaultKind::RollBackDisk(replica),
        5 => FaultKind::FillDisk(replica),
        _ => FaultKind::FailSync(replica),
    }
}

fn answers(random: &mut ChaCha8Rng, topology: &Topology) -> FaultKind {
    let faults = [
        AnswerFault::Crossed,
        AnswerFault::Truncated,
        AnswerFault::Doubled,
        AnswerFault::AcceptThenBreak,
        AnswerFault::AcceptThenBreak,
        AnswerFault::BreakBefore,
        AnswerFault::Refuse,
        AnswerFault::Slow,
    ];
    FaultKind::Answers {
        engine: number(random, topology.engines),
        fault: faults[random.random_range(0..faults.len())],
        percent: random.random_range(20..=100),
    }
}

fn platform(random: &mut ChaCha8Rng, topology: &Topology) -> FaultKind {
    if random.random_bool(0.6) {
        FaultKind::Leave(number(random, topology.engines))
    } else {
        FaultKind::OldLists
    }
}
