//! Keep-alive connections by address.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http_types::Request;

use super::connection::{ClientConnection, encode};
use super::error::{FailureCause, SendError};
use super::response::ClientResponse;
use crate::net::is_open_and_silent;

/// Bounds of a pool.
#[derive(Clone, Debug)]
pub struct PoolLimits {
    /// Most connections to one address.
    pub max_connections_per_address: usize,
    /// Longest time to connect.
    pub connect_timeout: Duration,
    /// Longest time to write a request.
    pub write_timeout: Duration,
    /// Longest time from there to the end of the response's head.
    pub response_timeout: Duration,
    /// Longest silence within the body of a response.
    pub body_timeout: Duration,
    /// Longest rest of a connection in the pool. It must stay well below the
    /// server's idle timeout, so that the server does not close a connection
    /// which is being written to.
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

/// What the clones of a pool and its connections share.
#[derive(Debug)]
pub(crate) struct PoolState {
    pub(crate) limits: PoolLimits,
    addresses: Mutex<HashMap<SocketAddr, AddressState>>,
}

/// Connections of one address.
#[derive(Debug, Default)]
struct AddressState {
    /// Open connections, idle or in use.
    open: usize,
    /// Resting connections, the latest used last.
    idle: Vec<(Instant, ClientConnection)>,
}

/// Counts one open connection until dropped.
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

    /// Takes the resting connection that was used last.
    fn take_idle(&self, address: SocketAddr) -> Option<(Instant, ClientConnection)> {
        self.lock().get_mut(&address)?.idle.pop()
    }

    /// Reserves a place for a new connection.
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

    /// Puts a connection to rest and closes those that rested too long.
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
        // Dropping takes the lock again, so it happens behind the block above.
        drop(expired);
    }
}

impl Pool {
    /// An empty pool.
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
    /// Dropping the future closes its connection.
    ///
    /// # Errors
    /// [`SendError`] says whether bytes of the request may have left.
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

    /// Open connections to `address`, idle or in use.
    #[must_use]
    pub fn open_connections(&self, address: SocketAddr) -> usize {
        self.shared
            .lock()
            .get(&address)
            .map_or(0, |state| state.open)
    }

    /// Closes every resting connection to `address`, for one that left.
    pub fn forget(&self, address: SocketAddr) {
        let resting = match self.shared.lock().get_mut(&address) {
            Some(state) => std::mem::take(&mut state.idle),
            None => return,
        };
        drop(resting);
    }

    /// A resting connection that is still good, else a new one.
    async fn connection(&self, address: SocketAddr) -> Result<ClientConnection, SendError> {
        while let Some((since, connection)) = self.shared.take_idle(address) {
            let rested = since.elapsed() >= self.shared.limits.idle_timeout;
            if !rested && is_open_and_silent(&connection.stream) {
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
