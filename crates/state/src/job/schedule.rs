//! Scheduling of jobs for leases.
//!
//! Tenants are scheduled by start-time fair queueing: the tenant with the lowest service
//! count, measured in leased items divided by its weight, comes next. Among the jobs of a
//! tenant, the earliest deadline comes first, then the earliest submission. A tenant that
//! returns after an idle period starts at the current virtual time, so it neither catches
//! up on the idle period nor pays for work done long ago.

use std::collections::{BTreeMap, BTreeSet};

use minicbor::{Decode, Encode};
use molespan_types::{JobId, ServiceName, TenantId};

use super::active::ActiveJob;

/// Cost of one item for a tenant of weight 1.
const ITEM_COST: u64 = 1 << 16;
/// Weight of a tenant without a configured weight.
const DEFAULT_WEIGHT: u32 = 1;

/// Order of a job among the jobs of its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct JobRank {
    deadline_unix_seconds: u64,
    sequence: u64,
    job: JobId,
}

/// Fair-queueing state of a tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
struct Share {
    /// Leased items divided by weight, in units of `1 / ITEM_COST`.
    #[n(0)]
    served: u64,
    #[n(1)]
    weight: u32,
}

impl Share {
    /// Creates the share of a tenant whose service count starts at `served`.
    fn starting_at(served: u64) -> Self {
        Self {
            served,
            weight: DEFAULT_WEIGHT,
        }
    }

    /// Returns the cost of `items` at this weight.
    fn cost(&self, items: u32) -> u64 {
        u64::from(items) * ITEM_COST / u64::from(self.weight.max(1))
    }
}

/// The part of the schedule that is stored in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Shares {
    #[n(0)]
    tenants: BTreeMap<TenantId, Share>,
    /// Service count of the tenant that was scheduled last; never decreases.
    #[n(1)]
    virtual_time: u64,
}

impl Shares {
    /// Raises the service count of an idle tenant to the virtual time.
    fn activate(&mut self, tenant: &TenantId) {
        let now = self.virtual_time;
        let share = self
            .tenants
            .entry(tenant.clone())
            .or_insert(Share::starting_at(now));
        share.served = share.served.max(now);
    }

    /// Returns the service count of a tenant.
    fn served(&self, tenant: &TenantId) -> u64 {
        self.tenants.get(tenant).map_or(0, |share| share.served)
    }

    /// Charges `tenant` for leasing `items` and advances the virtual time.
    pub(crate) fn charge(&mut self, tenant: &TenantId, items: u32) {
        self.virtual_time = self.virtual_time.max(self.served(tenant));
        if let Some(share) = self.tenants.get_mut(tenant) {
            share.served = share.served.saturating_add(share.cost(items));
        }
    }

    /// Refunds `items` that were returned without having run.
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

/// Jobs that have free items, by service and tenant. Derived from the jobs and rebuilt when
/// a snapshot is restored.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ReadyJobs {
    services: BTreeMap<ServiceName, BTreeMap<TenantId, BTreeSet<JobRank>>>,
}

impl ReadyJobs {
    /// Adds or removes `job` depending on its phase and free items.
    pub(crate) fn refresh(&mut self, job: &ActiveJob, shares: &mut Shares) {
        if job.has_work() {
            if self.insert(job) {
                shares.activate(&job.submission.tenant);
            }
        } else {
            self.remove(job);
        }
    }

    /// Adds `job` and returns whether its tenant had no ready job for the service before.
    pub(crate) fn insert(&mut self, job: &ActiveJob) -> bool {
        let submission = &job.submission;
        let tenants = self.services.entry(submission.service.clone()).or_default();
        let jobs = tenants.entry(submission.tenant.clone()).or_default();
        let first = jobs.is_empty();
        jobs.insert(rank(job));
        first
    }

    /// Removes `job` if it is present.
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

    /// Returns the next job to lease items from for `service`.
    pub(crate) fn next(&self, service: &ServiceName, shares: &Shares) -> Option<JobId> {
        let tenants = self.services.get(service)?;
        let (_, jobs) = tenants
            .iter()
            .min_by_key(|(tenant, _)| shares.served(tenant))?;
        jobs.first().map(|rank| rank.job)
    }
}

/// Returns the order of `job` among the jobs of its tenant.
fn rank(job: &ActiveJob) -> JobRank {
    JobRank {
        deadline_unix_seconds: job.submission.deadline_unix_seconds,
        sequence: job.sequence,
        job: job.submission.job,
    }
}
