//! The number of gateways that use an engine, and their choice.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

use molespan_types::{NodeId, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Minimum number of gateways that use each engine of a large service. When the request
/// rates of gateways vary by a third, the busiest of 9,713 engines gets 1.25 times the mean
/// load with 24 users in its zone and 1.36 times with 12 (`tests/subset.rs`). 16 users
/// remain after the loss of half of all gateways.
const MIN_USERS: usize = 32;
/// Share of an engine's users that are in its zone.
const SAME_ZONE_SHARE: f64 = 0.75;
/// Minimum number of engines of a large service that a gateway uses. A gateway keeps working
/// after the loss of half of them, and can place its requests even if it gets several times
/// the mean.
const MIN_ENGINES: usize = 256;
/// Share of all gateways at which an engine is used by all of them instead of a subset.
const WHOLE_ENTER_SHARE: f64 = 0.5;
/// Share of all gateways below which an engine used by all gateways gets a subset of users.
/// It is lower than [`WHOLE_ENTER_SHARE`] for hysteresis, so that small changes in fleet size have
/// no effect.
const WHOLE_LEAVE_SHARE: f64 = 1.0 / 3.0;
/// Factor by which the number of users must deviate before it is changed, since each change
/// reassigns engines across all gateways.
const USERS_HYSTERESIS_FACTOR: f64 = 1.33;

/// How many gateways use each engine of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Breadth {
    /// All gateways.
    All,
    /// This number of gateways.
    Few(usize),
    /// None, until the number of gateways is known.
    Unknown,
}

impl Breadth {
    /// Returns the new breadth of a service for these numbers of engines and gateways.
    pub(super) fn updated(self, engines: usize, gateways: usize, settled: bool) -> Self {
        let share = MIN_ENGINES as f64 / engines.max(1) as f64;
        let wanted = (share * gateways as f64).max(MIN_USERS as f64);
        let threshold = match self {
            Self::All => WHOLE_LEAVE_SHARE,
            _ => WHOLE_ENTER_SHARE,
        };
        if !settled {
            return match self.is_too_broad(engines) {
                true => Self::Unknown,
                false => self,
            };
        }
        if wanted >= threshold * gateways as f64 {
            return Self::All;
        }
        match self {
            Self::Few(users) if is_within_hysteresis(users as f64, wanted) => self,
            _ => Self::Few(wanted.ceil() as usize),
        }
    }

    /// Whether use by all gateways may turn out too broad once their number is known. The
    /// first engines of a large service still go to every gateway while it registers.
    pub(super) fn is_too_broad(self, engines: usize) -> bool {
        self == Self::All && engines > MIN_ENGINES
    }

    /// Number of users in the engine's own zone.
    fn same_zone_users(self) -> usize {
        match self {
            Self::Few(users) => (users as f64 * SAME_ZONE_SHARE).ceil() as usize,
            Self::All | Self::Unknown => 0,
        }
    }

    /// Returns the number of gateways that use each engine; 0 unless this is [`Self::Few`].
    #[must_use]
    pub fn users(self) -> usize {
        match self {
            Self::Few(users) => users,
            Self::All | Self::Unknown => 0,
        }
    }
}

fn is_within_hysteresis(one: f64, other: f64) -> bool {
    one <= other * USERS_HYSTERESIS_FACTOR && other <= one * USERS_HYSTERESIS_FACTOR
}

/// All gateways and their zones.
#[derive(Clone, Debug, Default)]
pub(super) struct Gateways {
    zones: BTreeMap<NodeId, Option<ZoneName>>,
    by_zone: BTreeMap<Option<ZoneName>, Vec<NodeId>>,
}

impl Gateways {
    pub fn len(&self) -> usize {
        self.zones.len()
    }

    /// Replaces the gateways and returns those added and those removed. A gateway whose
    /// zone changed is in both sets.
    pub fn replace(
        &mut self,
        gateways: &BTreeMap<NodeId, Option<ZoneName>>,
    ) -> (BTreeSet<NodeId>, BTreeSet<NodeId>) {
        let differing = |one: &BTreeMap<_, _>, other: &BTreeMap<_, _>| {
            let differs = one
                .iter()
                .filter(|(node, zone)| other.get(*node) != Some(*zone));
            differs.map(|(&node, _)| node).collect::<BTreeSet<NodeId>>()
        };
        let added = differing(gateways, &self.zones);
        let removed = differing(&self.zones, gateways);
        if !added.is_empty() || !removed.is_empty() {
            self.zones.clone_from(gateways);
            self.by_zone.clear();
            for (&node, zone) in gateways {
                self.by_zone.entry(zone.clone()).or_default().push(node);
            }
        }
        (added, removed)
    }

    /// Returns the number of ranks computed when choosing among all gateways.
    pub fn ranks_computed(&self, breadth: Breadth) -> u64 {
        match breadth {
            Breadth::Few(_) => self.len() as u64,
            Breadth::All | Breadth::Unknown => 0,
        }
    }

    /// Chooses the users of an engine among all gateways.
    pub fn users(&self, engine: u64, zone: &ZoneName, breadth: Breadth) -> Vec<NodeId> {
        let Breadth::Few(_) = breadth else {
            return Vec::new();
        };
        let mut same_zone = Vec::new();
        let mut others = Vec::with_capacity(self.len());
        for (at, nodes) in &self.by_zone {
            let ranked = match at.as_ref() == Some(zone) {
                true => &mut same_zone,
                false => &mut others,
            };
            ranked.extend(nodes.iter().map(|&node| (rank(node, engine), node)));
        }
        choose_users(same_zone, others, breadth)
    }

    /// Chooses the users of an engine among those `candidates` that still exist.
    pub fn users_of(
        &self,
        candidates: impl Iterator<Item = NodeId>,
        engine: u64,
        zone: &ZoneName,
        breadth: Breadth,
    ) -> Vec<NodeId> {
        let mut same_zone = Vec::new();
        let mut others = Vec::new();
        for node in candidates {
            let Some(at) = self.zones.get(&node) else {
                continue;
            };
            let ranked = match at.as_ref() == Some(zone) {
                true => &mut same_zone,
                false => &mut others,
            };
            ranked.push((rank(node, engine), node));
        }
        choose_users(same_zone, others, breadth)
    }
}

type Ranked = (Reverse<u64>, NodeId);

/// Rank for rendezvous hashing: the gateways with the highest hashes use the engine.
fn rank(gateway: NodeId, engine: u64) -> Reverse<u64> {
    Reverse(xxh3_64_with_seed(&gateway.0.to_le_bytes(), engine))
}

/// Chooses the gateways with the highest ranks in the engine's zone, then fills up with
/// those ranked highest among the rest.
fn choose_users(
    mut same_zone: Vec<Ranked>,
    mut others: Vec<Ranked>,
    breadth: Breadth,
) -> Vec<NodeId> {
    others.append(&mut keep_highest(&mut same_zone, breadth.same_zone_users()));
    keep_highest(&mut others, breadth.users().saturating_sub(same_zone.len()));
    let mut users: Vec<NodeId> = same_zone
        .iter()
        .chain(&others)
        .map(|&(_, node)| node)
        .collect();
    users.sort_unstable();
    users
}

/// Keeps the `count` gateways with the highest ranks and returns the others.
fn keep_highest(ranked: &mut Vec<Ranked>, count: usize) -> Vec<Ranked> {
    if count >= ranked.len() {
        return Vec::new();
    }
    ranked.select_nth_unstable(count);
    ranked.split_off(count)
}
