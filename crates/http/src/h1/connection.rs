//! A connection with its read buffer.

use std::future::poll_fn;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use derive_more::{Display, Error, From};
use futures_lite::future;
use futures_lite::io::{AsyncReadExt, AsyncWriteExt};
use socket2::SockRef;

use super::head::{Parsed, RequestHead, ResponseHead, parse_request, parse_response};

/// Size of a read from the socket in bytes.
const READ_BYTES: usize = 16 << 10;
/// Number of reads in a row that find bytes waiting after which other tasks run. A peer that
/// sends without end would otherwise keep the reader from its time limits, and all other work
/// from the thread.
const READS_PER_TURN: u32 = 16;

/// Why a head could not be read.
#[derive(Debug, Display, Error, From)]
pub enum HeadError {
    /// The connection failed or ended within the head.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The peer closed the connection before the first byte.
    #[display("closed")]
    #[from(skip)]
    Closed,
    /// The head is not valid HTTP/1.
    #[display("malformed: {_0}")]
    Malformed(httparse::Error),
    /// The head exceeds the limit.
    #[display("the head is too long")]
    #[from(skip)]
    TooLong,
}

/// State of the peer of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerState {
    /// The peer closed or reset the connection.
    Closed,
    /// The peer sent bytes that were not read yet.
    HasSentBytes,
    /// The peer is connected and sent nothing.
    Idle,
}

/// A connection with the bytes that were received but not consumed yet.
#[derive(Debug)]
pub struct Connection {
    stream: Rc<Async<TcpStream>>,
    buffer: Vec<u8>,
    start: usize,
    /// Number of reads in a row that found bytes waiting.
    reads_in_turn: u32,
}

/// Writes all of `bytes`. Can run while a [`Connection`] reads from the same socket.
///
/// # Errors
/// When the connection fails.
pub async fn write(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

impl Connection {
    /// Creates a connection from a socket that was not read from yet.
    #[must_use]
    pub fn new(stream: Async<TcpStream>) -> Self {
        Self {
            stream: Rc::new(stream),
            buffer: Vec::new(),
            start: 0,
            reads_in_turn: 0,
        }
    }

    /// Returns the socket, for writing while the connection reads.
    #[must_use]
    pub fn clone_stream(&self) -> Rc<Async<TcpStream>> {
        self.stream.clone()
    }

    /// Returns the received bytes that were not consumed yet.
    #[must_use]
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    /// Consumes and returns the first `count` received bytes.
    pub(super) fn take(&mut self, count: usize) -> Vec<u8> {
        let taken = self.buffer[self.start..self.start + count].to_vec();
        self.start += count;
        if self.start == self.buffer.len() {
            self.buffer.clear();
            self.start = 0;
        }
        taken
    }

    /// Waits for more bytes and returns their number, 0 at the end of the connection.
    pub(super) async fn fill(&mut self) -> io::Result<usize> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        // Before the read: a caller that gives up meanwhile must not lose bytes.
        self.end_turn_if_due().await;
        let mut piece = [0; READ_BYTES];
        let stream = self.stream.clone();
        let mut stream = &*stream;
        let mut reading = stream.read(&mut piece);
        let count = match future::poll_once(&mut reading).await {
            Some(count) => {
                self.reads_in_turn += 1;
                count?
            }
            None => {
                self.reads_in_turn = 0;
                reading.await?
            }
        };
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    /// Lets other tasks run after many reads that found bytes waiting.
    async fn end_turn_if_due(&mut self) {
        if self.reads_in_turn >= READS_PER_TURN {
            self.reads_in_turn = 0;
            future::yield_now().await;
        }
    }

    /// Waits until there are received bytes; returns `false` when the connection ended
    /// first.
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

    /// Whether the connection is reset when it is closed, also by the end of the process: its
    /// peer then knows that what it got is not whole.
    ///
    /// # Errors
    /// When the connection has failed already.
    pub fn reset_on_close(&self, reset: bool) -> io::Result<()> {
        let linger = reset.then_some(Duration::ZERO);
        SockRef::from(self.stream.get_ref()).set_linger(linger)
    }

    /// Reads the head of the next request.
    ///
    /// # Errors
    /// When there is none, or it is malformed or longer than `limit` bytes.
    pub async fn request_head(&mut self, limit: usize) -> Result<RequestHead, HeadError> {
        self.head(limit, parse_request).await
    }

    /// Reads the head of the next response.
    ///
    /// # Errors
    /// When there is none, or it is malformed or longer than `limit` bytes.
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

    /// Reads and discards bytes until the connection ends.
    pub async fn discard(&mut self) {
        loop {
            self.buffer.clear();
            self.start = 0;
            if !self.fill().await.is_ok_and(|count| count > 0) {
                return;
            }
        }
    }

    /// Returns the current state of the peer, without waiting.
    pub async fn presence(&self) -> PeerState {
        if !self.buffered().is_empty() {
            return PeerState::HasSentBytes;
        }
        let mut byte = [0; 1];
        match future::poll_once(self.stream.peek(&mut byte)).await {
            None => PeerState::Idle,
            Some(Ok(0) | Err(_)) => PeerState::Closed,
            Some(Ok(_)) => PeerState::HasSentBytes,
        }
    }

    /// Waits until the peer closes or resets the connection. Bytes that it sends
    /// meanwhile stay unread, and a close after them is not detected.
    pub async fn gone(&self) {
        let mut byte = [0; 1];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => poll_fn(|_| std::task::Poll::<()>::Pending).await,
        }
    }
}
