//! Job groups: jobs, items, leases, results and claims.

mod active;
mod claim_archive;
mod claim_entry;
mod claims;
mod command;
mod finished;
mod items;
mod lease;
mod leasing;
mod machine;
mod owner;
mod payloads;
mod query;
mod range_set;
mod reading;
mod schedule;
mod submission;

pub use command::{
    AppendItems, BeginJob, ClaimReply, ClaimRequest, GrantedLease, ItemOutcome, ItemResult,
    JobCommand, JobReply, LeaseRequest, LeasedItem, SettleClaim,
};
pub use machine::JobMachine;
pub use query::{
    ItemRecord, JobAnswer, JobPhase, JobQuery, JobStatus, LeaseRecord, OpenClaimRecord,
};
