//! The published HTTP protocol between molespan and the systems around it:
//! engines, application back ends, the platform's machine list and the weight
//! store.
//!
//! Gateways implement the client side and the emulator the server side. The types
//! are plain serde structs; `docs/ENGINE-API.md` describes each call.

mod completion;
mod engine;
mod headers;
mod platform;
mod prefix;
mod weights;

pub use completion::{
    ChatCompletionRequest, ChatMessage, CompletionChoice, CompletionChunk, CompletionRequest,
    CompletionResponse, FinishReason, Usage,
};
pub use engine::{
    CacheEvent, CacheEventKind, CacheEventPage, EngineRole, ErrorBody, ErrorDetail, KvBlockExport,
    LoadReport, Order, OrderAction, OrderReply, RequestState, RequestStatus,
};
pub use headers::{
    ATTEMPT_HEADER, IDEMPOTENCY_KEY_HEADER, INCARNATION_HEADER, LOAD_HEADER, OUTCOME_HEADER,
    PRIORITY_HEADER, REPEATABLE_HEADER, RESUME_OFFSET_HEADER, TENANT_HEADER,
};
pub use platform::{Machine, MachineKind, MachineList, MachineState};
pub use prefix::{BLOCK_TOKENS, block_hashes, token_ends};
pub use weights::WeightManifest;

/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path prefix of the per-attempt calls: `GET` for the status, `GET …/stream?offset=N`
/// to resume, `POST …/pause`, `POST …/resume`, `DELETE` to cancel.
pub const REQUESTS_PATH: &str = "/v1/requests";
/// Path of the load report.
pub const LOAD_PATH: &str = "/load";
/// Path of cache events; `?after=N` selects those after sequence number `N`.
pub const CACHE_EVENTS_PATH: &str = "/cache/events";
/// Path that accepts orders with fencing tokens.
pub const ORDERS_PATH: &str = "/orders";
/// Path that exports the KV blocks of `?prefix=HASH`.
pub const KV_EXPORT_PATH: &str = "/kv/export";
/// Path that imports KV blocks.
pub const KV_IMPORT_PATH: &str = "/kv/import";
/// Path of the platform's machine list.
pub const MACHINES_PATH: &str = "/machines";
/// Path prefix of the weight store: `GET /weights/NAME`.
pub const WEIGHTS_PATH: &str = "/weights";
/// Path of the liveness check of each of these systems.
pub const HEALTH_PATH: &str = "/health";
