//! Client with one connection to a peer, reopened as needed.

mod call;
mod connection;
mod queue;
mod task;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use async_channel::Sender;
use async_executor::Executor;

pub use call::{CallError, CallFailure};
use call::{Calls, PendingCall};
pub use queue::DropPolicy;
use queue::OutgoingQueue;

use crate::frame::{DEFAULT_MAX_FRAME_BYTES, encode_frame};
use crate::message::{Envelope, Request, Response};
use crate::net::with_timeout;

/// Limits of a client.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Maximum length of a frame body in bytes.
    pub max_frame_bytes: usize,
    /// Maximum number of calls that wait for a response.
    pub max_calls: usize,
    /// Maximum number of queued one-way messages.
    pub max_queued_messages: usize,
    /// Maximum size of the queued one-way messages in bytes.
    pub max_queued_bytes: usize,
    /// Which one-way message is dropped when the queue is full.
    pub drop_policy: DropPolicy,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout for writing one batch of messages.
    pub write_timeout: Duration,
    /// How long the peer may send nothing after a write before the connection is
    /// closed as failed.
    pub silence_limit: Duration,
    /// How long an unused connection stays open. Must be well below the server's
    /// idle timeout.
    pub idle_limit: Duration,
    /// Backoff delay after the first failed connection attempt.
    pub initial_backoff: Duration,
    /// Maximum backoff delay.
    pub max_backoff: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            max_frame_bytes: DEFAULT_MAX_FRAME_BYTES,
            max_calls: 4096,
            max_queued_messages: 4096,
            max_queued_bytes: 32 * 1024 * 1024,
            drop_policy: DropPolicy::Oldest,
            connect_timeout: Duration::from_secs(1),
            write_timeout: Duration::from_secs(5),
            silence_limit: Duration::from_secs(3),
            idle_limit: Duration::from_secs(60),
            initial_backoff: Duration::from_millis(20),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// Counters of a client since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// One-way messages dropped because the queue was full or the peer unreachable.
    pub dropped_messages: u64,
    /// Connections opened.
    pub connections: u64,
    /// Connection attempts that failed.
    pub failed_connections: u64,
    /// Responses that arrived after their call had ended.
    pub late_responses: u64,
    /// Bytes written.
    pub bytes_written: u64,
    /// Bytes read.
    pub bytes_read: u64,
}

/// Atomic counters that [`ClientCounters`] is read from.
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) dropped: AtomicU64,
    pub(crate) connections: AtomicU64,
    pub(crate) failed_connections: AtomicU64,
    pub(crate) late_responses: AtomicU64,
    pub(crate) bytes_written: AtomicU64,
    pub(crate) bytes_read: AtomicU64,
}

/// State that a client shares with its background task.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) address: SocketAddr,
    pub(crate) limits: ClientLimits,
    pub(crate) outgoing: OutgoingQueue,
    pub(crate) calls: Calls,
    pub(crate) counters: Counters,
}

/// A client of one peer. Clones share one connection, which is closed when the
/// last clone is dropped.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
    /// Stops the background task when the last clone is dropped.
    _alive: Sender<()>,
}

impl Client {
    /// Creates a client of the peer at `address`, which connects when there is
    /// something to send. `seed` seeds the jitter of the backoff.
    #[must_use]
    pub fn new(
        executor: &Executor<'static>,
        address: SocketAddr,
        limits: ClientLimits,
        seed: u64,
    ) -> Self {
        let shared = Arc::new(Shared {
            address,
            outgoing: OutgoingQueue::new(&limits),
            calls: Calls::default(),
            counters: Counters::default(),
            limits,
        });
        let (alive, ended) = async_channel::bounded(1);
        executor
            .spawn(task::run(shared.clone(), ended, seed))
            .detach();
        Self {
            shared,
            _alive: alive,
        }
    }

    /// Address of the peer.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Sends `request` and waits up to `timeout` for its response.
    ///
    /// During the backoff after a failed connection, calls fail immediately as not sent.
    ///
    /// # Errors
    /// [`CallError`] states whether the request may have reached the peer.
    pub async fn call(&self, request: Request, timeout: Duration) -> Result<Response, CallError> {
        let shared = &*self.shared;
        let number = shared.calls.next_number();
        let frame = encode_call(number, request, shared.limits.max_frame_bytes)?;
        let pending = PendingCall::register(&shared.calls, number, shared.limits.max_calls)?;
        shared.outgoing.push_call(frame, pending.call())?;
        let answered = with_timeout(timeout, pending.response()).await;
        answered.unwrap_or_else(|| Err(pending.abandon(CallFailure::Timeout)))
    }

    /// Queues a one-way message without blocking. When the queue is full or the
    /// peer cannot be reached, a message is dropped and counted. Returns whether
    /// this message was queued.
    pub fn send(&self, request: Request) -> bool {
        let shared = &*self.shared;
        let mut frame = Vec::new();
        let envelope = Envelope::OneWay(request);
        let encoded = encode_frame(&envelope, shared.limits.max_frame_bytes, &mut frame);
        if encoded.is_err() {
            shared.counters.dropped.fetch_add(1, Ordering::Relaxed);
            return false;
        }
        let push = shared.outgoing.push_message(frame);
        shared
            .counters
            .dropped
            .fetch_add(push.dropped, Ordering::Relaxed);
        push.queued
    }

    /// Returns the current counters.
    #[must_use]
    pub fn counters(&self) -> ClientCounters {
        let counters = &self.shared.counters;
        ClientCounters {
            dropped_messages: counters.dropped.load(Ordering::Relaxed),
            connections: counters.connections.load(Ordering::Relaxed),
            failed_connections: counters.failed_connections.load(Ordering::Relaxed),
            late_responses: counters.late_responses.load(Ordering::Relaxed),
            bytes_written: counters.bytes_written.load(Ordering::Relaxed),
            bytes_read: counters.bytes_read.load(Ordering::Relaxed),
        }
    }
}

/// Encodes the frame of a call.
fn encode_call(number: u64, request: Request, limit: usize) -> Result<Vec<u8>, CallError> {
    let mut frame = Vec::new();
    encode_frame(&Envelope::Request { number, request }, limit, &mut frame)
        .map_err(|_| CallError::NotSent(CallFailure::TooLong))?;
    Ok(frame)
}
