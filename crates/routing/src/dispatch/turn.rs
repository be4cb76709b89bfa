//! Whose turn it is to look for an engine, among the batch work that waits at one
//! gateway.

use std::collections::BTreeMap;

use super::urgency::Urgency;

/// Names one that waits.
pub type Place = u64;

/// The answer to one that wants the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asked {
    /// It has the turn.
    Turn,
    /// It waits at this place.
    Waits(Place),
}

/// One turn, which goes to the most urgent one that waits.
///
/// While anybody waits somebody has the turn, so that it is always passed on.
#[derive(Clone, Debug, Default)]
pub struct TurnQueue {
    taken: bool,
    /// When what waits is due, in milliseconds since 1970.
    waiting: BTreeMap<Place, Option<u64>>,
    last: Place,
}

impl TurnQueue {
    /// Wants the turn for work that is due at `due_ms`.
    pub fn ask(&mut self, due_ms: Option<u64>) -> Asked {
        if !std::mem::replace(&mut self.taken, true) {
            return Asked::Turn;
        }
        self.last += 1;
        self.waiting.insert(self.last, due_ms);
        Asked::Waits(self.last)
    }

    /// Ends the turn; gives the place that has it next, if anybody waits.
    pub fn pass_on(&mut self, now_ms: u64) -> Option<Place> {
        let waiting = self.waiting.iter();
        let urgencies = waiting.map(|(&place, &due_ms)| (Urgency::of(due_ms, now_ms, 0), place));
        let next = urgencies.min().map(|(_, place)| place);
        match next {
            Some(place) => {
                self.waiting.remove(&place);
            }
            None => self.taken = false,
        }
        next
    }

    /// Gives up waiting. Says whether it still waited; else it has the turn by
    /// now, and must pass it on.
    pub fn leave(&mut self, place: Place) -> bool {
        self.waiting.remove(&place).is_some()
    }
}
