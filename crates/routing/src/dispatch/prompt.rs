//! Parts of prompts that several requests share, and which engines read them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use molespan_types::Timestamp;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A part of a prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// Names its content.
    pub id: String,
    /// Its length in tokens.
    pub tokens: u32,
}

/// What a prompt costs an engine to read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PromptCost {
    /// All its tokens.
    pub tokens: u64,
    /// Tokens of its beginning that other requests share, and what names it;
    /// none where they are too few to decide where the request runs.
    pub shared: Option<SharedPrompt>,
}

/// The shared beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedPrompt {
    /// Names it.
    pub key: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// Shared tokens from which on it pays to look for the engine that holds them.
const WORTH_KEEPING_TOKENS: u64 = 1_000;
/// How long an engine is taken to hold what it read.
const HELD_FOR: Duration = Duration::from_secs(20);
/// Shared prompts that are remembered; the oldest are forgotten first.
const REMEMBERED: usize = 4_096;

impl PromptCost {
    /// The cost of a prompt of these parts, the last of which is its own.
    #[must_use]
    pub fn of(parts: &[PromptPart]) -> Self {
        let tokens = parts.iter().map(|part| u64::from(part.tokens)).sum();
        let shared = parts.split_last().and_then(|(own, shared)| {
            let tokens = tokens - u64::from(own.tokens);
            let last = shared.last().filter(|_| tokens >= WORTH_KEEPING_TOKENS)?;
            Some(SharedPrompt {
                key: xxh3_64(last.id.as_bytes()),
                tokens,
            })
        });
        Self { tokens, shared }
    }
}

/// Which engines read which shared prompts lately.
#[derive(Debug, Default)]
pub(super) struct Holders {
    read: BTreeMap<(u64, String), Timestamp>,
    order: VecDeque<(u64, String)>,
}

impl Holders {
    pub fn note(&mut self, key: u64, engine: &str, now: Timestamp) {
        let place = (key, engine.to_owned());
        if self.read.insert(place.clone(), now).is_none() {
            self.order.push_back(place);
        }
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.read.remove(&oldest);
        }
    }

    pub fn holds(&self, key: u64, engine: &str, now: Timestamp) -> bool {
        let read = self.read.get(&(key, engine.to_owned()));
        read.is_some_and(|at| now.since(*at) < HELD_FOR)
    }
}

/// The engine, of those given by their identifiers, where every gateway looks
/// first for a shared prompt.
pub(super) fn home<'e>(key: u64, engines: impl Iterator<Item = &'e str>) -> Option<&'e str> {
    engines.max_by_key(|engine| xxh3_64_with_seed(engine.as_bytes(), key))
}
