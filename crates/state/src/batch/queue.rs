//! Waiting tokens by queue.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use super::command::SubmitJob;

/// Number of waiting tokens in each queue; an empty queue has no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub(super) struct QueuedTokens(#[n(0)] BTreeMap<String, u64>);

impl QueuedTokens {
    /// Returns the number of waiting tokens in a queue.
    pub fn of(&self, queue: &str) -> u64 {
        self.0.get(queue).copied().unwrap_or_default()
    }

    /// Whether the tokens of a job fit within the limit of its queue.
    pub fn fits(&self, submit: &SubmitJob) -> bool {
        let all = self.of(&submit.queue) + submit.tokens();
        submit.max_queued_tokens.is_none_or(|limit| all <= limit)
    }

    /// Adds waiting tokens to a queue.
    pub fn add(&mut self, queue: &str, tokens: u64) {
        if tokens > 0 {
            *self.0.entry(queue.to_owned()).or_default() += tokens;
        }
    }

    /// Removes waiting tokens from a queue.
    pub fn remove(&mut self, queue: &str, tokens: u64) {
        if let Some(waiting) = self.0.get_mut(queue) {
            debug_assert!(
                *waiting >= tokens,
                "more tokens are removed than are waiting"
            );
            *waiting = waiting.saturating_sub(tokens);
            if *waiting == 0 {
                self.0.remove(queue);
            }
        }
    }
}
