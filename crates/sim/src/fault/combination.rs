//! Combinations of faults that are dangerous together.

use std::time::Duration;

use molespan_types::Timestamp;
use rand::Rng;
use rand::seq::SliceRandom;
use rand_chacha::ChaCha8Rng;

use super::{Fault, FaultClass, FaultKind, Topology};
use crate::address::Address;
use crate::network::{Cut, Disturbance, Endpoint};

/// Duration of the longest combination.
const MAX_COMBINATION_DURATION: Duration = Duration::from_secs(9);

/// A combination and the fault classes that it requires.
struct Combination {
    classes: &'static [FaultClass],
    draw: fn(&mut Draw<'_>),
}

const COMBINATIONS: &[Combination] = &[
    Combination {
        classes: &[FaultClass::Cuts],
        draw: cut_owner,
    },
    Combination {
        classes: &[FaultClass::Network, FaultClass::Cuts, FaultClass::Kills],
        draw: restart_voter,
    },
    Combination {
        classes: &[FaultClass::Cuts, FaultClass::Disks],
        draw: lose_voter,
    },
    Combination {
        classes: &[FaultClass::Platform],
        draw: leave_under_old_lists,
    },
];

/// Draws one of the combinations whose classes are all enabled.
#[must_use]
pub(super) fn combination(
    random: &mut ChaCha8Rng,
    topology: &Topology,
    classes: &[FaultClass],
) -> Vec<Fault> {
    let possible = COMBINATIONS.iter().filter(|one| {
        let mut needed = one.classes.iter();
        needed.all(|class| classes.contains(class))
    });
    let possible: Vec<&Combination> = possible.collect();
    if possible.is_empty() {
        return Vec::new();
    }
    let chosen = possible[random.random_range(0..possible.len())];
    let last = topology.faults_end.0 - MAX_COMBINATION_DURATION.as_micros() as u64;
    let begin = Timestamp(random.random_range(topology.faults_begin.0..last));
    let mut replicas: Vec<Address> = (1..=topology.replicas).map(Address::Replica).collect();
    replicas.shuffle(random);
    let mut draw = Draw {
        random,
        topology,
        replicas,
        begin,
        faults: Vec::new(),
    };
    (chosen.draw)(&mut draw);
    draw.faults
}

struct Draw<'a> {
    random: &'a mut ChaCha8Rng,
    topology: &'a Topology,
    /// Every replica, in random order.
    replicas: Vec<Address>,
    begin: Timestamp,
    faults: Vec<Fault>,
}

impl Draw<'_> {
    fn millis(&mut self, range: std::ops::Range<u64>) -> Duration {
        Duration::from_millis(self.random.random_range(range))
    }

    fn add(&mut self, begins: Timestamp, length: Duration, kind: FaultKind) {
        let ends = begins + length;
        self.faults.push(Fault { begins, ends, kind });
    }
}

fn both_ways(one: Endpoint, other: Endpoint) -> FaultKind {
    let cut = |from, to| Cut { from, to };
    FaultKind::Cut(vec![cut(one, other), cut(other, one)])
}

/// Cuts a gateway that runs long items off from the replicas, but not from its
/// engines, for longer than a lease.
fn cut_owner(draw: &mut Draw<'_>) {
    let gateway = draw.random.random_range(1..=draw.topology.gateways);
    let gateway = Endpoint::One(Address::Gateway(gateway));
    let length = draw.millis(6_500..8_500);
    let begin = draw.topology.long_items_at + draw.millis(200..1_200);
    draw.add(begin, length, both_ways(gateway, Endpoint::Replicas));
}

/// Two replicas that cannot reach each other request the vote of a third, which
/// restarts repeatedly while their requests are in transit.
fn restart_voter(draw: &mut Draw<'_>) {
    let (one, other, voter) = (draw.replicas[0], draw.replicas[1], draw.replicas[2]);
    let length = draw.millis(4_000..7_000);
    let begin = draw.begin;
    let cut = both_ways(Endpoint::One(one), Endpoint::One(other));
    draw.add(begin, length, cut);
    let slow = Disturbance {
        at: Endpoint::One(voter),
        loss: 0.0,
        duplicates: 0.0,
        longest_delay: Duration::from_millis(200),
    };
    draw.add(begin, length, FaultKind::Disturb(slow));
    let mut at = begin + draw.millis(0..300);
    while at < begin + length {
        let down = draw.millis(1..20);
        draw.add(at, down, FaultKind::Kill(vec![voter]));
        at = at + down + draw.millis(150..900);
    }
}

/// While one replica lags, another loses its disk; then the only replica with the
/// complete data is cut off.
fn lose_voter(draw: &mut Draw<'_>) {
    let (lags, loses, whole) = (draw.replicas[0], draw.replicas[1], draw.replicas[2]);
    let begin = draw.begin;
    let lag = draw.millis(1_500..3_000);
    draw.add(
        begin,
        lag,
        both_ways(Endpoint::One(lags), Endpoint::Replicas),
    );
    let lost = begin + lag.saturating_sub(draw.millis(10..200));
    let down = draw.millis(5..100);
    if let Address::Replica(replica) = loses {
        draw.add(lost, down, FaultKind::LoseDisk(replica));
    }
    let length = draw.millis(2_000..4_500);
    draw.add(
        lost,
        length,
        both_ways(Endpoint::One(whole), Endpoint::Replicas),
    );
}

/// An engine leaves for a long time while the platform serves stale lists that
/// still report it as live.
fn leave_under_old_lists(draw: &mut Draw<'_>) {
    let engine = draw.random.random_range(1..=draw.topology.engines);
    let length = draw.millis(6_000..8_500);
    draw.add(draw.begin, length, FaultKind::Leave(engine));
    let later = draw.begin + draw.millis(1_500..2_500);
    draw.add(later, length, FaultKind::OldLists);
}
