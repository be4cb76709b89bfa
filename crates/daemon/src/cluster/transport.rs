//! Transport of requests to other nodes.

use std::collections::{HashMap, HashSet};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_executor::Executor;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use molespan_types::NodeId;
use molespan_wire::{CallError, CallFailure, Client, ClientLimits, Request, Response};

/// The future result of a call.
pub type PeerCall = Boxed<Result<Response, CallError>>;

/// Sends requests to other nodes; tests substitute an in-process implementation.
pub trait PeerTransport: Debug + Send + Sync + 'static {
    /// Sends `request` to `node` and waits for its response.
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall;

    /// Sends a one-way message; returns whether it was queued.
    fn send(&self, node: NodeId, request: Request) -> bool;

    /// Updates the address of a node from its registration or a leader hint. Has no
    /// effect on nodes whose address is in the settings: other nodes may reach them
    /// under a different address.
    fn update_address(&self, node: NodeId, address: &str);
}

/// Calls over the internal protocol.
#[derive(Debug)]
pub struct WireTransport {
    executor: Arc<Executor<'static>>,
    limits: ClientLimits,
    seed: u64,
    /// Nodes whose addresses come from the settings.
    configured: HashSet<NodeId>,
    /// Port of nodes whose IDs encode their addresses.
    port: Option<u16>,
    clients: Mutex<HashMap<NodeId, Client>>,
}

impl WireTransport {
    /// Creates a transport with the given node addresses. The seed feeds the
    /// jitter of the reconnection backoff.
    #[must_use]
    pub fn new(
        executor: Arc<Executor<'static>>,
        addresses: impl IntoIterator<Item = (NodeId, SocketAddr)>,
        limits: ClientLimits,
        seed: u64,
    ) -> Self {
        let addresses: Vec<_> = addresses.into_iter().collect();
        let transport = Self {
            executor,
            limits,
            seed,
            configured: addresses.iter().map(|(node, _)| *node).collect(),
            port: None,
            clients: Mutex::new(HashMap::new()),
        };
        for (node, address) in addresses {
            transport.set_address(node, address);
        }
        transport
    }

    /// Creates a transport between nodes whose IDs encode their addresses and that
    /// all listen on `port`.
    #[must_use]
    pub fn between_addresses(
        executor: Arc<Executor<'static>>,
        port: u16,
        limits: ClientLimits,
        seed: u64,
    ) -> Self {
        Self {
            port: Some(port),
            ..Self::new(executor, [], limits, seed)
        }
    }

    /// Sets the address of `node`.
    pub fn set_address(&self, node: NodeId, address: SocketAddr) {
        let mut clients = self.lock();
        let known = clients.get(&node).map(Client::address);
        if known == Some(address) {
            return;
        }
        let seed = self.seed.wrapping_add(u64::from(node.0));
        let client = Client::new(&self.executor, address, self.limits.clone(), seed);
        clients.insert(node, client);
    }

    fn client(&self, node: NodeId) -> Option<Client> {
        if let Some(client) = self.lock().get(&node) {
            return Some(client.clone());
        }
        let port = self.port?;
        self.set_address(node, SocketAddr::from((node.address(), port)));
        self.lock().get(&node).cloned()
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Client>> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PeerTransport for WireTransport {
    fn call(&self, node: NodeId, request: Request, timeout: Duration) -> PeerCall {
        let client = self.client(node);
        async move {
            let Some(client) = client else {
                return Err(CallError::NotSent(CallFailure::Unreachable));
            };
            client.call(request, timeout).await
        }
        .boxed()
    }

    fn send(&self, node: NodeId, request: Request) -> bool {
        self.client(node).is_some_and(|client| client.send(request))
    }

    fn update_address(&self, node: NodeId, address: &str) {
        if self.configured.contains(&node) {
            return;
        }
        if let Ok(address) = address.parse() {
            self.set_address(node, address);
        }
    }
}
