//! A connection of a server.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::{Receiver, Sender};
use async_executor::Executor;
use async_io::Async;
use async_lock::{Semaphore, SemaphoreGuardArc};
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};

use super::{Handler, Shared};
use crate::frame::{FrameDecoder, FrameError, encode_frame};
use crate::message::{Envelope, Request};
use crate::net::with_timeout;

/// Size of the read buffer in bytes.
const READ_BYTES: usize = 16 * 1024;
/// Batch size in bytes beyond which no further frame is added.
const BATCH_BYTES: usize = 64 * 1024;
/// Maximum number of responses queued for the writer.
const MAX_QUEUED_RESPONSES: usize = 64;

/// Reads requests and writes responses until either direction ends.
pub(crate) async fn serve_connection<H: Handler>(
    stream: Arc<Async<TcpStream>>,
    shared: Arc<Shared>,
    executor: Arc<Executor<'static>>,
    handler: Arc<H>,
) {
    let (frames, queued) = async_channel::bounded(MAX_QUEUED_RESPONSES);
    let limit = shared.limits.max_requests_per_connection;
    let reader = Reader {
        stream: &stream,
        shared: &shared,
        executor: &executor,
        handler: &handler,
        frames,
        permits: Arc::new(Semaphore::new(limit)),
    };
    let read = async {
        if reader.run().await.is_err() {
            shared.broken.fetch_add(1, Ordering::Relaxed);
        }
    };
    future::or(read, write_frames(&stream, &shared, queued)).await;
}

/// The reading half of a connection.
struct Reader<'a, H> {
    stream: &'a Async<TcpStream>,
    shared: &'a Arc<Shared>,
    executor: &'a Executor<'static>,
    handler: &'a Arc<H>,
    frames: Sender<Vec<u8>>,
    permits: Arc<Semaphore>,
}

impl<H: Handler> Reader<'_, H> {
    /// Reads until the peer closes the connection or the idle timeout expires.
    async fn run(&self) -> Result<(), FrameError> {
        let limits = &self.shared.limits;
        let mut decoder = FrameDecoder::new(limits.max_frame_bytes);
        let mut buffer = vec![0; READ_BYTES];
        loop {
            let mut reader = self.stream;
            let count = match with_timeout(limits.idle_timeout, reader.read(&mut buffer)).await {
                Some(Ok(count)) if count > 0 => count,
                _ => return Ok(()),
            };
            self.shared
                .bytes_read
                .fetch_add(count as u64, Ordering::Relaxed);
            decoder.push(&buffer[..count]);
            while let Some(envelope) = decoder.next_message()? {
                if !self.dispatch(envelope).await {
                    self.shared.broken.fetch_add(1, Ordering::Relaxed);
                    return Ok(());
                }
            }
        }
    }

    /// Handles one message; returns `false` when clients must not send this kind.
    async fn dispatch(&self, envelope: Envelope) -> bool {
        match envelope {
            Envelope::Request { number, request } => {
                let permit = self.permits.acquire_arc().await;
                self.spawn_call(number, request, permit);
                true
            }
            Envelope::OneWay(request) => {
                self.handler.notify(request);
                true
            }
            Envelope::Ping => {
                // When the queue is full, the pong can be dropped: the queued
                // responses show the peer that this process is alive.
                if let Some(frame) = self.encode(&Envelope::Pong) {
                    let _behind = self.frames.try_send(frame);
                }
                true
            }
            Envelope::Response { .. } | Envelope::Pong => false,
        }
    }

    /// Spawns the handler concurrently with reading. It continues after the
    /// connection ends, since its request may be partially executed.
    fn spawn_call(&self, number: u64, request: Request, permit: SemaphoreGuardArc) {
        let handler = self.handler.clone();
        let frames = self.frames.clone();
        let limit = self.shared.limits.max_frame_bytes;
        let call = async move {
            let response = handler.call(request).await;
            let mut frame = Vec::new();
            let envelope = Envelope::Response { number, response };
            if encode_frame(&envelope, limit, &mut frame).is_err() {
                frame = too_long_frame(number);
            }
            let _connection_ended = frames.send(frame).await;
            drop(permit);
        };
        self.executor.spawn(call).detach();
    }

    /// Encodes a message; returns `None` when it exceeds the maximum frame length.
    fn encode(&self, envelope: &Envelope) -> Option<Vec<u8>> {
        let mut frame = Vec::new();
        encode_frame(envelope, self.shared.limits.max_frame_bytes, &mut frame).ok()?;
        Some(frame)
    }
}

/// Encodes the response that replaces one that exceeds the maximum frame length.
fn too_long_frame(number: u64) -> Vec<u8> {
    let response = crate::message::Response::Refused {
        outcome: molespan_types::RunOutcome::Unknown,
        message: "the response is longer than a frame may be".to_owned(),
        retry_after_ms: 0,
    };
    let mut frame = Vec::new();
    let encoded = encode_frame(
        &Envelope::Response { number, response },
        usize::MAX,
        &mut frame,
    );
    debug_assert!(encoded.is_ok(), "a refusal is short");
    frame
}

/// Writes responses in batches. Returns when the socket fails.
async fn write_frames(stream: &Async<TcpStream>, shared: &Shared, queued: Receiver<Vec<u8>>) {
    while let Ok(mut batch) = queued.recv().await {
        while batch.len() < BATCH_BYTES {
            match queued.try_recv() {
                Ok(frame) => batch.extend_from_slice(&frame),
                Err(_) => break,
            }
        }
        let mut writer = stream;
        let writing = writer.write_all(&batch);
        match with_timeout(shared.limits.write_timeout, writing).await {
            Some(Ok(())) => {}
            _ => return,
        }
        shared
            .bytes_written
            .fetch_add(batch.len() as u64, Ordering::Relaxed);
    }
}
