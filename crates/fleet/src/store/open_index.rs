//! Open items in the order in which they are handed out.

use std::collections::BTreeSet;

use molespan_routing::dispatch::Urgency;
use molespan_state::batch::{ItemReference, OpenWork};

/// Open items, put in order once for all calls that hand some of them out.
#[derive(Clone, Debug, Default)]
pub struct OpenIndex {
    /// With the time at which they are due, in that order; what never is comes
    /// last.
    by_due: Vec<(u64, ItemReference)>,
    items: BTreeSet<ItemReference>,
    jobs: BTreeSet<u64>,
}

impl OpenIndex {
    /// Whether an item has no outcome yet.
    #[must_use]
    pub fn contains(&self, item: ItemReference) -> bool {
        self.items.contains(&item)
    }

    /// Whether a job is open.
    #[must_use]
    pub fn is_open(&self, job: u64) -> bool {
        self.jobs.contains(&job)
    }

    /// Open items in the order of [`Urgency`], for work that takes `takes_ms` and
    /// by a clock that shows `now_ms`.
    pub fn by_urgency(&self, now_ms: u64, takes_ms: u64) -> impl Iterator<Item = ItemReference> {
        let in_time = now_ms.saturating_add(takes_ms);
        let late = self.by_due.partition_point(|&(due_ms, _)| due_ms < in_time);
        let (late, in_time) = self.by_due.split_at(late);
        in_time.iter().chain(late).map(|&(_, item)| item)
    }
}

impl From<OpenWork> for OpenIndex {
    fn from(work: OpenWork) -> Self {
        let by_due = work.items.iter().map(|open| {
            let due_ms = Urgency::of(open.due_ms, 0, 0).due_ms;
            (due_ms, open.item)
        });
        let mut by_due: Vec<(u64, ItemReference)> = by_due.collect();
        by_due.sort_unstable();
        Self {
            by_due,
            items: work.items.iter().map(|open| open.item).collect(),
            jobs: work.jobs,
        }
    }
}
