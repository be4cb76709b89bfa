//! Trade-off between batch throughput and the tail latency of online requests.

use std::time::Duration;

/// Tail protection from which batch streams no longer run beside online requests.
const BALANCED: f64 = 50.0;
/// Maximum tail protection.
const MAX_PROTECTION: f64 = 100.0;
/// Time between tokens promised to online callers.
const ONLINE_TOKEN_TARGET: Duration = Duration::from_millis(32);
/// Step duration with batch work at a tail protection of 50 and of 100, as a
/// multiple of the step of an almost empty engine.
const BALANCED_STEP_FACTOR: f64 = 4.0;
const MAX_PROTECTION_STEP_FACTOR: f64 = 1.25;
/// Concurrent batch prefills on one engine, at a tail protection of 0 and from 50
/// upwards.
const UNPROTECTED_PREFILLS: f64 = 2.0;
const PROTECTED_PREFILLS: f64 = 1.0;

/// Limits on batch work, derived from the tail protection.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchPolicy {
    /// Share of an engine's headroom that batch streams may use while online
    /// requests generate tokens. They use none while one awaits its first token.
    pub batch_headroom_share: f64,
    /// Maximum step duration on an engine with batch work only.
    pub max_step: Duration,
    /// Maximum step duration as a multiple of that of an almost empty engine.
    pub step_factor: f64,
    /// Maximum number of concurrent batch prefills on one engine. A prompt chunk
    /// in progress cannot be interrupted, so each may delay an arriving request.
    pub max_prefills: u32,
    /// Quiet period before batch streams resume, as a multiple of the estimated
    /// gap within bursts.
    pub quiet_factor: f64,
}

impl BatchPolicy {
    /// Returns the policy for a tail protection from 0, which maximizes batch
    /// throughput, to 100, which gives online tail latency the highest priority.
    #[must_use]
    pub fn from_tail_protection(tail_protection: u8) -> Self {
        let protection = f64::from(tail_protection).min(MAX_PROTECTION);
        let fill = (1.0 - protection / BALANCED).max(0.0);
        let strict = ((protection - BALANCED) / (MAX_PROTECTION - BALANCED)).max(0.0);
        let max_prefills = PROTECTED_PREFILLS + (UNPROTECTED_PREFILLS - PROTECTED_PREFILLS) * fill;
        let strict_factor =
            BALANCED_STEP_FACTOR + (MAX_PROTECTION_STEP_FACTOR - BALANCED_STEP_FACTOR) * strict;
        Self {
            batch_headroom_share: fill,
            max_step: ONLINE_TOKEN_TARGET,
            step_factor: if fill > 0.0 {
                BALANCED_STEP_FACTOR * (1.0 + fill)
            } else {
                strict_factor
            },
            max_prefills: max_prefills.round() as u32,
            quiet_factor: protection / BALANCED,
        }
    }

    /// Returns the target step duration on an engine without online work, whose
    /// step is `base` when almost empty. Without `base`, returns the maximum step.
    #[must_use]
    pub fn step_target(&self, base: Option<Duration>) -> Duration {
        let scaled = base.map(|base| base.mul_f64(self.step_factor));
        scaled.map_or(self.max_step, |scaled| scaled.min(self.max_step))
    }

    /// Returns the target step duration while online requests generate tokens.
    #[must_use]
    pub fn token_target(&self) -> Duration {
        ONLINE_TOKEN_TARGET
    }
}
