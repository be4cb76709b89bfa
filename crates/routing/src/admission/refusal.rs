//! Refusals and their codes.

use std::time::Duration;

use derive_more::Display;

use super::AdmissionSettings;

const NANOS_PER_MILLI: u128 = 1_000_000;

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum RefusalCode {
    /// The tenant used up its rate limit.
    #[display("tenant_rate")]
    TenantRate,
    /// The tenant reached its concurrency limit.
    #[display("tenant_concurrency")]
    TenantConcurrency,
    /// The queue of the service is full.
    #[display("queue_full")]
    QueueFull,
    /// The request would be admitted after its deadline.
    #[display("deadline_unreachable")]
    DeadlineUnreachable,
    /// No such service is configured.
    #[display("unknown_service")]
    UnknownService,
    /// No back end of the service accepts work.
    #[display("no_backend")]
    NoBackend,
    /// The node cannot confirm that its configuration is current.
    #[display("configuration_not_current")]
    ConfigurationNotCurrent,
    /// The node is draining for a planned stop.
    #[display("draining")]
    Draining,
}

/// A final refusal: the request did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub code: RefusalCode,
    /// Time after which a retry may succeed; `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal that a retry does not change.
    #[must_use]
    pub fn permanent(code: RefusalCode) -> Self {
        Self {
            code,
            retry_after: None,
        }
    }

    /// Creates a refusal that may change after `retry_after`.
    #[must_use]
    pub fn after(code: RefusalCode, retry_after: Duration) -> Self {
        Self {
            code,
            retry_after: Some(retry_after),
        }
    }

    /// Returns the refusal with its retry time clamped to the configured bounds, in whole
    /// milliseconds. Rounds up, so that no caller retries too early.
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
