//! Index of open batch items by due time.

use std::collections::{BTreeMap, BTreeSet};

use molespan_routing::dispatch::Urgency;
use molespan_state::batch::{ItemReference, JobDirectory, OpenWork};

/// Open items, read once and shared by all requests for items.
#[derive(Clone, Debug, Default)]
pub struct OpenIndex {
    due_ms: BTreeMap<ItemReference, u64>,
    jobs: BTreeSet<u64>,
    directories: Vec<JobDirectory>,
    /// Number of the directory of each job.
    directory_of: BTreeMap<u64, usize>,
}

impl OpenIndex {
    /// Returns the open items with their due times.
    pub fn items(&self) -> impl Iterator<Item = (u64, ItemReference)> {
        self.due_ms.iter().map(|(&item, &due_ms)| (due_ms, item))
    }

    /// Returns the due time of an item without an outcome, in milliseconds since the Unix
    /// epoch, or the maximum if the item has no due time; `None` for any other item.
    #[must_use]
    pub fn due_ms(&self, item: ItemReference) -> Option<u64> {
        self.due_ms.get(&item).copied()
    }

    /// Returns the directories of open jobs, whose numbers are their indexes.
    pub(super) fn directories(&self) -> &[JobDirectory] {
        &self.directories
    }

    /// Returns the number of the directory of an open job.
    pub(super) fn directory_of(&self, job: u64) -> Option<usize> {
        self.directory_of.get(&job).copied()
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
        let due_ms = due_ms.collect();
        let mut directory_of = BTreeMap::new();
        for (number, directory) in work.directories.iter().enumerate() {
            directory_of.extend(directory.jobs.iter().map(|&job| (job, number)));
        }
        Self {
            due_ms,
            jobs: work.jobs,
            directories: work.directories,
            directory_of,
        }
    }
}
