//! Open items and when they are due.

use std::collections::{BTreeMap, BTreeSet};

use molespan_routing::dispatch::Urgency;
use molespan_state::batch::{ItemReference, OpenWork};

/// Open items, read once for all calls that hand some of them out.
#[derive(Clone, Debug, Default)]
pub struct OpenIndex {
    due_ms: BTreeMap<ItemReference, u64>,
    jobs: BTreeSet<u64>,
}

impl OpenIndex {
    /// Open items with the time at which each is due.
    pub fn items(&self) -> impl Iterator<Item = (u64, ItemReference)> {
        self.due_ms.iter().map(|(&item, &due_ms)| (due_ms, item))
    }

    /// When an item is due that has no outcome yet, in milliseconds since 1970 and
    /// the latest time for one that never is; `None` for any other item.
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
        Self {
            due_ms: due_ms.collect(),
            jobs: work.jobs,
        }
    }
}
