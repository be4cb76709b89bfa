//! Checks the results of a job against its items.

use std::collections::BTreeMap;

use molespan_emulator::expected_answer;
use molespan_types::{Digest, digest_of};
use serde::Deserialize;

/// A line of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ResultLine {
    /// Index of the item.
    pub item: u32,
    /// Outcome of the item.
    pub outcome: String,
    /// Generated text, if the item completed.
    #[serde(default)]
    pub text: Option<String>,
}

/// Error in the results of a job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultFault {
    /// The item has no result although the job was not cancelled.
    Missing {
        /// Index of the item.
        item: u32,
    },
    /// The item has more than one result.
    Repeated {
        /// Index of the item.
        item: u32,
    },
    /// The text is not the expected text for the item's prompt.
    Wrong {
        /// Index of the item.
        item: u32,
    },
    /// The job has no such item.
    Foreign {
        /// Index of the item.
        item: u32,
    },
    /// The item ended without completing.
    Failed {
        /// Index of the item.
        item: u32,
        /// Outcome of the item.
        outcome: String,
    },
}

impl ResultFault {
    /// Returns a short label that is equal for faults of the same kind.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Missing { .. } => "batch item without a result".to_owned(),
            Self::Repeated { .. } => "batch item with two results".to_owned(),
            Self::Wrong { .. } => "batch item with a wrong text".to_owned(),
            Self::Foreign { .. } => "result of an unknown batch item".to_owned(),
            Self::Failed { outcome, .. } => format!("batch item ended as {outcome}"),
        }
    }
}

/// Outcome of a completed item in the results.
const COMPLETED: &str = "completed";

/// Items of a submitted job.
#[derive(Clone, Debug)]
pub struct JobItems {
    /// Prompt of each item.
    pub prompts: Vec<String>,
    /// Number of tokens generated per item.
    pub answer_tokens: u32,
    /// Whether items are repeatable.
    pub repeatable: bool,
}

/// Checked results of a job.
#[derive(Clone, Debug)]
pub struct JobResults {
    items: JobItems,
    cancelled: bool,
    correct: u64,
    missing: u64,
    faults: Vec<ResultFault>,
}

impl JobResults {
    /// Checks `lines`, which are all results of a job. Missing items are no fault if
    /// the job was `cancelled`.
    #[must_use]
    pub fn check(items: JobItems, lines: &[ResultLine], cancelled: bool) -> Self {
        let mut by_item: BTreeMap<u32, Vec<&ResultLine>> = BTreeMap::new();
        for line in lines {
            by_item.entry(line.item).or_default().push(line);
        }
        let mut results = Self {
            cancelled,
            correct: 0,
            missing: 0,
            faults: Vec::new(),
            items,
        };
        for item in 0..results.items() {
            let lines = by_item.remove(&item).unwrap_or_default();
            results.check_item(item, &lines);
        }
        let foreign = by_item
            .into_keys()
            .map(|item| ResultFault::Foreign { item });
        results.faults.extend(foreign);
        results
    }

    fn check_item(&mut self, item: u32, lines: &[&ResultLine]) {
        let Some(first) = lines.first() else {
            self.missing += 1;
            if !self.cancelled {
                self.faults.push(ResultFault::Missing { item });
            }
            return;
        };
        if lines.len() > 1 {
            self.faults.push(ResultFault::Repeated { item });
        }
        if first.outcome != COMPLETED {
            let outcome = first.outcome.clone();
            self.faults.push(ResultFault::Failed { item, outcome });
            return;
        }
        let prompt = &self.items.prompts[item as usize];
        let expected = expected_answer(prompt, self.items.answer_tokens);
        if first.text.as_deref() == Some(expected.as_str()) {
            self.correct += 1;
        } else {
            self.faults.push(ResultFault::Wrong { item });
        }
    }

    /// Returns the number of items in the job.
    #[must_use]
    pub fn items(&self) -> u32 {
        u32::try_from(self.items.prompts.len()).unwrap_or(u32::MAX)
    }

    /// Returns the number of items with the expected result.
    #[must_use]
    pub fn correct(&self) -> u64 {
        self.correct
    }

    /// Returns the number of items without a result in a cancelled job, else 0.
    #[must_use]
    pub fn missing_by_cancel(&self) -> u64 {
        if self.cancelled { self.missing } else { 0 }
    }

    /// Returns the faults in the results.
    #[must_use]
    pub fn faults(&self) -> &[ResultFault] {
        &self.faults
    }

    /// Whether items are repeatable.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.items.repeatable
    }

    /// Returns the digests under which the engines record the items' executions.
    pub fn prompts(&self) -> impl Iterator<Item = Digest> + '_ {
        let prompts = self.items.prompts.iter();
        prompts.map(|prompt| digest_of(prompt.as_bytes()))
    }
}
