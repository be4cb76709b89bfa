//! Replicated state machines: configuration, placement, jobs and claims.
//!
//! Both machines are pure. A committed command and the state before it decide
//! the reply and the state after it; there is no clock, socket or unseeded
//! random number. Lease expiry is therefore a command that the leader proposes
//! after its own clock ran out, never a comparison of times in here.
//!
//! Item inputs and results do not stay in memory. The job machine appends them
//! to a [`PayloadLog`] and keeps their locations. Since every replica applies
//! the same commands in the same order, the log is the same byte for byte on
//! each of them, and a snapshot is the machine's own bytes plus a prefix of it.

pub mod batch;
mod codec;
pub mod control;
pub mod declared;
mod error;
pub mod explore;
pub mod job;
mod machine;
mod payload;
mod snapshot;

pub use codec::{DecodeError, decode, encode};
pub use error::StateError;
pub use machine::Machine;
pub use payload::{MemoryPayloadLog, PayloadError, PayloadLocation, PayloadLog};
