//! Replicated state machines: configuration, placement, jobs and claims.
//!
//! The machines are deterministic. The reply and the next state depend only on the
//! committed command and the previous state; there is no clock, socket or unseeded random
//! number. Lease expiry is therefore a command that the leader proposes after a timeout on
//! its own clock, never a comparison of times in this crate.
//!
//! Item inputs and results are not kept in memory. The job machine appends them to a
//! [`PayloadLog`] and stores their locations. Since every replica applies the same commands
//! in the same order, the log is identical on all of them, and a snapshot consists of the
//! encoded machine plus a prefix of the log.

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
