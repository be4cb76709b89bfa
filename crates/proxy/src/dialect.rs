//! What the interface of callers and engines must tell the gateway, whatever
//! its names and formats are.

use std::time::Duration;

use molespan_http::h1::{Answer, Headers, RequestHead, ResponseHead};
use molespan_routing::dispatch::{LoadReport, PromptPart};
use molespan_state::batch::BatchItem;
use molespan_state::declared::KeyDigest;

/// What a request says of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Its identifier; empty when it has none.
    pub id: String,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// Parts of its prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Tokens that its answer is expected to have.
    pub answer_tokens: Option<u64>,
}

/// The API key that a request carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// None.
    Missing,
    /// One key.
    Key(KeyDigest),
    /// What is no single key; it belongs to nobody.
    Malformed,
}

/// What an engine must be told beside the request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCall<'a> {
    /// Time left.
    pub time_left: Duration,
    /// What the only engine that may run it calls itself.
    pub engine: &'a str,
    /// Last event that is there already, when a stream goes on.
    pub after_event: Option<u64>,
}

/// What the head of an engine's answer says beside the answer itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineAnswer {
    /// Identifier of the request that it answers, if it says.
    pub request: Option<String>,
    /// The engine says that it did not run the request.
    pub not_run: bool,
    /// Another incarnation has the address.
    pub displaced: bool,
    /// It never can run the request.
    pub impossible: bool,
    /// Load that it tells, where it does.
    pub load: LoadReport,
    /// How long an idle connection lives.
    pub keep_alive: Option<Duration>,
}

/// Why the gateway itself answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet. Not run.
    NoConfiguration {
        /// When to come back.
        retry_after: Duration,
    },
    /// No route fits.
    NoRoute,
    /// It has no key of any tenant.
    UnknownKey,
    /// Its tenant sends more than it may. Not run.
    OverLimit {
        /// When to come back.
        retry_after: Duration,
    },
    /// No engine can take it now. Not run.
    Busy {
        /// When to come back.
        retry_after: Duration,
    },
    /// Engines ended under it, and none gets it any more. Not run.
    Barred {
        /// When to come back: before, the answer would be the same.
        retry_after: Duration,
    },
    /// Its time ran out before any engine ran it. Not run.
    TooLate,
    /// Its time ran out and it may have run.
    TimedOut,
    /// It may have run, and its answer is lost.
    AnswerLost,
    /// The request is malformed.
    Malformed,
    /// Its head is too long.
    HeadTooLong,
    /// Its body is too long.
    BodyTooLong,
    /// Its head or body did not come in time.
    Slow,
}

/// A call on batch jobs that names one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchCall {
    /// Asks for results from a position on.
    Results {
        /// Identifier of the job.
        id: String,
        /// First position.
        after: u32,
    },
    /// Asks for the body of an item.
    Body {
        /// Identifier of the job.
        id: String,
        /// Identifier of the item.
        item: String,
    },
    /// Ends a job.
    End {
        /// Identifier of the job.
        id: String,
    },
}

/// The outcome of an item, for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// Identifier of the item.
    pub item: String,
    /// Its whole output; `None` when it was given up.
    pub output: Option<String>,
}

/// What became of a call on batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The job is kept from now on.
    Kept,
    /// Too many tokens would wait with it; none of it runs.
    QueueFull {
        /// When to come back.
        retry_after: Duration,
    },
    /// Results from a position on.
    Results {
        /// That position.
        after: u32,
        /// Items of the job.
        total: u32,
        /// Results, the first at that position.
        results: Vec<JobResult>,
    },
    /// The body of an item.
    Body(Vec<u8>),
    /// The job has ended.
    Ended,
    /// There is no such job or item.
    Unknown,
    /// The call is malformed.
    Malformed,
    /// Nothing was done for sure; the same call may come again.
    Unavailable {
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have been done; the same call may come again.
    Uncertain,
}

/// Names and formats of requests, answers and calls.
pub trait GatewayDialect: 'static {
    /// What a request says of itself.
    fn facts(&self, headers: &Headers) -> RequestFacts;

    /// The API key of a request.
    fn credential(&self, headers: &Headers) -> Credential;

    /// Takes the API key, and any tenant that the caller named, out of the headers
    /// of a request, and puts its tenant in.
    fn name_tenant(&self, headers: &mut Headers, tenant: Option<&str>);

    /// Puts into the headers of a request what its engine must be told.
    fn address_engine(&self, headers: &mut Headers, call: &EngineCall<'_>);

    /// Headers that name the request of a batch item.
    fn item_headers(&self, headers: &mut Headers, item: &BatchItem);

    /// What the head of an engine's answer says.
    fn engine_answer(&self, head: &ResponseHead) -> EngineAnswer;

    /// The gateway's own answer.
    fn refusal(&self, refusal: Refusal) -> Answer;

    /// The call on batch jobs that a request is, if it is one.
    fn batch_call(&self, head: &RequestHead) -> Option<BatchCall>;

    /// Identifier and items of a job that is handed in.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    fn submission(
        &self,
        head: &RequestHead,
        body: &[u8],
    ) -> Result<(String, Vec<BatchItem>), Vec<String>>;

    /// Puts an outcome into words.
    fn batch_answer(&self, outcome: BatchOutcome) -> Answer;

    /// Whether a call asks if the gateway is ready.
    fn is_readiness_call(&self, head: &RequestHead) -> bool;
}
