//! Shared parts of prompts, and which engines read them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use molespan_types::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies its content.
    pub id: String,
    /// Length in tokens.
    pub tokens: u32,
}

/// Cost of reading a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptCost {
    /// Tokens of the whole prompt.
    pub tokens: u64,
    /// Shared beginning of the prompt; `None` if it is too short to decide where the
    /// request runs.
    pub shared: Option<SharedPrompt>,
}

/// The shared beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Key of its content.
    pub key: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// Shared tokens from which it pays off to look for the engine that holds them.
const MIN_SHARED_TOKENS: u64 = 1_000;
/// Time for which an engine is assumed to hold a prompt that it read.
const HOLD_TTL: Duration = Duration::from_secs(20);
/// Most pairs of shared prompt and engine that are kept; the oldest are evicted first.
const MAX_REMEMBERED: usize = 4_096;

impl PromptCost {
    /// Returns the cost of a prompt made of these parts, the last of which is not shared.
    #[must_use]
    pub fn of(parts: &[PromptPart]) -> Self {
        let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
        let shared = parts.split_last().and_then(|(own, shared)| {
            let tokens = tokens - u64::from(own.tokens);
            let last = shared.last().filter(|_| tokens >= MIN_SHARED_TOKENS)?;
            Some(SharedPrompt {
                key: xxh3_64(last.id.as_bytes()),
                tokens,
            })
        });
        Self { tokens, shared }
    }
}

/// Which engines recently read which shared prompts.
#[derive(Debug, Default)]
pub(super) struct PromptHolders {
    read: BTreeMap<(u64, String), Timestamp>,
    order: VecDeque<(u64, String)>,
}

impl PromptHolders {
    pub fn note(&mut self, key: u64, engine: &str, now: Timestamp) {
        let pair = (key, engine.to_owned());
        if self.read.insert(pair.clone(), now).is_none() {
            self.order.push_back(pair);
        }
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.read.remove(&oldest);
        }
    }

    pub fn holds(&self, key: u64, engine: &str, now: Timestamp) -> bool {
        let read = self.read.get(&(key, engine.to_owned()));
        read.is_some_and(|at| now.since(*at) < HOLD_TTL)
    }
}

/// Returns the engine, of the given identifiers, where every gateway looks first for a
/// shared prompt. Chosen by rendezvous hashing.
pub(super) fn preferred_engine<'e>(
    key: u64,
    engines: impl Iterator<Item = &'e str>,
) -> Option<&'e str> {
    engines.max_by_key(|engine| xxh3_64_with_seed(engine.as_bytes(), key))
}
