//! Wall clock time, for timestamps shown to people and for job deadlines. Leases and
//! timeouts use monotonic clocks instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the milliseconds since the Unix epoch (1970 in UTC); zero for an earlier clock.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
