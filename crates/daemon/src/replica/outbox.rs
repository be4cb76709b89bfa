//! Sending to the other replicas.

use std::collections::BTreeMap;
use std::time::Duration;

use async_executor::Executor;
use molespan_types::{GroupId, NodeId};
use molespan_wire::{Client, ClientLimits, GroupMessage, LeaderHint, Request};

use super::{ReplicaOptions, ReplicaPeer};

/// Bytes of messages in one frame, unless a single message is longer.
const FRAME_BYTES: usize = 1 << 20;
/// Longest pause before a peer that could not be reached is tried again.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Connections to the other replicas. Consensus repeats what gets lost, so
/// that messages are dropped when a peer does not keep up.
#[derive(Debug)]
pub(super) struct Outbox {
    own: NodeId,
    peers: Vec<ReplicaPeer>,
    clients: BTreeMap<NodeId, Client>,
}

impl Outbox {
    /// Connections are opened once there is something to send.
    pub fn new(options: &ReplicaOptions, executor: &Executor<'static>, seed: u64) -> Self {
        let limits = ClientLimits {
            longest_pause: LONGEST_PAUSE,
            ..ClientLimits::default()
        };
        let others = options.peers.iter().filter(|one| one.node != options.node);
        let clients = others.map(|peer| {
            let seed = seed ^ u64::from(peer.node.0);
            let client = Client::new(executor, peer.address, limits.clone(), seed);
            (peer.node, client)
        });
        Self {
            own: options.node,
            peers: options.peers.clone(),
            clients: clients.collect(),
        }
    }

    /// The client of another replica.
    pub fn client(&self, node: NodeId) -> Option<&Client> {
        self.clients.get(&node)
    }

    /// Where a replica can be reached.
    pub fn hint(&self, node: NodeId) -> Option<LeaderHint> {
        let peer = self.peers.iter().find(|peer| peer.node == node)?;
        Some(LeaderHint {
            node,
            address: peer.address.to_string(),
        })
    }

    /// A bundle for the messages of one round of work.
    pub fn bundle(&self) -> Bundle<'_> {
        Bundle {
            outbox: self,
            waiting: BTreeMap::new(),
        }
    }
}

/// Messages of one round of work, put together by receiver.
#[derive(Debug)]
pub(super) struct Bundle<'a> {
    outbox: &'a Outbox,
    waiting: BTreeMap<NodeId, Waiting>,
}

#[derive(Debug, Default)]
struct Waiting {
    messages: Vec<GroupMessage>,
    bytes: usize,
}

impl Bundle<'_> {
    /// Adds a message.
    pub fn push(&mut self, to: NodeId, group: GroupId, bytes: Vec<u8>) {
        let waiting = self.waiting.entry(to).or_default();
        if waiting.bytes + bytes.len() > FRAME_BYTES && !waiting.messages.is_empty() {
            let full = std::mem::take(waiting);
            self.outbox.send(to, full.messages);
        }
        let waiting = self.waiting.entry(to).or_default();
        waiting.bytes += bytes.len();
        waiting.messages.push(GroupMessage {
            group,
            message: bytes.into(),
        });
    }

    /// Sends what is left.
    pub fn finish(self) {
        for (to, waiting) in self.waiting {
            self.outbox.send(to, waiting.messages);
        }
    }
}

impl Outbox {
    fn send(&self, to: NodeId, messages: Vec<GroupMessage>) {
        if let Some(client) = self.clients.get(&to) {
            let from = self.own;
            client.send(Request::Consensus { from, messages });
        }
    }
}
