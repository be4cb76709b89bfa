//! Count of executions, for checkers. Unlike the engine it survives a crash.

use std::collections::{BTreeMap, VecDeque};

use molespan_types::Digest;
use serde::{Deserialize, Serialize};

use super::AttemptKey;

/// Attempts and prompts counted; older ones are forgotten.
const COUNTED: usize = 200_000;

/// How often something ran.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionCount {
    /// Times it entered a running batch, once for each submission.
    pub started: u32,
    /// Times it ended with a whole answer.
    pub completed: u32,
}

/// Counts by attempt and by digest of the prompt or body.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExecutionLog {
    /// By attempt.
    pub attempts: BTreeMap<String, ExecutionCount>,
    /// By digest of the prompt.
    pub prompts: BTreeMap<Digest, ExecutionCount>,
    /// Counts that were forgotten to bound memory.
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
        self.forget_oldest();
    }

    /// Counts an end with a whole answer.
    pub fn completed(&mut self, attempt: &AttemptKey, prompt: Digest) {
        if let Some(count) = self.attempts.get_mut(&**attempt) {
            count.completed += 1;
        }
        if let Some(count) = self.prompts.get_mut(&prompt) {
            count.completed += 1;
        }
    }

    /// Counts of one attempt.
    #[must_use]
    pub fn of_attempt(&self, attempt: &str) -> ExecutionCount {
        self.attempts.get(attempt).copied().unwrap_or_default()
    }

    /// Counts of one prompt.
    #[must_use]
    pub fn of_prompt(&self, prompt: Digest) -> ExecutionCount {
        self.prompts.get(&prompt).copied().unwrap_or_default()
    }

    fn forget_oldest(&mut self) {
        if self.order.len() <= COUNTED {
            return;
        }
        if let Some((attempt, prompt)) = self.order.pop_front() {
            self.attempts.remove(&*attempt);
            self.prompts.remove(&prompt);
            self.forgotten += 1;
        }
    }
}
