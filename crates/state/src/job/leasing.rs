//! Leasing items and recording their results.

use minicbor::bytes::ByteVec;
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{ItemIndex, JobId, LeaseId};

use super::active::ActiveJob;
use super::command::{GrantedLease, ItemOutcome, ItemResult, JobReply, LeaseRequest, LeasedItem};
use super::lease::Lease;
use super::machine::JobMachine;
use super::owner::{Owner, RequestStatus};
use super::payloads::{EMPTY_PAYLOAD, read, store};
use super::query::JobPhase;
use super::range_set::RangeSet;
use crate::payload::{PayloadError, PayloadLog};

/// Maximum number of items in one lease.
const MAX_LEASE_ITEMS: u32 = 1024;
/// Maximum total input size of one lease, in bytes. A single larger item is still leased
/// alone.
const MAX_LEASE_BYTES: u64 = 4 << 20;

impl JobMachine {
    /// Grants a lease, or returns the lease granted earlier to the same request.
    pub(super) fn lease(
        &mut self,
        request: &LeaseRequest,
        payloads: &dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let owner = self
            .owners
            .entry(request.owner)
            .or_insert(Owner::new(request.owner_incarnation));
        if request.owner_incarnation < owner.incarnation {
            return Ok(JobReply::Leased(None));
        }
        if request.owner_incarnation > owner.incarnation {
            *owner = Owner::new(request.owner_incarnation);
        }
        let lease = match owner.status_of(request.sequence) {
            RequestStatus::Ended => None,
            RequestStatus::Leased(lease) => Some(lease),
            RequestStatus::New => self.grant(request),
        };
        Ok(JobReply::Leased(self.granted_lease(lease, payloads)?))
    }

    /// Leases items to a new request and records the reply for retries.
    fn grant(&mut self, request: &LeaseRequest) -> Option<LeaseId> {
        let lease = self.take_items(request);
        if let Some(owner) = self.owners.get_mut(&request.owner) {
            owner.record(request.sequence, lease);
        }
        lease
    }

    /// Moves free items of the next scheduled job to a new lease.
    fn take_items(&mut self, request: &LeaseRequest) -> Option<LeaseId> {
        let id = self.ready.next(&request.service, &self.shares)?;
        let job = self.active.get_mut(&id)?;
        let held = take_free(job, request.max_items);
        if held.is_empty() {
            return None;
        }
        job.leases += 1;
        job.leased += held.len();
        self.shares.charge(&job.submission.tenant, held.len());
        self.ready.refresh(job, &mut self.shares);
        self.last_lease = self.last_lease.next();
        let lease = Lease {
            job: id,
            owner: request.owner,
            backend: request.backend,
            renewals: 0,
            held,
        };
        self.leases.insert(self.last_lease, lease);
        Some(self.last_lease)
    }

    /// Returns lease `id` with the items it still holds and their inputs.
    fn granted_lease(
        &self,
        id: Option<LeaseId>,
        payloads: &dyn PayloadLog,
    ) -> Result<Option<GrantedLease>, PayloadError> {
        let found = id.and_then(|id| Some((id, self.leases.get(&id)?)));
        let Some((id, lease)) = found else {
            return Ok(None);
        };
        let Some(job) = self
            .active
            .get(&lease.job)
            .filter(|job| job.may_lease_items())
        else {
            return Ok(None);
        };
        let mut items = Vec::with_capacity(lease.held.len() as usize);
        for item in lease.held.iter() {
            let location = job.items.location(item).unwrap_or(EMPTY_PAYLOAD);
            items.push(LeasedItem {
                item: ItemIndex(item),
                input: ByteVec::from(read(location, payloads)?),
            });
        }
        Ok(Some(GrantedLease {
            lease: id,
            job: lease.job,
            repeatable: job.submission.repeatable,
            items,
        }))
    }

    /// Renews leases.
    pub(super) fn renew(&mut self, ids: &[LeaseId]) -> JobReply {
        let mut lost = Vec::new();
        let mut cancelled = Vec::new();
        for id in ids {
            let Some(lease) = self.leases.get_mut(id) else {
                lost.push(*id);
                continue;
            };
            lease.renewals += 1;
            let running = self
                .active
                .get(&lease.job)
                .is_some_and(|job| job.phase == JobPhase::Running);
            if !running {
                cancelled.push(*id);
            }
        }
        JobReply::Renewed { lost, cancelled }
    }

    /// Records results of items that the lease still holds.
    pub(super) fn record(
        &mut self,
        id: LeaseId,
        results: &[ItemResult],
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let mut taken = 0;
        if let Some((lease, job)) = self.lease_and_job(id) {
            for result in results {
                let item = result.item.0;
                if !accepts_result(lease, job, item) {
                    continue;
                }
                let location = store(&result.payload, payloads)?;
                if lease.held.remove(item) {
                    job.leased -= 1;
                }
                job.set_result(item, result.outcome, location);
                taken += 1;
            }
        }
        self.remove_if_empty(id, payloads)?;
        Ok(recorded(taken, results.len()))
    }

    /// Makes items that did not run available again.
    pub(super) fn return_items(
        &mut self,
        id: LeaseId,
        items: &[ItemIndex],
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let Some((lease, job)) = self.lease_and_job(id) else {
            self.remove_orphaned_lease(id);
            return Ok(recorded(0, items.len()));
        };
        let named: Vec<u32> = if items.is_empty() {
            lease.held.iter().collect()
        } else {
            items.iter().map(|item| item.0).collect()
        };
        let mut taken = 0;
        for &item in &named {
            if lease.held.remove(item) {
                job.leased -= 1;
                job.free.insert(item);
                taken += 1;
            }
        }
        let tenant = job.submission.tenant.clone();
        self.shares.refund(&tenant, taken);
        self.remove_if_empty(id, payloads)?;
        Ok(recorded(taken, named.len()))
    }

    /// Expires a lease unless it was renewed in the meantime.
    pub(super) fn expire(
        &mut self,
        id: LeaseId,
        renewals: u64,
        payloads: &mut dyn PayloadLog,
    ) -> Result<JobReply, PayloadError> {
        let unchanged = self
            .leases
            .get(&id)
            .is_some_and(|lease| lease.renewals == renewals);
        if !unchanged {
            return Ok(recorded(0, 0));
        }
        let Some((lease, job)) = self.lease_and_job(id) else {
            self.remove_orphaned_lease(id);
            return Ok(recorded(0, 0));
        };
        let held = std::mem::take(&mut lease.held);
        job.leased -= held.len();
        let may_run_again = job.submission.repeatable || !enabled(Mechanism::NoRetryAfterAmbiguity);
        for item in held.iter() {
            if may_run_again {
                job.free.insert(item);
            } else {
                job.set_result(item, ItemOutcome::Unknown, EMPTY_PAYLOAD);
            }
        }
        self.remove_if_empty(id, payloads)?;
        Ok(recorded(held.len(), held.len() as usize))
    }

    /// Returns an active lease and its job.
    fn lease_and_job(&mut self, id: LeaseId) -> Option<(&mut Lease, &mut ActiveJob)> {
        let lease = self.leases.get_mut(&id)?;
        let job = self.active.get_mut(&lease.job)?;
        Some((lease, job))
    }

    /// Removes a lease that holds no items any more, and finishes its job if it was the
    /// last.
    fn remove_if_empty(
        &mut self,
        id: LeaseId,
        payloads: &mut dyn PayloadLog,
    ) -> Result<(), PayloadError> {
        let Some(lease) = self.leases.get(&id) else {
            return Ok(());
        };
        let job_id: JobId = lease.job;
        let ended = lease.held.is_empty();
        if let Some(job) = self.active.get_mut(&job_id) {
            if ended {
                job.leases -= 1;
            }
            self.ready.refresh(job, &mut self.shares);
        }
        if ended {
            self.leases.remove(&id);
        }
        self.finish_if_done(job_id, payloads)
    }

    /// Removes a lease whose job is finished. Such a lease exists only if a mechanism was
    /// disabled.
    fn remove_orphaned_lease(&mut self, id: LeaseId) {
        self.leases.remove(&id);
    }
}

/// Whether a result of `item` under `lease` is accepted.
fn accepts_result(lease: &Lease, job: &ActiveJob, item: u32) -> bool {
    if enabled(Mechanism::FirstResultWins) {
        lease.held.contains(item)
    } else {
        item < job.items.len()
    }
}

/// Takes up to `max_items` of the lowest free items of `job`, within the limits of one
/// lease.
fn take_free(job: &mut ActiveJob, max_items: u32) -> RangeSet {
    let mut taken = RangeSet::default();
    let mut bytes = 0;
    while taken.len() < max_items.min(MAX_LEASE_ITEMS) {
        let Some(item) = job.free.first() else {
            break;
        };
        let location = job.items.location(item).unwrap_or(EMPTY_PAYLOAD);
        bytes += u64::from(location.length);
        if bytes > MAX_LEASE_BYTES && !taken.is_empty() {
            break;
        }
        job.free.remove(item);
        taken.insert(item);
    }
    taken
}

/// Returns the reply to a record, return or expire command for `named` items.
fn recorded(taken: u32, named: usize) -> JobReply {
    JobReply::Recorded {
        taken,
        dropped: (named as u32).saturating_sub(taken),
    }
}
