//! Client of the replica groups: follows leader changes and retries idempotent requests.
//!
//! Every command of the state crate is idempotent by its own key: a job by its
//! key, items by their positions, a lease request by its sequence, a result by
//! its item, a claim by its attempt, an intent by its number and an order by
//! its expected token. A proposal with an unknown outcome is therefore retried
//! until the deadline and only then reported as unknown.

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

pub use batch::AssignedItems;
pub use control::{LiveNode, WatchedConfiguration};
pub use error::ClusterError;
pub use job::{ItemsTaken, RenewedLeases, ResultPage};
pub use transport::{PeerCall, PeerTransport, WireTransport};

use leaders::Leaders;

/// Timeouts and backoff of calls to replica groups.
#[derive(Clone, Debug)]
pub struct ClusterLimits {
    /// Timeout of the first attempt; doubles with each further attempt. This is the
    /// delay caused by a leader that is partitioned away without closing its connections.
    pub first_call_timeout: Duration,
    /// Upper bound of an attempt's timeout.
    pub call_timeout: Duration,
    /// Deadline of a proposal or read, including all attempts.
    pub deadline: Duration,
    /// Backoff after the first failed attempt; doubles with each further one.
    pub first_pause: Duration,
    /// Upper bound of the backoff between attempts.
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
    /// Nodes that hold replicas, those in the own zone first.
    replicas: Mutex<Vec<NodeId>>,
    leaders: Leaders,
    /// Index of the replica to ask when no leader is known. Shared between calls, so that a
    /// call does not start with a replica that just failed another call.
    next_replica: AtomicUsize,
    limits: ClusterLimits,
}

impl Cluster {
    /// Creates a client of the replicas on `replicas`, in order of preference: the
    /// own node and others of its zone should come first.
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
            next_replica: AtomicUsize::new(0),
            limits,
        }
    }

    /// Returns the transport to other nodes.
    #[must_use]
    pub fn transport(&self) -> &Arc<dyn PeerTransport> {
        &self.transport
    }

    /// Returns the nodes that hold replicas, nearest first.
    #[must_use]
    pub fn replicas(&self) -> Vec<NodeId> {
        self.lock_replicas().clone()
    }

    /// Replaces the nodes that hold replicas.
    pub fn set_replicas(&self, replicas: Vec<NodeId>) {
        *self.lock_replicas() = replicas;
    }

    fn lock_replicas(&self) -> MutexGuard<'_, Vec<NodeId>> {
        self.replicas.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
