//! A simulated job group: unleased items and leases.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use minicbor::bytes::ByteVec;
use molespan_routing::batch::GroupReply;
use molespan_state::job::{GrantedLease, LeasedItem};
use molespan_types::{ItemIndex, JobId, LeaseId};

/// Number of jobs in a wave.
const JOBS_PER_WAVE: u32 = 3;

/// Items by job. Leases never expire, since the simulation has no faults.
#[derive(Default)]
pub struct JobGroup {
    free: BTreeMap<u64, VecDeque<u32>>,
    leases: BTreeMap<LeaseId, (u64, BTreeSet<u32>)>,
    last_lease: u64,
    last_job: u64,
    pub recorded: u64,
}

impl JobGroup {
    /// Adds a wave of jobs with `items` items in total.
    pub fn add_wave(&mut self, items: u32) {
        for _ in 0..JOBS_PER_WAVE {
            self.last_job += 1;
            let items = (0..items / JOBS_PER_WAVE).collect();
            self.free.insert(self.last_job, items);
        }
    }

    /// Leases up to `most` items of the oldest job that has free ones.
    pub fn lease(&mut self, most: u32) -> GroupReply {
        self.free.retain(|_, items| !items.is_empty());
        let Some((job, items)) = self.free.iter_mut().next() else {
            return GroupReply::Leased(None);
        };
        let job = *job;
        let count = items.len().min(most as usize);
        let taken: Vec<u32> = items.drain(..count).collect();
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        self.leases
            .insert(lease, (job, taken.iter().copied().collect()));
        GroupReply::Leased(Some(GrantedLease {
            lease,
            job: JobId(job),
            repeatable: true,
            items: taken.into_iter().map(leased_item).collect(),
        }))
    }

    pub fn record(&mut self, lease: LeaseId, items: &[ItemIndex]) -> GroupReply {
        let taken = self.take(lease, items).len() as u32;
        self.recorded += u64::from(taken);
        GroupReply::Accepted { taken, dropped: 0 }
    }

    pub fn return_items(&mut self, lease: LeaseId, items: &[ItemIndex]) -> GroupReply {
        let job = self.leases.get(&lease).map(|(job, _)| *job);
        let taken = self.take(lease, items);
        let count = taken.len() as u32;
        if let Some(job) = job {
            let free = self.free.entry(job).or_default();
            taken.into_iter().for_each(|item| free.push_front(item));
        }
        GroupReply::Accepted {
            taken: count,
            dropped: 0,
        }
    }

    fn take(&mut self, lease: LeaseId, items: &[ItemIndex]) -> Vec<u32> {
        let Some((_, held)) = self.leases.get_mut(&lease) else {
            return Vec::new();
        };
        let items = items.iter().map(|item| item.0);
        items.filter(|item| held.remove(item)).collect()
    }
}

/// Returns an item without input; the prompt is generated from the item's number when it runs.
fn leased_item(item: u32) -> LeasedItem {
    LeasedItem {
        item: ItemIndex(item),
        input: ByteVec::from(Vec::new()),
    }
}
