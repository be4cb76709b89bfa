//! Pool of keep-alive connections by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Request;

use super::connection::{ClientConnection, encode};
use super::error::{FailureCause, SendError};
use super::response::ClientResponse;
use crate::net::is_reusable;

/// Limits of a pool.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Maximum number of connections to one address.
    pub max_connections_per_address: usize,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for writing a request.
    pub write_timeout: Duration,
    /// Timeout from the end of the write to the end of the head of the response.
    pub response_timeout: Duration,
    /// Timeout for each read of the body of a response.
    pub body_timeout: Duration,
    /// How long an idle connection is kept in the pool. Must be well below the
    /// server's idle timeout, so that the server does not close a connection while
    /// a request is written to it.
    pub idle_timeout: Duration,
}

impl Default for PoolLimits {
    fn default() -> Self {
        Self {
            max_connections_per_address: 1024,
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(10),
            response_timeout: Duration::from_secs(30),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(4),
        }
    }
}

/// A pool of keep-alive connections. Clones share it.
#[derive(Clone, Debug)]
pub struct Pool {
    shared: Arc<PoolState>,
}

/// State shared by the clones of a pool and its connections.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub(crate) limits: PoolLimits,
    addresses: Mutex<HashMap<SocketAddr, AddressState>>,
}

/// Connections to one address.
#[derive(Debug, Default)]
struct AddressState {
    /// Number of open connections, idle or in use.
    open: usize,
    /// Idle connections with the time since when they are idle, least recently used
    /// first.
    idle: Vec<(Instant, ClientConnection)>,
}

/// Counts an open connection until dropped.
#[derive(Debug)]
pub(crate) struct ConnectionSlot {
    pool: Arc<PoolState>,
    pub(crate) address: SocketAddr,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        let mut addresses = self.pool.lock();
        let Some(state) = addresses.get_mut(&self.address) else {
            return;
        };
        state.open -= 1;
        if state.open == 0 {
            addresses.remove(&self.address);
        }
    }
}

impl PoolState {
    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, AddressState>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the most recently used idle connection.
    fn take_idle(&self, address: SocketAddr) -> Option<(Instant, ClientConnection)> {
        self.lock().get_mut(&address)?.idle.pop()
    }

    /// Reserves a slot for a new connection; returns `None` when the limit is reached.
    fn reserve(self: &Arc<Self>, address: SocketAddr) -> Option<ConnectionSlot> {
        let mut addresses = self.lock();
        let state = addresses.entry(address).or_default();
        if state.open >= self.limits.max_connections_per_address {
            return None;
        }
        state.open += 1;
        Some(ConnectionSlot {
            pool: self.clone(),
            address,
        })
    }

    /// Adds an idle connection and closes those that exceeded the idle timeout.
    pub(crate) fn put_idle(&self, connection: ClientConnection) {
        let now = Instant::now();
        let address = connection.slot.address;
        let expired = {
            let mut addresses = self.lock();
            let state = addresses.entry(address).or_default();
            let limit = self.limits.idle_timeout;
            let fresh = state
                .idle
                .partition_point(|(since, _)| now.duration_since(*since) >= limit);
            let expired: Vec<_> = state.idle.drain(..fresh).collect();
            state.idle.push((now, connection));
            expired
        };
        // Dropping connections takes the lock, so it must happen after the block above.
        drop(expired);
    }
}

impl Pool {
    /// Creates an empty pool.
    #[must_use]
    pub fn new(limits: PoolLimits) -> Self {
        Self {
            shared: Arc::new(PoolState {
                limits,
                addresses: Mutex::new(HashMap::new()),
            }),
        }
    }

    /// Sends `request` to `address` and waits for the head of the response.
    ///
    /// Dropping the future closes the connection.
    ///
    /// # Errors
    /// [`SendError`] states whether bytes of the request may have been sent.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<ClientResponse, SendError> {
        let method = request.method();
        let bytes = encode(request).await?;
        let connection = self.connection(address).await?;
        connection.exchange(&bytes, method).await
    }

    /// Returns the number of open connections to `address`, idle or in use.
    #[must_use]
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        self.shared
            .lock()
            .get(&address)
            .map_or(0, |state| state.open)
    }

    /// Closes all idle connections to `address`, for a peer that has left.
    pub fn close_idle(&self, address: SocketAddr) {
        let idle = match self.shared.lock().get_mut(&address) {
            Some(state) => std::mem::take(&mut state.idle),
            None => return,
        };
        drop(idle);
    }

    /// Returns a reusable idle connection, or opens a new one.
    async fn connection(&self, address: SocketAddr) -> Result<ClientConnection, SendError> {
        while let Some((since, connection)) = self.shared.take_idle(address) {
            let expired = since.elapsed() >= self.shared.limits.idle_timeout;
            if !expired && is_reusable(&connection.stream) {
                return Ok(connection);
            }
        }
        let slot = self
            .shared
            .reserve(address)
            .ok_or(SendError::NotSent(FailureCause::PoolExhausted))?;
        ClientConnection::open(self.shared.clone(), slot).await
    }
}
