//! Reports about zones out of reach that gateways exchange.
//!
//! Reports are kept by the zone of the gateways that sent them: what is out of reach from
//! there may be reachable from elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, Timestamp, ZoneName};

use crate::dispatch::{SHARE_HOLDS, Teller};

/// Number of gateways of a zone that have to find another zone out of reach before a
/// relay accepts it.
const BELIEVED_BY: u32 = 2;

/// Findings of the gateways of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ReachTelling {
    /// Zone of these gateways.
    #[n(0)]
    pub from: ZoneName,
    /// Zones that are out of reach from there, and how many of the gateways found each.
    #[n(1)]
    pub out: Vec<(ZoneName, u32)>,
}

#[derive(Clone, Debug)]
struct Told {
    teller: Teller,
    tellings: Vec<ReachTelling>,
    at: Timestamp,
}

/// Reports about zones out of reach that a relay received. Its size grows with the number
/// of zones, and with the number of reporting nodes while there is something to report.
#[derive(Clone, Debug, Default)]
pub struct ReachRelay {
    told: BTreeMap<NodeId, Told>,
}

impl ReachRelay {
    /// Records the complete report of a gateway or of another relay; it is empty if no
    /// zone is out of reach. Returns whether the report changed.
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

    /// Whether there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.told.is_empty()
    }

    /// Drops the reports of nodes that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.told.retain(|_, told| now.since(told.at) < SHARE_HOLDS);
    }

    /// Returns the combined findings of the gateways of this relay, for other relays.
    #[must_use]
    pub fn of_gateways(&self) -> Vec<ReachTelling> {
        let told = self.told.values();
        sum(told.filter(|told| told.teller == Teller::Gateway))
    }

    /// Returns, for a gateway in `zone`, the findings of the other gateways of that zone;
    /// `None` if there are none.
    #[must_use]
    pub fn for_gateway(&self, gateway: NodeId, zone: &ZoneName) -> Option<ReachTelling> {
        let others = self.told.iter().filter(|(from, _)| **from != gateway);
        let all = sum(others.map(|(_, told)| told));
        all.into_iter().find(|telling| telling.from == *zone)
    }

    /// Returns the zones that are out of reach from `zone` according to several gateways
    /// there.
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
