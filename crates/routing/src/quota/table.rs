//! The limits of all tenants at one gateway.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};

use super::telling::{TenantKey, TenantUse, Usage, tenant_key};
use super::tenant::{Limit, Others, Scale, Tenant};

/// How long what others told last is taken to go on when nothing more is heard of
/// them: a relay that is lost is left within a second. Behind it each side of a cut
/// takes what its number of gateways entitles it to. What was told last is a sample
/// with some noise, so that holding it for 5 s went beyond limits in simulated cuts.
pub(super) const TOLD_HOLDS: Duration = Duration::from_secs(2);
/// How long a word counts as told a moment ago: a few intervals of telling.
pub(super) const TOLD_LATELY: Duration = Duration::from_millis(1_000);
/// Behind its start a gateway knows how many tokens are left once it was told, or
/// after this long at the latest.
const SETTLES_AFTER: Duration = Duration::from_secs(5);
/// Part of all gateways that counts as all of them: some are always on their way.
const ALL_BUT: f64 = 0.95;
/// A request that is over its tenant's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Refused {
    /// When a token will be there for it, behind those that were refused before.
    pub retry_after: Duration,
    /// Tokens that were left as far as this gateway knew.
    pub left: f64,
    /// Requests a second that the other gateways had as they told.
    pub others_asked: f64,
    /// Time since some gateway or relay told anything; `None` before.
    pub told_ago: Option<Duration>,
}

/// What others told.
#[derive(Clone, Debug)]
struct Told {
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
    told: BTreeMap<NodeId, Told>,
    told_at: Option<Timestamp>,
}

impl TenantTable {
    /// No tenants, at a gateway that starts.
    #[must_use]
    pub fn new(now: Timestamp) -> Self {
        Self {
            started: now,
            gateways: 1,
            tenants: HashMap::new(),
            told: BTreeMap::new(),
            told_at: None,
        }
    }

    /// How many gateways there are, this one included.
    pub fn set_gateways(&mut self, gateways: u32, now: Timestamp) {
        self.advance(now);
        self.gateways = gateways.max(1);
    }

    /// Other limits come into force. What was used of a limit before counts on.
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
                None => self.begin(key, limit, scale, now),
            };
            self.tenants.insert(key, tenant);
        }
    }

    /// A tenant that had no limit here before.
    fn begin(&self, key: TenantKey, limit: Limit, scale: Scale, now: Timestamp) -> Tenant {
        let mut tenant = Tenant::new(limit, self.started);
        tenant.advance(scale, Others::default(), now);
        for told in self.told.values() {
            tenant.settle(&told.usage, told.by_tenant.get(&key), now);
        }
        tenant
    }

    /// Takes in what another gateway tells of its own requests.
    pub fn note_gateway(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
        self.advance(now);
        self.note(from, usage, now);
    }

    /// Takes in what a relay tells of all other gateways. It takes the place of
    /// what any other relay told.
    pub fn note_relay(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
        self.advance(now);
        self.told.retain(|node, _| *node == from);
        self.note(from, usage, now);
    }

    fn note(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
        let mut by_tenant = HashMap::new();
        for one in &usage.tenants {
            // Words of tenants that are unknown here are kept nowhere.
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
        let told = Told {
            usage,
            by_tenant,
            at: now,
        };
        self.told.insert(from, told);
        self.told_at = Some(now);
    }

    /// Gateways whose requests are known here, this one included.
    fn heard(&self) -> u32 {
        let told = self.told.values().map(|told| told.usage.gateways);
        told.fold(1, u32::saturating_add)
    }

    /// Gateways that told a moment ago, this one included.
    fn fresh(&self, now: Timestamp) -> u32 {
        let told = self.told.values();
        let lately = told.filter(|told| now.since(told.at) < TOLD_LATELY);
        lately.fold(1, |fresh, told| fresh.saturating_add(told.usage.fresh))
    }

    fn scale(&self, now: Timestamp) -> Scale {
        let part = |gateways: u32| (f64::from(gateways) / f64::from(self.gateways)).min(1.0);
        let heard = part(self.heard());
        Scale {
            rate: if heard >= ALL_BUT { 1.0 } else { heard },
            burst: part(self.fresh(now)),
        }
    }

    /// Brings every tenant up to `now`, with what others told until then.
    fn advance(&mut self, now: Timestamp) {
        self.forget_silent(now);
        let scale = self.scale(now);
        let keys: Vec<TenantKey> = self.tenants.keys().copied().collect();
        for key in keys {
            self.advance_one(key, scale, now);
        }
    }

    fn forget_silent(&mut self, now: Timestamp) {
        self.told.retain(|_, told| now.since(told.at) < TOLD_HOLDS);
    }

    fn advance_one(&mut self, key: TenantKey, scale: Scale, now: Timestamp) {
        let others = self.others(key);
        if let Some(tenant) = self.tenants.get_mut(&key) {
            tenant.advance(scale, others, now);
            let known = now.since(self.started) >= SETTLES_AFTER;
            if known {
                tenant.settle_by_time();
            }
        }
    }

    fn others(&self, key: TenantKey) -> Others {
        let mut others = Others::default();
        for one in self
            .told
            .values()
            .filter_map(|told| told.by_tenant.get(&key))
        {
            others.admitted += one.admitted as f64 / 1_000.0;
            others.asked += one.asked as f64 / 1_000.0;
            let left = one.left.map(|left| left as f64 / 1_000.0);
            others.left = match (others.left, left) {
                (Some(known), Some(left)) => Some(known.min(left)),
                (known, left) => known.or(left),
            };
        }
        others
    }

    /// Whether a request of the tenant of this name may go to an engine now.
    ///
    /// # Errors
    /// When the tenant sends more than it may.
    pub fn admit(&mut self, name: &str, now: Timestamp) -> Result<(), Refused> {
        let key = tenant_key(name);
        self.forget_silent(now);
        let scale = self.scale(now);
        self.advance_one(key, scale, now);
        let others = self.others(key);
        let told_ago = self.told_at.map(|told| now.since(told));
        let Some(tenant) = self.tenants.get_mut(&key) else {
            return Ok(());
        };
        if tenant.ask(others, now) {
            return Ok(());
        }
        Err(Refused {
            retry_after: tenant.retry_after(scale, others, now),
            left: tenant.left(),
            others_asked: others.asked,
            told_ago,
        })
    }

    /// A request that was admitted never went to an engine.
    pub fn give_back(&mut self, name: &str, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(&tenant_key(name)) {
            tenant.give_back(now);
        }
    }

    /// Whether tokens of a tenant run short that sends requests here, so that the
    /// others should hear of them at once.
    #[must_use]
    pub fn is_short(&self, now: Timestamp) -> bool {
        let mut tenants = self.tenants.values();
        tenants.any(|tenant| tenant.is_short(now))
    }

    /// What this gateway has of its tenants, for telling others.
    pub fn usage(&mut self, now: Timestamp) -> Usage {
        self.advance(now);
        let told = self.tenants.iter();
        let told = told.filter_map(|(&key, tenant)| tenant.told(key, now));
        let settled = now.since(self.started) >= SETTLES_AFTER
            || self.told.values().any(|told| told.usage.settled);
        Usage {
            gateways: 1,
            fresh: 1,
            settled,
            tenants: told.collect(),
        }
    }
}
