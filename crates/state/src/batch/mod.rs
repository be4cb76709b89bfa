//! Batch jobs with ordered results: the first recorded result is at position 0, the next at
//! 1, permanently and on every node.
//!
//! The assignment of items to gateways is not replicated: the leader keeps it in memory.
//! The first recorded outcome of an item wins, so a second run of the item changes nothing.

mod command;
mod job;
mod machine;
mod output;
mod packed;
mod query;
mod queue;

pub use command::{
    BatchCommand, BatchReply, ItemCheckpoint, ItemRecord, ItemReference, RecordOutcome, RunId,
    StoredProgress, SubmitJob,
};
pub use job::{BatchItem, BatchJob, ItemOutcome, ItemProgress};
pub use machine::BatchMachine;
pub use output::{Output, StoredPrefix};
pub use packed::CompressedText;
pub use query::{
    BatchAnswer, BatchQuery, ItemToRun, JobDirectory, ListedResult, OpenItem, OpenWork, ResultPage,
};
