//! Real `molespand` processes, with files in a temporary folder.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub mod cluster;
pub mod control;
pub mod daemon;
pub mod ports;

use std::future::Future;
use std::time::{Duration, Instant};

use async_io::Timer;

/// Longest wait for a condition.
pub const LIMIT: Duration = Duration::from_secs(30);
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
