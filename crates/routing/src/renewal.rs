//! Whether a gateway may send batch items to engines, depending on when the batch group
//! last reported which of its items must stop.
//!
//! After a job is ended, every gateway must stop sending its items within a time set by
//! operators. A gateway without contact to the batch group does not learn of ended jobs,
//! so it sends no further items to engines; items that already run may finish.

use std::time::Duration;

use molespan_types::Timestamp;

/// Maximum age of the state that the leader of the batch group reports; a leader confirms at
/// this interval that there is no other leader.
pub const LEADER_SURE_FOR: Duration = Duration::from_millis(300);
/// Time from the check whether an item may be sent until it reaches the engine: a new
/// connection, network delay and CPU scheduling delay.
const WAY_TO_ENGINE: Duration = Duration::from_millis(400);
/// These two delays together are capped at the bound divided by this.
const MOST_TAKEN_UP: u32 = 2;
/// Number of longest silences that fit into the validity of a report: the leader may hold a
/// call open for one, and the next call may be delayed by another.
const SILENCES: u32 = 2;

/// Tracks the age of the batch group's last report.
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    holds_for: Duration,
    /// Start of the latest call that was answered.
    known: Option<Timestamp>,
    held_back: bool,
}

/// Whether batch items became blocked or unblocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The last report is too old, by its age given here; no items are sent.
    HeldBack(Duration),
    /// The group responded again; items are sent.
    Resumed,
}

impl Renewal {
    /// Creates a state without any report. No gateway may send items of a job later than
    /// `within` after the job is ended.
    #[must_use]
    pub fn new(within: Duration) -> Self {
        let taken_up = (LEADER_SURE_FOR + WAY_TO_ENGINE).min(within / MOST_TAKEN_UP);
        Self {
            holds_for: within - taken_up,
            known: None,
            held_back: false,
        }
    }

    /// Records that the leader answered a call that began at `asked`, after its answer was
    /// applied. The age counts from `asked`, since the answer may have been in transit, or
    /// the machine suspended, for any part of the time since.
    pub fn note(&mut self, asked: Timestamp) {
        self.known = self.known.max(Some(asked));
    }

    /// Whether an item may be sent to an engine now.
    #[must_use]
    pub fn may_start(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.holds_for)
    }

    /// Returns the age of the last report; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.known.map(|known| now.since(known))
    }

    /// Returns the maximum time for which a call may be delayed, or held open by the leader,
    /// without the last report becoming too old by that alone.
    #[must_use]
    pub fn longest_silence(&self) -> Duration {
        self.holds_for / SILENCES
    }

    /// Returns the change since the previous call of this method, if any.
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
