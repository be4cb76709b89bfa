//! Steps in the explored state space.

use derive_more::Display;

use crate::{Message, ReplicaId};

/// A step of the explored group.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum Action {
    /// One tick on one replica, which triggers an election timeout or a heartbeat.
    #[display("tick {_0}")]
    Tick(ReplicaId),
    /// A message is delivered.
    #[display("deliver {from} -> {to}: {message:?}")]
    Deliver {
        /// The sender.
        from: ReplicaId,
        /// The receiver.
        to: ReplicaId,
        /// The message.
        message: Message,
        /// Whether the message stays in the network and can be delivered again.
        repeated: bool,
    },
    /// A command is proposed.
    #[display("propose on {_0}")]
    Propose(ReplicaId),
    /// The disk completes the sync of the data written to it.
    #[display("sync {_0}")]
    Sync(ReplicaId),
    /// A replica restarts and loses all data that was not synced.
    #[display("restart {_0}")]
    Restart(ReplicaId),
    /// A replica is permanently lost together with its disk.
    #[display("lose {_0}")]
    Lose(ReplicaId),
    /// A leader is asked to replace the last voter by the learner.
    #[display("replace on {_0}")]
    Replace(ReplicaId),
}
