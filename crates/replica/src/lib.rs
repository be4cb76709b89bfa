//! The core of a replica process: consensus, storage and state of many groups,
//! driven together. It has no clock, socket or thread of its own.
//!
//! The driver passes messages and requests to [`ReplicaCore::handle`] and then
//! calls [`ReplicaCore::poll`], which processes all groups, with one sync of the
//! write-ahead log for all of them, and returns the messages and replies to
//! send. The driver polls again at [`ReplicaCore::next_deadline`] if no input
//! arrives earlier.

mod api;
mod bootstrap;
mod core;
mod error;
mod fleet;
mod group;
mod identity;
mod message;
mod records;
mod settings;
mod shared;
mod status;
mod turn;

pub use api::{Consistency, Input, Output, Refusal, ReplicaEvent, Ticket};
pub use core::ReplicaCore;
pub use error::ReplicaError;
pub use settings::{Discovery, FIRST_INCARNATION, ReplicaSettings};
pub use status::{GroupStatus, ReplicaStatus};
