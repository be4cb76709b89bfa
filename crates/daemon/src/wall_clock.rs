//! The time of day, for what people see and for job deadlines. Leases and
//! timeouts use monotonic clocks instead.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970 in UTC; zero when the clock stands before that.
#[must_use]
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |duration| duration.as_millis() as u64)
}
