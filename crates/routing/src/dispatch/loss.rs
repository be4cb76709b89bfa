//! What is lost when a run of a batch item gives way.

use std::cmp::Reverse;

use super::urgency::Urgency;

/// What is lost; the run whose loss sorts first gives way first. Its engine drops what it
/// read and made, all of which another one reads again, and its item is done later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Loss {
    /// How soon the item is due: it rises by one where half the time is left, so that
    /// what is read again decides among those that are due at about the same time.
    pressing: u32,
    /// Tokens that are read again.
    read_again: u64,
    /// The run's number, the latest one first.
    number: Reverse<u64>,
}

impl Loss {
    /// Of the run `number`, which would have so many tokens read again, of an item of
    /// this urgency, by a clock that shows `now_ms`.
    #[must_use]
    pub fn of(urgency: Urgency, now_ms: u64, read_again: u64, number: u64) -> Self {
        let left_ms = urgency.due_ms.saturating_sub(now_ms).max(1);
        let pressing = match urgency.late {
            true => 0,
            false => left_ms.leading_zeros() + 1,
        };
        Self {
            pressing,
            read_again,
            number: Reverse(number),
        }
    }
}
