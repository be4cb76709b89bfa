//! Which zones are out of reach from here.
//!
//! Several hosts of a zone that cannot be reached, with no answer from the zone since,
//! are one belief, so that requests need not find out each engine by itself. Connects
//! that write nothing find out whether a zone in doubt is out of reach, and when it is
//! back.

mod table;
mod telling;
mod zone;

pub use table::{Hosts, ReachTable};
pub use telling::{ReachRelay, ReachTelling};
pub use zone::{Change, Evidence, Sign};

use std::time::Duration;

/// Part of a request's target within which a connection is to be up before another
/// engine is tried beside it: the rest is enough for that one.
const SLOW_PART: f64 = 0.2;

/// How long a connect may take before another engine is tried beside it: a part of the
/// request's `target`, or twice what connects to that zone take (`usual`), whichever is
/// more.
#[must_use]
pub fn slow_after(target: Duration, usual: Option<Duration>) -> Duration {
    target.mul_f64(SLOW_PART).max(usual.unwrap_or_default() * 2)
}
