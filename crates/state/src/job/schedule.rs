//! Which job the next lease takes its items from.
//!
//! Between tenants it is the one that was served least, counted in leased
//! items over its weight (start-time fair queueing). Between the jobs of a
//! tenant it is the one with the earliest deadline, then the one begun first.
//! A tenant that comes back after a pause starts at the least count in use, so
//! it neither makes up for its pause nor pays for work done long ago.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_types::{JobId, ServiceName, TenantId};

use super::active::ActiveJob;

/// What one item costs a tenant of weight 1.
const ITEM_COST: u64 = 1 << 16;
/// Weight of a tenant that has none configured.
const DEFAULT_WEIGHT: u32 = 1;

/// Place of a job among those of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobRank {
    deadline_unix_seconds: u64,
    sequence: u64,
    job: JobId,
}

/// How much a tenant was served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Share {
    /// Items over weight, in units of `1 / ITEM_COST`.
    #[n(0)]
    served: u64,
    #[n(1)]
    weight: u32,
}

impl Share {
    /// The share of a tenant that starts at `served`.
    fn starting_at(served: u64) -> Self {
        Self {
            served,
            weight: DEFAULT_WEIGHT,
        }
    }

    /// What `items` cost at this weight.
    fn cost(&self, items: u32) -> u64 {
        u64::from(items) * ITEM_COST / u64::from(self.weight.max(1))
    }
}

/// The part of the schedule that snapshots keep.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Shares {
    #[n(0)]
    tenants: BTreeMap<TenantId, Share>,
    /// Count of the tenant that was chosen last; it never falls.
    #[n(1)]
    virtual_time: u64,
}

impl Shares {
    /// Lifts a tenant that was idle to the count in use.
    fn activate(&mut self, tenant: &TenantId) {
        let now = self.virtual_time;
        let share = self
            .tenants
            .entry(tenant.clone())
            .or_insert(Share::starting_at(now));
        share.served = share.served.max(now);
    }

    /// Count of a tenant.
    fn served(&self, tenant: &TenantId) -> u64 {
        self.tenants.get(tenant).map_or(0, |share| share.served)
    }

    /// Notes that `tenant` was chosen and takes `items`.
    pub(crate) fn charge(&mut self, tenant: &TenantId, items: u32) {
        self.virtual_time = self.virtual_time.max(self.served(tenant));
        if let Some(share) = self.tenants.get_mut(tenant) {
            share.served = share.served.saturating_add(share.cost(items));
        }
    }

    /// Notes that `items` came back without having run.
    pub(crate) fn refund(&mut self, tenant: &TenantId, items: u32) {
        if let Some(share) = self.tenants.get_mut(tenant) {
            share.served = share.served.saturating_sub(share.cost(items));
        }
    }

    /// Sets the weight of a tenant; 0 counts as 1.
    pub(crate) fn set_weight(&mut self, tenant: &TenantId, weight: u32) {
        let start = Share::starting_at(self.virtual_time);
        let share = self.tenants.entry(tenant.clone()).or_insert(start);
        share.weight = weight.max(1);
    }
}

/// Jobs that have free items, by service and tenant. It follows from the jobs
/// and is built anew when a snapshot is restored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadyJobs {
    services: BTreeMap<ServiceName, BTreeMap<TenantId, BTreeSet<JobRank>>>,
}

impl ReadyJobs {
    /// Puts `job` in or takes it out, as its phase and free items demand.
    pub(crate) fn refresh(&mut self, job: &ActiveJob, shares: &mut Shares) {
        if job.has_work() {
            if self.insert(job) {
                shares.activate(&job.submission.tenant);
            }
        } else {
            self.remove(job);
        }
    }

    /// Puts `job` in and says whether it is the first of its tenant.
    pub(crate) fn insert(&mut self, job: &ActiveJob) -> bool {
        let submission = &job.submission;
        let tenants = self.services.entry(submission.service.clone()).or_default();
        let jobs = tenants.entry(submission.tenant.clone()).or_default();
        let first = jobs.is_empty();
        jobs.insert(rank(job));
        first
    }

    /// Takes `job` out, if it is in.
    pub(crate) fn remove(&mut self, job: &ActiveJob) {
        let submission = &job.submission;
        let Some(tenants) = self.services.get_mut(&submission.service) else {
            return;
        };
        if let Some(jobs) = tenants.get_mut(&submission.tenant) {
            jobs.remove(&rank(job));
            if jobs.is_empty() {
                tenants.remove(&submission.tenant);
            }
        }
        if tenants.is_empty() {
            self.services.remove(&submission.service);
        }
    }

    /// The job whose turn it is among those of `service`.
    pub(crate) fn next(&self, service: &ServiceName, shares: &Shares) -> Option<JobId> {
        let tenants = self.services.get(service)?;
        let (_, jobs) = tenants
            .iter()
            .min_by_key(|(tenant, _)| shares.served(tenant))?;
        jobs.first().map(|rank| rank.job)
    }
}

/// The place of `job` among those of its tenant.
fn rank(job: &ActiveJob) -> JobRank {
    JobRank {
        deadline_unix_seconds: job.submission.deadline_unix_seconds,
        sequence: job.sequence,
        job: job.submission.job,
    }
}
