//! Messages and framing of the protocol between molespan processes.
//!
//! A connection carries frames: a length, a checksum and a CBOR body. Requests
//! are numbered by the side that opened the connection, so that responses may
//! come in any order; one-way messages carry no number.

mod backoff;
mod client;
mod frame;
mod message;
mod net;
mod server;

pub use backoff::Backoff;
pub use client::{CallError, CallFailure, Client, ClientCounters, ClientLimits, DropPolicy};
pub use frame::{
    DEFAULT_MAX_FRAME_BYTES, FRAME_HEADER_BYTES, FrameDecoder, FrameError, encode_frame,
};
pub use message::{
    Consistency, Envelope, GroupMessage, LeaderHint, LoadDigest, NodeStatus, OnlineArrival,
    Request, Response, TakeItems, ViewMark, WatchConfiguration, WatchView, WatcherKind,
};
pub use server::{Handler, Server, ServerCounters, ServerError, ServerHandle, ServerLimits};
