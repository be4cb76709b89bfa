//! Identifiers, timestamps and outcomes shared by the molespan crates.
//!
//! The types have no behaviour beyond formatting, encoding and simple arithmetic,
//! so that the decision cores can depend on them without depending on sockets,
//! clocks or threads.

mod digest;
mod engine_life;
mod identifier;
pub mod mechanism;
mod outcome;

mod time;

pub use digest::{Digest, digest_of};
pub use engine_life::{EngineIncarnation, incarnations_of};
pub use identifier::{
    AttemptId, BackendId, ConfigVersion, FencingToken, GroupId, Incarnation, ItemIndex, JobId,
    LeaseId, ModelName, NodeId, ServiceName, SoftwareVersion, TenantId, ZoneName,
};
pub use outcome::{Priority, RunOutcome};
pub use time::Timestamp;
