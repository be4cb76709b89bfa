//! HTTP/1.1 server, connection pool and event streams, based on async-h1.
//!
//! async-h1 parses and encodes messages. This crate adds what a proxy needs in
//! addition: limits on memory and time, whether a failed request had been sent,
//! whether a response is complete, and whether the client is still connected.
//! Forwarding messages unchanged needs more control, which [`h1`] provides.

mod body;
mod buffered;
mod client;
mod events;
pub mod h1;
mod net;
mod reply;
mod server;
mod source;

pub use client::{
    BodyError, ClientResponse, FailureCause, Pool, PoolLimits, SendError, new_request,
};
pub use events::{
    EventError, EventScanner, EventStream, EventWriter, ServerEvent, StreamClosed, event_response,
};
pub use reply::{JsonError, error_response, json_body, json_response, read_json, text_response};
pub use server::{
    ClientPresence, LargeBody, Server, ServerCounters, ServerError, ServerHandle, ServerLimits,
    ShutdownReport,
};

pub use http_types::{Body, Method, Request, Response, StatusCode};
