//! One connection and what has arrived on it.

use std::future::poll_fn;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;

use async_io::Async;
use derive_more::{Display, Error, From};
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};

use super::head::{Parsed, RequestHead, ResponseHead, parse_request, parse_response};

/// Bytes read at once.
const READ_BYTES: usize = 16 << 10;

/// Why a head could not be read.
#[derive(Debug, Display, Error, From)]
pub enum HeadError {
    /// The connection failed or ended within the head.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The other side closed before it sent anything.
    #[display("closed")]
    #[from(skip)]
    Closed,
    /// The head is no HTTP/1.
    #[display("malformed: {_0}")]
    Malformed(httparse::Error),
    /// The head is longer than is taken.
    #[display("the head is too long")]
    #[from(skip)]
    TooLong,
}

/// What the other side of a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Presence {
    /// It closed the connection or broke it off.
    Gone,
    /// It sent something that was not read yet.
    Sent,
    /// Neither.
    Quiet,
}

/// A connection, with the bytes that have arrived and were not taken yet.
#[derive(Debug)]
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    start: usize,
}

/// Writes all of `bytes`, also while a connection over the same socket reads.
///
/// # Errors
/// When the connection fails.
pub async fn write(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

impl Connection {
    /// A connection on which nothing was read yet.
    #[must_use]
    pub fn new(stream: Async<TcpStream>) -> Self {
        Self {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            start: 0,
        }
    }

    /// The socket, for writing while this reads.
    #[must_use]
    pub fn clone_stream(&self) -> Rc<Async<TcpStream>> {
        self.stream.clone()
    }

    /// Bytes that have arrived and were not taken.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Takes the first `count` of the bytes that have arrived.
    pub(super) fn take(&mut self, count: usize) -> Vec<u8> {
        let taken = self.buffer[self.start..self.start + count].to_vec();
        self.start += count;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
        taken
    }

    /// Waits for more bytes; 0 at the end of the connection.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        let mut piece = [0; READ_BYTES];
        let count = (&*self.stream).read(&mut piece).await?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Waits until bytes have arrived; `false` when the connection ended
    /// before.
    pub async fn wait_for_bytes(&mut self) -> bool {
        !self.buffered().is_empty() || self.fill().await.is_ok_and(|count| count > 0)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    /// When the connection fails.
    pub async fn write(&self, bytes: &[u8]) -> io::Result<()> {
        write(&self.stream, bytes).await
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    /// When there is none, or it is broken or longer than `limit` bytes.
    pub async fn request_head(&mut self, limit: usize) -> Result<RequestHead, HeadError> {
        self.head(limit, parse_request).await
    }

    /// Reads the head of the next answer.
    ///
    /// # Errors
    /// When there is none, or it is broken or longer than `limit` bytes.
    pub async fn response_head(&mut self, limit: usize) -> Result<ResponseHead, HeadError> {
        self.head(limit, parse_response).await
    }

    async fn head<H>(
        &mut self,
        limit: usize,
        parse: fn(&[u8]) -> Result<Parsed<H>, httparse::Error>,
    ) -> Result<H, HeadError> {
        loop {
            if let Some((head, length)) = parse(self.buffered())? {
                if length > limit {
                    return Err(HeadError::TooLong);
                }
                self.take(length);
                return Ok(head);
            }
            if self.buffered().len() > limit {
                return Err(HeadError::TooLong);
            }
            if self.fill().await? == 0 {
                if self.buffered().is_empty() {
                    return Err(HeadError::Closed);
                }
                return Err(HeadError::Io(io::ErrorKind::UnexpectedEof.into()));
            }
        }
    }

    /// Reads and drops what arrives until the connection ends.
    pub async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            self.start = 0;
            if !self.fill().await.is_ok_and(|count| count > 0) {
                return;
            }
        }
    }

    /// What the other side does just now, without waiting.
    pub async fn presence(&self) -> Presence {
        if !self.buffered().is_empty() {
            return Presence::Sent;
        }
        let mut byte = [0; 1];
        match future::poll_once(self.stream.peek(&mut byte)).await {
            None => Presence::Quiet,
            Some(Ok(0) | Err(_)) => Presence::Gone,
            Some(Ok(_)) => Presence::Sent,
        }
    }

    /// Waits until the other side has closed or broken off. What it sends
    /// meanwhile stays unread, and hides a close behind it.
    pub async fn gone(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => poll_fn(|_| std::task::Poll::<()>::Pending).await,
        }
    }
}
