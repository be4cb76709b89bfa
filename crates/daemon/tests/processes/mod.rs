//! Real `molespand` processes, with files in a temporary folder.

#![allow(dead_code, reason = "each test file uses a part of it")]

#[path = "../support/client.rs"]
pub mod client;
pub mod cluster;
pub mod control;
pub mod daemon;
pub mod fleet;
pub mod ports;

use std::future::Future;
use std::time::{Duration, Instant};

use async_io::Timer;

/// Maximum wait for a condition.
pub const LIMIT: Duration = Duration::from_secs(30);
/// The same limit under the name that the HTTP client uses.
pub const PATIENCE: Duration = LIMIT;
/// Interval between checks of a condition.
const PAUSE: Duration = Duration::from_millis(10);

/// Waits until `condition` returns a value.
pub async fn eventually<T, F>(what: &str, mut condition: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let deadline = Instant::now() + LIMIT;
    loop {
        if let Some(value) = condition().await {
            return value;
        }
        assert!(Instant::now() < deadline, "not in time: {what}");
        Timer::after(PAUSE).await;
    }
}

/// Waits until `check` holds.
pub fn wait_for(what: &str, mut check: impl FnMut() -> bool) {
    let deadline = Instant::now() + LIMIT;
    while !check() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        std::thread::sleep(PAUSE);
    }
}

/// Waits until a count has stopped changing and returns it.
pub fn settled(mut count: impl FnMut() -> u64) -> u64 {
    const STABLE_CHECKS: u32 = 30;
    let mut last = count();
    let mut same = 0;
    wait_for("a count that stays the same", || {
        let now = count();
        same = if now == last { same + 1 } else { 0 };
        last = now;
        same >= STABLE_CHECKS
    });
    last
}
