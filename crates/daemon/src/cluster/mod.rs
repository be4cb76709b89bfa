//! Client of the replica groups: follows leaders and retries what is safe.
//!
//! Every command of the state crate is idempotent by its own key: a job by its
//! key, items by their positions, a lease request by its sequence, a result by
//! its item, a claim by its attempt, an intent by its number and an order by
//! its expected token. A proposal whose fate is unknown is therefore sent
//! again until the deadline, and only then reported as unknown.

mod batch;
mod calls;
mod control;
mod declared;
mod error;
mod job;
mod leaders;
mod transport;

use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use molespan_types::NodeId;

pub use batch::HandedItems;
pub use control::{LiveNode, WatchedConfiguration};
pub use error::ClusterError;
pub use job::{ItemsTaken, RenewedLeases, ResultPage};
pub use transport::{PeerCall, PeerTransport, WireTransport};

use leaders::Leaders;

/// Bounds of the calls to replica groups.
#[derive(Clone, Debug)]
pub struct ClusterLimits {
    /// Longest time of the first call to one replica; doubles with each
    /// further one. A leader that was cut off in silence costs this much.
    pub first_call_timeout: Duration,
    /// Longest time of any call to one replica.
    pub call_timeout: Duration,
    /// Longest time of a proposal or read with all its attempts.
    pub deadline: Duration,
    /// Pause after the first failed attempt; doubles with each further one.
    pub first_pause: Duration,
    /// Longest pause between attempts.
    pub longest_pause: Duration,
}

impl Default for ClusterLimits {
    fn default() -> Self {
        Self {
            first_call_timeout: Duration::from_millis(750),
            call_timeout: Duration::from_secs(3),
            deadline: Duration::from_secs(8),
            first_pause: Duration::from_millis(10),
            longest_pause: Duration::from_millis(250),
        }
    }
}

/// A client of every replica group.
#[derive(Debug)]
pub struct Cluster {
    transport: Arc<dyn PeerTransport>,
    /// Nodes that hold replicas, those of the own zone first.
    replicas: Mutex<Vec<NodeId>>,
    leaders: Leaders,
    /// Position among the replicas of the one to ask where no leader is known: not again
    /// first the one that a call of before asked in vain.
    turn: AtomicUsize,
    limits: ClusterLimits,
}

impl Cluster {
    /// A client of the replicas on `replicas`; those that should be asked
    /// first, such as the own node and others of its zone, come first.
    #[must_use]
    pub fn new(
        transport: Arc<dyn PeerTransport>,
        replicas: Vec<NodeId>,
        limits: ClusterLimits,
    ) -> Self {
        Self {
            transport,
            replicas: Mutex::new(replicas),
            leaders: Leaders::default(),
            turn: AtomicUsize::new(0),
            limits,
        }
    }

    /// The transport to other nodes.
    #[must_use]
    pub fn transport(&self) -> &Arc<dyn PeerTransport> {
        &self.transport
    }

    /// Nodes that hold the groups, the nearest first.
    #[must_use]
    pub fn replicas(&self) -> Vec<NodeId> {
        self.lock_replicas().clone()
    }

    /// Says anew which nodes hold the groups.
    pub fn set_replicas(&self, replicas: Vec<NodeId>) {
        *self.lock_replicas() = replicas;
    }

    fn lock_replicas(&self) -> MutexGuard<'_, Vec<NodeId>> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
