//! An active lease.

use minicbor::{Decode, Encode};
use molespan_types::{BackendId, JobId, LeaseId, NodeId};

use super::query::LeaseRecord;
use super::range_set::RangeSet;

/// The right of an owner to run some items of a job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub(crate) struct Lease {
    /// Job that the items belong to.
    #[n(0)]
    pub(crate) job: JobId,
    /// Gateway that runs the items.
    #[n(1)]
    pub(crate) owner: NodeId,
    /// Back end that the items run on.
    #[n(2)]
    pub(crate) backend: BackendId,
    /// Number of renewals so far.
    #[n(3)]
    pub(crate) renewals: u64,
    /// Items that neither have a result nor were returned.
    #[n(4)]
    pub(crate) held: RangeSet,
}

impl Lease {
    /// Returns the lease as reported to readers.
    pub(crate) fn record(&self, lease: LeaseId) -> LeaseRecord {
        LeaseRecord {
            lease,
            job: self.job,
            owner: self.owner,
            backend: self.backend,
            items: self.held.len(),
            renewals: self.renewals,
        }
    }
}
