//! Rate and concurrency limits of one tenant.

use std::time::Duration;

use molespan_types::Timestamp;

use super::bucket::TokenBucket;
use super::refusal::{Refusal, RefusalCode};

/// Limits of a tenant at one gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TenantPolicy {
    /// Sustained requests per second.
    pub requests_per_second: u32,
    /// Requests above that rate that may arrive at once.
    pub burst: u32,
    /// Maximum number of requests in flight or queued.
    pub max_concurrency: u32,
    /// Weight relative to other tenants in a contended queue.
    pub weight: u32,
}

impl Default for TenantPolicy {
    fn default() -> Self {
        Self {
            requests_per_second: 200,
            burst: 400,
            max_concurrency: 512,
            weight: 1,
        }
    }
}

/// State of a recently active tenant.
#[derive(Clone, Debug)]
pub(super) struct Tenant {
    policy: TenantPolicy,
    bucket: TokenBucket,
    in_flight: u32,
}

impl Tenant {
    pub(super) fn new(now: Timestamp, policy: &TenantPolicy) -> Self {
        Self {
            policy: policy.clone(),
            bucket: TokenBucket::new(now, policy.requests_per_second, policy.burst),
            in_flight: 0,
        }
    }

    pub(super) fn set_policy(&mut self, now: Timestamp, policy: &TenantPolicy) {
        if self.policy == *policy {
            return;
        }
        self.policy = policy.clone();
        self.bucket
            .resize(now, policy.requests_per_second, policy.burst);
    }

    /// Counts a new request as in flight, or refuses it. A request refused for
    /// concurrency takes no token from the rate limit.
    pub(super) fn take(
        &mut self,
        now: Timestamp,
        mean_service_time: Duration,
    ) -> Result<(), Refusal> {
        if self.in_flight >= self.policy.max_concurrency {
            let until_one_ends = mean_service_time / self.policy.max_concurrency.max(1);
            return Err(Refusal::after(
                RefusalCode::TenantConcurrency,
                until_one_ends,
            ));
        }
        self.bucket.take(now).map_err(|wait| Refusal {
            code: RefusalCode::TenantRate,
            retry_after: wait,
        })?;
        self.in_flight += 1;
        Ok(())
    }

    pub(super) fn release(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    pub(super) fn set_in_flight(&mut self, in_flight: u32) {
        self.in_flight = in_flight;
    }

    pub(super) fn weight(&self) -> u32 {
        self.policy.weight.max(1)
    }

    pub(super) fn is_idle(&mut self, now: Timestamp) -> bool {
        self.in_flight == 0 && self.bucket.is_full(now)
    }
}
