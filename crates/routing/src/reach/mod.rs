//! Detects zones that are out of reach from this gateway.
//!
//! If several hosts of a zone cannot be reached and the zone has not answered since, the
//! whole zone counts as out of reach, so that requests need not find out for each engine
//! separately. Probes, which connect without sending any data, detect whether a zone in
//! doubt is out of reach, and when it is reachable again.

mod table;
mod telling;
mod zone;

pub use table::{Hosts, ReachTable};
pub use telling::{ReachRelay, ReachReport};
pub use zone::{Change, Evidence, ReturnEvidence};

use std::time::Duration;

/// Fraction of a request's target within which a connection has to be established before
/// another engine is tried in parallel; the rest is enough for that engine.
const SLOW_FRACTION: f64 = 0.2;

/// Returns how long a connect may take before another engine is tried in parallel: a
/// fraction of the request's `target`, or twice the usual connect time to that zone
/// (`usual`), whichever is longer.
#[must_use]
pub fn slow_after(target: Duration, usual: Option<Duration>) -> Duration {
    target
        .mul_f64(SLOW_FRACTION)
        .max(usual.unwrap_or_default() * 2)
}
