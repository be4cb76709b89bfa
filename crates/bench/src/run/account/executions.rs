//! Executions as recorded by the back ends.

use std::collections::BTreeMap;

use molespan_emulator::engine::{ExecutionCount, ExecutionLog};
use molespan_types::Digest;

/// Execution counts over all back ends, by digest of the prompt or body.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    prompts: BTreeMap<Digest, ExecutionCount>,
    forgotten: u64,
}

impl Executions {
    /// Adds the execution log of one back end.
    pub fn add(&mut self, log: &ExecutionLog) {
        for (prompt, count) in &log.prompts {
            let total = self.prompts.entry(*prompt).or_default();
            total.started += count.started;
            total.completed += count.completed;
        }
        self.forgotten += log.forgotten;
    }

    /// Returns the execution count of a prompt.
    #[must_use]
    pub fn of(&self, prompt: Digest) -> ExecutionCount {
        self.prompts.get(&prompt).copied().unwrap_or_default()
    }

    /// Returns the number of executions evicted from the back ends' logs. If it is
    /// not 0, the counts are lower bounds.
    #[must_use]
    pub fn forgotten(&self) -> u64 {
        self.forgotten
    }
}
