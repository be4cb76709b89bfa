//! Retry delays of refused callers.

use std::time::Duration;

/// Largest fraction of its remaining time that a caller waits before it retries.
const MAX_DELAY_FRACTION: f64 = 1.0 / 3.0;
/// Minimum delay: capacity that becomes free now goes to waiting requests.
const MIN_DELAY: Duration = Duration::from_millis(150);
/// Fraction by which the retries of callers refused at the same time are spread.
const SPREAD: f64 = 0.5;

/// Returns when a caller with remaining time `left` should retry, given the time until
/// there is capacity (`capacity_in`), if known. `draw`, from 0 to 1, spreads the retries of
/// callers.
///
/// If there is no capacity before the caller gives up, the delay is at least `left`,
/// which tells it not to retry.
#[must_use]
pub fn retry_after(capacity_in: Option<Duration>, left: Duration, draw: f64) -> Duration {
    let Some(capacity_in) = capacity_in.filter(|&capacity_in| capacity_in < left) else {
        return left.max(MIN_DELAY);
    };
    let spread = 1.0 + SPREAD * draw.clamp(0.0, 1.0);
    let earliest = capacity_in.max(MIN_DELAY).mul_f64(spread);
    let latest = left.mul_f64(MAX_DELAY_FRACTION / (1.0 + SPREAD) * spread);
    earliest.min(latest.max(MIN_DELAY))
}
