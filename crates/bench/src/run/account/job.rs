//! The results of one job against its items.

use std::collections::BTreeMap;

use molespan_emulator::expected_answer;
use molespan_types::{Digest, digest_of};
use serde::Deserialize;

/// One line of a job's results.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct ResultLine {
    /// Item.
    pub item: u32,
    /// How it ended.
    pub outcome: String,
    /// Generated text.
    #[serde(default)]
    pub text: Option<String>,
}

/// What is wrong with the result of an item.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResultFault {
    /// The job ended, or had time to end, and the item has no result.
    Missing {
        /// Item.
        item: u32,
    },
    /// The item has more than one result.
    Repeated {
        /// Item.
        item: u32,
    },
    /// The text is not the answer to the item's prompt.
    Wrong {
        /// Item.
        item: u32,
    },
    /// The job has no such item.
    Foreign {
        /// Item.
        item: u32,
    },
    /// The result says that the item has no answer.
    Failed {
        /// Item.
        item: u32,
        /// How it ended.
        outcome: String,
    },
}

impl ResultFault {
    /// A short text that groups equal faults.
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

/// How results name an item that has its answer.
const COMPLETED: &str = "completed";

/// A job as its submitter knows it.
#[derive(Clone, Debug)]
pub struct JobItems {
    /// Prompt of each item.
    pub prompts: Vec<String>,
    /// Tokens of each answer.
    pub answer_tokens: u32,
    /// Whether items may be repeated.
    pub repeatable: bool,
}

/// The results of one job, checked.
#[derive(Clone, Debug)]
pub struct JobResults {
    items: JobItems,
    cancelled: bool,
    right: u64,
    missing: u64,
    faults: Vec<ResultFault>,
}

impl JobResults {
    /// Checks `lines`, all results of a job. Of a job that was `cancelled`,
    /// items may be missing.
    #[must_use]
    pub fn check(items: JobItems, lines: &[ResultLine], cancelled: bool) -> Self {
        let mut by_item: BTreeMap<u32, Vec<&ResultLine>> = BTreeMap::new();
        for line in lines {
            by_item.entry(line.item).or_default().push(line);
        }
        let mut results = Self {
            cancelled,
            right: 0,
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
            self.right += 1;
        } else {
            self.faults.push(ResultFault::Wrong { item });
        }
    }

    /// Items of the job.
    #[must_use]
    pub fn items(&self) -> u32 {
        u32::try_from(self.items.prompts.len()).unwrap_or(u32::MAX)
    }

    /// Items with the right result.
    #[must_use]
    pub fn right(&self) -> u64 {
        self.right
    }

    /// Items without a result because the job was cancelled.
    #[must_use]
    pub fn missing_by_cancel(&self) -> u64 {
        if self.cancelled { self.missing } else { 0 }
    }

    /// What is wrong.
    #[must_use]
    pub fn faults(&self) -> &[ResultFault] {
        &self.faults
    }

    /// Whether items may be repeated.
    #[must_use]
    pub fn is_repeatable(&self) -> bool {
        self.items.repeatable
    }

    /// Digests under which the engines record the runs of the items.
    pub fn prompts(&self) -> impl Iterator<Item = Digest> + '_ {
        let prompts = self.items.prompts.iter();
        prompts.map(|prompt| digest_of(prompt.as_bytes()))
    }
}
