//! The limits of all tenants at one gateway.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use molespan_types::{NodeId, Timestamp};

use super::flow::Flow;
use super::telling::{TenantKey, TenantUse, Usage, tenant_key};

/// How long what others told last is taken to go on when nothing more is heard of
/// them: a relay that is lost is left within a second. Behind it each side of a cut
/// takes what its number of gateways entitles it to. What was told last is a sample
/// with some noise, so that holding it for 5 s went beyond limits in simulated cuts.
pub(super) const TOLD_HOLDS: Duration = Duration::from_secs(2);
/// How long a word counts as told a moment ago: a few intervals of telling.
pub(super) const TOLD_LATELY: Duration = Duration::from_millis(1_000);
/// Time over which admitted requests are smoothed: the others take them out of the
/// bucket as much later, and admit too much for as long when a burst begins. As
/// long as a few tellings, so that these see all of it.
const ADMITTED_OVER: Duration = Duration::from_millis(200);
/// Time over which requests are smoothed for the part of each gateway: a tenant of
/// some requests a second is to have a steady one.
const ASKED_OVER: Duration = Duration::from_millis(500);
/// How long it takes until the others see what a gateway admitted, at the most
/// while tellings come: an interval of telling, a relay's round, and the way.
const SEEN_AFTER: Duration = Duration::from_millis(350);
/// Behind its start a gateway knows how many tokens are left once it was told, or
/// after this long at the latest.
const SETTLES_AFTER: Duration = Duration::from_secs(5);
/// Part of all gateways that counts as all of them: some are always on their way.
const ALL_BUT: f64 = 0.95;
/// Part of the burst below which tokens run short.
const SHORT: f64 = 0.7;
/// Shortest time until a refused caller may come back.
const SOONEST: Duration = Duration::from_millis(50);
/// Longest time that a refused caller is sent away for: by then the limit or the
/// other callers may have changed.
const LATEST: Duration = Duration::from_secs(5);
/// Tokens of its part that a gateway may save up where that part is smaller: with
/// one alone, a token that comes between two requests would be lost (a fifth of
/// all at four times the limit, over 49 gateways).
const LEAST_PART: f64 = 2.0;
/// Requests a second below which a flow is not told.
const TOLD_FROM: f64 = 0.01;

/// Bound on the requests of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, for as long as it likes.
    pub per_second: f64,
    /// Requests beyond that rate at once.
    pub burst: f64,
}

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

/// What one tenant has at this gateway.
#[derive(Clone, Debug)]
struct Tenant {
    limit: Limit,
    /// Tokens left for all gateways, as far as is known here.
    left: f64,
    /// Tokens of this gateway's part when they run short.
    part: f64,
    /// When both were true.
    at: Timestamp,
    /// Whether `left` is more than a guess of a gateway that has just started.
    settled: bool,
    admitted: Flow,
    asked: Flow,
    /// When the next refused caller may come back.
    returns: Timestamp,
}

/// What others told.
#[derive(Clone, Debug)]
struct Told {
    usage: Usage,
    by_tenant: HashMap<TenantKey, TenantUse>,
    at: Timestamp,
}

/// How much of each limit the gateways have that hear each other.
#[derive(Clone, Copy, Debug)]
struct Scale {
    /// Part of the rate: all of it, unless others were not heard of for long.
    rate: f64,
    /// Part of the burst: that of the gateways that told a moment ago. Those
    /// beyond a cut may use theirs too.
    burst: f64,
}

/// What the other gateways have of a tenant.
#[derive(Clone, Copy, Debug, Default)]
struct Others {
    admitted: f64,
    asked: f64,
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
        let mut tenant = Tenant {
            limit,
            left: 0.0,
            part: 0.0,
            at: self.started,
            settled: false,
            admitted: Flow::new(ADMITTED_OVER),
            asked: Flow::new(ASKED_OVER),
            returns: now,
        };
        tenant.advance(scale, Others::default(), now);
        for told in self.told.values() {
            tenant.settle(&told.usage, told.by_tenant.get(&key), now);
        }
        tenant
    }

    /// Takes in what another gateway tells of its own requests.
    pub fn note_gateway(&mut self, from: NodeId, usage: Usage, now: Timestamp) {
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
        self.advance(now);
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
        let scale = self.scale(now);
        let keys: Vec<TenantKey> = self.tenants.keys().copied().collect();
        for key in keys {
            self.advance_one(key, scale, now);
        }
        self.told.retain(|_, told| now.since(told.at) < TOLD_HOLDS);
    }

    fn advance_one(&mut self, key: TenantKey, scale: Scale, now: Timestamp) {
        let others = self.others(key);
        if let Some(tenant) = self.tenants.get_mut(&key) {
            tenant.advance(scale, others, now);
            let known = now.since(self.started) >= SETTLES_AFTER;
            tenant.settled |= known;
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
        }
        others
    }

    /// Whether a request of the tenant of this name may go to an engine now.
    ///
    /// # Errors
    /// When the tenant sends more than it may.
    pub fn admit(&mut self, name: &str, now: Timestamp) -> Result<(), Refused> {
        let key = tenant_key(name);
        let scale = self.scale(now);
        self.advance_one(key, scale, now);
        let others = self.others(key);
        let told_ago = self.told_at.map(|told| now.since(told));
        let Some(tenant) = self.tenants.get_mut(&key) else {
            return Ok(());
        };
        tenant.asked.add(1.0, now);
        if tenant.admits(others) {
            tenant.take(now);
            return Ok(());
        }
        Err(Refused {
            retry_after: tenant.retry_after(scale, others, now),
            left: tenant.left,
            others_asked: others.asked,
            told_ago,
        })
    }

    /// A request that was admitted never went to an engine.
    pub fn give_back(&mut self, name: &str, now: Timestamp) {
        if let Some(tenant) = self.tenants.get_mut(&tenant_key(name)) {
            tenant.left += 1.0;
            tenant.admitted.add(-1.0, now);
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

impl Tenant {
    fn limited_to(&self, limit: Limit) -> Self {
        Self {
            limit,
            left: self.left.min(limit.burst),
            part: self.part.min(limit.burst),
            ..self.clone()
        }
    }

    /// Tokens come at the tenant's rate, and others take what they tell.
    fn advance(&mut self, scale: Scale, others: Others, now: Timestamp) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        let rate = self.limit.per_second * scale.rate;
        let burst = self.limit.burst * scale.burst;
        let left = self.left + (rate - others.admitted) * seconds;
        // Nobody is made to pay for longer than the limit is judged over.
        self.left = left.clamp(-(rate + burst), burst.max(1.0));
        if self.left > 0.0 {
            let share = self.share(others, now);
            let most = (share * burst).max(LEAST_PART);
            self.part = (self.part + share * rate * seconds).min(most);
        }
    }

    /// This gateway's part of the tenant's requests.
    fn share(&self, others: Others, now: Timestamp) -> f64 {
        let own = self.asked.at(now);
        let all = own + others.asked;
        if all > 0.0 { own / all } else { 1.0 }
    }

    fn admits(&self, others: Others) -> bool {
        // What the others admit meanwhile is not known yet.
        let unseen = others.asked * SEEN_AFTER.as_secs_f64();
        let plenty = self.left - unseen >= 1.0;
        plenty || (self.part >= 1.0 && self.left > 0.0)
    }

    fn is_short(&self, now: Timestamp) -> bool {
        self.left < self.limit.burst * SHORT && self.asked.at(now) >= TOLD_FROM
    }

    fn take(&mut self, now: Timestamp) {
        self.left -= 1.0;
        self.part = (self.part - 1.0).max(0.0);
        self.admitted.add(1.0, now);
    }

    /// Callers that are refused one after the other come back one after the other,
    /// as the tokens come that they need.
    fn retry_after(&mut self, scale: Scale, others: Others, now: Timestamp) -> Duration {
        let rate = self.limit.per_second * scale.rate;
        let own = rate * self.share(others, now);
        let between = seconds(1.0 / own);
        let debt = seconds(-self.left.min(0.0) / rate);
        let latest = now + LATEST;
        self.returns = (self.returns.max(now + debt) + between).min(latest);
        self.returns.since(now).clamp(SOONEST, LATEST)
    }

    /// Takes over what a gateway that knows believes to be left.
    fn settle(&mut self, usage: &Usage, told: Option<&TenantUse>, now: Timestamp) {
        if self.settled || !usage.settled {
            return;
        }
        let left = match told.map(|told| told.left) {
            Some(Some(left)) => left as f64 / 1_000.0,
            Some(None) => return,
            None => self.limit.burst,
        };
        self.left = left.min(self.limit.burst);
        self.at = now;
        self.settled = true;
    }

    fn told(&self, key: TenantKey, now: Timestamp) -> Option<TenantUse> {
        let admitted = self.admitted.at(now);
        let asked = self.asked.at(now);
        let idle = asked < TOLD_FROM && self.left >= self.limit.burst;
        (!idle).then(|| TenantUse {
            tenant: key,
            admitted: per_1000_s(admitted),
            asked: per_1000_s(asked),
            left: self.settled.then_some((self.left * 1_000.0) as i64),
        })
    }
}

fn per_1000_s(per_second: f64) -> u64 {
    (per_second * 1_000.0) as u64
}

/// So many seconds, [`LATEST`] at the most.
fn seconds(number: f64) -> Duration {
    match number.is_finite() {
        true => Duration::from_secs_f64(number.clamp(0.0, LATEST.as_secs_f64())),
        false => LATEST,
    }
}
