//! A bounded view of a connection's incoming bytes.
//!
//! async-h1 reads ahead and keeps what it read for itself. Handing it a view
//! that ends exactly where the message ends keeps the bytes of the next
//! message, and a count of unasked ones, on our side. It also bounds the head,
//! which async-h1 itself would read without limit as long as no line ends.

use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use derive_more::{Display, Error, From};
use futures_lite::io::{AsyncRead, AsyncReadExt, AsyncWrite};

use crate::net::SharedStream;

/// async-h1 refuses a head of this many bytes or more.
pub(crate) const MAX_HEAD_BYTES: usize = 8 * 1024 - 1;
/// What ends a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Bytes asked from the socket at a time while a head is read.
const HEAD_READ_BYTES: usize = 4096;

/// Why no head could be read.
#[derive(Debug, Display, Error, From)]
pub(crate) enum HeadError {
    /// The peer closed before the first byte.
    #[display("connection closed")]
    #[from(skip)]
    Closed,
    /// The peer closed within the head.
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

/// Position just behind the head in `bytes`, looking from `from` onwards.
fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let start = from.saturating_sub(HEAD_END.len() - 1);
    bytes[start..]
        .windows(HEAD_END.len())
        .position(|window| window == HEAD_END)
        .map(|position| start + position + HEAD_END.len())
}

/// Reads until `buffer` holds a whole head and returns its length. Bytes that
/// came behind it stay in the buffer.
///
/// # Errors
/// When the peer closes, the socket fails or the head is too long.
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

/// Appends what the socket has to `buffer`.
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

/// What a [`Source`] has left to give.
#[derive(Debug)]
struct SourceState {
    /// Bytes read from the socket and not yet handed on.
    buffered: Vec<u8>,
    /// How many of them were handed on.
    consumed: usize,
    /// Bytes that may still be handed on; `None` for no bound.
    remaining: Option<u64>,
}

impl Source {
    /// A view that ends behind the head of `head_length` bytes.
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

    /// Extends the view by a body of `length` bytes.
    pub(crate) fn extend(&self, length: u64) {
        let mut state = self.lock();
        state.remaining = state.remaining.map(|remaining| remaining + length);
    }

    /// Removes the bound, for a body whose framing says where it ends.
    pub(crate) fn unbound(&self) {
        self.lock().remaining = None;
    }

    /// Takes the bytes that came behind the message.
    pub(crate) fn take_leftover(&self) -> Vec<u8> {
        let mut state = self.lock();
        let consumed = std::mem::take(&mut state.consumed);
        let mut buffered = std::mem::take(&mut state.buffered);
        buffered.drain(..consumed);
        buffered
    }

    /// Whether bytes came behind the message.
    pub(crate) fn has_leftover(&self) -> bool {
        let state = self.lock();
        state.consumed < state.buffered.len()
    }

    fn lock(&self) -> MutexGuard<'_, SourceState> {
        // The state is valid after each statement, so a panic elsewhere while
        // it was locked leaves it usable.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SourceState {
    /// Bytes that may be handed on into a buffer of `wanted` bytes.
    fn allowed(&self, wanted: usize) -> usize {
        match self.remaining {
            Some(remaining) => wanted.min(usize::try_from(remaining).unwrap_or(usize::MAX)),
            None => wanted,
        }
    }

    /// Notes that `count` bytes were handed on.
    fn handed_on(&mut self, count: usize) {
        if let Some(remaining) = &mut self.remaining {
            *remaining -= count as u64;
        }
    }

    /// Hands on buffered bytes and returns their number.
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
            state.handed_on(drained);
            return Poll::Ready(Ok(drained));
        }
        let mut stream = &*self.stream;
        let read = Pin::new(&mut stream).poll_read(context, target);
        if let Poll::Ready(Ok(count)) = &read {
            state.handed_on(*count);
        }
        read
    }
}

/// async-h1 writes `100 Continue` through the reading side.
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
