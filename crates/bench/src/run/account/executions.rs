//! What the back ends themselves recorded about runs.

use std::collections::BTreeMap;

use molespan_emulator::engine::{ExecutionCount, ExecutionLog};
use molespan_types::Digest;

/// Executions by digest of the prompt or body, over all back ends.
#[derive(Clone, Debug, Default)]
pub struct Executions {
    prompts: BTreeMap<Digest, ExecutionCount>,
    forgotten: u64,
}

impl Executions {
    /// Adds the record of one back end.
    pub fn add(&mut self, log: &ExecutionLog) {
        for (prompt, count) in &log.prompts {
            let total = self.prompts.entry(*prompt).or_default();
            total.started += count.started;
            total.completed += count.completed;
        }
        self.forgotten += log.forgotten;
    }

    /// How often the prompt ran.
    #[must_use]
    pub fn of(&self, prompt: Digest) -> ExecutionCount {
        self.prompts.get(&prompt).copied().unwrap_or_default()
    }

    /// Runs that a back end no longer knows; with any, the counts are lower
    /// bounds.
    #[must_use]
    pub fn forgotten(&self) -> u64 {
        self.forgotten
    }
}
