//! Protocol of the rate-limited weight store.

use serde::{Deserialize, Serialize};

/// Response of `GET /weights/NAME`. The status is 429 with Retry-After when the
/// rate limit is exceeded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightManifest {
    /// Name of the model or adapter.
    pub name: String,
    /// Newest version.
    pub version: u32,
    /// Size in bytes.
    pub bytes: u64,
}
