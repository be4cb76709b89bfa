//! Typed refusals.

use std::time::Duration;

use derive_more::Display;

use super::AdmissionSettings;

const NANOS_PER_MILLI: u128 = 1_000_000;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum RefusalCode {
    /// The tenant used up its rate.
    #[display("tenant_rate")]
    TenantRate,
    /// The tenant has as many requests in flight as it may.
    #[display("tenant_concurrency")]
    TenantConcurrency,
    /// The queue of the service is full.
    #[display("queue_full")]
    QueueFull,
    /// Its turn would come after its deadline.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// No such service is configured.
    #[display("unknown_service")]
    UnknownService,
    /// No back end of the service may take work.
    #[display("no_backend")]
    NoBackend,
    /// The node cannot confirm that its configuration is current.
    #[display("configuration_not_current")]
    ConfigurationNotCurrent,
    /// The node is stopping as planned.
    #[display("draining")]
    Draining,
}

/// A final refusal: the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub code: RefusalCode,
    /// When coming back helps; `None` when it does not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal that coming back does not change.
    #[must_use]
    pub fn permanent(code: RefusalCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// A refusal that may change after `retry_after`.
    #[must_use]
    pub fn after(code: RefusalCode, retry_after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(retry_after),
        }
    }

    /// The same with its time within the configured bounds, in whole
    /// milliseconds; rounded up, so that nobody comes back too early.
    pub(super) fn bounded(self, settings: &AdmissionSettings) -> Self {
        let (shortest, longest) = (settings.shortest_retry_after, settings.longest_retry_after);
        let retry_after = self.retry_after.map(|after| {
            let millis = after.as_nanos().div_ceil(NANOS_PER_MILLI);
            let whole = Duration::from_millis(u64::try_from(millis).unwrap_or(u64::MAX));
            whole.clamp(shortest, longest)
        });
        Self {
            retry_after,
            ..self
        }
    }
}
