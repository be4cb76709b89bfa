//! What engines report and which orders they take.

use molespan_types::{BackendId, FencingToken, Incarnation, RunOutcome};
use serde::{Deserialize, Serialize};

/// Which phase of generation an engine runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EngineRole {
    /// Both phases.
    #[default]
    Mixed,
    /// Prompt processing only.
    Prefill,
    /// Token generation only.
    Decode,
}

/// Answer of `GET /load`. It describes the back end as it was `age_ms` ago.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Who reports.
    pub backend: BackendId,
    /// Which life of it.
    pub incarnation: Incarnation,
    /// Rises with every report of one incarnation.
    pub sequence: u64,
    /// Milliseconds between the observation and this answer.
    pub age_ms: u32,
    /// Online requests in the running batch.
    pub online_running: u32,
    /// Online requests waiting to enter it.
    pub online_waiting: u32,
    /// Batch requests in the running batch.
    pub batch_running: u32,
    /// Batch requests waiting or paused.
    pub batch_waiting: u32,
    /// Most requests in the running batch.
    pub max_running: u32,
    /// Share of KV memory in use, 0.0 to 1.0.
    pub kv_used: f64,
    /// Mean duration of the latest steps, in microseconds.
    pub step_micros: u32,
    /// Models loaded and ready.
    pub models: Vec<String>,
    /// Adapters loaded and ready.
    #[serde(default)]
    pub adapters: Vec<String>,
    /// Role in force.
    #[serde(default)]
    pub role: EngineRole,
    /// Whether it was told to leave.
    pub leaving: bool,
}

/// What happened to a cached prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventKind {
    /// Now cached.
    Stored,
    /// No longer cached.
    Evicted,
}

/// A change of the prefix cache.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Rises by one with every event; a jump is a gap.
    pub sequence: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// xxh3 hash of the prompt prefix up to the end of a block.
    pub prefix_hash: u64,
}

/// Answer of `GET /cache/events`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEventPage {
    /// Life of the engine these belong to.
    pub incarnation: Incarnation,
    /// Events in order, possibly with gaps.
    pub events: Vec<CacheEvent>,
}

/// State of one attempt on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RequestState {
    /// Accepted, not started.
    Waiting,
    /// Generating.
    Running,
    /// Held back on request; keeps its KV memory.
    Paused,
    /// Ended; the answer can still be fetched for a while.
    Completed,
    /// Stopped on request; no further token will be generated.
    Cancelled,
}

/// Answer of `GET /v1/requests/ID`. An engine that never saw the attempt in
/// this incarnation answers 404 with outcome `not-run`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestStatus {
    /// The attempt.
    pub id: String,
    /// Where it stands.
    pub state: RequestState,
    /// Tokens generated so far.
    pub generated: u32,
    /// Life of the engine that answered.
    pub incarnation: Incarnation,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "action", rename_all = "snake_case")]
pub enum OrderAction {
    /// Fetch the weights of a model and make it ready.
    LoadModel {
        /// Model.
        model: String,
        /// Version of its weights.
        version: u32,
    },
    /// Drop a model.
    UnloadModel {
        /// Model.
        model: String,
    },
    /// Fetch and attach an adapter.
    LoadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Detach an adapter.
    UnloadAdapter {
        /// Adapter.
        adapter: String,
    },
    /// Change the role.
    SetRole {
        /// New role.
        role: EngineRole,
    },
    /// Finish what runs and take nothing new.
    Leave,
}

/// Body of `POST /orders`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// An engine refuses a token at or below the highest it has seen, unless
    /// it is the same order again.
    pub token: FencingToken,
    /// Incarnation it is meant for; another refuses it.
    pub incarnation: Incarnation,
    /// What to do.
    #[serde(flatten)]
    pub action: OrderAction,
}

/// Answer of `POST /orders`: status 200 when taken, 409 when refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderReply {
    /// Whether the order was taken now or earlier.
    pub accepted: bool,
    /// Highest token seen.
    pub highest_token: FencingToken,
}

/// Answer of `GET /kv/export` and body of `POST /kv/import`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlockExport {
    /// Hashes of the cached blocks along one prompt prefix, shortest first.
    pub prefix_hashes: Vec<u64>,
    /// Tokens in each block.
    pub block_tokens: u32,
}

/// Typed body of every error of an engine or gateway.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong and whether the request ran.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Stable code in snake case.
    pub code: String,
    /// One sentence for people.
    pub message: String,
    /// Whether the request ran.
    pub outcome: RunOutcome,
    /// When coming back helps, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
