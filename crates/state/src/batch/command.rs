//! Commands of the batch group and their replies.

use minicbor::{Decode, Encode};

use super::job::{BatchItem, ItemOutcome};
use super::packed::PackedText;

/// Hands a job in. The same identifier again changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct SubmitJob {
    /// Identifier that the caller chose.
    #[n(0)]
    pub id: String,
    /// Host of its route.
    #[n(1)]
    pub host: String,
    /// Path that it was sent to; with the host it names its route.
    #[n(2)]
    pub path: String,
    /// Milliseconds since 1970 at the gateway that took it first.
    #[n(3)]
    pub submitted_ms: u64,
    /// Its items.
    #[n(4)]
    pub items: Vec<BatchItem>,
    /// Milliseconds since 1970 by which all of it is to be done, if its route
    /// says.
    #[n(5)]
    pub due_ms: Option<u64>,
    /// Whose waiting tokens are counted together: its tenant and route.
    #[n(6)]
    pub queue: String,
    /// Tokens that may wait in that queue at once, those of this job included;
    /// none without a limit.
    #[n(7)]
    pub max_queued_tokens: Option<u64>,
    /// Tenant whose job it is, where there are tenants.
    #[n(8)]
    pub tenant: Option<String>,
}

impl SubmitJob {
    /// Tokens of all its items.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.items.iter().map(BatchItem::counted_tokens).sum()
    }
}

/// Names an item by the number of its job and its place in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ItemReference {
    /// Number of the job, in the order of acceptance.
    #[n(0)]
    pub job: u64,
    /// Place of the item in its job, from 0.
    #[n(1)]
    pub place: u32,
}

/// The outcome of one item.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemRecord {
    /// Item.
    #[n(0)]
    pub item: ItemReference,
    /// What became of it.
    #[n(1)]
    pub outcome: ItemOutcome,
}

/// Outcomes that are recorded together.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct RecordOutcome {
    /// They, in the order of their positions.
    #[n(0)]
    pub records: Vec<ItemRecord>,
}

/// What a run of an item has made since it was kept last.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemCheckpoint {
    /// Item.
    #[n(0)]
    pub item: ItemReference,
    /// Number of the last event that is kept; none when nothing is.
    #[n(1)]
    pub after: Option<u64>,
    /// Number of the last event in it.
    #[n(2)]
    pub last_event: u64,
    /// Data of the events behind `after`, with line feeds between them.
    #[n(3)]
    pub text: PackedText,
    /// The run that made it.
    #[n(4)]
    #[cbor(default)]
    pub run: RunId,
}

/// Names a run of an item, as its gateway drew it. Two runs make different events
/// under the same numbers, so that a number alone does not tell a gateway that the
/// events kept are its own.
pub type RunId = u64;

/// How far an item is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Mark {
    /// Number of the last event.
    #[n(0)]
    pub last_event: u64,
    /// The run that made it.
    #[n(1)]
    pub run: RunId,
}

/// A command of the batch group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BatchCommand {
    /// Hands a job in.
    #[n(0)]
    Submit(#[n(0)] Box<SubmitJob>),
    /// Records outcomes of items.
    #[n(1)]
    Record(#[n(0)] RecordOutcome),
    /// Ends a job; its items need not run any more.
    #[n(2)]
    End {
        /// Identifier of the job.
        #[n(0)]
        id: String,
        /// Tenant whose job it is.
        #[n(1)]
        tenant: Option<String>,
    },
    /// Keeps what runs of items have made since it was kept last.
    #[n(4)]
    Checkpoint {
        /// They.
        #[n(0)]
        items: Vec<ItemCheckpoint>,
    },
    /// Removes a job that nobody may ask for any more.
    #[n(3)]
    Forget {
        /// Number of the job.
        #[n(0)]
        job: u64,
    },
}

/// Reply to a [`BatchCommand`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BatchReply {
    /// The job is kept, from now on or from before.
    #[n(0)]
    Kept,
    /// The outcomes are recorded, or earlier ones stand.
    #[n(1)]
    Recorded,
    /// The job has ended.
    #[n(2)]
    Ended,
    /// There is no such job.
    #[n(3)]
    Unknown,
    /// The command's bytes could not be read; nothing changed.
    #[n(4)]
    Malformed,
    /// Too many tokens would wait with those of the job; nothing changed.
    #[n(5)]
    QueueFull,
    /// To checkpoints: how far each item is kept, in their order.
    #[n(6)]
    Progress {
        /// None of an item of which nothing is kept.
        #[n(1)]
        kept: Vec<Option<Mark>>,
    },
}
