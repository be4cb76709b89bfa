//! Passing on what gateways have at engines.
//!
//! A few gateways tell each other. Where there are many, that would cost each of
//! them more the more there are, so each tells one relay. A relay adds up what
//! its gateways told, tells the sum to the other relays, and tells each of its
//! gateways what all the others together have.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::{SHARE_HOLDS, WorkShare};

/// A relay that is silent for longer is left for the next one.
const RELAY_SILENCE: Duration = Duration::from_millis(1_000);
/// A gateway comes back after this long to the relay that is the first in its
/// order: a restart takes a few seconds. A look at one that is still silent costs
/// [`RELAY_SILENCE`] without a word of the others.
const COMES_BACK: Duration = Duration::from_secs(10);

/// How long the gateways of a relay that fell silent are missed at the most.
const MISSED_FOR: Duration = Duration::from_secs(10);

/// Shortest time between two rounds of passing on.
const ROUND: Duration = Duration::from_millis(50);
/// Longest time between them: as long as gateways take to tell in a calm.
const CALM_ROUND: Duration = Duration::from_millis(150);
/// Tellings that a relay passes on in a calm, a second: those of 64 gateways in the
/// shortest rounds. On paper 3% of a core, at 25 microseconds each; not measured alone.
const CALM_TELLINGS: f64 = 1_280.0;
/// Share of all slots in use up to which it is calm: a request finds a slot whatever the
/// others sent a moment ago.
const CALM_OCCUPANCY: f64 = 0.4;

/// The relay that a gateway uses: one of its zone where there is one, since
/// relays tell many times a second. Gateways spread over the relays, and each
/// goes through them in an order of its own when they are silent.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    /// Place in the gateway's order; it wraps.
    place: usize,
    /// When the first one in the order was left.
    left_first: Timestamp,
    /// When the relay in use was taken or heard.
    heard: Timestamp,
    relay: Option<NodeId>,
}

impl RelayChoice {
    /// The relay for the gateway `own` at this time, among `relays`; those of its
    /// zone are `near`.
    pub fn relay(
        &mut self,
        own: NodeId,
        relays: &BTreeSet<NodeId>,
        near: &BTreeSet<NodeId>,
        now: Timestamp,
    ) -> Option<NodeId> {
        let mut order: Vec<NodeId> = relays.iter().copied().collect();
        order.sort_by_key(|relay| {
            let draw = xxh3_64_with_seed(&relay.0.to_be_bytes(), u64::from(own.0));
            (!near.contains(relay), draw)
        });
        if self.relay.is_some() && now.since(self.heard) > RELAY_SILENCE {
            if self.place == 0 {
                self.left_first = now;
            }
            self.place += 1;
            self.heard = now;
        } else if self.place > 0 && now.since(self.left_first) > COMES_BACK {
            self.place = 0;
        }
        let relay = order.get(self.place.checked_rem(order.len())?).copied();
        if relay != self.relay {
            self.relay = relay;
            self.heard = now;
        }
        relay
    }

    /// A relay told something.
    pub fn heard(&mut self, from: NodeId, now: Timestamp) {
        if self.relay == Some(from) {
            self.heard = now;
        }
    }
}

/// Who told a relay something.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Teller {
    /// A gateway, of its own requests.
    Gateway,
    /// Another relay, of the requests of its gateways.
    Relay,
}

/// What one of them told last.
#[derive(Clone, Debug)]
struct Told {
    teller: Teller,
    shares: Vec<WorkShare>,
    at: Timestamp,
}

/// What a relay was told.
#[derive(Clone, Debug, Default)]
pub struct WorkRelay {
    told: BTreeMap<NodeId, Told>,
    /// Gateways that each other relay speaks for, and when it said so.
    spoken_for: BTreeMap<NodeId, (u32, Timestamp)>,
}

impl WorkRelay {
    /// Takes in all that one of them has at engines. Says whether it differs
    /// from what it told before.
    pub fn note(
        &mut self,
        from: NodeId,
        teller: Teller,
        shares: Vec<WorkShare>,
        now: Timestamp,
    ) -> bool {
        let told = Told {
            teller,
            shares,
            at: now,
        };
        let before = self.told.insert(from, told);
        before.is_none_or(|before| before.shares != self.told[&from].shares)
    }

    /// Another relay speaks for so many gateways.
    pub fn note_spoken_for(&mut self, from: NodeId, gateways: u32, now: Timestamp) {
        self.spoken_for.insert(from, (gateways, now));
    }

    /// Gateways that tell this relay.
    #[must_use]
    pub fn gateways(&self) -> u32 {
        let told = self.told.values();
        told.filter(|told| told.teller == Teller::Gateway).count() as u32
    }

    /// Time until the next round of passing on, where all engines have so many `slots`:
    /// short while gateways compete for them, and else as often as the number of its
    /// gateways allows.
    #[must_use]
    pub fn pause(&self, slots: u64) -> Duration {
        let told = self.told.values().flat_map(|told| &told.shares);
        let requests: u64 = told.map(|share| u64::from(share.requests)).sum();
        if requests as f64 > slots as f64 * CALM_OCCUPANCY {
            return ROUND;
        }
        let spread = Duration::from_secs_f64(f64::from(self.gateways()) / CALM_TELLINGS);
        spread.clamp(ROUND, CALM_ROUND)
    }

    /// Forgets those that were silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.told.retain(|_, told| now.since(told.at) < SHARE_HOLDS);
        self.spoken_for
            .retain(|_, (_, at)| now.since(*at) < MISSED_FOR);
    }

    /// Work of all gateways as a multiple of what is told: more than 1 while relays
    /// are cut off from this one, whose gateways send to the same engines all the
    /// same. Those who left a silent relay for another one are heard again, so that
    /// no more are missed than are `present` and not heard.
    #[must_use]
    pub fn all_by_told(&self, present: u32, now: Timestamp) -> f64 {
        let (mut heard, mut missed) = (self.gateways(), 0);
        for (gateways, at) in self.spoken_for.values() {
            match now.since(*at) < SHARE_HOLDS {
                true => heard += gateways,
                false => missed += gateways,
            }
        }
        let missed = missed.min(present.saturating_sub(heard));
        1.0 + f64::from(missed) / f64::from(heard.max(1))
    }

    /// What the gateways of this relay have together, for the other relays.
    #[must_use]
    pub fn sum_of_gateways(&self) -> Vec<WorkShare> {
        let told = self.told.values();
        let of_gateways = told.filter(|told| told.teller == Teller::Gateway);
        sum(of_gateways.flat_map(|told| &told.shares))
    }

    /// For each gateway of this relay, what all other gateways have together.
    #[must_use]
    pub fn shares_by_gateway(&self) -> Vec<(NodeId, Vec<WorkShare>)> {
        self.shares_by_user(|engines| vec![None; engines.len()])
    }

    /// The same, at the engines that it uses: `users` names those who use each of the
    /// engines it is asked for, or `None` where all do. What a gateway hears grows with
    /// what it uses, and not with all engines in use.
    #[must_use]
    pub fn shares_by_user(
        &self,
        users: impl Fn(&[&str]) -> Vec<Option<Vec<NodeId>>>,
    ) -> Vec<(NodeId, Vec<WorkShare>)> {
        let all = sum(self.told.values().flat_map(|told| &told.shares));
        let engines: Vec<&str> = all.iter().map(|share| share.engine.as_str()).collect();
        let users = users(&engines);
        let told = self.told.iter();
        let gateways = told.filter(|(_, told)| told.teller == Teller::Gateway);
        let mut by_gateway: BTreeMap<NodeId, (&Told, Vec<WorkShare>)> = gateways
            .map(|(&gateway, told)| (gateway, (told, Vec::new())))
            .collect();
        for (share, users) in all.iter().zip(users) {
            match users {
                None => by_gateway
                    .values_mut()
                    .for_each(|(told, shares)| shares.extend(without(share, &told.shares))),
                Some(users) => {
                    for user in users {
                        if let Some((told, shares)) = by_gateway.get_mut(&user) {
                            shares.extend(without(share, &told.shares));
                        }
                    }
                }
            }
        }
        let by_gateway = by_gateway.into_iter();
        by_gateway
            .map(|(gateway, (_, shares))| (gateway, shares))
            .collect()
    }
}

fn sum<'s>(shares: impl Iterator<Item = &'s WorkShare>) -> Vec<WorkShare> {
    let mut sums: BTreeMap<&str, WorkShare> = BTreeMap::new();
    for share in shares {
        match sums.get_mut(share.engine.as_str()) {
            Some(sum) => sum.add(share),
            None => {
                sums.insert(&share.engine, share.clone());
            }
        }
    }
    sums.into_values().collect()
}

/// What all have at an engine less what `own` has there, which is part of it; `None` if
/// that says nothing. Most engines that are told of have only just answered somebody,
/// which matters to one whom the engine failed, or of whom it failed others.
fn without(all: &WorkShare, own: &[WorkShare]) -> Option<WorkShare> {
    let own = own.iter().find(|own| own.engine == all.engine);
    let rest = own.map_or_else(|| all.clone(), |own| all.without(own));
    let failed_own = own.is_some_and(|own| own.errors > 0);
    let matters = rest.is_news_to_others() || (failed_own && !rest.is_empty());
    matters.then_some(rest)
}
