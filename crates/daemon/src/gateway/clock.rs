//! The clock that decisions see.

use std::time::{Duration, Instant};

use molespan_types::Timestamp;

/// The monotonic clock that every decision core of this gateway sees.
#[derive(Clone, Copy, Debug)]
pub(super) struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts one second after zero, so that a time shortly
    /// before the start can be told.
    pub(super) fn new() -> Self {
        let start = Instant::now();
        let ahead = Duration::from_secs(1);
        Self {
            start: start.checked_sub(ahead).unwrap_or(start),
        }
    }

    /// The time now.
    pub(super) fn now(&self) -> Timestamp {
        Timestamp(self.start.elapsed().as_micros() as u64)
    }
}
