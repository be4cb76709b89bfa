//! Timestamps of the decision cores.

use std::ops::Add;
use std::time::Duration;

use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Microseconds on the monotonic clock of one node since an arbitrary start.
///
/// Values from different nodes must never be compared: each side of a lease
/// determines its expiry on its own clock.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Encode,
    Decode,
    Serialize,
    Deserialize,
)]
#[cbor(transparent)]
#[serde(transparent)]
pub struct Timestamp(#[n(0)] pub u64);

impl Timestamp {
    /// The start of the clock.
    pub const ZERO: Timestamp = Timestamp(0);

    /// Creates a timestamp from whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the time elapsed since `earlier`, or zero when `earlier` is later.
    #[must_use]
    pub fn since(self, earlier: Timestamp) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, duration: Duration) -> Timestamp {
        Timestamp(self.0.saturating_add(duration.as_micros() as u64))
    }
}
