//! Whether a gateway still hears anything of the other nodes.

use std::time::Duration;

use molespan_types::Timestamp;

/// Silence of all other nodes behind which a gateway whose own calls are not answered
/// takes itself for cut off. A relay repeats what it tells each 400 ms, in rounds that are
/// 150 ms apart at the most, so that something comes within 600 ms; and a caller who is
/// turned away by then is still kept in time elsewhere. Without it, 32 batch items were
/// late of those that came within 2 s of a cut of 176 of 836 gateways.
const CUT_OFF_AFTER: Duration = Duration::from_millis(700);

/// What a gateway hears of the other nodes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hearing {
    heard: Timestamp,
    cut_off: bool,
}

impl Hearing {
    /// Another node said something.
    pub fn note(&mut self, now: Timestamp) {
        self.heard = now;
        self.cut_off = false;
    }

    /// Whether it took itself for cut off and has heard nothing since: a call that needs
    /// other nodes is refused at once.
    #[must_use]
    pub fn is_cut_off(&self) -> bool {
        self.cut_off
    }

    /// Whether to give up a call that other nodes have left unanswered since it `began`.
    pub fn gives_up(&mut self, began: Timestamp, now: Timestamp) -> bool {
        self.cut_off = now.since(self.heard.max(began)) >= CUT_OFF_AFTER;
        self.cut_off
    }
}
