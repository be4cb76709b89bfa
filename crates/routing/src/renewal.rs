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
pub const LEADER_CONFIRMATION_INTERVAL: Duration = Duration::from_millis(300);
/// Time from the check whether an item may be sent until it reaches the engine: a new
/// connection, network delay and CPU scheduling delay.
const SEND_DELAY: Duration = Duration::from_millis(400);
/// These two delays together are capped at the bound divided by this.
const MAX_DELAY_DIVISOR: u32 = 2;
/// Number of longest silences that fit into the validity of a report: the leader may hold a
/// call open for one, and the next call may be delayed by another.
const SILENCES_PER_VALIDITY: u32 = 2;

/// Tracks the age of the batch group's last report.
#[derive(Clone, Copy, Debug)]
pub struct Renewal {
    valid_for: Duration,
    /// Start of the latest call that was answered.
    last_answered_call: Option<Timestamp>,
    is_blocked: bool,
}

/// Whether batch items became blocked or unblocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendingChange {
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
        let delays = (LEADER_CONFIRMATION_INTERVAL + SEND_DELAY).min(within / MAX_DELAY_DIVISOR);
        Self {
            valid_for: within - delays,
            last_answered_call: None,
            is_blocked: false,
        }
    }

    /// Records that the leader answered a call that began at `called`, after its answer was
    /// applied. The age counts from `called`, since the answer may have been in transit, or
    /// the machine suspended, for any part of the time since.
    pub fn record_answer(&mut self, called: Timestamp) {
        self.last_answered_call = self.last_answered_call.max(Some(called));
    }

    /// Whether an item may be sent to an engine now.
    #[must_use]
    pub fn may_send(&self, now: Timestamp) -> bool {
        self.age(now).is_some_and(|age| age < self.valid_for)
    }

    /// Returns the age of the last report; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.last_answered_call.map(|called| now.since(called))
    }

    /// Returns the maximum time for which a call may be delayed, or held open by the leader,
    /// without the last report becoming too old by that alone.
    #[must_use]
    pub fn longest_silence(&self) -> Duration {
        self.valid_for / SILENCES_PER_VALIDITY
    }

    /// Returns the change since the previous call of this method, if any.
    pub fn change(&mut self, now: Timestamp) -> Option<SendingChange> {
        let age = self.age(now)?;
        let is_blocked = !self.may_send(now);
        if std::mem::replace(&mut self.is_blocked, is_blocked) == is_blocked {
            return None;
        }
        Some(match is_blocked {
            true => SendingChange::HeldBack(age),
            false => SendingChange::Resumed,
        })
    }
}
