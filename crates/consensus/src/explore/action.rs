//! Steps of an exploration.

use derive_more::Display;

use crate::{Message, ReplicaId};

/// One step of a group.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Action {
    /// Time passes on one replica: an election timeout, or a heartbeat.
    #[display("tick {_0}")]
    Tick(ReplicaId),
    /// A message arrives.
    #[display("deliver {from} -> {to}: {message:?}")]
    Deliver {
        /// The sender.
        from: ReplicaId,
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
        /// Whether it will arrive once more.
        repeated: bool,
    },
    /// A command is proposed.
    #[display("propose on {_0}")]
    Propose(ReplicaId),
    /// The disk has synced what it was given.
    #[display("sync {_0}")]
    Sync(ReplicaId),
    /// A replica stops, loses what is not synced, and starts again.
    #[display("restart {_0}")]
    Restart(ReplicaId),
    /// A replica is lost with its disk.
    #[display("lose {_0}")]
    Lose(ReplicaId),
    /// A leader is told to replace the last voter by the learner.
    #[display("replace on {_0}")]
    Replace(ReplicaId),
}
