//! The order of batch work: by the time at which it is due, as long as it can
//! still be done by then.
//!
//! Under more work than there is room for, work that is late already would
//! otherwise make all that comes behind it late too.

/// How urgent a piece of batch work is; what sorts first is to be done first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Whether it cannot be done in time any more. It loses little by waiting.
    pub late: bool,
    /// Milliseconds since 1970 by which it is to be done; the latest time for
    /// work that is never due.
    pub due_ms: u64,
}

impl Urgency {
    /// Of work that is due at `due_ms` and takes `takes_ms` from now on, by a
    /// clock that shows `now_ms`. A wrong clock makes the order worse, nothing
    /// else.
    #[must_use]
    pub fn of(due_ms: Option<u64>, now_ms: u64, takes_ms: u64) -> Self {
        let due_ms = due_ms.unwrap_or(u64::MAX);
        Self {
            late: due_ms < now_ms.saturating_add(takes_ms),
            due_ms,
        }
    }
}
