//! Time that goes on while the machine is suspended.
//!
//! `std::time::Instant` reads the steady clock, which stands still while a machine is
//! suspended: a lease, the age of what others told, or the time that a caller still
//! has would look as fresh behind eight seconds as before them. This one counts the
//! time in which the world went on, so that a machine that wakes up finds everything as
//! old as one that was frozen does.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_io::Timer;
use molespan_types::Timestamp;
use rustix::time::{ClockId, clock_gettime};

/// Longest wait at a stretch: timers count on the steady clock, so that one that was
/// set before the machine was suspended fires this much late at the most.
const LONGEST_WAIT: Duration = Duration::from_millis(500);

/// A clock that counts from its start.
#[derive(Clone, Debug)]
pub struct BootClock {
    started: Duration,
    /// Microseconds that have passed beside those of the system's clock.
    skipped: Arc<AtomicU64>,
    /// Whether only those count.
    by_hand: bool,
}

impl BootClock {
    /// A clock that begins now.
    #[must_use]
    pub fn start() -> Self {
        Self::with_offset(Arc::default())
    }

    /// A clock that begins now, and for which as many microseconds more have passed as
    /// `skipped` says: to see what a suspension does.
    #[must_use]
    pub fn with_offset(skipped: Arc<AtomicU64>) -> Self {
        Self {
            started: since_boot(),
            skipped,
            by_hand: false,
        }
    }

    /// A clock that only `skipped` moves: what is decided by it does not depend on how
    /// fast the machine is.
    #[must_use]
    pub fn by_hand(skipped: Arc<AtomicU64>) -> Self {
        Self {
            by_hand: true,
            ..Self::with_offset(skipped)
        }
    }

    /// The time now.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        let passed = match self.by_hand {
            true => Duration::ZERO,
            false => since_boot().saturating_sub(self.started),
        };
        let skipped = self.skipped.load(Ordering::Relaxed);
        Timestamp(passed.as_micros() as u64 + skipped)
    }

    /// Waits until a time; no longer than [`LONGEST_WAIT`] beyond it if the machine was
    /// suspended meanwhile.
    pub async fn wait_until(&self, at: Timestamp) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(LONGEST_WAIT)).await;
        }
    }
}

fn since_boot() -> Duration {
    let now = clock_gettime(ClockId::Boottime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}
