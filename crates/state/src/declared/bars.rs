//! Barred requests, which are not sent to engines because they crashed several engines.

use std::collections::BTreeMap;
use std::time::Duration;

use minicbor::{Decode, Encode};

use super::request_digest::RequestDigest;

/// Maximum number of retained bars, including lifted ones; the oldest are evicted first.
/// Each takes about 40 bytes in every snapshot and at every gateway.
const MAX_BARS: usize = 1_024;

/// Duration of a bar. A request that is sent every day crashes at most three engines per
/// day. Nodes use their wall clocks, which differ only by seconds.
pub const BAR_DURATION: Duration = Duration::from_secs(24 * 3_600);

/// A bar on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Bar {
    /// Time at which the bar was requested, in milliseconds since 1970.
    #[n(0)]
    pub since_ms: u64,
    /// Number of engines that had crashed on the request by then.
    #[n(1)]
    pub crashes: u32,
    /// Whether an operator or a trial lifted the bar.
    #[n(2)]
    pub lifted: bool,
    /// Change counter over all bars, used to detect outdated information.
    #[n(3)]
    pub change: u64,
}

impl Bar {
    /// Returns the remaining duration of the bar at `now_ms`, in milliseconds since 1970,
    /// or `None` if it is lifted or expired.
    #[must_use]
    pub fn remaining(&self, now_ms: u64) -> Option<Duration> {
        let ends_ms = self.since_ms + BAR_DURATION.as_millis() as u64;
        let left = ends_ms.checked_sub(now_ms).filter(|left| *left > 0)?;
        (!self.lifted).then(|| Duration::from_millis(left))
    }
}

/// Bars on requests, including lifted ones.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Bars {
    #[n(0)]
    known: BTreeMap<RequestDigest, Bar>,
    /// Number of changes so far.
    #[n(1)]
    changes: u64,
}

impl Bars {
    /// Iterates over all retained bars.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestDigest, &Bar)> {
        self.known.iter()
    }

    /// Returns the bar on a request.
    #[must_use]
    pub fn get(&self, request: &RequestDigest) -> Option<&Bar> {
        self.known.get(request)
    }

    /// Bars a request and returns whether anything changed. Several gateways may request
    /// the same bar; a bar is only renewed if it is expired or lifted.
    pub(super) fn add(&mut self, request: RequestDigest, since_ms: u64, crashes: u32) -> bool {
        let remaining = self.get(&request).and_then(|bar| bar.remaining(since_ms));
        if remaining.is_some() {
            return false;
        }
        self.changes += 1;
        let bar = Bar {
            since_ms,
            crashes,
            lifted: false,
            change: self.changes,
        };
        self.known.insert(request, bar);
        self.evict_oldest();
        true
    }

    /// Lifts a bar and returns whether there was one.
    pub(super) fn lift(&mut self, request: &RequestDigest) -> bool {
        let Some(bar) = self.known.get_mut(request).filter(|bar| !bar.lifted) else {
            return false;
        };
        self.changes += 1;
        bar.lifted = true;
        bar.change = self.changes;
        true
    }

    /// Lifts the bar on a request that an engine ran and survived, also if there is none.
    pub(super) fn clear(&mut self, request: RequestDigest) {
        self.changes += 1;
        let known = self.known.get(&request);
        let bar = Bar {
            since_ms: known.map_or(0, |bar| bar.since_ms),
            crashes: known.map_or(0, |bar| bar.crashes),
            lifted: true,
            change: self.changes,
        };
        self.known.insert(request, bar);
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        while self.known.len() > MAX_BARS {
            let oldest = self.known.iter().min_by_key(|(_, bar)| bar.change);
            let Some(request) = oldest.map(|(request, _)| *request) else {
                return;
            };
            self.known.remove(&request);
        }
    }
}
