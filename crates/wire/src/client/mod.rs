//! The calling side: one connection to a peer, reopened as needed.

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
use call::{Calls, Pending};
pub use queue::DropPolicy;
use queue::Outgoing;

use crate::frame::{DEFAULT_MAX_FRAME_BYTES, encode_frame};
use crate::message::{Envelope, Request, Response};
use crate::net::within;

/// Bounds of a client.
#[derive(Clone, Debug)]
pub struct ClientLimits {
    /// Longest body of a frame in bytes.
    pub max_frame_bytes: usize,
    /// Most calls that wait for a response.
    pub max_calls: usize,
    /// Most one-way messages that wait to be written.
    pub max_queued_messages: usize,
    /// Most bytes of those messages.
    pub max_queued_bytes: usize,
    /// Which one-way message gives way when there are too many.
    pub drop_policy: DropPolicy,
    /// Longest time to connect.
    pub connect_timeout: Duration,
    /// Longest time to write one batch of messages.
    pub write_timeout: Duration,
    /// Longest silence of a peer that was written to, before the connection
    /// is given up as lost.
    pub silence_limit: Duration,
    /// How long a connection without use stays open. It must lie well below
    /// the server's idle timeout.
    pub idle_limit: Duration,
    /// Pause after the first failure to connect.
    pub first_pause: Duration,
    /// Longest pause.
    pub longest_pause: Duration,
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
            first_pause: Duration::from_millis(20),
            longest_pause: Duration::from_secs(1),
        }
    }
}

/// What a client counted since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// One-way messages dropped, for want of room or of a connection.
    pub dropped_messages: u64,
    /// Connections opened.
    pub connections: u64,
    /// Attempts to connect that failed.
    pub failed_connections: u64,
    /// Responses that nobody waited for any more.
    pub late_responses: u64,
    /// Bytes written.
    pub bytes_written: u64,
    /// Bytes read.
    pub bytes_read: u64,
}

/// The counters behind [`ClientCounters`].
#[derive(Debug, Default)]
pub(crate) struct Counters {
    pub(crate) dropped: AtomicU64,
    pub(crate) connections: AtomicU64,
    pub(crate) failed_connections: AtomicU64,
    pub(crate) late_responses: AtomicU64,
    pub(crate) bytes_written: AtomicU64,
    pub(crate) bytes_read: AtomicU64,
}

/// What a client shares with its background task.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) address: SocketAddr,
    pub(crate) limits: ClientLimits,
    pub(crate) outgoing: Outgoing,
    pub(crate) calls: Calls,
    pub(crate) counters: Counters,
}

/// A client of one peer. Clones share its connection, which is closed when the
/// last of them is dropped.
#[derive(Clone, Debug)]
pub struct Client {
    shared: Arc<Shared>,
    /// Ends the background task when the last clone is dropped.
    _alive: Sender<()>,
}

impl Client {
    /// A client of the peer at `address`. It connects when there is something
    /// to send. The seed feeds the jitter of its pauses.
    #[must_use]
    pub fn new(
        executor: &Executor<'static>,
        address: SocketAddr,
        limits: ClientLimits,
        seed: u64,
    ) -> Self {
        let shared = Arc::new(Shared {
            address,
            outgoing: Outgoing::new(&limits),
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

    /// Sends `request` and waits for its response, at most for `timeout`.
    ///
    /// While the peer cannot be reached, calls fail at once as not sent.
    ///
    /// # Errors
    /// [`CallError`] says whether the request may have reached the peer.
    pub async fn call(&self, request: Request, timeout: Duration) -> Result<Response, CallError> {
        let shared = &*self.shared;
        let number = shared.calls.next_number();
        let frame = encode_call(number, request, shared.limits.max_frame_bytes)?;
        let pending = Pending::open(&shared.calls, number, shared.limits.max_calls)?;
        shared.outgoing.push_call(frame, pending.call())?;
        let answered = within(timeout, pending.response()).await;
        answered.unwrap_or_else(|| Err(pending.give_up(CallFailure::Timeout)))
    }

    /// Sends a message that nobody waits for. It never blocks: a message is
    /// dropped and counted when there are too many or the peer cannot be
    /// reached. Returns whether this one was queued.
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

    /// The counters now.
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

/// The frame of a call.
fn encode_call(number: u64, request: Request, limit: usize) -> Result<Vec<u8>, CallError> {
    let mut frame = Vec::new();
    encode_frame(&Envelope::Request { number, request }, limit, &mut frame)
        .map_err(|_| CallError::NotSent(CallFailure::TooLong))?;
    Ok(frame)
}
