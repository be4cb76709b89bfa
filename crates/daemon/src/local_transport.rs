//! A transport that calls the node's own replica without a socket.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::{FutureExt, future};
use molespan_types::NodeId;
use molespan_wire::{CallError, CallFailure, Request};

use crate::cluster::{PeerCall, PeerTransport};
use crate::replica::ReplicaRole;

/// Calls the own replica in process and other nodes over the internal protocol.
#[derive(Debug)]
pub struct LocalTransport {
    /// This node.
    pub own: NodeId,
    /// Its replica.
    pub replica: Arc<ReplicaRole>,
    /// Transport to the other nodes.
    pub others: Arc<dyn PeerTransport>,
}

impl PeerTransport for LocalTransport {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        if node != self.own {
            return self.others.call(node, request, timeout);
        }
        let replica = self.replica.clone();
        let answer = async move { Ok(replica.handle_peer(request).await) };
        let late = async move {
            Timer::after(timeout).await;
            Err(CallError::Ambiguous(CallFailure::Timeout))
        };
        future::or(answer, late).boxed()
    }

    fn send(&self, node: NodeId, request: Request) -> bool {
        self.others.send(node, request)
    }

    fn update_address(&self, node: NodeId, address: &str) {
        self.others.update_address(node, address);
    }
}
