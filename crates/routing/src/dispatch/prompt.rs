//! Parts of prompts that several requests share.

use xxhash_rust::xxh3::xxh3_64;

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// Shared tokens from which on it pays to look for the engine that holds them.
const WORTH_KEEPING_TOKENS: u64 = 1_000;

/// Names the shared beginning of a prompt, if it is long enough to decide where
/// the request runs. The last part is the request's own.
#[must_use]
pub fn affinity_key(parts: &[PromptPart]) -> Option<u64> {
    let (_, shared) = parts.split_last()?;
    let tokens: u64 = shared.iter().map(|part| u64::from(part.tokens)).sum();
    let last = shared.last().filter(|_| tokens >= WORTH_KEEPING_TOKENS)?;
    Some(xxh3_64(last.id.as_bytes()))
}
