//! Tenants, their API keys and rate limits.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use minicbor::bytes::ByteArray;
use minicbor::{Decode, Encode};
use sha2::{Digest, Sha256};

/// SHA-256 of an API key. The keys themselves are stored only in the operator's document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct KeyDigest(#[n(0)] ByteArray<32>);

impl KeyDigest {
    /// Returns the digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let digest: [u8; 32] = Sha256::digest(key).into();
        Self(digest.into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Hides the digest, since it reveals which requests use the same key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// Rate limit of a tenant, across all gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RateLimit {
    /// Sustained rate, in requests per thousand seconds.
    #[n(0)]
    pub per_1000_s: u64,
    /// Number of requests allowed in a burst above that rate.
    #[n(1)]
    pub burst: u32,
}

impl RateLimit {
    /// Returns the sustained rate in requests per second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Tenant {
    /// Name, which is sent to engines.
    #[n(0)]
    pub name: String,
    /// Digests of its API keys.
    #[n(1)]
    pub keys: Vec<KeyDigest>,
    /// Priority, compared before the priority of the route; 0 is the highest.
    #[n(2)]
    pub priority: Option<u32>,
    /// Rate limit, if there is one.
    #[n(3)]
    pub limit: Option<RateLimit>,
}

/// Adds every reason why these tenants are invalid.
pub(super) fn problems(tenants: &[Tenant], problems: &mut Vec<String>) {
    let mut names = BTreeSet::new();
    let mut holders: BTreeMap<KeyDigest, &str> = BTreeMap::new();
    for tenant in tenants {
        let name = tenant.name.as_str();
        if !names.insert(name) {
            problems.push(format!("tenant {name}: another one has its name"));
        }
        for (number, key) in tenant.keys.iter().enumerate() {
            let holder = *holders.entry(*key).or_insert(name);
            if holder != name {
                let number = number + 1;
                problems.push(format!(
                    "tenant {name}: its key {number} is one of tenant {holder} too"
                ));
            }
        }
    }
}
