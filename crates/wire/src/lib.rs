//! Messages, framing, client and server of the protocol between molespan processes.
//!
//! A connection carries frames: a length, a checksum and a CBOR body. The side
//! that opened the connection numbers its requests, so that responses may arrive
//! in any order. One-way messages have no number and no response.

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
    Request, Response, RouteRoom, TakeItems, ViewPosition, WatchConfiguration, WatchView,
    WatcherKind,
};
pub use server::{Handler, Server, ServerCounters, ServerError, ServerHandle, ServerLimits};
