//! A replica process: consensus, storage and state of many groups, driven
//! together and without a clock, socket or thread of its own.
//!
//! The driver hands in messages and requests with [`ReplicaCore::handle`] and
//! then calls [`ReplicaCore::poll`], which does the work of all groups with one
//! sync of the write-ahead log and says what to send and to answer. It polls
//! again at [`ReplicaCore::next_deadline`] when nothing comes in before.

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
