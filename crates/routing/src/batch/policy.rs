//! The knob between batch throughput and the online tail.

use std::time::Duration;

/// Value of the knob at which batch work no longer runs beside online work.
const EVEN: f64 = 50.0;
/// Highest value of the knob.
const STRICT: f64 = 100.0;
/// Time between tokens that online callers are promised.
const ONLINE_TOKEN_TARGET: Duration = Duration::from_millis(32);
/// Step with batch work, as a multiple of an empty engine's step, at the
/// middle of the knob and at its end.
const EVEN_STEP_FACTOR: f64 = 4.0;
const STRICT_STEP_FACTOR: f64 = 1.25;
/// Batch prompts being processed at once on one engine, at the fill end and
/// from the middle on.
const FILL_PREFILLS: f64 = 8.0;
const GUARDED_PREFILLS: f64 = 1.0;

/// What one value of the knob means.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchPolicy {
    /// Share of an engine's headroom that batch streams may use while online
    /// requests generate there; never while one waits for its first token.
    pub alongside_share: f64,
    /// Longest step that batch work may cause on an engine without online work.
    pub longest_step: Duration,
    /// Longest step as a multiple of the step of an almost empty engine.
    pub step_factor: f64,
    /// Most batch prompts being processed at once on one engine. A prompt
    /// chunk in progress cannot be interrupted, so each may delay an arrival.
    pub prefills: u32,
    /// Multiple of the learnt gap within bursts to wait before going on.
    pub quiet_factor: f64,
}

impl BatchPolicy {
    /// The policy for a knob from 0, which fills engines with batch work, to
    /// 100, which guards the online tail above all.
    #[must_use]
    pub fn from_knob(tail_protection: u8) -> Self {
        let knob = f64::from(tail_protection).min(STRICT);
        let fill = (1.0 - knob / EVEN).max(0.0);
        let strict = ((knob - EVEN) / (STRICT - EVEN)).max(0.0);
        let prefills = GUARDED_PREFILLS + (FILL_PREFILLS - GUARDED_PREFILLS) * fill;
        let strict_factor = EVEN_STEP_FACTOR + (STRICT_STEP_FACTOR - EVEN_STEP_FACTOR) * strict;
        Self {
            alongside_share: fill,
            longest_step: ONLINE_TOKEN_TARGET,
            step_factor: if fill > 0.0 {
                EVEN_STEP_FACTOR * (1.0 + fill)
            } else {
                strict_factor
            },
            prefills: prefills.round() as u32,
            quiet_factor: knob / EVEN,
        }
    }

    /// Longest step to aim at on an engine whose step is `base` when almost
    /// empty; without a base, the promise to online callers alone counts.
    #[must_use]
    pub fn step_target(&self, base: Option<Duration>) -> Duration {
        let scaled = base.map(|base| base.mul_f64(self.step_factor));
        scaled.map_or(self.longest_step, |scaled| scaled.min(self.longest_step))
    }

    /// Longest step to aim at while online requests generate.
    #[must_use]
    pub fn token_target(&self) -> Duration {
        ONLINE_TOKEN_TARGET
    }
}
