//! Time as the decision cores see it.

use std::ops::Add;
use std::time::Duration;

use minicbor::{Decode, Encode};
use serde::{Deserialize, Serialize};

/// Microseconds on one node's own monotonic clock since an arbitrary start.
///
/// Values from different nodes must never be compared: leases are judged by
/// each side on its own clock.
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

    /// A timestamp of whole milliseconds.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// The time that passed since `earlier`, or zero when it lies ahead.
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
