//! A connection of a client: writer, reader and liveness monitor.

use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_io::{Async, Timer};
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};

use super::Shared;
use crate::frame::{FrameDecoder, encode_frame};
use crate::message::Envelope;
use crate::net::with_timeout;

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Number of liveness checks within the silence limit.
const CHECKS_PER_SILENCE_LIMIT: u32 = 4;

/// Times of the last reads and writes on a connection.
struct Activity(Mutex<ActivityTimes>);

#[derive(Clone, Copy)]
struct ActivityTimes {
    /// Time of the first write since the last read.
    unanswered_since: Option<Instant>,
    last_write: Instant,
    any_read: bool,
}

impl Activity {
    fn new() -> Self {
        Self(Mutex::new(ActivityTimes {
            unanswered_since: None,
            last_write: Instant::now(),
            any_read: false,
        }))
    }

    fn record_write(&self) {
        let now = Instant::now();
        let mut times = self.lock();
        times.last_write = now;
        times.unanswered_since.get_or_insert(now);
    }

    fn record_read(&self) {
        let mut times = self.lock();
        times.any_read = true;
        times.unanswered_since = None;
    }

    fn times(&self) -> ActivityTimes {
        *self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, ActivityTimes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves the connection until it breaks, the peer stops responding or the
/// connection is idle. Returns `false` if the peer failed to respond to anything
/// that was written.
pub(crate) async fn run_connection(shared: &Shared, stream: &Async<TcpStream>) -> bool {
    let activity = Activity::new();
    let transfer = future::or(
        write_frames(shared, stream, &activity),
        read_frames(shared, stream, &activity),
    );
    future::or(transfer, monitor_liveness(shared, &activity)).await;
    // A connection closed as idle, with nothing unanswered, is not a failure of the peer.
    let times = activity.times();
    times.any_read || times.unanswered_since.is_none()
}

/// Writes queued frames in batches. Returns when the socket fails.
async fn write_frames(shared: &Shared, stream: &Async<TcpStream>, activity: &Activity) {
    let mut batch = Vec::new();
    loop {
        shared.outgoing.wait().await;
        batch.clear();
        shared.outgoing.take_batch(&mut batch);
        if batch.is_empty() {
            continue;
        }
        activity.record_write();
        let mut writer = stream;
        let writing = writer.write_all(&batch);
        match with_timeout(shared.limits.write_timeout, writing).await {
            Some(Ok(())) => {}
            _ => return,
        }
        let written = batch.len() as u64;
        shared
            .counters
            .bytes_written
            .fetch_add(written, Ordering::Relaxed);
    }
}

/// Reads responses. Returns when the peer closes the connection or violates the
/// protocol.
async fn read_frames(shared: &Shared, stream: &Async<TcpStream>, activity: &Activity) {
    let mut decoder = FrameDecoder::new(shared.limits.max_frame_bytes);
    let mut buffer = vec![0; READ_BYTES];
    loop {
        let mut reader = stream;
        let count = match reader.read(&mut buffer).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        activity.record_read();
        shared
            .counters
            .bytes_read
            .fetch_add(count as u64, Ordering::Relaxed);
        decoder.push(&buffer[..count]);
        loop {
            match decoder.next_message() {
                Ok(Some(Envelope::Response { number, response })) => {
                    if !shared.calls.answer(number, response) {
                        shared
                            .counters
                            .late_responses
                            .fetch_add(1, Ordering::Relaxed);
                    }
                }
                Ok(Some(Envelope::Pong)) => {}
                Ok(None) => break,
                // A server sends only responses and pongs.
                Ok(Some(_)) | Err(_) => return,
            }
        }
    }
}

/// Returns when the peer stopped responding or the connection is idle. Pings the
/// peer after a write, since one-way messages have no response.
async fn monitor_liveness(shared: &Shared, activity: &Activity) {
    let limits = &shared.limits;
    let interval = limits.silence_limit / CHECKS_PER_SILENCE_LIMIT;
    let ping = ping_frame();
    loop {
        Timer::after(interval.max(Duration::from_millis(1))).await;
        let times = activity.times();
        if let Some(since) = times.unanswered_since {
            if since.elapsed() >= limits.silence_limit {
                return;
            }
            shared.outgoing.push_control(&ping);
        } else if times.last_write.elapsed() >= limits.idle_limit && !shared.calls.any_waiting() {
            return;
        }
    }
}

/// Encodes a ping frame.
fn ping_frame() -> Vec<u8> {
    let mut frame = Vec::new();
    let encoded = encode_frame(&Envelope::Ping, usize::MAX, &mut frame);
    debug_assert!(encoded.is_ok(), "a ping is a few bytes long");
    frame
}
