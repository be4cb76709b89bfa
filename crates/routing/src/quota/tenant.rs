//! State of one tenant at one gateway: the tokens left for all gateways, as far as this
//! one knows, and its share of them.

use std::time::Duration;

use molespan_types::Timestamp;

use super::flow::Flow;
use super::telling::{TenantKey, TenantUse, Usage};

/// Time over which admitted requests are smoothed. The other gateways subtract them from
/// the bucket with this delay, and admit too many for as long when a burst begins. A few
/// reporting intervals, so that reports cover all of it.
const ADMITTED_SMOOTHING: Duration = Duration::from_millis(200);
/// Time over which incoming requests are smoothed to compute the share of each gateway,
/// so that a tenant with a few requests per second gets a steady share.
const ASKED_SMOOTHING: Duration = Duration::from_millis(500);
/// Maximum time, while reports arrive, until the others see what a gateway admitted: a
/// reporting interval, a relay round and the network delay.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(350);
/// Fraction of the burst below which tokens run short. At four times the rate, the rest
/// of a burst of one second lasts some 0.2 s, a few reporting intervals.
const SHORT_FRACTION: f64 = 0.7;
/// Minimum retry delay of a refused caller: the reporting interval while tokens run
/// short.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Maximum retry delay of a refused caller: by then the limit or the load of other
/// callers may have changed.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Tokens of its share that a gateway may always save up, even if its share of the burst
/// is smaller. With only one, a token that arrives between two requests would be lost (a
/// fifth of all tokens at four times the limit, over 49 gateways).
const MIN_SAVED_TOKENS: f64 = 2.0;
/// Time over which gateways converge on the tokens left: longer than the delay of a
/// report, so that reports in transit matter little, and short enough that an outdated
/// estimate does not refuse callers for long.
const CONVERGENCE_TIME: Duration = Duration::from_millis(1_000);
/// Time over which the tokens left are handed out in shares once they run short: a few
/// times the delay until the others see what a gateway admitted.
const HAND_OUT_TIME: Duration = Duration::from_millis(1_000);
/// Requests per second below which a tenant's requests are not reported: one in a hundred
/// seconds.
const MIN_REPORTED_RATE: f64 = 0.01;

/// Rate limit of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// Sustained requests per second.
    pub per_second: f64,
    /// Requests above that rate that may arrive at once.
    pub burst: f64,
}

/// State of one tenant at this gateway.
#[derive(Clone, Debug)]
pub(super) struct Tenant {
    limit: Limit,
    /// Tokens left for all gateways, as far as this one knows.
    left: f64,
    /// Tokens in this gateway's share, used when tokens run short.
    share_tokens: f64,
    /// Time for which both values are valid.
    at: Timestamp,
    /// Whether `left` is more than the guess of a gateway that has just started.
    settled: bool,
    admitted: Flow,
    asked: Flow,
    /// Time at which the next refused caller may retry.
    next_retry: Timestamp,
}

/// Fraction of each limit that is available to the gateways in contact with each other.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scale {
    /// Fraction of the rate: all of it, unless other gateways have not reported for a
    /// long time.
    pub rate: f64,
    /// Fraction of the burst: that of the gateways that reported recently. Gateways on
    /// the other side of a network partition may use theirs too.
    pub burst: f64,
}

/// Usage of a tenant at the other gateways.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Others {
    pub admitted: f64,
    pub asked: f64,
    /// Lowest of their estimates of the tokens left.
    pub left: Option<f64>,
}

impl Tenant {
    /// Creates a tenant without tokens, at a gateway that started at `started`.
    pub fn new(limit: Limit, started: Timestamp) -> Self {
        Self {
            limit,
            left: 0.0,
            share_tokens: 0.0,
            at: started,
            settled: false,
            admitted: Flow::new(ADMITTED_SMOOTHING),
            asked: Flow::new(ASKED_SMOOTHING),
            next_retry: started,
        }
    }

    /// Tokens left for all gateways, as far as this one knows.
    pub fn left(&self) -> f64 {
        self.left
    }

    /// Marks `left` as more than a guess: the time over which limits are judged has
    /// passed since the start.
    pub fn mark_settled(&mut self) {
        self.settled = true;
    }

    /// Records an incoming request. Returns whether it is admitted.
    pub fn request(&mut self, others: Others, now: Timestamp) -> bool {
        self.asked.add(1.0, now);
        let admitted = self.admits(others);
        if admitted {
            self.take(now);
        }
        admitted
    }

    /// Returns the token of an admitted request that never went to an engine.
    pub fn give_back(&mut self, now: Timestamp) {
        self.left += 1.0;
        self.admitted.add(-1.0, now);
    }

    /// Returns the same state under another limit.
    pub fn limited_to(&self, limit: Limit) -> Self {
        Self {
            limit,
            left: self.left.min(limit.burst),
            share_tokens: self.share_tokens.min(limit.burst),
            ..self.clone()
        }
    }

    /// Advances to `now`: adds tokens at the tenant's rate, and subtracts what the others
    /// report.
    pub fn advance(&mut self, scale: Scale, others: Others, now: Timestamp) {
        let seconds = now.since(self.at).as_secs_f64();
        self.at = now;
        let rate = self.limit.per_second * scale.rate;
        let burst = self.limit.burst * scale.burst;
        let left = self.left + (rate - others.admitted) * seconds;
        // Bounds the debt, so that a tenant does not repay for longer than limits are
        // judged over.
        self.left = left.clamp(-(rate + burst), burst.max(1.0));
        self.converge(rate, others, seconds);
        if self.left > 0.0 {
            let share = self.share(others, now);
            let cap = (share * burst).max(MIN_SAVED_TOKENS);
            let unreported = others.admitted * ADMITTED_SMOOTHING.as_secs_f64();
            let spare = (self.left - unreported).max(0.0) / HAND_OUT_TIME.as_secs_f64();
            self.share_tokens = (self.share_tokens + share * (rate + spare) * seconds).min(cap);
        }
    }

    /// This gateway's share of the tenant's requests.
    fn share(&self, others: Others, now: Timestamp) -> f64 {
        let own = self.asked.at(now);
        let all = own + others.asked;
        if all > 0.0 { own / all } else { 1.0 }
    }

    fn admits(&self, others: Others) -> bool {
        // What the others admit in the meantime is not known yet.
        let unreported = others.asked * MAX_REPORT_DELAY.as_secs_f64();
        let plenty = self.left - unreported >= 1.0;
        plenty || (self.share_tokens >= 1.0 && self.left > 0.0)
    }

    /// Whether tokens run short while requests arrive here.
    pub fn is_short(&self, now: Timestamp) -> bool {
        self.left < self.limit.burst * SHORT_FRACTION && self.asked.at(now) >= MIN_REPORTED_RATE
    }

    fn take(&mut self, now: Timestamp) {
        self.left -= 1.0;
        self.share_tokens = (self.share_tokens - 1.0).max(0.0);
        self.admitted.add(1.0, now);
    }

    /// Returns the retry delay of a refused caller. Callers that are refused in sequence
    /// retry in sequence, as tokens for them become available.
    pub fn retry_after(&mut self, scale: Scale, others: Others, now: Timestamp) -> Duration {
        let rate = self.limit.per_second * scale.rate;
        let own = rate * self.share(others, now);
        let interval = seconds(1.0 / own);
        let debt = seconds(-self.left.min(0.0) / rate);
        let latest = now + MAX_RETRY_DELAY;
        self.next_retry = (self.next_retry.max(now + debt) + interval).min(latest);
        self.next_retry
            .since(now)
            .clamp(MIN_RETRY_DELAY, MAX_RETRY_DELAY)
    }

    /// Adopts the tokens left from a report by a gateway that knows them.
    pub fn settle(&mut self, usage: &Usage, entry: Option<&TenantUse>, now: Timestamp) {
        if self.settled || !usage.settled {
            return;
        }
        let left = match entry.map(|entry| (entry.left, entry.admitted)) {
            // Requests that were admitted but not reported yet may be known to no gateway
            // any more, if the one that admitted them restarted too.
            Some((Some(left), admitted)) => {
                let unreported = admitted as f64 * MAX_REPORT_DELAY.as_secs_f64();
                (left as f64 - unreported) / 1_000.0
            }
            Some((None, _)) => return,
            None => self.limit.burst,
        };
        self.left = left.min(self.limit.burst);
        self.at = now;
        self.settled = true;
    }

    /// Moves towards the others' estimate of the tokens left if it is lower, since they
    /// counted what this gateway missed. Their estimate is old by the delay of a report,
    /// in which more tokens may have been added at `rate` than were taken.
    fn converge(&mut self, rate: f64, others: Others, seconds: f64) {
        let Some(left) = others.left else {
            return;
        };
        let added = (rate - others.admitted).max(0.0) * MAX_REPORT_DELAY.as_secs_f64();
        let excess = self.left - left - added;
        let fraction = (seconds / CONVERGENCE_TIME.as_secs_f64()).min(1.0);
        self.left -= excess.max(0.0) * fraction;
    }

    /// Returns the report entry of this tenant; `None` while there is nothing to report.
    pub fn report(&self, key: TenantKey, now: Timestamp) -> Option<TenantUse> {
        let admitted = self.admitted.at(now);
        let asked = self.asked.at(now);
        let idle = asked < MIN_REPORTED_RATE && self.left >= self.limit.burst;
        (!idle).then(|| TenantUse {
            tenant: key,
            admitted: per_1000_s(admitted),
            requested: per_1000_s(asked),
            left: self.settled.then_some((self.left * 1_000.0) as i64),
        })
    }
}

fn per_1000_s(per_second: f64) -> u64 {
    (per_second * 1_000.0) as u64
}

/// Converts seconds to a duration of at most [`MAX_RETRY_DELAY`].
fn seconds(number: f64) -> Duration {
    match number.is_finite() {
        true => Duration::from_secs_f64(number.clamp(0.0, MAX_RETRY_DELAY.as_secs_f64())),
        false => MAX_RETRY_DELAY,
    }
}
