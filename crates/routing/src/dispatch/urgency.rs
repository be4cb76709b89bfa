//! Order of batch work: earliest deadline first among the work that can still meet its
//! deadline, then the rest.
//!
//! Under overload, work that is already late would otherwise make all work behind it late
//! too.

/// Urgency of a piece of batch work; the smallest value runs first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Urgency {
    /// Whether the deadline can no longer be met. Waiting costs such work little.
    pub late: bool,
    /// Deadline in milliseconds since 1970; `u64::MAX` for work without one.
    pub due_ms: u64,
}

impl Urgency {
    /// Returns the urgency of work that is due at `due_ms` and takes `takes_ms` from now
    /// on, by a clock that shows `now_ms`. A wrong clock only makes the order worse.
    #[must_use]
    pub fn of(due_ms: Option<u64>, now_ms: u64, takes_ms: u64) -> Self {
        let due_ms = due_ms.unwrap_or(u64::MAX);
        Self {
            late: due_ms < now_ms.saturating_add(takes_ms),
            due_ms,
        }
    }
}
