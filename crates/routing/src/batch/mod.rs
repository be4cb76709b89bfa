//! Batch work of the engines that one gateway owns.
//!
//! The owner pulls items from the job groups only while its engines have room,
//! runs them, journals their results in batches and returns what it did not
//! run. Online work that arrives at an engine, through this gateway or another,
//! makes batch streams there yield in the same step; they go on once the engine
//! was quiet for a short time that is learnt from past bursts.

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
    BatchDecision, BatchInput, BatchOutput, Foreign, GroupReply, ItemEnd, OwnedEngine, Preemption,
    RequestNumber, StreamId,
};
pub use owner::{BatchOwner, BatchSettings};
pub use policy::BatchPolicy;
