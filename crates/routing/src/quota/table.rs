//! The limits of all tenants at one gateway.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};

use super::telling::{TenantKey, TenantUse, Usage, tenant_key};
use super::tenant::{Limit, Others, Scale, Tenant};

/// How long the latest report of others is assumed to hold when no more arrive; gateways
/// leave a lost relay within a second. After that, each side of a network partition uses
/// the part of the limits to which its number of gateways entitles it. The latest report
/// is a noisy sample: holding it for 5 s exceeded limits in simulated partitions.
pub(super) const REPORT_TTL: Duration = Duration::from_secs(2);
/// Age up to which a report counts as recent: a few reporting intervals.
pub(super) const RECENT_WITHIN: Duration = Duration::from_millis(1_000);
/// Time after the start of a gateway from which it counts as knowing how many tokens are
/// left, unless it learns that from a report earlier.
const SETTLED_AFTER: Duration = Duration::from_secs(5);
/// Fraction of all gateways that counts as all of them: some are always missing from the
/// reports.
const COMPLETE_FROM: f64 = 0.95;
/// A request over the limit of its tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// Time until a token is available for it, after those for requests refused earlier.
    pub retry_after: Duration,
    /// Tokens that were left as far as this gateway knew.
    pub left: f64,
    /// Rate of incoming requests that the other gateways reported, per second.
    pub others_asked: f64,
    /// Time since the latest report of any gateway or relay; `None` before the first one.
    pub last_report_age: Option<Duration>,
}

/// A report of another node.
#[derive(Clone, Debug)]
struct Report {
    usage: Usage,
    by_tenant: HashMap<TenantKey, TenantUse>,
    at: Timestamp,
}

/// The limits of all tenants at one gateway. A tenant without a limit has no entry.
#[derive(Clone, Debug)]
pub struct TenantTable {
    started: Timestamp,
    gateways: u32,
    tenants: HashMap<TenantKey, Tenant>,
    reports: BTreeMap<NodeId, Report>,
    last_report_at: Option<Timestamp>,
}

impl TenantTable {
    /// Creates a table without tenants, for a gateway that starts at `now`.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            gateways: 1,
            tenants: HashMap::new(),
            reports: BTreeMap::new(),
            last_report_at: None,
        }
    }

    /// Sets the number of gateways, including this one.
    pub fn set_gateways(&mut self, gateways: u32, now: Timestamp) {
        self.advance(now);
        self.gateways = gateways.max(1);
    }

    /// Applies new limits. What was used under the earlier limits still counts.
    pub fn set_limits<'n>(
        &mut self,
        limits: impl Iterator<Item = (&'n str, Limit)>,
        now: Timestamp,
    ) {
        self.advance(now);
        let scale = self.scale(now);
        let before = std::mem::take(&mut self.tenants);
        for (name, limit) in limits {
            let key = tenant_key(name);
            let tenant = match before.get(&key) {
                Some(tenant) => tenant.limited_to(limit),
                None => self.new_tenant(key, limit, scale, now),
            };
            self.tenants.insert(key, tenant);
        }
    }

    /// Creates the state of a tenant that had no limit here before.
    fn new_tenant(&self, key: TenantKey, limit: Limit, scale: Scale, now: Timestamp) -> Tenant {
        let mut tenant = Tenant::new(limit, self.started);
        tenant.advance(scale, Others::default(), now);
        for report in self.reports.values() {
            tenant.settle(&report.usage, report.by_tenant.get(&key), now);
        }
        tenant
    }

    /// Records the report of another gateway about its own requests.
    pub fn note_gateway(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
        self.advance(now);
        self.note(from, usage, now);
    }

    /// Records the report of a relay about all other gateways. It replaces the reports of
    /// all other nodes.
    pub fn note_relay(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
        self.advance(now);
        self.reports.retain(|node, _| *node == from);
        self.note(from, usage, now);
    }

    fn note(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
        let mut by_tenant = HashMap::new();
        for one in &usage.tenants {
            // Reports about tenants that are unknown here are not kept.
            if self.tenants.contains_key(&one.tenant) {
                by_tenant.insert(one.tenant, *one);
            }
        }
        for (key, tenant) in &mut self.tenants {
            tenant.settle(&usage, by_tenant.get(key), now);
        }
        let usage = Usage {
            tenants: Vec::new(),
            ..usage
        };
        let report = Report {
            usage,
            by_tenant,
            at: now,
        };
        self.reports.insert(from, report);
        self.last_report_at = Some(now);
    }

    /// Number of gateways whose requests are known here, including this one.
    fn known_gateways(&self) -> u32 {
        let reports = self.reports.values().map(|report| report.usage.gateways);
        reports.fold(1, u32::saturating_add)
    }

    /// Number of gateways that reported recently, including this one.
    fn recent_gateways(&self, now: Timestamp) -> u32 {
        let reports = self.reports.values();
        let recent = reports.filter(|report| now.since(report.at) < RECENT_WITHIN);
        recent.fold(1, |fresh, report| fresh.saturating_add(report.usage.fresh))
    }

    fn scale(&self, now: Timestamp) -> Scale {
        let part = |gateways: u32| (f64::from(gateways) / f64::from(self.gateways)).min(1.0);
        let covered = part(self.known_gateways());
        Scale {
            rate: if covered >= COMPLETE_FROM {
                1.0
            } else {
                covered
            },
            burst: part(self.recent_gateways(now)),
        }
    }

    /// Advances every tenant to `now`, with the reports received until then.
    fn advance(&mut self, now: Timestamp) {
        self.drop_old_reports(now);
        let scale = self.scale(now);
        let keys: Vec<TenantKey> = self.tenants.keys().copied().collect();
        for key in keys {
            self.advance_tenant(key, scale, now);
        }
    }

    fn drop_old_reports(&mut self, now: Timestamp) {
        self.reports
            .retain(|_, report| now.since(report.at) < REPORT_TTL);
    }

    fn advance_tenant(&mut self, key: TenantKey, scale: Scale, now: Timestamp) {
        let others = self.others(key);
        if let Some(tenant) = self.tenants.get_mut(&key) {
            tenant.advance(scale, others, now);
            let known = now.since(self.started) >= SETTLED_AFTER;
            if known {
                tenant.mark_settled();
            }
        }
    }

    fn others(&self, key: TenantKey) -> Others {
        let mut others = Others::default();
        for one in self
            .reports
            .values()
            .filter_map(|report| report.by_tenant.get(&key))
        {
            others.admitted += one.admitted as f64 / 1_000.0;
            others.asked += one.requested as f64 / 1_000.0;
            let left = one.left.map(|left| left as f64 / 1_000.0);
            others.left = match (others.left, left) {
                (Some(known), Some(left)) => Some(known.min(left)),
                (known, left) => known.or(left),
            };
        }
        others
    }

    /// Decides whether a request of the named tenant may go to an engine now.
    ///
    /// # Errors
    /// Returns [`Refused`] if the tenant exceeds its limit.
    pub fn admit(&mut self, name: &str, now: Timestamp) -> Result<(), Refused> {
        let key = tenant_key(name);
        self.drop_old_reports(now);
        let scale = self.scale(now);
        self.advance_tenant(key, scale, now);
        let others = self.others(key);
        let last_report_age = self.last_report_at.map(|at| now.since(at));
        let Some(tenant) = self.tenants.get_mut(&key) else {
            return Ok(());
        };
        if tenant.request(others, now) {
            return Ok(());
        }
        Err(Refused {
            retry_after: tenant.retry_after(scale, others, now),
            left: tenant.left(),
            others_asked: others.asked,
            last_report_age,
        })
    }

    /// Returns the token of an admitted request that never went to an engine.
    pub fn give_back(&mut self, name: &str, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(&tenant_key(name)) {
            tenant.give_back(now);
        }
    }

    /// Whether tokens run short for a tenant that sends requests here, so that the others
    /// should receive a report immediately.
    #[must_use]
    pub fn is_short(&self, now: Timestamp) -> bool {
        let mut tenants = self.tenants.values();
        tenants.any(|tenant| tenant.is_short(now))
    }

    /// Returns the usage report of this gateway.
    pub fn usage(&mut self, now: Timestamp) -> Usage {
        self.advance(now);
        let entries = self.tenants.iter();
        let entries = entries.filter_map(|(&key, tenant)| tenant.report(key, now));
        let settled = now.since(self.started) >= SETTLED_AFTER
            || self.reports.values().any(|report| report.usage.settled);
        Usage {
            gateways: 1,
            fresh: 1,
            settled,
            tenants: entries.collect(),
        }
    }
}
