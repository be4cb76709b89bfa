//! How long an engine must be free of online requests before batch streams
//! resume.
//!
//! Within a burst, online requests follow each other after short gaps. Resuming
//! batch streams in such a gap gains nothing and delays the next request by a
//! step, so the quiet period is a multiple of the gaps observed within bursts.
//! Longer gaps are idle time for batch work and are not counted.

use std::time::Duration;

use molespan_types::Timestamp;

/// Gaps longer than this separate bursts.
const MAX_BURST_GAP: Duration = Duration::from_millis(50);
/// Maximum quiet period.
const MAX_QUIET_PERIOD: Duration = Duration::from_millis(20);
/// Estimated gap before any is observed; the initial quiet period at a tail
/// protection of 50.
const INITIAL_BURST_GAP: Duration = Duration::from_millis(2);
/// Weight of the newest gap in the EWMA.
const GAP_WEIGHT: f64 = 0.1;

/// Estimates the gaps between online requests within bursts at one engine.
#[derive(Clone, Debug)]
pub(super) struct QuietPeriod {
    gap_seconds: f64,
    idle_since: Option<Timestamp>,
}

impl QuietPeriod {
    pub(super) fn new() -> Self {
        Self {
            gap_seconds: INITIAL_BURST_GAP.as_secs_f64(),
            idle_since: None,
        }
    }

    /// Records that the last online request ended.
    pub(super) fn record_idle(&mut self, now: Timestamp) {
        self.idle_since = Some(now);
    }

    /// Records the arrival of an online request.
    pub(super) fn record_arrival(&mut self, now: Timestamp) {
        let Some(since) = self.idle_since.take() else {
            return;
        };
        let gap = now.since(since);
        if gap <= MAX_BURST_GAP {
            self.gap_seconds += GAP_WEIGHT * (gap.as_secs_f64() - self.gap_seconds);
        }
    }

    /// Returns when batch streams may resume if no online request arrives before;
    /// `None` while there are online requests or there has never been one.
    pub(super) fn ends_at(&self, factor: f64) -> Option<Timestamp> {
        let wait = Duration::from_secs_f64(self.gap_seconds * factor).min(MAX_QUIET_PERIOD);
        self.idle_since.map(|since| since + wait)
    }
}
