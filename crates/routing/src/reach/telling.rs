//! Reports about zones out of reach that gateways exchange.
//!
//! Reports are kept by the zone of the gateways that sent them: what is out of reach from
//! there may be reachable from elsewhere.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, Timestamp, ZoneName};

use crate::dispatch::{ReportSource, SHARE_TTL};

/// Number of gateways of a zone that have to find another zone out of reach before a
/// relay accepts it.
const MIN_REPORTERS: u32 = 2;

/// Findings of the gateways of one zone.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ReachReport {
    /// Zone of these gateways.
    #[n(0)]
    pub from: ZoneName,
    /// Zones that are out of reach from there, and how many of the gateways found each.
    #[n(1)]
    pub out: Vec<(ZoneName, u32)>,
}

#[derive(Clone, Debug)]
struct Report {
    source: ReportSource,
    findings: Vec<ReachReport>,
    at: Timestamp,
}

/// Reports about zones out of reach that a relay received. Its size grows with the number
/// of zones, and with the number of reporting nodes while there is something to report.
#[derive(Clone, Debug, Default)]
pub struct ReachRelay {
    reports: BTreeMap<NodeId, Report>,
}

impl ReachRelay {
    /// Records the complete report of a gateway or of another relay; it is empty if no
    /// zone is out of reach. Returns whether the report changed.
    pub fn note(
        &mut self,
        from: NodeId,
        source: ReportSource,
        findings: Vec<ReachReport>,
        now: Timestamp,
    ) -> bool {
        if findings.is_empty() {
            return self.reports.remove(&from).is_some();
        }
        let report = Report {
            source,
            findings,
            at: now,
        };
        let before = self.reports.insert(from, report);
        before.is_none_or(|before| before.findings != self.reports[&from].findings)
    }

    /// Whether there are no reports.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }

    /// Drops the reports of nodes that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, report| now.since(report.at) < SHARE_TTL);
    }

    /// Returns the combined findings of the gateways of this relay, for other relays.
    #[must_use]
    pub fn of_gateways(&self) -> Vec<ReachReport> {
        let reports = self.reports.values();
        sum(reports.filter(|report| report.source == ReportSource::Gateway))
    }

    /// Returns, for a gateway in `zone`, the findings of the other gateways of that zone;
    /// `None` if there are none.
    #[must_use]
    pub fn for_gateway(&self, gateway: NodeId, zone: &ZoneName) -> Option<ReachReport> {
        let others = self.reports.iter().filter(|(from, _)| **from != gateway);
        let all = sum(others.map(|(_, report)| report));
        all.into_iter().find(|finding| finding.from == *zone)
    }

    /// Returns the zones that are out of reach from `zone` according to several gateways
    /// there.
    #[must_use]
    pub fn out_of_reach(&self, zone: &ZoneName) -> BTreeSet<ZoneName> {
        let all = sum(self.reports.values());
        let here = all.into_iter().filter(|finding| finding.from == *zone);
        let out = here.flat_map(|finding| finding.out);
        let accepted = out.filter(|(_, by)| *by >= MIN_REPORTERS);
        accepted.map(|(zone, _)| zone).collect()
    }
}

fn sum<'t>(reports: impl Iterator<Item = &'t Report>) -> Vec<ReachReport> {
    let mut sums: BTreeMap<&ZoneName, BTreeMap<&ZoneName, u32>> = BTreeMap::new();
    for finding in reports.flat_map(|report| &report.findings) {
        let sum = sums.entry(&finding.from).or_default();
        for (zone, by) in &finding.out {
            let count = sum.entry(zone).or_default();
            *count = count.saturating_add(*by);
        }
    }
    let findings = sums.into_iter().map(|(from, out)| {
        let out = out.into_iter().map(|(zone, by)| (zone.clone(), by));
        ReachReport {
            from: from.clone(),
            out: out.collect(),
        }
    });
    findings.collect()
}
