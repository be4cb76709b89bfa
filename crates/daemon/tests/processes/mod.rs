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

/// Longest wait for a condition.
pub const LIMIT: Duration = Duration::from_secs(30);
/// The same, as the HTTP client calls it.
pub const PATIENCE: Duration = LIMIT;
/// Pause between two looks at a condition.
const PAUSE: Duration = Duration::from_millis(10);

/// Waits until `condition` gives something.
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

/// Waits until a count stays the same for a while; gives it.
pub fn settled(mut count: impl FnMut() -> u64) -> u64 {
    const LOOKS: u32 = 30;
    let mut last = count();
    let mut same = 0;
    wait_for("a count that stays the same", || {
        let now = count();
        same = if now == last { same + 1 } else { 0 };
        last = now;
        same >= LOOKS
    });
    last
}
