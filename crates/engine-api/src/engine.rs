//! Reports of engines and orders to engines.

use molespan_types::{BackendId, FencingToken, Incarnation, RunOutcome};
use serde::{Deserialize, Serialize};

/// Phases of generation that an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Prompt processing and token generation.
    #[default]
    Mixed,
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
}

/// Response of `GET /load`: the state of the back end `age_ms` ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Back end that reports.
    pub backend: BackendId,
    /// Incarnation of the back end.
    pub incarnation: Incarnation,
    /// Sequence number, which increases with every report of one incarnation.
    pub sequence: u64,
    /// Milliseconds between the observation and this response.
    pub age_ms: u32,
    /// Online requests in the running batch.
    pub online_running: u32,
    /// Online requests waiting to enter the running batch.
    pub online_waiting: u32,
    /// Batch requests in the running batch.
    pub batch_running: u32,
    /// Batch requests waiting or paused.
    pub batch_waiting: u32,
    /// Maximum number of requests in the running batch.
    pub max_running: u32,
    /// Share of KV memory in use, 0.0 to 1.0.
    pub kv_used: f64,
    /// Mean duration of the most recent steps, in microseconds.
    pub step_micros: u32,
    /// Models loaded and ready.
    pub models: Vec<String>,
    /// Adapters loaded and ready.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Current role.
    #[serde(default)]
    pub role: EngineRole,
    /// Whether the back end was ordered to leave.
    pub leaving: bool,
}

/// Kind of a change to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// The prefix was cached.
    Stored,
    /// The prefix was evicted from the cache.
    Evicted,
}

/// A change to the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, which increases by one with every event; a larger step means
    /// that events are missing.
    pub sequence: u64,
    /// Kind of the change.
    pub kind: CacheEventKind,
    /// xxh3 hash of the prompt prefix up to the end of a block.
    pub prefix_hash: u64,
}

/// Response of `GET /cache/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Incarnation of the engine that the events belong to.
    pub incarnation: Incarnation,
    /// Events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// State of one attempt on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestState {
    /// Accepted but not started.
    Waiting,
    /// Generating tokens.
    Running,
    /// Paused on request; keeps its KV memory.
    Paused,
    /// Finished; the response can still be fetched for a limited time.
    Completed,
    /// Cancelled on request; no further token will be generated.
    Cancelled,
}

/// Response of `GET /v1/requests/ID`. An engine that has not received the attempt
/// in this incarnation answers 404 with outcome `not-run`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// Attempt identifier.
    pub id: String,
    /// State of the attempt.
    pub state: RequestState,
    /// Tokens generated so far.
    pub generated: u32,
    /// Incarnation of the engine that answered.
    pub incarnation: Incarnation,
}

/// Action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Fetches the weights of a model and makes it ready.
    LoadModel {
        /// Model.
        model: String,
        /// Version of its weights.
        version: u32,
    },
    /// Unloads a model.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Fetches and attaches an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Detaches an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Changes the role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
    /// Finishes running requests and accepts no new ones.
    Leave,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Fencing token. An engine rejects an order whose token is not above the
    /// highest one it has received, unless the same order is repeated.
    pub token: FencingToken,
    /// Incarnation that the order is meant for; any other incarnation rejects it.
    pub incarnation: Incarnation,
    /// Requested action.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Response of `POST /orders`: status 200 when accepted, 409 when rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was accepted, now or earlier.
    pub accepted: bool,
    /// Highest token received so far.
    pub highest_token: FencingToken,
}

/// Response of `GET /kv/export` and body of `POST /kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlockExport {
    /// Hashes of the cached blocks of one prompt prefix, shortest prefix first.
    pub prefix_hashes: Vec<u64>,
    /// Number of tokens in each block.
    pub block_tokens: u32,
}

/// Body of every error response of an engine or gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Details of the error.
    pub error: ErrorDetail,
}

/// Details of an error, including whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable error code in snake case.
    pub code: String,
    /// Human-readable message of one sentence.
    pub message: String,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// Delay after which a retry may succeed, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
