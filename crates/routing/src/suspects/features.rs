//! What a request may have in common with others.

use minicbor::{Decode, Encode};
use molespan_state::declared::RequestDigest;

use crate::dispatch::PromptPart;

/// Identifies a request, or something that requests have in common.
pub type FeatureDigest = RequestDigest;

/// Maximum number of parts of a prompt that are looked at, from its beginning.
const MAX_PARTS: usize = 16;

/// What a request has in common with others that may crash the same engines.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Shared {
    /// Tenant of the request.
    #[n(0)]
    pub tenant: Option<FeatureDigest>,
    /// Parts of its prompt in order, without the last one, which is the request's own.
    #[n(1)]
    pub parts: Vec<FeatureDigest>,
    /// Service that runs it; `None` from nodes of an older build.
    #[n(2)]
    pub service: Option<FeatureDigest>,
}

/// A request and what it has in common with others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Features {
    /// Digest of the request.
    pub request: RequestDigest,
    /// What it has in common with others.
    pub shared: Shared,
}

impl Shared {
    /// Returns what a request of a tenant to a service, with this prompt, has in common with
    /// others.
    #[must_use]
    pub fn of(service: &str, tenant: Option<&str>, prompt: &[PromptPart]) -> Self {
        let shared = prompt.split_last().map_or(&[][..], |(_own, shared)| shared);
        let parts = shared.iter().take(MAX_PARTS);
        Self {
            tenant: tenant.map(FeatureDigest::of_tenant),
            parts: parts
                .map(|part| FeatureDigest::of_prompt_part(&part.id))
                .collect(),
            service: Some(FeatureDigest::of_service(service)),
        }
    }
}

impl From<RequestDigest> for Features {
    fn from(request: RequestDigest) -> Self {
        Self {
            request,
            shared: Shared::default(),
        }
    }
}

impl From<&RequestDigest> for Features {
    fn from(request: &RequestDigest) -> Self {
        Self::from(*request)
    }
}

impl From<&Features> for Features {
    fn from(features: &Features) -> Self {
        features.clone()
    }
}
