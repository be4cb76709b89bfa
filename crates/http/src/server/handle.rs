//! State shared by the connections of a server, its counters and its shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};

use super::limits::ServerLimits;
use crate::net::with_timeout;

/// Counters of a server since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounters {
    /// Currently open connections.
    pub open_connections: usize,
    /// Requests in flight, from their first byte to the end of their response.
    pub requests_in_flight: usize,
    /// Bytes of request bodies currently in memory.
    pub buffered_bytes: usize,
    /// Requests passed to the handler.
    pub requests: u64,
    /// Connections refused because of the connection limit.
    pub refused_connections: u64,
    /// Requests rejected before they reached the handler: malformed, too large or too
    /// slow.
    pub rejected_requests: u64,
    /// Responses cut short because the client disconnected or the body failed.
    pub aborted_responses: u64,
}

/// Result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests that were aborted at the deadline.
    pub cut_off: usize,
}

/// Counters and signals shared by the connections of one server.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) limits: ServerLimits,
    pub(crate) open: AtomicUsize,
    pub(crate) in_flight: AtomicUsize,
    pub(crate) buffered: AtomicUsize,
    pub(crate) requests: AtomicU64,
    pub(crate) refused: AtomicU64,
    pub(crate) rejected: AtomicU64,
    pub(crate) aborted: AtomicU64,
    draining: AtomicBool,
    /// Raised when no further connections are accepted.
    stop: Signal,
    /// Raised when idle connections must be closed.
    close_idle: Signal,
    /// Raised when all connections must be closed.
    abort: Signal,
    /// Raised when the last connection is closed after a stop.
    empty: Signal,
}

/// A signal that is raised once; waiting completes when it is raised.
#[derive(Debug)]
struct Signal {
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Signal {
    fn new() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }

    fn raise(&self) {
        self.sender.close();
    }

    async fn wait(&self) {
        let _closed = self.receiver.recv().await;
    }
}

/// Subtracts its amount from a counter when dropped.
#[derive(Debug)]
pub(crate) struct CountGuard {
    shared: Arc<Shared>,
    counter: fn(&Shared) -> &AtomicUsize,
    amount: usize,
}

impl CountGuard {
    /// Adds `amount` to `counter` until the guard is dropped.
    pub(crate) fn add(
        shared: &Arc<Shared>,
        counter: fn(&Shared) -> &AtomicUsize,
        amount: usize,
    ) -> Self {
        counter(shared).fetch_add(amount, Ordering::SeqCst);
        Self {
            shared: shared.clone(),
            counter,
            amount,
        }
    }

    /// Adds `more` to the counter unless that exceeds `limit`. Returns whether it was
    /// added; otherwise the counter is unchanged.
    pub(crate) fn grow_within(&mut self, more: usize, limit: usize) -> bool {
        let counter = (self.counter)(&self.shared);
        let before = counter.fetch_add(more, Ordering::SeqCst);
        if before + more > limit {
            counter.fetch_sub(more, Ordering::SeqCst);
            return false;
        }
        self.amount += more;
        true
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        (self.counter)(&self.shared).fetch_sub(self.amount, Ordering::SeqCst);
        self.shared.signal_if_empty();
    }
}

impl Shared {
    pub(crate) fn new(limits: ServerLimits) -> Self {
        Self {
            limits,
            open: AtomicUsize::new(0),
            in_flight: AtomicUsize::new(0),
            buffered: AtomicUsize::new(0),
            requests: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            rejected: AtomicU64::new(0),
            aborted: AtomicU64::new(0),
            draining: AtomicBool::new(false),
            stop: Signal::new(),
            close_idle: Signal::new(),
            abort: Signal::new(),
            empty: Signal::new(),
        }
    }

    /// Counts an accepted connection until the guard is dropped.
    pub(crate) fn open_connection(self: &Arc<Self>) -> CountGuard {
        CountGuard::add(self, |shared| &shared.open, 1)
    }

    /// Whether the number of connections exceeds the limit.
    pub(crate) fn exceeds_connection_limit(&self) -> bool {
        self.open.load(Ordering::SeqCst) > self.limits.max_connections
    }

    /// Whether responses must close their connection.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Completes once no further connections are accepted.
    pub(crate) async fn stopping(&self) {
        self.stop.wait().await;
    }

    /// Completes once idle connections must be closed.
    pub(crate) async fn idle_must_close(&self) {
        self.close_idle.wait().await;
    }

    /// Completes once all connections must be closed.
    pub(crate) async fn aborted(&self) {
        self.abort.wait().await;
    }

    /// Completes once the server has stopped and the last connection is closed.
    pub(crate) async fn stopped(&self) {
        self.signal_if_empty();
        self.empty.wait().await;
    }

    fn signal_if_empty(&self) {
        if self.is_draining() && self.open.load(Ordering::SeqCst) == 0 {
            self.empty.raise();
        }
    }
}

/// Stops a server and reads its counters.
#[derive(Clone, Debug)]
pub struct ServerHandle {
    shared: Arc<Shared>,
}

impl ServerHandle {
    pub(crate) fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> ServerCounters {
        let shared = &self.shared;
        ServerCounters {
            open_connections: shared.open.load(Ordering::SeqCst),
            requests_in_flight: shared.in_flight.load(Ordering::SeqCst),
            buffered_bytes: shared.buffered.load(Ordering::SeqCst),
            requests: shared.requests.load(Ordering::Relaxed),
            refused_connections: shared.refused.load(Ordering::Relaxed),
            rejected_requests: shared.rejected.load(Ordering::Relaxed),
            aborted_responses: shared.aborted.load(Ordering::Relaxed),
        }
    }

    /// Stops the server gracefully.
    ///
    /// Immediately stops accepting connections, and makes each response close its
    /// connection. During `idle_grace`, requests on open connections are still
    /// answered, since a client may already be sending one; after that, idle
    /// connections are closed. Requests that still run after `deadline` are
    /// aborted and counted in the report.
    pub async fn shutdown(&self, idle_grace: Duration, deadline: Duration) -> ShutdownReport {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::SeqCst);
        shared.stop.raise();
        shared.signal_if_empty();
        let grace = idle_grace.min(deadline);
        if with_timeout(grace, shared.empty.wait()).await.is_some() {
            return ShutdownReport { cut_off: 0 };
        }
        shared.close_idle.raise();
        let rest = deadline.saturating_sub(grace);
        if with_timeout(rest, shared.empty.wait()).await.is_some() {
            return ShutdownReport { cut_off: 0 };
        }
        let cut_off = shared.in_flight.load(Ordering::SeqCst);
        shared.abort.raise();
        ShutdownReport { cut_off }
    }
}
