//! Whether a gateway still hears anything of the other nodes.

use std::time::Duration;

use molespan_types::Timestamp;

/// Silence of all other nodes behind which a gateway whose own calls are not answered
/// takes itself for cut off. A relay repeats what it tells each 400 ms, in rounds that are
/// 150 ms apart at the most, so that something comes within 600 ms.
const CUT_OFF_AFTER: Duration = Duration::from_millis(700);
/// Time that it takes another gateway to keep a job: on paper 0.1 to 0.2 s, over a new
/// connection, with the job's bytes sent twice at 30 Mbit/s and a commit; not measured.
const KEPT_ELSEWHERE_WITHIN: Duration = Duration::from_millis(300);

/// What a gateway hears of the other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hearing {
    heard: Timestamp,
}

impl Hearing {
    /// Another node said something.
    pub fn note(&mut self, now: Timestamp) {
        self.heard = now;
    }

    /// Whether to give up a call that other nodes have left unanswered since it `began`,
    /// so that its caller goes elsewhere: only where that keeps it within its `target`.
    /// Else it goes on, since everybody may be as badly off, and those who keep jobs be
    /// away for a second. Without it 32 batch items were late of those that came within
    /// 2 s of a cut of 176 of 836 gateways, with it 16: one play each, other changes between.
    #[must_use]
    pub fn gives_up(&self, began: Timestamp, target: Duration, now: Timestamp) -> bool {
        let in_time = target >= CUT_OFF_AFTER + KEPT_ELSEWHERE_WITHIN;
        in_time && now.since(self.heard.max(began)) >= CUT_OFF_AFTER
    }
}
