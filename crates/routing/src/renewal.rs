//! Whether a gateway may bring batch items to engines, given when the batch group last
//! said which of those here are to stop.
//!
//! A job that was ended binds every gateway within a time that operators set. One that
//! hears nothing of the group does not know of it: what runs at an engine may come to its
//! end, but nothing goes to an engine anew.

use std::time::Duration;

use molespan_types::Timestamp;

/// How old the word of a leader of the batch group is at the most when it is given: it
/// makes sure that often that no other one leads.
pub const LEADER_SURE_FOR: Duration = Duration::from_millis(300);
/// Time from a look whether an item may go to an engine until it is there: a new
/// connection, the way, and a wait for processor time.
const WAY_TO_ENGINE: Duration = Duration::from_millis(400);
/// Part of the bound that those two may take up at the most.
const MOST_TAKEN_UP: u32 = 2;
/// Silences of a leader that has nothing to say that fit into the time for which its word
/// holds: it may hold a call for one, and the next call may wait for another.
const SILENCES: u32 = 2;

/// What a gateway knows of the batch group's word.
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    holds_for: Duration,
    /// When the call began that was answered last.
    known: Option<Timestamp>,
    held_back: bool,
}

/// A change of what a gateway believes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Its knowledge is too old by so much time since the group's word.
    HeldBack(Duration),
    /// The group was heard again.
    Resumed,
}

impl Renewal {
    /// Nothing was heard yet; an ended job binds `within` this time.
    #[must_use]
    pub fn new(within: Duration) -> Self {
        let taken_up = (LEADER_SURE_FOR + WAY_TO_ENGINE).min(within / MOST_TAKEN_UP);
        Self {
            holds_for: within - taken_up,
            known: None,
            held_back: false,
        }
    }

    /// The leader answered a call that began at `asked`, and what it said was carried
    /// out. The answer may have been under way, or the machine suspended, for any part of
    /// the time since.
    pub fn note(&mut self, asked: Timestamp) {
        self.known = self.known.max(Some(asked));
    }

    /// Whether an item may go to an engine now.
    #[must_use]
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.holds_for)
    }

    /// How old the group's word is; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.known.map(|known| now.since(known))
    }

    /// Longest time that a call may be put off, or held by the leader, so that its word
    /// does not grow too old by that alone.
    #[must_use]
    pub fn longest_silence(&self) -> Duration {
        self.holds_for / SILENCES
    }

    /// What this gateway believes otherwise than at the last look.
    pub fn change(&mut self, now: Timestamp) -> Option<Change> {
        let age = self.age(now)?;
        let held_back = !self.may_start(now);
        if std::mem::replace(&mut self.held_back, held_back) == held_back {
            return None;
        }
        Some(match held_back {
            true => Change::HeldBack(age),
            false => Change::Resumed,
        })
    }
}
