//! How long an engine must be free of online work before batch goes on.
//!
//! Within a burst, the next request follows the last after a short gap. Going
//! on in that gap gains nothing and costs the next request a step. So the wait
//! is a multiple of the gaps seen within bursts; longer gaps are the idle time
//! that batch work is for, and are left out.

use std::time::Duration;

use molespan_types::Timestamp;

/// A gap above this is between bursts.
const LONGEST_GAP: Duration = Duration::from_millis(50);
/// Longest wait.
const LONGEST_QUIET: Duration = Duration::from_millis(20);
/// Wait before anything is learnt, at the middle of the knob.
const INITIAL_GAP: Duration = Duration::from_millis(2);
/// Weight of the newest gap.
const GAP_WEIGHT: f64 = 0.1;

/// Learns the gaps within bursts at one engine.
#[derive(Clone, Debug)]
pub(super) struct QuietTime {
    gap_seconds: f64,
    idle_since: Option<Timestamp>,
}

impl QuietTime {
    pub(super) fn new() -> Self {
        Self {
            gap_seconds: INITIAL_GAP.as_secs_f64(),
            idle_since: None,
        }
    }

    /// The last online request ended.
    pub(super) fn fell_idle(&mut self, now: Timestamp) {
        self.idle_since = Some(now);
    }

    /// An online request arrived.
    pub(super) fn arrived(&mut self, now: Timestamp) {
        let Some(since) = self.idle_since.take() else {
            return;
        };
        let gap = now.since(since);
        if gap <= LONGEST_GAP {
            self.gap_seconds += GAP_WEIGHT * (gap.as_secs_f64() - self.gap_seconds);
        }
    }

    /// When batch work may go on, if no online work arrives before.
    pub(super) fn over_at(&self, factor: f64) -> Option<Timestamp> {
        let wait = Duration::from_secs_f64(self.gap_seconds * factor).min(LONGEST_QUIET);
        self.idle_since.map(|since| since + wait)
    }
}
