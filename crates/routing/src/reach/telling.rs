//! What gateways tell each other of zones out of reach.
//!
//! Told by the zone of those who tell: what is out of reach from there may be within
//! reach from elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, Timestamp, ZoneName};

use crate::dispatch::{SHARE_HOLDS, Teller};

/// Gateways of a zone whose word a relay takes for what is out of reach from there.
const BELIEVED_BY: u32 = 2;

/// What gateways of one zone found out.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ReachTelling {
    /// Where they stand.
    #[n(0)]
    pub from: ZoneName,
    /// Zones that are out of reach from there, and how many of them found that.
    #[n(1)]
    pub out: Vec<(ZoneName, u32)>,
}

#[derive(Clone, Debug)]
struct Told {
    teller: Teller,
    tellings: Vec<ReachTelling>,
    at: Timestamp,
}

/// What a relay was told of zones out of reach. It grows with zones, and with tellers
/// while there is something to tell.
#[derive(Clone, Debug, Default)]
pub struct ReachRelay {
    told: BTreeMap<NodeId, Told>,
}

impl ReachRelay {
    /// Takes in all that a gateway, or another relay, tells; nothing for no zone out of
    /// reach. Says whether that is news.
    pub fn note(
        &mut self,
        from: NodeId,
        teller: Teller,
        tellings: Vec<ReachTelling>,
        now: Timestamp,
    ) -> bool {
        if tellings.is_empty() {
            return self.told.remove(&from).is_some();
        }
        let told = Told {
            teller,
            tellings,
            at: now,
        };
        let before = self.told.insert(from, told);
        before.is_none_or(|before| before.tellings != self.told[&from].tellings)
    }

    /// Whether nothing is told.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Forgets those that were silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.told.retain(|_, told| now.since(told.at) < SHARE_HOLDS);
    }

    /// What the gateways of this relay found out together, for other relays.
    #[must_use]
    pub fn of_gateways(&self) -> Vec<ReachTelling> {
        let told = self.told.values();
        sum(told.filter(|told| told.teller == Teller::Gateway))
    }

    /// For a gateway in `zone`, what the others of that zone found out; `None` for
    /// nothing.
    #[must_use]
    pub fn for_gateway(&self, gateway: NodeId, zone: &ZoneName) -> Option<ReachTelling> {
        let others = self.told.iter().filter(|(from, _)| **from != gateway);
        let all = sum(others.map(|(_, told)| told));
        all.into_iter().find(|telling| telling.from == *zone)
    }

    /// Zones that are out of reach from `zone`, as several gateways there found.
    #[must_use]
    pub fn out_of_reach(&self, zone: &ZoneName) -> BTreeSet<ZoneName> {
        let all = sum(self.told.values());
        let here = all.into_iter().filter(|telling| telling.from == *zone);
        let out = here.flat_map(|telling| telling.out);
        let believed = out.filter(|(_, by)| *by >= BELIEVED_BY);
        believed.map(|(zone, _)| zone).collect()
    }
}

fn sum<'t>(told: impl Iterator<Item = &'t Told>) -> Vec<ReachTelling> {
    let mut sums: BTreeMap<&ZoneName, BTreeMap<&ZoneName, u32>> = BTreeMap::new();
    for telling in told.flat_map(|told| &told.tellings) {
        let sum = sums.entry(&telling.from).or_default();
        for (zone, by) in &telling.out {
            let count = sum.entry(zone).or_default();
            *count = count.saturating_add(*by);
        }
    }
    let tellings = sums.into_iter().map(|(from, out)| {
        let out = out.into_iter().map(|(zone, by)| (zone.clone(), by));
        ReachTelling {
            from: from.clone(),
            out: out.collect(),
        }
    });
    tellings.collect()
}
