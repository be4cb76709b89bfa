//! Server that accepts connections and answers requests.

mod connection;

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::{Async, Timer};
use derive_more::{Display, Error};
use futures_lite::future;

use crate::frame::DEFAULT_MAX_FRAME_BYTES;
use crate::message::{Request, Response};
use connection::serve_connection;

/// Delay after a failed accept, before the next one.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the requests of peers.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request. Requests of one connection run concurrently.
    fn call(&self, request: Request) -> impl Future<Output = Response> + Send;

    /// Handles a one-way message. Messages of one connection arrive in the order in
    /// which they were sent. Must not block.
    fn notify(&self, request: Request);
}

/// Limits of a server.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum length of a frame body in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of connections; further ones are closed immediately.
    pub max_connections: usize,
    /// Maximum number of concurrent requests of one connection; further ones are not
    /// read until one of them is answered.
    pub max_requests_per_connection: usize,
    /// Timeout for writing one batch of responses.
    pub write_timeout: Duration,
    /// How long a peer may send nothing before its connection is closed.
    pub idle_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            max_frame_bytes: DEFAULT_MAX_FRAME_BYTES,
            max_connections: 4096,
            max_requests_per_connection: 1024,
            write_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(300),
        }
    }
}

/// Why a server could not start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {source}")]
pub struct ServerError {
    /// Requested address.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: io::Error,
}

/// Counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounters {
    /// Currently open connections.
    pub open_connections: usize,
    /// Connections closed because of the connection limit.
    pub refused_connections: u64,
    /// Connections closed because the peer violated the protocol.
    pub broken_connections: u64,
    /// Bytes read.
    pub bytes_read: u64,
    /// Bytes written.
    pub bytes_written: u64,
}

/// State shared by the connections of a server.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) limits: ServerLimits,
    pub(crate) open: AtomicUsize,
    pub(crate) refused: AtomicU64,
    pub(crate) broken: AtomicU64,
    pub(crate) bytes_read: AtomicU64,
    pub(crate) bytes_written: AtomicU64,
    stop: Sender<()>,
    stopped: Receiver<()>,
}

impl Shared {
    /// Completes once the server must stop.
    pub(crate) async fn stopped(&self) {
        let _closed = self.stopped.recv().await;
    }
}

/// A bound listening socket, before it is served.
#[derive(Debug)]
pub struct Server {
    listener: Async<TcpListener>,
    local_address: SocketAddr,
    shared: Arc<Shared>,
}

/// Stops a server and reads its counters.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    shared: Arc<Shared>,
}

impl ServerHandle {
    /// Stops accepting and closes every connection.
    pub fn stop(&self) {
        self.shared.stop.close();
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> ServerCounters {
        let shared = &self.shared;
        ServerCounters {
            open_connections: shared.open.load(Ordering::SeqCst),
            refused_connections: shared.refused.load(Ordering::Relaxed),
            broken_connections: shared.broken.load(Ordering::Relaxed),
            bytes_read: shared.bytes_read.load(Ordering::Relaxed),
            bytes_written: shared.bytes_written.load(Ordering::Relaxed),
        }
    }
}

impl Server {
    /// Listens on `address`.
    ///
    /// # Errors
    /// When the address cannot be bound.
    pub fn bind(address: SocketAddr, limits: ServerLimits) -> Result<Self, ServerError> {
        let listen = || {
            let listener = Async::<TcpListener>::bind(address)?;
            let local_address = listener.get_ref().local_addr()?;
            Ok((listener, local_address))
        };
        let (listener, local_address) =
            listen().map_err(|source| ServerError { address, source })?;
        let (stop, stopped) = async_channel::bounded(1);
        let shared = Shared {
            limits,
            open: AtomicUsize::new(0),
            refused: AtomicU64::new(0),
            broken: AtomicU64::new(0),
            bytes_read: AtomicU64::new(0),
            bytes_written: AtomicU64::new(0),
            stop,
            stopped,
        };
        Ok(Self {
            listener,
            local_address,
            shared: Arc::new(shared),
        })
    }

    /// Returns the bound address, with the port that the system assigned for port 0.
    #[must_use]
    pub fn local_address(&self) -> SocketAddr {
        self.local_address
    }

    /// Returns a handle that stops the server and reads its counters.
    #[must_use]
    pub fn handle(&self) -> ServerHandle {
        ServerHandle {
            shared: self.shared.clone(),
        }
    }

    /// Accepts and serves connections until [`ServerHandle::stop`] is called.
    pub async fn serve(self, executor: Arc<Executor<'static>>, handler: Arc<impl Handler>) {
        let accept = async {
            loop {
                self.accept_one(&executor, &handler).await;
            }
        };
        future::or(accept, self.shared.stopped()).await;
    }

    /// Accepts one connection and spawns its task.
    async fn accept_one(&self, executor: &Arc<Executor<'static>>, handler: &Arc<impl Handler>) {
        let Ok((stream, _)) = self.listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            return;
        };
        let shared = self.shared.clone();
        if shared.open.load(Ordering::SeqCst) >= shared.limits.max_connections {
            shared.refused.fetch_add(1, Ordering::Relaxed);
            return;
        }
        if stream.get_ref().set_nodelay(true).is_err() {
            return;
        }
        shared.open.fetch_add(1, Ordering::SeqCst);
        let connection = serve_connection(
            Arc::new(stream),
            shared.clone(),
            executor.clone(),
            handler.clone(),
        );
        let task = async move {
            future::or(connection, shared.stopped()).await;
            shared.open.fetch_sub(1, Ordering::SeqCst);
        };
        executor.spawn(task).detach();
    }
}
