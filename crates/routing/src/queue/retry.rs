//! When a refused caller should come back.

use std::time::Duration;

/// Part of the time that a caller has left for which it waits at the most before it
/// comes back.
const HONOURED: f64 = 1.0 / 3.0;
/// Shortest time: room that opens now is for those who wait.
const SHORTEST: Duration = Duration::from_millis(150);
/// Part by which callers who are refused together come back apart.
const SPREAD: f64 = 0.5;

/// When a caller with so much time `left` comes back best, where room returns in
/// `room_in` if that can be seen; `draw`, from 0 to 1, spreads callers.
///
/// Where there is no room before its patience ends it is told so by a time beyond it.
#[must_use]
pub fn retry_after(room_in: Option<Duration>, left: Duration, draw: f64) -> Duration {
    let Some(room_in) = room_in.filter(|&room_in| room_in < left) else {
        return left.max(SHORTEST);
    };
    let spread = 1.0 + SPREAD * draw.clamp(0.0, 1.0);
    let earliest = room_in.max(SHORTEST).mul_f64(spread);
    let latest = left.mul_f64(HONOURED / (1.0 + SPREAD) * spread);
    earliest.min(latest.max(SHORTEST))
}
