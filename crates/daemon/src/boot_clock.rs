//! A monotonic clock that keeps counting while the machine is suspended.
//!
//! `std::time::Instant` reads `CLOCK_MONOTONIC`, which stops during a suspension: after
//! eight seconds of suspension a lease, the age of a peer's report or a caller's
//! remaining deadline would look as fresh as before. This clock reads `CLOCK_BOOTTIME`,
//! so a resumed machine sees the same ages as a process that was stopped for as long.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use molespan_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Longest single timer wait. Timers run on the monotonic clock, so a timer that was set
/// before a suspension fires at most this much late.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// A clock that starts at zero when it is created.
#[derive(Clone, Debug)]
pub struct BootClock {
    started: Duration,
    /// Microseconds added to the system clock's elapsed time.
    skipped: Arc<AtomicU64>,
    /// Whether only `skipped` advances the clock.
    by_hand: bool,
}

impl BootClock {
    /// Creates a clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        Self::with_offset(Arc::default())
    }

    /// Creates a clock that starts now and runs ahead by `skipped` microseconds, to
    /// simulate a suspension.
    #[must_use]
    pub fn with_offset(skipped: Arc<AtomicU64>) -> Self {
        Self {
            started: since_boot(),
            skipped,
            by_hand: false,
        }
    }

    /// Creates a clock that only `skipped` advances, so that decisions based on it do not
    /// depend on the speed of the machine.
    #[must_use]
    pub fn by_hand(skipped: Arc<AtomicU64>) -> Self {
        Self {
            by_hand: true,
            ..Self::with_offset(skipped)
        }
    }

    /// Returns the time since the clock was created.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let passed = match self.by_hand {
            true => Duration::ZERO,
            false => since_boot().saturating_sub(self.started),
        };
        let skipped = self.skipped.load(Ordering::Relaxed);
        Timestamp(passed.as_micros() as u64 + skipped)
    }

    /// Waits until `at`; overshoots by at most [`MAX_WAIT`] when the machine was
    /// suspended in the meantime.
    pub async fn wait_until(&self, at: Timestamp) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(MAX_WAIT)).await;
        }
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
