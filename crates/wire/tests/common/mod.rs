//! A test server that answers each heartbeat with the node that it names.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use molespan_types::{Incarnation, NodeId};
use molespan_wire::{Handler, Request, Response, Server, ServerHandle, ServerLimits};

/// Timeout longer than any test should take.
pub const LONG: Duration = Duration::from_secs(30);

/// Answers heartbeats with their node, and delays each other request until
/// a message on `release` lets it complete.
pub struct TestHandler {
    /// Releases one delayed request per message.
    pub release: Sender<()>,
    released: Receiver<()>,
    /// One-way messages in order of arrival.
    pub notified: Receiver<Request>,
    notify: Sender<Request>,
}

impl Default for TestHandler {
    fn default() -> Self {
        let (release, released) = async_channel::unbounded();
        let (notify, notified) = async_channel::unbounded();
        Self {
            release,
            released,
            notified,
            notify,
        }
    }
}

impl Handler for TestHandler {
    async fn call(&self, request: Request) -> Response {
        match request {
            Request::Heartbeat { node, .. } => status_of(node.0),
            _ => {
                self.released.recv().await.unwrap();
                Response::Acknowledged
            }
        }
    }

    fn notify(&self, request: Request) {
        self.notify.try_send(request).unwrap();
    }
}

/// Returns a heartbeat of `node`.
pub fn heartbeat(node: u32) -> Request {
    Request::Heartbeat {
        node: NodeId(node),
        incarnation: Incarnation(1),
        zone: "zone".into(),
        draining: false,
        owned: Vec::new(),
    }
}

/// Returns the response to [`heartbeat`].
pub fn status_of(node: u32) -> Response {
    Response::LiveNodes {
        nodes: vec![(NodeId(node), Incarnation(1), false)],
    }
}

/// A running server.
pub struct Running {
    pub address: SocketAddr,
    pub handle: ServerHandle,
    /// Closed when the server has stopped.
    pub finished: Receiver<()>,
}

/// Starts a server on a free port.
pub fn start(
    executor: &Arc<Executor<'static>>,
    handler: TestHandler,
    limits: ServerLimits,
) -> Running {
    let any = "127.0.0.1:0".parse().unwrap();
    run(executor, Server::bind(any, limits).unwrap(), handler)
}

/// Starts a server on a port that an earlier server has released.
#[allow(dead_code, reason = "not every test file restarts a server")]
pub fn start_at(
    executor: &Arc<Executor<'static>>,
    address: SocketAddr,
    handler: TestHandler,
) -> Running {
    let server = Server::bind(address, ServerLimits::default()).unwrap();
    run(executor, server, handler)
}

fn run(executor: &Arc<Executor<'static>>, server: Server, handler: TestHandler) -> Running {
    let address = server.local_address();
    let handle = server.handle();
    let (running, finished) = async_channel::bounded(1);
    let serving = server.serve(executor.clone(), Arc::new(handler));
    let task = async move {
        serving.await;
        drop(running);
    };
    executor.spawn(task).detach();
    Running {
        address,
        handle,
        finished,
    }
}
