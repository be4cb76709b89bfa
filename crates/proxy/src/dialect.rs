//! The information that the gateway needs from the interface of callers and engines,
//! independent of its names and formats.

use std::rc::Rc;
use std::time::Duration;

use molespan_http::h1::{Answer, Headers, RequestHead, ResponseHead};
use molespan_routing::dispatch::{LoadReport, PromptPart};
use molespan_state::batch::BatchItem;
use molespan_state::declared::KeyDigest;

/// Facts that a request states about itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestFacts {
    /// Identifier of the request; empty if it has none.
    pub id: String,
    /// How long the caller waits.
    pub time_left: Option<Duration>,
    /// Whether a header says something that cannot be read, so that the request is refused.
    pub is_malformed: bool,
    /// Parts of the prompt, in order.
    pub prompt: Rc<[PromptPart]>,
    /// Expected number of answer tokens.
    pub answer_tokens: Option<u64>,
    /// The earlier stream that the request takes up, if it is not a new one.
    pub resumption: Option<Resumption>,
}

/// A caller's request to go on with a stream that an earlier answer began.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Resumption {
    /// Identifier of the request whose answer brought the first event; `None` if the caller
    /// does not name it.
    pub began_as: Option<String>,
    /// Last event that the caller has; `None` if its number cannot be read.
    pub last_event: Option<u64>,
}

/// The API key of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Credential {
    /// The request has no key.
    Missing,
    /// The request has one key.
    Key(KeyDigest),
    /// The header is not a single valid key and so belongs to no tenant.
    Malformed,
}

/// What an engine must be told in addition to the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineCall<'a> {
    /// Time left for the request.
    pub time_left: Duration,
    /// The name of the only engine that may run the request, as the engine itself uses it.
    pub engine: &'a str,
    /// Last event already received, when a stream is continued.
    pub after_event: Option<u64>,
}

/// Facts from the head of an engine's answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineAnswer {
    /// Identifier of the request that is answered, if stated.
    pub request: Option<String>,
    /// Whether the engine states that it did not run the request.
    pub not_run: bool,
    /// Whether another incarnation now has the address.
    pub misdirected: bool,
    /// Whether the engine can never run the request.
    pub never_executable: bool,
    /// Load reported by the engine, if any.
    pub load: LoadReport,
    /// How long the engine keeps an idle connection.
    pub keep_alive: Option<Duration>,
}

/// Why the gateway answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No configuration is known yet, or the keys cannot be confirmed. Not run.
    NoConfiguration {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// No route matches.
    NoRoute,
    /// The request has no key of any tenant.
    UnknownKey,
    /// The tenant exceeds its limit. Not run.
    OverLimit {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// No engine can take the request now. Not run.
    Busy {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// It is not known which software version began the stream that the request takes up.
    /// Not run.
    StreamUnknown {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// Engines ended while they ran the request, and no engine gets it any more. Not run.
    Barred {
        /// Delay before a retry; an earlier one would get the same answer.
        retry_after: Duration,
    },
    /// The request's time ended before any engine ran it. Not run.
    TooLate,
    /// The request's time ended, and it may have run.
    TimedOut,
    /// The request may have run, and its answer is lost.
    AnswerLost,
    /// The request is malformed.
    Malformed,
    /// The head is too long.
    HeadTooLong,
    /// The body is too long.
    BodyTooLong,
    /// The head or body did not arrive in time.
    Slow,
}

/// A call on one batch job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchCall {
    /// Reads results from a position on.
    Results {
        /// Identifier of the job.
        id: String,
        /// First position.
        after: u32,
    },
    /// Reads the body of an item.
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

/// The outcome of an item, as returned to its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobResult {
    /// Identifier of the item.
    pub item: String,
    /// The complete output; `None` if the item was dead-lettered.
    pub output: Option<String>,
}

/// The outcome of a call on batch jobs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BatchOutcome {
    /// The job is stored.
    Accepted,
    /// The job would exceed the limit of waiting tokens; none of it runs.
    QueueFull {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// Results from a position on.
    Results {
        /// The first position.
        after: u32,
        /// Number of items of the job.
        total: u32,
        /// Results, beginning at that position.
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
    /// Nothing was done; the same call may be retried.
    Unavailable {
        /// Delay before a retry.
        retry_after: Duration,
    },
    /// The call may have been carried out; the same call may be retried.
    Uncertain,
}

/// Names and formats of requests, answers and calls.
pub trait GatewayDialect: 'static {
    /// Returns the facts that a request states about itself.
    fn request_facts(&self, headers: &Headers) -> RequestFacts;

    /// Returns the API key of a request.
    fn credential(&self, headers: &Headers) -> Credential;

    /// Removes the API key and any tenant named by the caller from the headers of a
    /// request, and sets its tenant.
    fn replace_key_with_tenant(&self, headers: &mut Headers, tenant: Option<&str>);

    /// Adds to the headers of a request what its engine must be told.
    fn set_engine_headers(&self, headers: &mut Headers, call: &EngineCall<'_>);

    /// Sets the headers that identify the request of a batch item.
    fn item_headers(&self, headers: &mut Headers, item: &BatchItem);

    /// Returns the facts from the head of an engine's answer.
    fn engine_answer(&self, head: &ResponseHead) -> EngineAnswer;

    /// Returns the gateway's own answer for a refusal.
    fn refusal_answer(&self, refusal: Refusal) -> Answer;

    /// Returns the call on a batch job that a request stands for, if it is one.
    fn batch_call(&self, head: &RequestHead) -> Option<BatchCall>;

    /// Returns the identifier and items of a submitted job.
    ///
    /// # Errors
    /// All problems of the submission.
    fn submission(
        &self,
        head: &RequestHead,
        body: &[u8],
    ) -> Result<(String, Vec<BatchItem>), Vec<String>>;

    /// Returns the answer for the outcome of a batch call.
    fn batch_answer(&self, outcome: BatchOutcome) -> Answer;

    /// Whether a request is a readiness check.
    fn is_readiness_call(&self, head: &RequestHead) -> bool;
}
