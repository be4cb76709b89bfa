//! Bodies piece by piece.

use std::io;

use derive_more::{Display, Error, From};

use super::connection::Connection;
use super::head::{Headers, RequestHead, ResponseHead};

/// Longest line that gives the size of a chunk, or of a trailer.
const MAX_LINE_BYTES: usize = 4096;
/// Ends a body in chunks.
pub const LAST_CHUNK: &[u8] = b"0\r\n\r\n";

/// How the end of a body is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is none.
    Empty,
    /// It has so many bytes.
    Length(u64),
    /// Each piece says how long it is.
    Chunked,
    /// It ends with its connection.
    UntilClose,
}

/// Why a body could not be read to its end.
#[derive(Debug, Display, Error, From)]
pub enum BodyError {
    /// The connection failed.
    #[display("connection failed: {_0}")]
    Io(io::Error),
    /// The connection ended before the body.
    #[display("the body ends early")]
    #[from(skip)]
    CutShort,
    /// The framing is broken.
    #[display("the body's framing is broken")]
    #[from(skip)]
    Framing,
    /// It is longer than is taken.
    #[display("the body is too long")]
    #[from(skip)]
    TooLong,
}

impl Framing {
    /// Of a request's body; `None` when its headers contradict one another.
    #[must_use]
    pub fn of_request(head: &RequestHead) -> Option<Self> {
        match declared(&head.headers)? {
            Framing::UntilClose => Some(Framing::Empty),
            framing => Some(framing),
        }
    }

    /// Of the body of an answer to a request of `method`; `None` when its
    /// headers contradict one another.
    #[must_use]
    pub fn of_response(head: &ResponseHead, method: &str) -> Option<Self> {
        let bodiless = method == "HEAD" || matches!(head.status, 100..=199 | 204 | 304);
        if bodiless {
            return Some(Framing::Empty);
        }
        declared(&head.headers)
    }
}

/// What the headers say; `UntilClose` when they say nothing.
fn declared(headers: &Headers) -> Option<Framing> {
    let length = headers.get("content-length");
    if headers.get("transfer-encoding").is_some() {
        let chunked = headers.has_word("transfer-encoding", "chunked");
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

/// Reads one body from a connection.
#[derive(Debug)]
pub struct BodyReader {
    framing: Framing,
    /// Bytes left of the body or of the chunk that is being read.
    left: u64,
    ended: bool,
    /// Whether a chunk was read whose line end is still to come.
    within_chunks: bool,
}

impl BodyReader {
    /// A reader of a body with this framing.
    #[must_use]
    pub fn new(framing: Framing) -> Self {
        let left = match framing {
            Framing::Length(length) => length,
            _ => 0,
        };
        let ended = matches!(framing, Framing::Empty | Framing::Length(0));
        Self {
            framing,
            left,
            ended,
            within_chunks: false,
        }
    }

    /// Whether the whole body was read.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// The next bytes; `None` at the end.
    ///
    /// # Errors
    /// When the connection fails or ends early, or the framing is broken.
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
                let piece = self.piece(connection).await?;
                self.ended = self.left == 0;
                Ok(Some(piece))
            }
            Framing::Chunked => self.next_of_chunks(connection).await,
            Framing::UntilClose => self.next_until_close(connection).await,
        }
    }

    /// Bytes that have arrived, as far as they are of this body or chunk.
    async fn piece(&mut self, connection: &mut Connection) -> Result<Vec<u8>, BodyError> {
        if connection.buffered().is_empty() && connection.fill().await? == 0 {
            return Err(BodyError::CutShort);
        }
        let have = connection.buffered().len() as u64;
        let count = have.min(self.left);
        self.left -= count;
        Ok(connection.take(count as usize))
    }

    async fn next_of_chunks(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, BodyError> {
        if self.left == 0 {
            if self.within_chunks && !line(connection).await?.is_empty() {
                return Err(BodyError::Framing);
            }
            self.within_chunks = true;
            self.left = chunk_size(&line(connection).await?)?;
            if self.left == 0 {
                while !line(connection).await?.is_empty() {}
                self.ended = true;
                return Ok(None);
            }
        }
        self.piece(connection).await.map(Some)
    }

    async fn next_until_close(
        &mut self,
        connection: &mut Connection,
    ) -> Result<Option<Vec<u8>>, BodyError> {
        if connection.buffered().is_empty() && connection.fill().await? == 0 {
            self.ended = true;
            return Ok(None);
        }
        let have = connection.buffered().len();
        Ok(Some(connection.take(have)))
    }

    /// The whole rest of the body, of at most `limit` bytes.
    ///
    /// # Errors
    /// When it cannot be read to its end, or is longer.
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

/// A line without its end.
async fn line(connection: &mut Connection) -> Result<Vec<u8>, BodyError> {
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

fn chunk_size(line: &[u8]) -> Result<u64, BodyError> {
    let digits = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits.trim_ascii()).map_err(|_| BodyError::Framing)?;
    if text.is_empty() || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return Err(BodyError::Framing);
    }
    u64::from_str_radix(text, 16).map_err(|_| BodyError::Framing)
}

/// A piece of a body in chunks.
#[must_use]
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut chunk = format!("{:x}\r\n", bytes.len()).into_bytes();
    chunk.extend_from_slice(bytes);
    chunk.extend_from_slice(b"\r\n");
    chunk
}
