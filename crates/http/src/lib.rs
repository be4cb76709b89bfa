//! HTTP/1.1 server, connection pool and event streams over async-h1.
//!
//! Parsing and encoding are async-h1's. This crate adds what a proxy must know
//! beyond them: bounds on memory and time, whether a request left this process
//! before it failed, whether an answer is whole, and whether the caller is
//! still there. Passing requests on as they are needs more than that; [`h1`] is
//! made for it.

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
pub use events::{EventError, EventStream, EventWriter, ServerEvent, StreamClosed, event_response};
pub use reply::{JsonError, error_response, json_body, json_response, read_json, text_response};
pub use server::{
    ClientPresence, LargeBody, Server, ServerCounters, ServerError, ServerHandle, ServerLimits,
    ShutdownReport,
};

pub use http_types::{Body, Method, Request, Response, StatusCode};
