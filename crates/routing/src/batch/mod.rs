//! Batch scheduling for the engines that one gateway owns.
//!
//! The batch owner leases items from the job groups only while its engines have
//! free capacity, runs them, records their results in batches and returns the
//! items that it did not run. An online request that arrives at an engine,
//! through this gateway or another, preempts the batch streams there in the same
//! step. They resume once the engine has had no online requests for a short
//! quiet period, which is estimated from the gaps within past bursts.

mod asking;
mod engine;
mod fill;
mod journal;
mod lease;
mod message;
mod online;
mod owner;
mod policy;
mod quiet;
mod replies;
mod step_cost;
mod stream;

pub use journal::JournalSettings;
pub use message::{
    BatchDecision, BatchInput, BatchOutput, GroupReply, ItemEnd, OnlineNotice, OwnedEngine,
    Preemption, RequestNumber, StreamId,
};
pub use owner::{BatchOwner, BatchSettings};
pub use policy::BatchPolicy;
