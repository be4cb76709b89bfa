//! A response with a body that is checked for completeness.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use async_io::Timer;
use futures_lite::FutureExt;
use futures_lite::io::{AsyncBufRead, AsyncRead, AsyncReadExt};
use http_types::{Body, Response, StatusCode};
use serde::de::DeserializeOwned;

use super::connection::ClientConnection;
use super::error::BodyError;
use crate::body::{BodyReader, LengthChecked};
use crate::buffered::poll_read_buffered;
use crate::events::EventStream;
use crate::source::Source;

/// A response whose head has arrived. Dropping it before its body was read to the
/// end closes the connection.
#[derive(Debug)]
pub struct ClientResponse {
    head: Response,
    body: CheckedBody,
}

impl ClientResponse {
    pub(crate) fn new(head: Response, body: CheckedBody) -> Self {
        Self { head, body }
    }

    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.head.status()
    }

    /// Returns the last value of a header.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let values = self.head.header(name)?;
        Some(values.last().as_str())
    }

    /// Returns the head, with an empty body.
    #[must_use]
    pub fn head(&self) -> &Response {
        &self.head
    }

    /// Reads the complete body of at most `limit` bytes.
    ///
    /// # Errors
    /// When the body is cut short, stalls, is malformed or too long.
    pub async fn bytes(self, limit: usize) -> Result<Vec<u8>, BodyError> {
        // Read one byte beyond the limit to detect a body that is too long.
        let mut reader = self.body.take(limit as u64 + 1);
        let mut bytes = Vec::new();
        reader.read_to_end(&mut bytes).await?;
        if bytes.len() > limit {
            return Err(BodyError::TooLong { limit });
        }
        Ok(bytes)
    }

    /// Reads the complete body of at most `limit` bytes as JSON.
    ///
    /// # Errors
    /// As [`ClientResponse::bytes`], and when the body is not the expected JSON.
    pub async fn json<T: DeserializeOwned>(self, limit: usize) -> Result<T, BodyError> {
        let bytes = self.bytes(limit).await?;
        serde_json::from_slice(&bytes).map_err(|error| BodyError::Json(error.to_string()))
    }

    /// Reads the body as server-sent events.
    #[must_use]
    pub fn events(self) -> EventStream {
        EventStream::new(Box::new(self.body))
    }

    /// Returns the response with its body, to be forwarded. Reading the body fails
    /// with an I/O error if it is cut short.
    #[must_use]
    pub fn into_response(self) -> Response {
        let mut response = self.head;
        let length = self.body.length;
        // `set_body` adds a content type; remove it if the peer sent none.
        let content_type = response.header("content-type").cloned();
        response.set_body(Body::from_reader(self.body, length));
        if content_type.is_none() {
            response.remove_header("content-type");
        }
        response
    }
}

/// The body of a response. Its connection returns to the pool at the end of a
/// complete body, and is closed in every other case.
pub(crate) struct CheckedBody {
    reader: LengthChecked,
    length: Option<usize>,
    source: Source,
    connection: Option<ClientConnection>,
    /// Whether the peer keeps the connection open after this response.
    reusable: bool,
    stall_limit: Duration,
    stall_timer: Option<Timer>,
    finished: bool,
}

impl std::fmt::Debug for CheckedBody {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("CheckedBody")
            .field("length", &self.length)
            .field("finished", &self.finished)
            .finish_non_exhaustive()
    }
}

impl CheckedBody {
    pub(crate) fn new(
        reader: BodyReader,
        length: Option<usize>,
        source: Source,
        connection: ClientConnection,
        reusable: bool,
        stall_limit: Duration,
    ) -> Self {
        Self {
            reader: LengthChecked::new(reader, length),
            length,
            source,
            connection: Some(connection),
            reusable,
            stall_limit,
            stall_timer: None,
            finished: false,
        }
    }

    /// Handles the end of a complete body.
    fn finish(&mut self) {
        if std::mem::replace(&mut self.finished, true) {
            return;
        }
        let Some(connection) = self.connection.take() else {
            return;
        };
        // Unsolicited bytes would be read as the next response.
        if self.reusable && !self.source.has_leftover() {
            connection.release();
        }
    }

    /// Completes with an error when no byte arrived within the stall limit.
    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let limit = self.stall_limit;
        let timer = self.stall_timer.get_or_insert_with(|| Timer::after(limit));
        ready!(timer.poll(context));
        Poll::Ready(io::ErrorKind::TimedOut.into())
    }
}

impl AsyncBufRead for CheckedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.finished {
            return Poll::Ready(Ok(&[]));
        }
        // The borrow of a returned buffer would last for the whole function, so
        // this only checks readiness and the buffer is fetched again below.
        let at_end = match Pin::new(&mut this.reader).poll_fill_buf(context) {
            Poll::Ready(Ok(bytes)) => bytes.is_empty(),
            Poll::Ready(Err(error)) => {
                this.connection = None;
                return Poll::Ready(Err(error));
            }
            Poll::Pending => {
                let error = ready!(this.poll_stalled(context));
                this.connection = None;
                return Poll::Ready(Err(error));
            }
        };
        this.stall_timer = None;
        if at_end {
            this.finish();
            return Poll::Ready(Ok(&[]));
        }
        Pin::new(&mut this.reader).poll_fill_buf(context)
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        Pin::new(&mut self.reader).consume(amount);
    }
}

impl AsyncRead for CheckedBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, target)
    }
}
