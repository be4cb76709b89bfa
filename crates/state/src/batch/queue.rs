//! Tokens that wait, by queue.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

use super::command::SubmitJob;

/// Tokens that wait in each queue; an empty queue has no entry.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub(super) struct QueuedTokens(#[n(0)] BTreeMap<String, u64>);

impl QueuedTokens {
    /// Tokens that wait in a queue.
    pub fn of(&self, queue: &str) -> u64 {
        self.0.get(queue).copied().unwrap_or_default()
    }

    /// Whether a job's tokens may wait besides those that do.
    pub fn fits(&self, submit: &SubmitJob) -> bool {
        let all = self.of(&submit.queue) + submit.tokens();
        submit.max_queued_tokens.is_none_or(|most| all <= most)
    }

    /// Tokens begin to wait.
    pub fn add(&mut self, queue: &str, tokens: u64) {
        if tokens > 0 {
            *self.0.entry(queue.to_owned()).or_default() += tokens;
        }
    }

    /// Tokens wait no more.
    pub fn remove(&mut self, queue: &str, tokens: u64) {
        if let Some(waiting) = self.0.get_mut(queue) {
            debug_assert!(*waiting >= tokens, "more tokens leave than wait");
            *waiting = waiting.saturating_sub(tokens);
            if *waiting == 0 {
                self.0.remove(queue);
            }
        }
    }
}
