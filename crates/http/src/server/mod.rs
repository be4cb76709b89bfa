//! Server that accepts connections and passes complete requests to a handler.

mod connection;
mod handle;
mod intake;
mod limits;
mod output;
mod presence;

use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_io::{Async, Timer};
use derive_more::{Display, Error};
use futures_lite::future;
use http_types::{Request, Response};

use connection::Connection;
use handle::Shared;
pub use handle::{ServerCounters, ServerHandle, ShutdownReport};
pub use limits::{LargeBody, ServerLimits};
pub use presence::ClientPresence;

/// Delay after a failed accept, for example because there are no free file
/// descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Why a server could not start.
#[derive(Debug, Display, Error)]
#[display("cannot listen on {address}: {source}")]
pub struct ServerError {
    /// Requested address.
    pub address: SocketAddr,
    /// Error of the operating system.
    pub source: io::Error,
}

/// A bound listening socket, before it is served.
#[derive(Debug)]
pub struct Server {
    listener: Async<TcpListener>,
    local_address: SocketAddr,
    shared: Arc<Shared>,
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
        Ok(Self {
            listener,
            local_address,
            shared: Arc::new(Shared::new(limits)),
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
        ServerHandle::new(self.shared.clone())
    }

    /// Serves connections until [`ServerHandle::shutdown`] has finished.
    ///
    /// `handler` receives complete requests within the limits, with their bodies in
    /// memory. A handler is not dropped when its client disconnects; it can observe
    /// this through the [`ClientPresence`] in the extensions of the request.
    pub async fn serve<Handler, Answer>(self, executor: Arc<Executor<'static>>, handler: Handler)
    where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Answer: Future<Output = Response> + Send + 'static,
    {
        let handler = Arc::new(handler);
        let shared = self.shared.clone();
        let accept = async {
            loop {
                self.accept_one(&executor, &handler).await;
            }
        };
        future::or(accept, shared.stopping()).await;
        drop(self.listener);
        shared.stopped().await;
    }

    /// Accepts one connection and spawns its task.
    async fn accept_one<Handler, Answer>(
        &self,
        executor: &Arc<Executor<'static>>,
        handler: &Arc<Handler>,
    ) where
        Handler: Fn(Request) -> Answer + Send + Sync + 'static,
        Answer: Future<Output = Response> + Send + 'static,
    {
        let Ok((stream, _)) = self.listener.accept().await else {
            Timer::after(ACCEPT_PAUSE).await;
            return;
        };
        let Ok(stream) = crate::net::prepare(stream) else {
            return;
        };
        let slot = self.shared.open_connection();
        let connection = Connection::new(stream, self.shared.clone(), slot);
        let handler = handler.clone();
        executor
            .spawn(async move { connection.run(&*handler).await })
            .detach();
    }
}
