//! Tenants: who may send requests, by which keys, and how many.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use minicbor::bytes::ByteArray;
use minicbor::{Decode, Encode};
use sha2::{Digest, Sha256};

/// SHA-256 of an API key. The keys themselves are kept nowhere but in the
/// operator's document.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[cbor(transparent)]
pub struct KeyDigest(#[n(0)] ByteArray<32>);

impl KeyDigest {
    /// Digest of a key.
    #[must_use]
    pub fn of(key: &[u8]) -> Self {
        let digest: [u8; 32] = Sha256::digest(key).into();
        Self(digest.into())
    }
}

impl fmt::Debug for KeyDigest {
    /// Says nothing: a digest tells which requests use the same key.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("KeyDigest(..)")
    }
}

/// How many requests a tenant may send, over all gateways together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RateLimit {
    /// Requests in a thousand seconds, for as long as it likes.
    #[n(0)]
    pub per_1000_s: u64,
    /// Requests beyond that rate at once.
    #[n(1)]
    pub burst: u32,
}

impl RateLimit {
    /// Requests a second.
    #[must_use]
    pub fn per_second(&self) -> f64 {
        self.per_1000_s as f64 / 1_000.0
    }
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Tenant {
    /// Name, which engines hear.
    #[n(0)]
    pub name: String,
    /// Digests of its keys.
    #[n(1)]
    pub keys: Vec<KeyDigest>,
    /// Rank that goes before that of a route; 0 goes first.
    #[n(2)]
    pub priority: Option<u32>,
    /// Bound on its requests, if there is one.
    #[n(3)]
    pub limit: Option<RateLimit>,
}

/// Adds every reason why these tenants must not come into force.
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
