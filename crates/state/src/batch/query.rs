//! Reads of the batch group.

use std::collections::BTreeSet;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use super::command::ItemReference;
use super::job::{BatchItem, ItemOutcome, ItemProgress};

/// A read of the batch group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BatchQuery {
    /// Results of a job from a position on.
    #[n(0)]
    Results {
        /// Identifier of the job.
        #[n(0)]
        id: String,
        /// First position.
        #[n(1)]
        after: u32,
        /// Bytes of output at the most, except that one result is given.
        #[n(2)]
        max_bytes: u64,
        /// Tenant whose job it is.
        #[n(3)]
        tenant: Option<String>,
    },
    /// The body of an item that is not listed yet.
    #[n(1)]
    Body {
        /// Identifier of the job.
        #[n(0)]
        id: String,
        /// Identifier of the item.
        #[n(1)]
        item: String,
        /// Tenant whose job it is.
        #[n(2)]
        tenant: Option<String>,
    },
    /// Items without an outcome, of the oldest jobs first.
    #[n(2)]
    Open {
        /// Most items.
        #[n(0)]
        limit: u32,
    },
    /// What is needed to run some items.
    #[n(3)]
    Items {
        /// They.
        #[n(0)]
        items: Vec<ItemReference>,
    },
    /// Jobs, with the time when they were submitted.
    #[n(4)]
    Ages,
}

/// A result at its position.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ListedResult {
    /// Identifier of the item.
    #[n(0)]
    pub id: String,
    /// What became of it.
    #[n(1)]
    pub outcome: ItemOutcome,
}

/// Results of a job.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ResultPage {
    /// Items of the job.
    #[n(0)]
    pub total: u32,
    /// Results, the first at the position that was asked for.
    #[n(1)]
    pub results: Vec<ListedResult>,
}

/// An item without an outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OpenItem {
    /// Item.
    #[n(0)]
    pub item: ItemReference,
    /// Tokens of the prompt and the most that are generated.
    #[n(1)]
    pub tokens: u64,
    /// Milliseconds since 1970 by which it is to be done.
    #[n(2)]
    pub due_ms: Option<u64>,
}

/// Items that may be run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct OpenWork {
    /// They, of the oldest jobs first.
    #[n(0)]
    pub items: Vec<OpenItem>,
    /// Numbers of all jobs that are open.
    #[n(1)]
    pub jobs: BTreeSet<u64>,
}

/// An item with what is needed to run it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemToRun {
    /// Which one.
    #[n(0)]
    pub reference: ItemReference,
    /// Host of its job's route.
    #[n(1)]
    pub host: String,
    /// Path of its job's route.
    #[n(2)]
    pub job_path: String,
    /// Milliseconds since 1970 when its job was taken.
    #[n(3)]
    pub submitted_ms: u64,
    /// The request.
    #[n(4)]
    pub item: BatchItem,
    /// How far an earlier run came.
    #[n(5)]
    pub progress: ItemProgress,
    /// Milliseconds since 1970 by which it is to be done.
    #[n(6)]
    pub due_ms: Option<u64>,
    /// Tenant whose job it is.
    #[n(7)]
    pub tenant: Option<String>,
}

/// Answer to a [`BatchQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BatchAnswer {
    /// To [`BatchQuery::Results`]; `None` when there is no such job.
    #[n(0)]
    Results(#[n(0)] Option<ResultPage>),
    /// To [`BatchQuery::Body`]; `None` when there is none.
    #[n(1)]
    Body(#[n(0)] Option<ByteVec>),
    /// To [`BatchQuery::Open`].
    #[n(2)]
    Open(#[n(0)] OpenWork),
    /// To [`BatchQuery::Items`]; those that have an outcome are left out.
    #[n(3)]
    Items(#[n(0)] Vec<ItemToRun>),
    /// To [`BatchQuery::Ages`].
    #[n(4)]
    Ages(#[n(0)] Vec<(u64, u64)>),
    /// The query's bytes could not be read.
    #[n(5)]
    Malformed,
    /// To [`BatchQuery::Results`]: the payload log did not give an output. It is not lost
    /// on other replicas.
    #[n(6)]
    Unreadable {
        /// What it met.
        #[n(0)]
        message: String,
    },
}
