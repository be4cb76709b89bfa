//! Forwards the usage reports of gateways in fleets with many gateways.

use std::collections::BTreeMap;

use molespan_types::{NodeId, Timestamp};

use super::table::{RECENT_WITHIN, REPORT_TTL};
use super::telling::{TenantKey, TenantUse, Usage};
use crate::dispatch::ReportSource;

/// Maximum number of tenants that a relay accepts in one report; the rest is not
/// forwarded. Several times the expected number, so that no report makes the relay grow
/// without bound.
const MAX_TENANTS: usize = 8_192;

#[derive(Clone, Debug)]
struct Report {
    source: ReportSource,
    usage: Usage,
    at: Timestamp,
}

/// Usage reports that a relay received.
#[derive(Clone, Debug, Default)]
pub struct UsageRelay {
    reports: BTreeMap<NodeId, Report>,
}

impl UsageRelay {
    /// Records the report of a gateway, or of another relay about its gateways.
    pub fn note(&mut self, from: NodeId, source: ReportSource, mut usage: Usage, now: Timestamp) {
        usage.tenants.truncate(MAX_TENANTS);
        let report = Report {
            source,
            usage,
            at: now,
        };
        self.reports.insert(from, report);
    }

    /// Drops the reports of nodes that have been silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, report| now.since(report.at) < REPORT_TTL);
    }

    /// Returns the sum over the gateways of this relay, for the other relays.
    #[must_use]
    pub fn of_gateways(&self, now: Timestamp) -> Usage {
        let reports = self.reports.values();
        sum(
            reports.filter(|report| report.source == ReportSource::Gateway),
            now,
        )
    }

    /// Returns, for each gateway of this relay, the sum over all other gateways.
    #[must_use]
    pub fn by_gateway(&self, now: Timestamp) -> Vec<(NodeId, Usage)> {
        let all = sum(self.reports.values(), now);
        let reports = self.reports.iter();
        let gateways = reports.filter(|(_, report)| report.source == ReportSource::Gateway);
        gateways
            .map(|(&gateway, report)| (gateway, subtract(&all, report, now)))
            .collect()
    }
}

/// Subtracts `own`, which is part of `all`. The gateway's own estimate of the tokens left
/// stays included.
fn subtract(all: &Usage, own: &Report, now: Timestamp) -> Usage {
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
            requested: sum
                .requested
                .saturating_sub(own.map_or(0, |own| own.requested)),
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

impl Report {
    /// Number of gateways in this report that reported recently.
    fn fresh(&self, now: Timestamp) -> u32 {
        match now.since(self.at) < RECENT_WITHIN {
            true => self.usage.fresh,
            false => 0,
        }
    }
}

fn sum<'t>(reports: impl Iterator<Item = &'t Report>, now: Timestamp) -> Usage {
    let mut all = Usage::default();
    let mut sums: BTreeMap<TenantKey, TenantUse> = BTreeMap::new();
    for report in reports {
        let usage = &report.usage;
        all.fresh = all.fresh.saturating_add(report.fresh(now));
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
