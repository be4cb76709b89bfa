//! Identification of repeated requests.

use std::fmt;

use derive_more::Display;
use minicbor::bytes::ByteArray;
use minicbor::{Decode, Encode};
use sha2::{Digest, Sha256};

/// Number of SHA-256 bytes that are kept. They are enough that nobody can find another
/// request with the same bytes, and take half the memory and network traffic.
const BYTES: usize = 16;

/// The parts of a request that stay the same when the caller repeats it. The request
/// identifier, the deadline and headers added by proxies differ each time. It must not be
/// logged, since it contains caller data.
#[derive(Clone, Copy)]
pub struct RequestParts<'a> {
    /// Tenant, if tenants are configured; requests of different tenants get different
    /// digests.
    pub tenant: Option<&'a str>,
    /// Requested host.
    pub host: &'a str,
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// First byte of what is hashed. A request begins with 0 or 1, for one with a tenant.
const PROMPT_PART: u8 = 2;
const TENANT: u8 = 3;
const PROMPT_PART_OF_TENANT: u8 = 4;
const SERVICE: u8 = 5;

/// Identifies a request by its content, or something that requests have in common: the first
/// half of a SHA-256.
#[derive(Clone, Copy, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
#[display("{:032x}", u128::from_be_bytes(**_0))]
#[cbor(transparent)]
pub struct RequestDigest(#[n(0)] ByteArray<BYTES>);

impl RequestDigest {
    /// Returns the digest of a request. Each part is prefixed with its length, so that
    /// different requests never hash the same bytes.
    #[must_use]
    pub fn of(parts: &RequestParts<'_>) -> Self {
        let mut hash = Sha256::new();
        hash.update([u8::from(parts.tenant.is_some())]);
        let tenant = parts.tenant.unwrap_or_default();
        for part in [tenant, parts.host, parts.method, parts.target] {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        hash.update(parts.body);
        Self::from_hash(hash)
    }

    /// Returns the digest of a part of prompts, by its identifier.
    #[must_use]
    pub fn of_prompt_part(id: &str) -> Self {
        Self::of_feature(PROMPT_PART, &[id.as_bytes()])
    }

    /// Returns the digest of a tenant.
    #[must_use]
    pub fn of_tenant(tenant: &str) -> Self {
        Self::of_feature(TENANT, &[tenant.as_bytes()])
    }

    /// Returns the digest of a service.
    #[must_use]
    pub fn of_service(service: &str) -> Self {
        Self::of_feature(SERVICE, &[service.as_bytes()])
    }

    /// Returns the digest of a part of prompts in the requests of one tenant.
    #[must_use]
    pub fn of_prompt_part_of_tenant(part: &Self, tenant: &Self) -> Self {
        Self::of_feature(PROMPT_PART_OF_TENANT, &[&part.0[..], &tenant.0[..]])
    }

    fn of_feature(kind: u8, contents: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        hash.update([kind]);
        for content in contents {
            hash.update(content);
        }
        Self::from_hash(hash)
    }

    fn from_hash(hash: Sha256) -> Self {
        let whole: [u8; 32] = hash.finalize().into();
        let mut kept = [0; BYTES];
        kept.copy_from_slice(&whole[..BYTES]);
        Self(kept.into())
    }

    /// Parses a digest from its hexadecimal text; `None` if the text is invalid.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        let digits = text.len() == 2 * BYTES && text.bytes().all(|byte| byte.is_ascii_hexdigit());
        let number = digits.then(|| u128::from_str_radix(text, 16).ok())??;
        Some(Self(number.to_be_bytes().into()))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, formatter)
    }
}
