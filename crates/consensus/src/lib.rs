//! A replicated log as a pure state machine.
//!
//! [`Replica`] is one member of one group. It implements Raft and uses the
//! terms of the Raft paper. It owns no socket, clock, thread or disk: the
//! driver passes in ticks, messages and proposals, and takes the resulting work
//! from [`Replica::ready`]. The simulator and the daemons drive the same code.
//!
//! One iteration of the driver loop:
//!
//! 1. pass in input: [`Replica::tick`], [`Replica::step`], [`Replica::propose`], …;
//! 2. take a [`Ready`] and send its `messages`;
//! 3. write `hard_state` and `entries`, sync once, call [`Replica::persisted`];
//! 4. send `messages_after_sync`, apply `committed`, answer `reads`;
//! 5. repeat from 2 until [`Replica::ready`] returns `None`.

mod config;
mod entry;
mod error;
pub mod explore;
mod identifier;
mod membership;
mod message;
mod persisted;
mod ready;
mod replica;
mod status;

pub use config::Config;
pub use entry::{Entry, EntryKind};
pub use error::{ConsensusError, Fault, ProposeError, ReadError};
pub use identifier::{Index, ReplicaId, Term};
pub use membership::{Membership, MembershipChange};
pub use message::{
    AppendOutcome, AppendRequest, AppendResponse, Heartbeat, HeartbeatResponse, Message,
    SnapshotNotice, TimeoutNow, VoteRequest, VoteResponse,
};
pub use persisted::{HardState, Persisted, SnapshotMeta};
pub use ready::{Outgoing, ReadReady, Ready, SnapshotOffer};
pub use replica::Replica;
pub use status::{FollowerState, FollowerStatus, Role, Status};
