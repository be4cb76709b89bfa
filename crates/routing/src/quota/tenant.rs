//! One tenant at one gateway: the tokens that all gateways have left for it, as far as
//! this one knows, and its part of them.

use std::time::Duration;

use molespan_types::Timestamp;

use super::flow::Flow;
use super::telling::{TenantKey, TenantUse, Usage};

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
/// Part of the burst below which tokens run short: at four times the rate the rest of
/// a burst of one second lasts for some 0.2 s, a few tellings.
const SHORT: f64 = 0.7;
/// Shortest time until a refused caller may come back: an interval of telling while
/// tokens run short.
const SOONEST: Duration = Duration::from_millis(50);
/// Longest time that a refused caller is sent away for: by then the limit or the
/// other callers may have changed.
const LATEST: Duration = Duration::from_secs(5);
/// Tokens of its part that a gateway may save up where that part is smaller: with
/// one alone, a token that comes between two requests would be lost (a fifth of
/// all at four times the limit, over 49 gateways).
const LEAST_PART: f64 = 2.0;
/// Time over which gateways come to agree on what is left: longer than a telling takes,
/// so that what is on its way counts for little, and short enough that no caller is
/// refused for long by an old estimate.
const AGREES_OVER: Duration = Duration::from_millis(1_000);
/// Time over which tokens that are left are given out in parts once they run short: a
/// few times as long as it takes until the others see what a gateway admitted.
const SPENT_OVER: Duration = Duration::from_millis(1_000);
/// Requests a second below which a flow is not told: one in a hundred seconds.
const TOLD_FROM: f64 = 0.01;

/// Bound on the requests of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Requests a second, for as long as it likes.
    pub per_second: f64,
    /// Requests beyond that rate at once.
    pub burst: f64,
}

/// What one tenant has at this gateway.
#[derive(Clone, Debug)]
pub(super) struct Tenant {
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

/// How much of each limit the gateways have that hear each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    /// Part of the rate: all of it, unless others were not heard of for long.
    pub rate: f64,
    /// Part of the burst: that of the gateways that told a moment ago. Those
    /// beyond a cut may use theirs too.
    pub burst: f64,
}

/// What the other gateways have of a tenant.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Others {
    pub admitted: f64,
    pub asked: f64,
    /// Tokens that one of them believes to be left, the lowest of such numbers.
    pub left: Option<f64>,
}

impl Tenant {
    /// No tokens yet, at a gateway that started at `started`.
    pub fn new(limit: Limit, started: Timestamp) -> Self {
        Self {
            limit,
            left: 0.0,
            part: 0.0,
            at: started,
            settled: false,
            admitted: Flow::new(ADMITTED_OVER),
            asked: Flow::new(ASKED_OVER),
            returns: started,
        }
    }

    /// Tokens left for all gateways, as far as is known here.
    pub fn left(&self) -> f64 {
        self.left
    }

    /// By now `left` is more than a guess: as much time has passed since the start as
    /// limits are judged over.
    pub fn settle_by_time(&mut self) {
        self.settled = true;
    }

    /// A request comes; says whether it is admitted.
    pub fn ask(&mut self, others: Others, now: Timestamp) -> bool {
        self.asked.add(1.0, now);
        let admitted = self.admits(others);
        if admitted {
            self.take(now);
        }
        admitted
    }

    /// A request that was admitted never went to an engine.
    pub fn give_back(&mut self, now: Timestamp) {
        self.left += 1.0;
        self.admitted.add(-1.0, now);
    }

    /// The same under another limit.
    pub fn limited_to(&self, limit: Limit) -> Self {
        Self {
            limit,
            left: self.left.min(limit.burst),
            part: self.part.min(limit.burst),
            ..self.clone()
        }
    }

    /// Tokens come at the tenant's rate, and others take what they tell.
    pub fn advance(&mut self, scale: Scale, others: Others, now: Timestamp) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        let rate = self.limit.per_second * scale.rate;
        let burst = self.limit.burst * scale.burst;
        let left = self.left + (rate - others.admitted) * seconds;
        // Nobody is made to pay for longer than the limit is judged over.
        self.left = left.clamp(-(rate + burst), burst.max(1.0));
        self.agree(rate, others, seconds);
        if self.left > 0.0 {
            let share = self.share(others, now);
            let most = (share * burst).max(LEAST_PART);
            let unseen = others.admitted * ADMITTED_OVER.as_secs_f64();
            let spare = (self.left - unseen).max(0.0) / SPENT_OVER.as_secs_f64();
            self.part = (self.part + share * (rate + spare) * seconds).min(most);
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

    /// Whether its tokens run short while requests come here.
    pub fn is_short(&self, now: Timestamp) -> bool {
        self.left < self.limit.burst * SHORT && self.asked.at(now) >= TOLD_FROM
    }

    fn take(&mut self, now: Timestamp) {
        self.left -= 1.0;
        self.part = (self.part - 1.0).max(0.0);
        self.admitted.add(1.0, now);
    }

    /// Callers that are refused one after the other come back one after the other,
    /// as the tokens come that they need.
    pub fn retry_after(&mut self, scale: Scale, others: Others, now: Timestamp) -> Duration {
        let rate = self.limit.per_second * scale.rate;
        let own = rate * self.share(others, now);
        let between = seconds(1.0 / own);
        let debt = seconds(-self.left.min(0.0) / rate);
        let latest = now + LATEST;
        self.returns = (self.returns.max(now + debt) + between).min(latest);
        self.returns.since(now).clamp(SOONEST, LATEST)
    }

    /// Takes over what a gateway that knows believes to be left.
    pub fn settle(&mut self, usage: &Usage, told: Option<&TenantUse>, now: Timestamp) {
        if self.settled || !usage.settled {
            return;
        }
        let left = match told.map(|told| (told.left, told.admitted)) {
            // What was admitted and not told yet may be known to nobody any more, if
            // whoever admitted it started anew too.
            Some((Some(left), admitted)) => {
                let unseen = admitted as f64 * SEEN_AFTER.as_secs_f64();
                (left as f64 - unseen) / 1_000.0
            }
            Some((None, _)) => return,
            None => self.limit.burst,
        };
        self.left = left.min(self.limit.burst);
        self.at = now;
        self.settled = true;
    }

    /// Moves towards what others believe to be left, if that is less: what a gateway
    /// missed, others have counted. Their numbers are old by a telling, in which more
    /// tokens may have come at the `rate` than were taken.
    fn agree(&mut self, rate: f64, others: Others, seconds: f64) {
        let Some(left) = others.left else {
            return;
        };
        let came = (rate - others.admitted).max(0.0) * SEEN_AFTER.as_secs_f64();
        let beyond = self.left - left - came;
        let part = (seconds / AGREES_OVER.as_secs_f64()).min(1.0);
        self.left -= beyond.max(0.0) * part;
    }

    /// What is told of it; `None` while there is nothing to tell.
    pub fn told(&self, key: TenantKey, now: Timestamp) -> Option<TenantUse> {
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
