//! A reader limited to the bytes of one message of a connection.
//!
//! async-h1 reads ahead and discards the bytes that it read beyond a message. A
//! reader that ends exactly where the message ends keeps the bytes of the next
//! message, and unsolicited ones, in our buffer. It also limits the length of the
//! head, which async-h1 would read without limit as long as no line ends.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use derive_more::{Display, Error, From};
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite};

use crate::net::SharedStream;

/// Maximum length of a head in bytes; async-h1 rejects longer ones.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// Terminator of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Size of a read from the socket in bytes while a head is read.
const HEAD_READ_BYTES: usize = 4096;

/// Why a head could not be read.
#[derive(Debug, Display, Error, From)]
pub(crate) enum HeadError {
    /// The peer closed the connection before the first byte.
    #[display("connection closed")]
    #[from(skip)]
    Closed,
    /// The peer closed the connection within the head.
    #[display("connection closed within the head")]
    #[from(skip)]
    ClosedWithin,
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[display("head is longer than {MAX_HEAD_BYTES} bytes")]
    #[from(skip)]
    TooLong,
    /// The socket failed.
    Socket(io::Error),
}

/// Returns the end of the head in `bytes`; bytes before `from` were already searched.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let start = from.saturating_sub(HEAD_END.len() - 1);
    bytes[start..]
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|position| start + position + HEAD_END.len())
}

/// Reads until `buffer` holds a complete head and returns the length of the head.
/// Bytes after the head stay in the buffer.
///
/// # Errors
/// When the peer closes the connection, the socket fails or the head is too long.
pub(crate) async fn read_head(
    stream: &SharedStream,
    buffer: &mut Vec<u8>,
) -> Result<usize, HeadError> {
    let mut searched = 0;
    loop {
        if let Some(end) = head_end(buffer, searched) {
            return if end > MAX_HEAD_BYTES {
                Err(HeadError::TooLong)
            } else {
                Ok(end)
            };
        }
        if buffer.len() > MAX_HEAD_BYTES {
            return Err(HeadError::TooLong);
        }
        searched = buffer.len();
        read_some(stream, buffer).await?;
    }
}

/// Appends the result of one read from the socket to `buffer`.
pub(crate) async fn read_some(
    stream: &SharedStream,
    buffer: &mut Vec<u8>,
) -> Result<(), HeadError> {
    let filled = buffer.len();
    buffer.resize(filled + HEAD_READ_BYTES, 0);
    let read = (&**stream).read(&mut buffer[filled..]).await;
    buffer.truncate(filled + *read.as_ref().unwrap_or(&0));
    match read? {
        0 if filled == 0 => Err(HeadError::Closed),
        0 => Err(HeadError::ClosedWithin),
        _ => Ok(()),
    }
}

/// The incoming bytes of one message.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    stream: SharedStream,
    state: Arc<Mutex<SourceState>>,
}

/// State of a [`Source`].
#[derive(Debug)]
struct SourceState {
    /// Bytes read from the socket.
    buffered: Vec<u8>,
    /// Number of bytes of `buffered` that were returned to the reader.
    consumed: usize,
    /// Bytes that may still be returned to the reader; `None` for no limit.
    remaining: Option<u64>,
}

impl Source {
    /// Creates a reader that ends after the head of `head_length` bytes.
    pub(crate) fn new(stream: SharedStream, buffered: Vec<u8>, head_length: usize) -> Self {
        let state = SourceState {
            buffered,
            consumed: 0,
            remaining: Some(head_length as u64),
        };
        Self {
            stream,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Extends the limit by a body of `length` bytes.
    pub(crate) fn extend(&self, length: u64) {
        let mut state = self.lock();
        state.remaining = state.remaining.map(|remaining| remaining + length);
    }

    /// Removes the limit, for a body whose framing determines its end.
    pub(crate) fn remove_limit(&self) {
        self.lock().remaining = None;
    }

    /// Removes and returns the bytes received after the message.
    pub(crate) fn take_leftover(&self) -> Vec<u8> {
        let mut state = self.lock();
        let consumed = std::mem::take(&mut state.consumed);
        let mut buffered = std::mem::take(&mut state.buffered);
        buffered.drain(..consumed);
        buffered
    }

    /// Whether bytes were received after the message.
    pub(crate) fn has_leftover(&self) -> bool {
        let state = self.lock();
        state.consumed < state.buffered.len()
    }

    fn lock(&self) -> MutexGuard<'_, SourceState> {
        // The state is consistent after each statement, so it stays usable
        // after a panic while it was locked.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SourceState {
    /// Returns how many bytes may be returned to a reader that requests `wanted` bytes.
    fn allowed(&self, wanted: usize) -> usize {
        match self.remaining {
            Some(remaining) => wanted.min(usize::try_from(remaining).unwrap_or(usize::MAX)),
            None => wanted,
        }
    }

    /// Records that `count` bytes were returned to the reader.
    fn record_delivered(&mut self, count: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining -= count as u64;
        }
    }

    /// Copies buffered bytes to `target` and returns their number.
    fn drain(&mut self, target: &mut [u8]) -> usize {
        let available = &self.buffered[self.consumed..];
        let count = available.len().min(target.len());
        target[..count].copy_from_slice(&available[..count]);
        self.consumed += count;
        count
    }
}

impl AsyncRead for Source {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let mut state = self.lock();
        let allowed = state.allowed(target.len());
        if allowed == 0 {
            return Poll::Ready(Ok(0));
        }
        let target = &mut target[..allowed];
        let drained = state.drain(target);
        if drained > 0 {
            state.record_delivered(drained);
            return Poll::Ready(Ok(drained));
        }
        let mut stream = &*self.stream;
        let read = Pin::new(&mut stream).poll_read(context, target);
        if let Poll::Ready(Ok(count)) = &read {
            state.record_delivered(*count);
        }
        read
    }
}

/// async-h1 writes `100 Continue` through the reader.
impl AsyncWrite for Source {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(context)
    }

    fn poll_close(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(context)
    }
}
