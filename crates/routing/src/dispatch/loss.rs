//! Cost of preempting a run of a batch item.

use std::cmp::Reverse;

use super::urgency::Urgency;

/// Cost of preempting a run; the run with the smallest cost is preempted first. The engine
/// drops the tokens that the run has read and generated, another engine reads all of them
/// again, and the item completes later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreemptionCost {
    /// Urgency of the item: rises by one each time the remaining time halves, so that the
    /// tokens to read again decide among items with similar deadlines.
    urgency_level: u32,
    /// Tokens to read again.
    reread_tokens: u64,
    /// Number of the run; the latest one is preempted first.
    number: Reverse<u64>,
}

impl PreemptionCost {
    /// Returns the cost of preempting the run `number`, which would have `reread_tokens`
    /// tokens read again, of an item of this urgency, by a clock that shows `now_ms`.
    #[must_use]
    pub fn of(urgency: Urgency, now_ms: u64, reread_tokens: u64, number: u64) -> Self {
        let left_ms = urgency.due_ms.saturating_sub(now_ms).max(1);
        let urgency_level = match urgency.late {
            true => 0,
            false => left_ms.leading_zeros() + 1,
        };
        Self {
            urgency_level,
            reread_tokens,
            number: Reverse(number),
        }
    }
}
