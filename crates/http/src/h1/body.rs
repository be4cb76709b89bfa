//! Incremental reading of bodies.

use std::io;

use derive_more::{Display, Error, From};

use super::connection::Connection;
use super::head::{Headers, RequestHead, ResponseHead};

/// Maximum length in bytes of a line with a chunk size or a trailer.
const MAX_LINE_BYTES: usize = 4096;
/// The terminator of a chunked body.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body consists of chunks with their lengths.
    Chunked,
    /// The body ends when the connection is closed.
    UntilClose,
}

/// Why a body could not be read completely.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The connection ended before the end of the body.
    #[display("the body ends early")]
    #[from(skip)]
    CutShort,
    /// The framing is invalid.
    #[display("the body's framing is broken")]
    #[from(skip)]
    Framing,
    /// The body exceeds the limit.
    #[display("the body is too long")]
    #[from(skip)]
    TooLong,
}

impl Framing {
    /// Returns the framing of the body of a request, or `None` when the headers are
    /// invalid or contradictory.
    #[must_use]
    pub fn of_request(head: &RequestHead) -> Option<Self> {
        match declared_framing(&head.headers)? {
            Framing::UntilClose => Some(Framing::Empty),
            framing => Some(framing),
        }
    }

    /// Returns the framing of the body of a response to a request with `method`, or
    /// `None` when the headers are invalid or contradictory.
    #[must_use]
    pub fn of_response(head: &ResponseHead, method: &str) -> Option<Self> {
        let bodiless = method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if bodiless {
            return Some(Framing::Empty);
        }
        declared_framing(&head.headers)
    }
}

/// Returns the framing declared by the headers, `UntilClose` when they declare none,
/// or `None` when they are invalid or contradictory.
fn declared_framing(headers: &Headers) -> Option<Framing> {
    let length = headers.get("content-length");
    if headers.get("transfer-encoding").is_some() {
        let chunked = headers.has_token("transfer-encoding", "chunked");
        return (chunked && length.is_none()).then_some(Framing::Chunked);
    }
    let lengths = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    match lengths.count() {
        0 => Some(Framing::UntilClose),
        1 => {
            let text = headers.text("content-length")?;
            let digits = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
            let length = text.parse().ok().filter(|_| digits)?;
            Some(Framing::Length(length))
        }
        _ => None,
    }
}

/// Reads a body from a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    /// Remaining bytes of the body or of the current chunk.
    remaining: u64,
    ended: bool,
    /// Whether a chunk was started, so that its line ending must be read before the next
    /// chunk.
    chunk_started: bool,
}

impl BodyReader {
    /// Creates a reader of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let remaining = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        let ended = matches!(framing, Framing::Empty | Framing::Length(0));
        Self {
            framing,
            remaining,
            ended,
            chunk_started: false,
        }
    }

    /// Whether the body was read to its end.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the next bytes, or `None` at the end of the body.
    ///
    /// # Errors
    /// When the connection fails or ends early, or the framing is invalid.
    pub async fn next(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, BodyError> {
        if self.ended {
            return Ok(None);
        }
        match self.framing {
            Framing::Empty => Ok(None),
            Framing::Length(_) => {
                let piece = self.take_available(connection).await?;
                self.ended = self.remaining == 0;
                Ok(Some(piece))
            }
            Framing::Chunked => self.next_chunked(connection).await,
            Framing::UntilClose => self.next_until_close(connection).await,
        }
    }

    /// Takes the received bytes that belong to this body or chunk, waiting if there are
    /// none.
    async fn take_available(&mut self, connection: &mut Connection) -> Result<Vec<u8>, BodyError> {
        if connection.buffered().is_empty() && connection.fill().await? == 0 {
            return Err(BodyError::CutShort);
        }
        let available = connection.buffered().len() as u64;
        let count = available.min(self.remaining);
        self.remaining -= count;
        Ok(connection.take(count as usize))
    }

    async fn next_chunked(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, BodyError> {
        if self.remaining == 0 {
            if self.chunk_started && !read_line(connection).await?.is_empty() {
                return Err(BodyError::Framing);
            }
            self.chunk_started = true;
            self.remaining = parse_chunk_size(&read_line(connection).await?)?;
            if self.remaining == 0 {
                while !read_line(connection).await?.is_empty() {}
                self.ended = true;
                return Ok(None);
            }
        }
        self.take_available(connection).await.map(Some)
    }

    async fn next_until_close(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, BodyError> {
        if connection.buffered().is_empty() && connection.fill().await? == 0 {
            self.ended = true;
            return Ok(None);
        }
        let available = connection.buffered().len();
        Ok(Some(connection.take(available)))
    }

    /// Reads the rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    /// When the body cannot be read completely or is longer than `limit`.
    pub async fn collect(
        &mut self,
        connection: &mut Connection,
        limit: u64,
    ) -> Result<Vec<u8>, BodyError> {
        if let Framing::Length(length) = self.framing
            && length > limit
        {
            return Err(BodyError::TooLong);
        }
        let mut body = Vec::new();
        while let Some(piece) = self.next(connection).await? {
            body.extend_from_slice(&piece);
            if body.len() as u64 > limit {
                return Err(BodyError::TooLong);
            }
        }
        Ok(body)
    }
}

/// Reads a line without its line ending.
async fn read_line(connection: &mut Connection) -> Result<Vec<u8>, BodyError> {
    loop {
        let buffered = connection.buffered();
        if let Some(end) = buffered.iter().position(|byte| *byte == b'\n') {
            let mut line = connection.take(end + 1);
            line.pop();
            if line.last() == Some(&b'\r') {
                line.pop();
            }
            return Ok(line);
        }
        if buffered.len() > MAX_LINE_BYTES {
            return Err(BodyError::Framing);
        }
        if connection.fill().await? == 0 {
            return Err(BodyError::CutShort);
        }
    }
}

fn parse_chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| BodyError::Framing)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(BodyError::Framing);
    }
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Framing)
}

/// Encodes `bytes` as one chunk of a chunked body.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
