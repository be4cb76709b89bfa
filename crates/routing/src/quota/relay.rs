//! Forwards the usage reports of gateways in fleets with many gateways.

use std::collections::BTreeMap;

use molespan_types::{NodeId, Timestamp};

use super::table::{TOLD_HOLDS, TOLD_LATELY};
use super::telling::{TenantKey, TenantUse, Usage};
use crate::dispatch::Teller;

/// Maximum number of tenants that a relay accepts in one report; the rest is not
/// forwarded. Several times the expected number, so that no report makes the relay grow
/// without bound.
const MOST_TENANTS: usize = 8_192;

#[derive(Clone, Debug)]
struct Told {
    teller: Teller,
    usage: Usage,
    at: Timestamp,
}

/// Usage reports that a relay received.
#[derive(Clone, Debug, Default)]
pub struct UsageRelay {
    told: BTreeMap<NodeId, Told>,
}

impl UsageRelay {
    /// Records the report of a gateway, or of another relay about its gateways.
    pub fn note(&mut self, from: NodeId, teller: Teller, mut usage: Usage, now: Timestamp) {
        usage.tenants.truncate(MOST_TENANTS);
        let told = Told {
            teller,
            usage,
            at: now,
        };
        self.told.insert(from, told);
    }

    /// Drops the reports of nodes that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.told.retain(|_, told| now.since(told.at) < TOLD_HOLDS);
    }

    /// Returns the sum over the gateways of this relay, for the other relays.
    #[must_use]
    pub fn of_gateways(&self, now: Timestamp) -> Usage {
        let told = self.told.values();
        sum(told.filter(|told| told.teller == Teller::Gateway), now)
    }

    /// Returns, for each gateway of this relay, the sum over all other gateways.
    #[must_use]
    pub fn by_gateway(&self, now: Timestamp) -> Vec<(NodeId, Usage)> {
        let all = sum(self.told.values(), now);
        let told = self.told.iter();
        let gateways = told.filter(|(_, told)| told.teller == Teller::Gateway);
        gateways
            .map(|(&gateway, told)| (gateway, without(&all, told, now)))
            .collect()
    }
}

/// Subtracts `own`, which is part of `all`. The gateway's own estimate of the tokens left
/// stays included.
fn without(all: &Usage, own: &Told, now: Timestamp) -> Usage {
    let fresh = all.fresh.saturating_sub(own.fresh(now));
    let own = &own.usage;
    let own_uses = own.tenants.iter().map(|one| (one.tenant, one));
    let own_uses: BTreeMap<TenantKey, &TenantUse> = own_uses.collect();
    let tenants = all.tenants.iter().map(|sum| {
        let own = own_uses.get(&sum.tenant);
        TenantUse {
            admitted: sum
                .admitted
                .saturating_sub(own.map_or(0, |own| own.admitted)),
            asked: sum.asked.saturating_sub(own.map_or(0, |own| own.asked)),
            ..*sum
        }
    });
    Usage {
        gateways: all.gateways.saturating_sub(own.gateways),
        fresh,
        settled: all.settled,
        tenants: tenants.collect(),
    }
}

impl Told {
    /// Number of gateways in this report that reported recently.
    fn fresh(&self, now: Timestamp) -> u32 {
        match now.since(self.at) < TOLD_LATELY {
            true => self.usage.fresh,
            false => 0,
        }
    }
}

fn sum<'t>(told: impl Iterator<Item = &'t Told>, now: Timestamp) -> Usage {
    let mut all = Usage::default();
    let mut sums: BTreeMap<TenantKey, TenantUse> = BTreeMap::new();
    for told in told {
        let usage = &told.usage;
        all.fresh = all.fresh.saturating_add(told.fresh(now));
        all.gateways = all.gateways.saturating_add(usage.gateways);
        all.settled |= usage.settled;
        for one in &usage.tenants {
            let sum = sums.entry(one.tenant);
            sum.and_modify(|sum| sum.add(one)).or_insert(*one);
        }
    }
    all.tenants = sums.into_values().collect();
    all
}
