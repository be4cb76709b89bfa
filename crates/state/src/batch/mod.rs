//! Batch jobs whose results have positions: the first result that was recorded
//! stands at position 0, the next at 1, for good and at every node.
//!
//! Which gateway runs an item is not part of this state: the leader hands items
//! out from memory. The first outcome recorded of an item wins, so a second run
//! of it changes nothing.

mod command;
mod job;
mod machine;
mod output;
mod packed;
mod query;
mod queue;

pub use command::{
    BatchCommand, BatchReply, ItemCheckpoint, ItemRecord, ItemReference, Mark, RecordOutcome,
    RunId, SubmitJob,
};
pub use job::{BatchItem, BatchJob, ItemOutcome, ItemProgress};
pub use machine::BatchMachine;
pub use output::{Kept, Output};
pub use packed::PackedText;
pub use query::{BatchAnswer, BatchQuery, ItemToRun, ListedResult, OpenItem, OpenWork, ResultPage};
