//! Execution counts for checkers. Unlike the engine's state, they survive a crash.

use std::collections::{BTreeMap, VecDeque};

use molespan_types::Digest;
use serde::{Deserialize, Serialize};

use super::AttemptKey;

/// Maximum number of counted starts; the counts of older ones are dropped.
const MAX_COUNTED_STARTS: usize = 200_000;

/// Number of executions of one attempt or prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// Number of times it entered a running batch, at most once per submission.
    pub started: u32,
    /// Number of times it completed with a whole answer.
    pub completed: u32,
}

/// Execution counts by attempt and by digest of the prompt or request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionLog {
    /// Counts by attempt.
    pub attempts: BTreeMap<String, ExecutionCount>,
    /// Counts by digest of the prompt or request.
    pub prompts: BTreeMap<Digest, ExecutionCount>,
    /// Number of starts whose counts were dropped to bound memory.
    pub forgotten: u64,
    #[serde(skip)]
    order: VecDeque<(AttemptKey, Digest)>,
}

impl ExecutionLog {
    /// Counts a start.
    pub fn started(&mut self, attempt: &AttemptKey, prompt: Digest) {
        let key = attempt.to_string();
        self.attempts.entry(key).or_default().started += 1;
        self.prompts.entry(prompt).or_default().started += 1;
        self.order.push_back((attempt.clone(), prompt));
        self.drop_oldest();
    }

    /// Counts a completion with a whole answer.
    pub fn completed(&mut self, attempt: &AttemptKey, prompt: Digest) {
        if let Some(count) = self.attempts.get_mut(&**attempt) {
            count.completed += 1;
        }
        if let Some(count) = self.prompts.get_mut(&prompt) {
            count.completed += 1;
        }
    }

    /// Returns the counts of an attempt; zero if it is not counted.
    #[must_use]
    pub fn of_attempt(&self, attempt: &str) -> ExecutionCount {
        self.attempts.get(attempt).copied().unwrap_or_default()
    }

    /// Returns the counts of a prompt; zero if it is not counted.
    #[must_use]
    pub fn of_prompt(&self, prompt: Digest) -> ExecutionCount {
        self.prompts.get(&prompt).copied().unwrap_or_default()
    }

    fn drop_oldest(&mut self) {
        if self.order.len() <= MAX_COUNTED_STARTS {
            return;
        }
        if let Some((attempt, prompt)) = self.order.pop_front() {
            self.attempts.remove(&*attempt);
            self.prompts.remove(&prompt);
            self.forgotten += 1;
        }
    }
}
