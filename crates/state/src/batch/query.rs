//! Read queries of the batch group.

use std::collections::BTreeSet;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

use super::command::ItemReference;
use super::job::{BatchItem, ItemOutcome, ItemProgress};

/// A read query of the batch group.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BatchQuery {
    /// Results of a job, starting at a position.
    #[n(0)]
    Results {
        /// Identifier of the job.
        #[n(0)]
        id: String,
        /// Position of the first result.
        #[n(1)]
        after: u32,
        /// Maximum total output in bytes; at least one result is returned.
        #[n(2)]
        max_bytes: u64,
        /// Tenant that owns the job.
        #[n(3)]
        tenant: Option<String>,
    },
    /// Body of an item without an outcome.
    #[n(1)]
    Body {
        /// Identifier of the job.
        #[n(0)]
        id: String,
        /// Identifier of the item.
        #[n(1)]
        item: String,
        /// Tenant that owns the job.
        #[n(2)]
        tenant: Option<String>,
    },
    /// Items without an outcome, oldest job first.
    #[n(2)]
    Open {
        /// Maximum number of items.
        #[n(0)]
        limit: u32,
    },
    /// Requests and progress needed to run items.
    #[n(3)]
    Items {
        /// Items.
        #[n(0)]
        items: Vec<ItemReference>,
    },
    /// Job numbers with their submission times.
    #[n(4)]
    SubmissionTimes,
}

/// A result in the ordered list of results.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ListedResult {
    /// Identifier of the item.
    #[n(0)]
    pub id: String,
    /// Outcome of the item.
    #[n(1)]
    pub outcome: ItemOutcome,
}

/// A page of results.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ResultPage {
    /// Total number of items of the job.
    #[n(0)]
    pub total: u32,
    /// Results, starting at the requested position.
    #[n(1)]
    pub results: Vec<ListedResult>,
}

/// An item that still has to run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct OpenItem {
    /// Item.
    #[n(0)]
    pub item: ItemReference,
    /// Number of prompt tokens plus the maximum number of generated tokens.
    #[n(1)]
    pub tokens: u64,
    /// Completion deadline in milliseconds since 1970, if there is one.
    #[n(2)]
    pub due_ms: Option<u64>,
}

/// Open jobs of the same route, or that were submitted to the same directory where the route is
/// not known.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct JobDirectory {
    /// Host.
    #[n(0)]
    pub host: String,
    /// Path prefix of the route, or the path up to its last slash.
    #[n(1)]
    pub path: String,
    /// Numbers of the jobs.
    #[n(2)]
    pub jobs: Vec<u64>,
}

/// Items that still have to run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct OpenWork {
    /// Items, oldest job of each directory first.
    #[n(0)]
    pub items: Vec<OpenItem>,
    /// Numbers of all open jobs.
    #[n(1)]
    pub jobs: BTreeSet<u64>,
    /// The same by directory.
    #[n(2)]
    pub directories: Vec<JobDirectory>,
}

/// An item with everything needed to run it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ItemToRun {
    /// Identifies the item.
    #[n(0)]
    pub reference: ItemReference,
    /// Host of the job's route.
    #[n(1)]
    pub host: String,
    /// Path that the job was submitted to.
    #[n(2)]
    pub job_path: String,
    /// Submission time of the job, in milliseconds since 1970.
    #[n(3)]
    pub submitted_ms: u64,
    /// Request to run.
    #[n(4)]
    pub item: BatchItem,
    /// Stored progress of earlier runs.
    #[n(5)]
    pub progress: ItemProgress,
    /// Completion deadline in milliseconds since 1970, if there is one.
    #[n(6)]
    pub due_ms: Option<u64>,
    /// Tenant that owns the job.
    #[n(7)]
    pub tenant: Option<String>,
    /// Path prefix of the route that accepted the job, if it is known.
    #[n(8)]
    pub route_prefix: Option<String>,
}

/// Answer to a [`BatchQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum BatchAnswer {
    /// Answer to [`BatchQuery::Results`]; `None` if the job does not exist.
    #[n(0)]
    Results(#[n(0)] Option<ResultPage>),
    /// Answer to [`BatchQuery::Body`]; `None` if there is no such item without an outcome.
    #[n(1)]
    Body(#[n(0)] Option<ByteVec>),
    /// Answer to [`BatchQuery::Open`].
    #[n(2)]
    Open(#[n(0)] OpenWork),
    /// Answer to [`BatchQuery::Items`]; items that no longer have to run are omitted.
    #[n(3)]
    Items(#[n(0)] Vec<ItemToRun>),
    /// Answer to [`BatchQuery::SubmissionTimes`].
    #[n(4)]
    SubmissionTimes(#[n(0)] Vec<(u64, u64)>),
    /// The query could not be decoded.
    #[n(5)]
    Malformed,
    /// Answer to [`BatchQuery::Results`] if an output cannot be read from the payload log.
    /// Other replicas still have it.
    #[n(6)]
    Unreadable {
        /// Error message of the payload log.
        #[n(0)]
        message: String,
    },
}
