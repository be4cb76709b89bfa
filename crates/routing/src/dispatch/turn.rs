//! Serializes the search for an engine among the batch work that waits at one gateway.

use std::collections::BTreeMap;

use super::urgency::Urgency;

/// Identifies a waiter.
pub type WaiterId = u64;

/// Result of requesting the turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnRequest {
    /// The caller has the turn.
    Turn,
    /// The caller waits under this identifier.
    Queued(WaiterId),
}

/// A single turn that passes to the most urgent waiter, like a lock with a priority queue.
///
/// While there are waiters, one caller holds the turn, so that it is always passed on.
#[derive(Clone, Debug, Default)]
pub struct TurnQueue {
    taken: bool,
    /// Deadline of each waiter's work, in milliseconds since 1970.
    waiting: BTreeMap<WaiterId, Option<u64>>,
    last: WaiterId,
}

impl TurnQueue {
    /// Requests the turn for work that is due at `due_ms`.
    pub fn request(&mut self, due_ms: Option<u64>) -> TurnRequest {
        if !std::mem::replace(&mut self.taken, true) {
            return TurnRequest::Turn;
        }
        self.last += 1;
        self.waiting.insert(self.last, due_ms);
        TurnRequest::Queued(self.last)
    }

    /// Ends the turn. Returns the waiter that gets it next, if there is one.
    pub fn pass_on(&mut self, now_ms: u64) -> Option<WaiterId> {
        let waiting = self.waiting.iter();
        let urgencies = waiting.map(|(&id, &due_ms)| (Urgency::of(due_ms, now_ms, 0), id));
        let next = urgencies.min().map(|(_, id)| id);
        match next {
            Some(id) => {
                self.waiting.remove(&id);
            }
            None => self.taken = false,
        }
        next
    }

    /// Cancels a wait. Returns whether the caller was still waiting; if not, it holds the
    /// turn and must pass it on.
    pub fn leave(&mut self, id: WaiterId) -> bool {
        self.waiting.remove(&id).is_some()
    }
}
