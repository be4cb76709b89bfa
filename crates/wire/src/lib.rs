//! Messages and framing of the protocol between molespan processes.
//!
//! A connection carries frames: a length, a checksum and a CBOR body. Requests
//! are numbered by the side that opened the connection, so that responses may
//! come in any order; one-way messages carry no number.

mod message;

pub use message::{
    Consistency, Envelope, GroupMessage, LeaderHint, LoadDigest, NodeStatus, OnlineArrival,
    Request, Response, WatchConfiguration,
};
