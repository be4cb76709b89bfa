//! Open items in the order in which they are due.

use std::collections::{BTreeMap, BTreeSet};

use molespan_routing::dispatch::Urgency;
use molespan_state::batch::{ItemReference, OpenWork};

/// Open items, put in order once for all calls that hand some of them out.
#[derive(Clone, Debug, Default)]
pub struct OpenIndex {
    by_due: Vec<(u64, ItemReference)>,
    due_ms: BTreeMap<ItemReference, u64>,
    jobs: BTreeSet<u64>,
}

impl OpenIndex {
    /// Open items with the time at which each is due, in milliseconds since 1970
    /// and in that order; what never is due comes last.
    #[must_use]
    pub fn by_due(&self) -> &[(u64, ItemReference)] {
        &self.by_due
    }

    /// When an item is due that has no outcome yet; `None` for any other.
    #[must_use]
    pub fn due_ms(&self, item: ItemReference) -> Option<u64> {
        self.due_ms.get(&item).copied()
    }

    /// Whether a job is open.
    #[must_use]
    pub fn is_open(&self, job: u64) -> bool {
        self.jobs.contains(&job)
    }
}

impl From<OpenWork> for OpenIndex {
    fn from(work: OpenWork) -> Self {
        let due_ms = work.items.iter().map(|open| {
            let due_ms = Urgency::of(open.due_ms, 0, 0).due_ms;
            (open.item, due_ms)
        });
        let due_ms: BTreeMap<ItemReference, u64> = due_ms.collect();
        let by_due = due_ms.iter().map(|(&item, &due_ms)| (due_ms, item));
        let mut by_due: Vec<(u64, ItemReference)> = by_due.collect();
        by_due.sort_unstable();
        Self {
            by_due,
            due_ms,
            jobs: work.jobs,
        }
    }
}
