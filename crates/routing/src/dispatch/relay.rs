//! Relays for the gateways' reports of their work at engines.
//!
//! A few gateways report to each other directly. With many, that would cost each of them
//! more the more there are, so each gateway reports to one relay. A relay sums up the
//! reports of its gateways, sends the sum to the other relays, and sends each of its
//! gateways the work of all others combined.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::engine::{SHARE_TTL, WorkShare};

/// Silence after which a gateway switches to the next relay.
const RELAY_SILENCE: Duration = Duration::from_millis(1_000);
/// Time after which a gateway returns to the first relay in its order: a restart takes a
/// few seconds. Trying one that is still silent costs [`RELAY_SILENCE`] without reports of
/// the others.
const RETURN_AFTER: Duration = Duration::from_secs(10);

/// Longest time for which the gateways of a silent relay are still accounted for.
const MISSING_TTL: Duration = Duration::from_secs(10);

/// Shortest interval between two relay rounds.
const MIN_ROUND: Duration = Duration::from_millis(50);
/// Longest interval between two relay rounds: the interval at which gateways report under
/// low load.
const MAX_ROUND: Duration = Duration::from_millis(150);
/// Messages per second that a relay sends to gateways under low load: those for 64 gateways
/// in the shortest rounds, about 3% of a core at 25 microseconds each.
const LOW_LOAD_MESSAGES: f64 = 1_280.0;
/// Share of all slots in use up to which load counts as low: a request then finds a slot
/// whatever the other gateways have just sent.
const LOW_LOAD_OCCUPANCY: f64 = 0.4;

/// Chooses the relay that a gateway uses: one of its zone if there is one, since relays
/// send many times a second. Gateways spread over the relays, and each fails over through
/// them in its own order.
#[derive(Clone, Debug, Default)]
pub struct RelayChoice {
    /// Index into the gateway's order, modulo the number of relays.
    position: usize,
    /// When the gateway last switched away from the first relay in its order.
    left_first_at: Timestamp,
    /// When the relay in use was chosen or last sent something.
    last_heard: Timestamp,
    relay: Option<NodeId>,
}

impl RelayChoice {
    /// Returns the relay to use at this time for the gateway `own`, among `relays`, of
    /// which those in `near` are in its zone.
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
        if self.relay.is_some() && now.since(self.last_heard) > RELAY_SILENCE {
            if self.position == 0 {
                self.left_first_at = now;
            }
            self.position += 1;
            self.last_heard = now;
        } else if self.position > 0 && now.since(self.left_first_at) > RETURN_AFTER {
            self.position = 0;
        }
        let relay = order.get(self.position.checked_rem(order.len())?).copied();
        if relay != self.relay {
            self.relay = relay;
            self.last_heard = now;
        }
        relay
    }

    /// Records a message from a relay.
    pub fn record_message(&mut self, from: NodeId, now: Timestamp) {
        if self.relay == Some(from) {
            self.last_heard = now;
        }
    }
}

/// Kind of a node that reports to a relay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportSource {
    /// A gateway, reporting its own requests.
    Gateway,
    /// Another relay, reporting the requests of its gateways.
    Relay,
}

/// Latest report of a node.
#[derive(Clone, Debug)]
struct NodeReport {
    source: ReportSource,
    shares: Vec<WorkShare>,
    at: Timestamp,
}

/// Reports received by a relay.
#[derive(Clone, Debug, Default)]
pub struct WorkRelay {
    reported: BTreeMap<NodeId, NodeReport>,
    /// Number of gateways that each other relay represents, and when it reported that.
    represented: BTreeMap<NodeId, (u32, Timestamp)>,
}

impl WorkRelay {
    /// Records a node's complete report of its work at engines. Returns whether it differs
    /// from the previous one.
    pub fn note(
        &mut self,
        from: NodeId,
        source: ReportSource,
        shares: Vec<WorkShare>,
        now: Timestamp,
    ) -> bool {
        let reported = NodeReport {
            source,
            shares,
            at: now,
        };
        let before = self.reported.insert(from, reported);
        before.is_none_or(|before| before.shares != self.reported[&from].shares)
    }

    /// Records how many gateways another relay represents.
    pub fn record_represented_gateways(&mut self, from: NodeId, gateways: u32, now: Timestamp) {
        self.represented.insert(from, (gateways, now));
    }

    /// Returns the number of gateways that report to this relay.
    #[must_use]
    pub fn gateways(&self) -> u32 {
        let reported = self.reported.values();
        reported
            .filter(|reported| reported.source == ReportSource::Gateway)
            .count() as u32
    }

    /// Returns the time until the next round, where all engines together have this many
    /// `slots`: short while gateways compete for slots, else as long as the number of this
    /// relay's gateways requires.
    #[must_use]
    pub fn pause(&self, slots: u64) -> Duration {
        let reported = self.reported.values().flat_map(|reported| &reported.shares);
        let requests: u64 = reported.map(|share| u64::from(share.requests)).sum();
        if requests as f64 > slots as f64 * LOW_LOAD_OCCUPANCY {
            return MIN_ROUND;
        }
        let spread = Duration::from_secs_f64(f64::from(self.gateways()) / LOW_LOAD_MESSAGES);
        spread.clamp(MIN_ROUND, MAX_ROUND)
    }

    /// Removes reports that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        self.reported
            .retain(|_, reported| now.since(reported.at) < SHARE_TTL);
        self.represented
            .retain(|_, (_, at)| now.since(*at) < MISSING_TTL);
    }

    /// Returns the factor from reported work to the work of all gateways: above 1 while
    /// other relays are cut off from this one, since their gateways still send to the same
    /// engines. Gateways that left a silent relay report through another one, so no more
    /// are counted as missing than are `present` and not reporting.
    #[must_use]
    pub fn total_to_reported_ratio(&self, present: u32, now: Timestamp) -> f64 {
        let (mut reporting, mut missing) = (self.gateways(), 0);
        for (gateways, at) in self.represented.values() {
            match now.since(*at) < SHARE_TTL {
                true => reporting += gateways,
                false => missing += gateways,
            }
        }
        let missing = missing.min(present.saturating_sub(reporting));
        1.0 + f64::from(missing) / f64::from(reporting.max(1))
    }

    /// Returns the summed work of this relay's gateways, to report to the other relays.
    #[must_use]
    pub fn sum_of_gateways(&self) -> Vec<WorkShare> {
        let reported = self.reported.values();
        let of_gateways = reported.filter(|reported| reported.source == ReportSource::Gateway);
        sum(of_gateways.flat_map(|reported| &reported.shares))
    }

    /// Returns, for each gateway of this relay, the summed work of all other gateways.
    #[must_use]
    pub fn shares_by_gateway(&self) -> Vec<(NodeId, Vec<WorkShare>)> {
        self.shares_by_user(|engines| vec![None; engines.len()])
    }

    /// Like [`Self::shares_by_gateway`], limited to the engines that each gateway uses:
    /// `users` returns the gateways that use each of the given engines, or `None` where all
    /// do. A gateway's message then grows with the engines that it uses rather than with
    /// all engines in use.
    #[must_use]
    pub fn shares_by_user(
        &self,
        users: impl Fn(&[&str]) -> Vec<Option<Vec<NodeId>>>,
    ) -> Vec<(NodeId, Vec<WorkShare>)> {
        let all = sum(self.reported.values().flat_map(|reported| &reported.shares));
        let engines: Vec<&str> = all.iter().map(|share| share.engine.as_str()).collect();
        let users = users(&engines);
        let reported = self.reported.iter();
        let gateways = reported.filter(|(_, reported)| reported.source == ReportSource::Gateway);
        let mut by_gateway: BTreeMap<NodeId, (&NodeReport, Vec<WorkShare>)> = gateways
            .map(|(&gateway, reported)| (gateway, (reported, Vec::new())))
            .collect();
        for (share, users) in all.iter().zip(users) {
            match users {
                None => by_gateway
                    .values_mut()
                    .for_each(|(reported, shares)| shares.extend(without(share, &reported.shares))),
                Some(users) => {
                    for user in users {
                        if let Some((reported, shares)) = by_gateway.get_mut(&user) {
                            shares.extend(without(share, &reported.shares));
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

/// Returns the summed work at an engine less the part of `own`; `None` if the rest doesn't
/// matter to that gateway. Most reported engines have merely answered somebody, which
/// matters only to a gateway that the engine failed, or if it failed other gateways.
fn without(all: &WorkShare, own: &[WorkShare]) -> Option<WorkShare> {
    let own = own.iter().find(|own| own.engine == all.engine);
    let rest = own.map_or_else(|| all.clone(), |own| all.without(own));
    let failed_own = own.is_some_and(|own| own.errors > 0);
    let matters = rest.matters_to_others() || (failed_own && !rest.is_empty());
    matters.then_some(rest)
}
