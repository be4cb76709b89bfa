//! One job group: the free items and who holds the others.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use minicbor::bytes::ByteVec;
use molespan_routing::batch::GroupReply;
use molespan_state::job::{GrantedLease, LeasedItem};
use molespan_types::{ItemIndex, JobId, LeaseId};

/// Jobs that a heap consists of.
const JOBS_PER_HEAP: u32 = 3;

/// Items by job; leases never expire, since nothing fails here.
#[derive(Default)]
pub struct JobGroup {
    free: BTreeMap<u64, VecDeque<u32>>,
    leases: BTreeMap<LeaseId, (u64, BTreeSet<u32>)>,
    last_lease: u64,
    last_job: u64,
    pub recorded: u64,
}

impl JobGroup {
    /// A heap of jobs with `items` together.
    pub fn add_heap(&mut self, items: u32) {
        for _ in 0..JOBS_PER_HEAP {
            self.last_job += 1;
            let items = (0..items / JOBS_PER_HEAP).collect();
            self.free.insert(self.last_job, items);
        }
    }

    /// Items of the oldest job that has some.
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
        GroupReply::Taken { taken, dropped: 0 }
    }

    pub fn give_back(&mut self, lease: LeaseId, items: &[ItemIndex]) -> GroupReply {
        let job = self.leases.get(&lease).map(|(job, _)| *job);
        let taken = self.take(lease, items);
        let count = taken.len() as u32;
        if let Some(job) = job {
            let free = self.free.entry(job).or_default();
            taken.into_iter().for_each(|item| free.push_front(item));
        }
        GroupReply::Taken {
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

/// The input is made when the item is run; here its number stands for it.
fn leased_item(item: u32) -> LeasedItem {
    LeasedItem {
        item: ItemIndex(item),
        input: ByteVec::from(Vec::new()),
    }
}
