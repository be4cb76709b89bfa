//! Writes server-sent events to a response.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use async_channel::{Receiver, Sender};
use derive_more::{Display, Error};
use futures_lite::Stream;
use futures_lite::io::{AsyncBufRead, AsyncRead};
use http_types::{Body, Response, StatusCode};

use super::ServerEvent;
use crate::buffered::poll_read_buffered;

/// Media type of server-sent events.
const EVENT_STREAM: &str = "text/event-stream";

/// The client is gone or its response was cut short.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
#[display("the client is gone")]
pub struct StreamClosed;

/// An item of a streamed body.
enum StreamItem {
    Bytes(Vec<u8>),
    End,
}

/// Writer of a streamed response.
///
/// Dropping it without [`EventWriter::finish`] aborts the response, so that the
/// client detects that it is incomplete.
#[derive(Debug)]
pub struct EventWriter(Sender<StreamItem>);

impl EventWriter {
    /// Sends an event, waiting while the client is slower than the writer.
    ///
    /// # Errors
    /// When the client is gone.
    pub async fn send(&self, event: &ServerEvent) -> Result<(), StreamClosed> {
        self.send_bytes(event.encode()).await
    }

    /// Sends raw bytes, waiting while the client is slower than the writer.
    ///
    /// # Errors
    /// When the client is gone.
    pub async fn send_bytes(&self, bytes: Vec<u8>) -> Result<(), StreamClosed> {
        if bytes.is_empty() {
            return Ok(());
        }
        let sent = self.0.send(StreamItem::Bytes(bytes)).await;
        sent.map_err(|_| StreamClosed)
    }

    /// Sends an event if the queue has room for it, without waiting; returns whether
    /// it was queued.
    ///
    /// # Errors
    /// When the client is gone.
    pub fn try_send(&self, event: &ServerEvent) -> Result<bool, StreamClosed> {
        match self.0.try_send(StreamItem::Bytes(event.encode())) {
            Ok(()) => Ok(true),
            Err(async_channel::TrySendError::Full(_)) => Ok(false),
            Err(async_channel::TrySendError::Closed(_)) => Err(StreamClosed),
        }
    }

    /// Completes the response.
    ///
    /// # Errors
    /// When the client is gone.
    pub async fn finish(self) -> Result<(), StreamClosed> {
        self.0.send(StreamItem::End).await.map_err(|_| StreamClosed)
    }

    /// Sends the `[DONE]` event and completes the response.
    ///
    /// # Errors
    /// When the client is gone.
    pub async fn finish_with_terminator(self) -> Result<(), StreamClosed> {
        self.send(&ServerEvent::data(ServerEvent::DONE)).await?;
        self.finish().await
    }

    /// Completes once the client is gone.
    pub async fn closed(&self) {
        self.0.closed().await;
    }

    /// Whether the client is gone.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.0.is_closed()
    }
}

/// Creates a response that streams the events written to the returned writer. The
/// queue between them holds at most `capacity` items.
#[must_use]
pub fn event_response(capacity: usize) -> (EventWriter, Response) {
    let (sender, receiver) = async_channel::bounded(capacity.max(1));
    let reader = StreamBody {
        receiver: Box::pin(receiver),
        current: Vec::new(),
        consumed: 0,
        ended: false,
    };
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_reader(reader, None));
    response.insert_header("content-type", EVENT_STREAM);
    response.insert_header("cache-control", "no-cache");
    (EventWriter(sender), response)
}

/// The response body, which reads from the queue.
struct StreamBody {
    receiver: Pin<Box<Receiver<StreamItem>>>,
    current: Vec<u8>,
    consumed: usize,
    ended: bool,
}

impl AsyncBufRead for StreamBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        while this.consumed == this.current.len() && !this.ended {
            match ready!(this.receiver.as_mut().poll_next(context)) {
                Some(StreamItem::Bytes(bytes)) => {
                    this.current = bytes;
                    this.consumed = 0;
                }
                Some(StreamItem::End) => this.ended = true,
                None => return Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into())),
            }
        }
        Poll::Ready(Ok(&this.current[this.consumed..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.consumed += amount;
    }
}

impl AsyncRead for StreamBody {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        poll_read_buffered(self, context, target)
    }
}
