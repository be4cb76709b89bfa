//! Where a hollow gateway finds its replicas.

use std::net::SocketAddr;

/// Where a hollow gateway finds its replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaAddresses {
    /// The one whose configuration it watches.
    pub watched: SocketAddr,
    /// The leader of the control group.
    pub leader: SocketAddr,
}
