//! Job groups: jobs, items, leases, results and claims.

mod command;
mod query;

pub use command::{
    AppendItems, BeginJob, ClaimReply, ClaimRequest, GrantedLease, ItemOutcome, ItemResult,
    JobCommand, JobReply, LeaseRequest, LeasedItem, SettleClaim,
};
pub use query::{ItemRecord, JobAnswer, JobPhase, JobQuery, JobStatus, LeaseRecord};
