//! Identifiers, time and outcomes shared by every molespan crate.
//!
//! The types here carry no behaviour beyond formatting, encoding and simple
//! arithmetic, so that every decision core can depend on them without pulling
//! in sockets, clocks or threads.

mod digest;
mod engine_life;
mod identifier;
pub mod mechanism;
mod outcome;

mod time;

pub use digest::{Digest, digest_of};
pub use engine_life::{EngineLife, lives_of};
pub use identifier::{
    AttemptId, BackendId, ConfigVersion, FencingToken, GroupId, Incarnation, ItemIndex, JobId,
    LeaseId, ModelName, NodeId, ServiceName, TenantId, ZoneName,
};
pub use outcome::{Priority, RunOutcome};
pub use time::Timestamp;
