//! The rate-limited weight store.

use serde::{Deserialize, Serialize};

/// Answer of `GET /weights/NAME`; status 429 with Retry-After when the rate
/// limit is reached.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightManifest {
    /// Model or adapter.
    pub name: String,
    /// Newest version.
    pub version: u32,
    /// Size in bytes.
    pub bytes: u64,
}
