//! Outgoing messages to the other replicas.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_executor::Executor;
use molespan_types::{GroupId, NodeId};
use molespan_wire::{Client, ClientLimits, GroupMessage, LeaderHint, Request};

use super::{ReplicaOptions, ReplicaPeer};

/// Maximum bytes of messages in one frame, unless a single message is longer.
const FRAME_BYTES: usize = 1 << 20;
/// Maximum backoff before an unreachable peer is retried.
const MAX_BACKOFF: Duration = Duration::from_millis(200);
/// Connection timeout. A peer that has not started yet may leave a connection attempt
/// unanswered for seconds, which would delay an election; replicas are close to each other.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Connections to the other replicas. Consensus resends lost messages, so
/// messages are dropped when a peer does not keep up.
#[derive(Debug)]
pub(super) struct Outbox {
    own: NodeId,
    peers: Vec<ReplicaPeer>,
    /// Port of peers that are discovered rather than listed.
    port: Option<u16>,
    executor: Arc<Executor<'static>>,
    seed: u64,
    clients: Mutex<BTreeMap<NodeId, Client>>,
}

impl Outbox {
    /// Creates an outbox; connections are opened on first use.
    pub fn new(options: &ReplicaOptions, executor: &Arc<Executor<'static>>, seed: u64) -> Self {
        Self {
            own: options.node,
            peers: options.peers.clone(),
            port: options.discovery.as_ref().map(|discovery| discovery.port),
            executor: executor.clone(),
            seed,
            clients: Mutex::default(),
        }
    }

    /// Returns a peer's address, if it is listed or encoded in its ID.
    fn address(&self, node: NodeId) -> Option<SocketAddr> {
        if let Some(port) = self.port {
            return Some(SocketAddr::from((node.address(), port)));
        }
        let peer = self.peers.iter().find(|peer| peer.node == node)?;
        Some(peer.address)
    }

    /// Returns the client of another replica.
    pub fn client(&self, node: NodeId) -> Option<Client> {
        if node == self.own {
            return None;
        }
        let address = self.address(node)?;
        let mut clients = self.clients.lock().unwrap_or_else(PoisonError::into_inner);
        let client = clients.entry(node).or_insert_with(|| {
            let limits = ClientLimits {
                connect_timeout: CONNECT_TIMEOUT,
                max_backoff: MAX_BACKOFF,
                ..ClientLimits::default()
            };
            let seed = self.seed ^ u64::from(node.0);
            Client::new(&self.executor, address, limits, seed)
        });
        Some(client.clone())
    }

    /// Returns a hint to the address of a leader.
    pub fn hint(&self, node: NodeId) -> Option<LeaderHint> {
        let address = self.address(node)?;
        Some(LeaderHint {
            node,
            address: address.to_string(),
        })
    }

    /// Creates a bundle for the messages of one poll of the core.
    pub fn bundle(&self) -> Bundle<'_> {
        Bundle {
            outbox: self,
            pending: BTreeMap::new(),
        }
    }
}

/// Messages of one poll of the core, grouped by receiver.
#[derive(Debug)]
pub(super) struct Bundle<'a> {
    outbox: &'a Outbox,
    pending: BTreeMap<NodeId, PendingMessages>,
}

#[derive(Debug, Default)]
struct PendingMessages {
    messages: Vec<GroupMessage>,
    bytes: usize,
}

impl Bundle<'_> {
    /// Adds a message; sends the receiver's earlier messages if the frame would be too long.
    pub fn push(&mut self, to: NodeId, group: GroupId, bytes: Vec<u8>) {
        let pending = self.pending.entry(to).or_default();
        if pending.bytes + bytes.len() > FRAME_BYTES && !pending.messages.is_empty() {
            let full = std::mem::take(pending);
            self.outbox.send(to, full.messages);
        }
        let pending = self.pending.entry(to).or_default();
        pending.bytes += bytes.len();
        pending.messages.push(GroupMessage {
            group,
            message: bytes.into(),
        });
    }

    /// Sends the remaining messages.
    pub fn finish(self) {
        for (to, pending) in self.pending {
            self.outbox.send(to, pending.messages);
        }
    }
}

impl Outbox {
    fn send(&self, to: NodeId, messages: Vec<GroupMessage>) {
        if let Some(client) = self.client(to) {
            let from = self.own;
            client.send(Request::Consensus { from, messages });
        }
    }
}
