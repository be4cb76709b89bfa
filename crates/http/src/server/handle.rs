//! State shared by a server's connections, its counters and its shutdown.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_channel::{Receiver, Sender};

use super::limits::ServerLimits;
use crate::net::within;

/// What a server counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServerCounters {
    /// Connections open now.
    pub open_connections: usize,
    /// Requests between their first byte and the end of their response.
    pub requests_in_flight: usize,
    /// Bytes of request bodies in memory now.
    pub buffered_bytes: usize,
    /// Requests handed to the handler.
    pub requests: u64,
    /// Connections refused because there were too many.
    pub refused_connections: u64,
    /// Requests refused before the handler: malformed, too large or too slow.
    pub rejected_requests: u64,
    /// Responses cut short since the client left or the body failed.
    pub aborted_responses: u64,
}

/// How a shutdown went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownReport {
    /// Requests that were cut off since the time bound passed.
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
    /// Closed when no further connection is accepted.
    stop: Signal,
    /// Closed when idle connections must go.
    close_idle: Signal,
    /// Closed when every connection must go.
    abort: Signal,
    /// Closed when the last connection has gone after a stop.
    empty: Signal,
}

/// A one-time signal: waiting ends once it is raised.
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

/// Takes one off a counter when dropped.
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

    /// Adds `more` as long as the counter stays within `limit`. Returns whether
    /// it did; when not, the counter is left as it was.
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
        self.shared.note_if_empty();
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

    /// Counts a connection that was just accepted.
    pub(crate) fn open_connection(self: &Arc<Self>) -> CountGuard {
        CountGuard::add(self, |shared| &shared.open, 1)
    }

    /// Whether there are more connections than allowed.
    pub(crate) fn is_overfull(&self) -> bool {
        self.open.load(Ordering::SeqCst) > self.limits.max_connections
    }

    /// Whether responses should end their connection.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Resolves once no further connection is accepted.
    pub(crate) async fn stopping(&self) {
        self.stop.wait().await;
    }

    /// Resolves once idle connections must go.
    pub(crate) async fn idle_must_close(&self) {
        self.close_idle.wait().await;
    }

    /// Resolves once every connection must go.
    pub(crate) async fn aborted(&self) {
        self.abort.wait().await;
    }

    /// Resolves once the server stopped and the last connection has gone.
    pub(crate) async fn stopped(&self) {
        self.note_if_empty();
        self.empty.wait().await;
    }

    fn note_if_empty(&self) {
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

    /// The counters now.
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

    /// Stops the server without cutting off a request.
    ///
    /// At once, no connection is accepted any more and every response ends its
    /// connection. For `idle_grace`, a request on an open connection is still
    /// answered, since a client may be sending it right now; then idle
    /// connections are closed. What runs after `deadline` is cut off and
    /// counted in the report.
    pub async fn shutdown(&self, idle_grace: Duration, deadline: Duration) -> ShutdownReport {
        let shared = &self.shared;
        shared.draining.store(true, Ordering::SeqCst);
        shared.stop.raise();
        shared.note_if_empty();
        let grace = idle_grace.min(deadline);
        if within(grace, shared.empty.wait()).await.is_some() {
            return ShutdownReport { cut_off: 0 };
        }
        shared.close_idle.raise();
        let rest = deadline.saturating_sub(grace);
        if within(rest, shared.empty.wait()).await.is_some() {
            return ShutdownReport { cut_off: 0 };
        }
        let cut_off = shared.in_flight.load(Ordering::SeqCst);
        shared.abort.raise();
        ShutdownReport { cut_off }
    }
}
