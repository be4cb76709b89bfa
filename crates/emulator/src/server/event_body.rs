//! The body of a streamed response, as server-sent events.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use async_channel::Receiver;
use futures_lite::{AsyncBufRead, AsyncRead, Stream, ready};
use molespan_engine_api::{CompletionChunk, FinishReason, Usage};
use molespan_types::RunOutcome;

use crate::engine::{Answer, AnswerText};

/// Final event of a stream.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// Progress of an attempt, as reported to one subscriber.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Total number of tokens generated so far.
    Generated(u32),
    /// The attempt ended.
    Ended(StreamEnd),
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamEnd {
    /// The whole answer was generated.
    Completed(Usage),
    /// The attempt was cancelled; the stream is aborted.
    Cancelled(RunOutcome),
}

/// Faults injected into a stream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StreamFaults {
    /// Reset the connection before the event at this token offset.
    pub break_before: Option<u32>,
    /// Send the event at this token offset twice.
    pub repeat: Option<u32>,
}

/// Response body that sends each token as an event once it is generated.
pub struct EventBody {
    attempt: String,
    text: AnswerText,
    total: u32,
    events: Pin<Box<Receiver<StreamEvent>>>,
    next_offset: u32,
    generated: u32,
    end: Option<StreamEnd>,
    finished: bool,
    faults: StreamFaults,
    buffer: Vec<u8>,
    position: usize,
}

impl EventBody {
    /// Creates a body that streams `answer`, starting at token `offset`.
    #[must_use]
    pub fn new(
        answer: &Answer,
        offset: u32,
        events: Receiver<StreamEvent>,
        faults: StreamFaults,
    ) -> Self {
        Self {
            attempt: answer.status.id.clone(),
            text: answer.text,
            total: answer.max_tokens,
            events: Box::pin(events),
            next_offset: offset,
            generated: offset,
            end: None,
            finished: false,
            faults,
            buffer: Vec::new(),
            position: 0,
        }
    }

    /// Writes the pending events to the buffer. The last token is held until the
    /// attempt ends, since its event carries the usage; the engine reports both
    /// in the same step.
    fn fill(&mut self) -> io::Result<()> {
        self.buffer.clear();
        self.position = 0;
        while self.next_offset < self.generated {
            let is_last = self.next_offset + 1 == self.total;
            if is_last && self.end.is_none() {
                break;
            }
            self.write_token(is_last)?;
        }
        if self.end.is_some() {
            self.buffer.extend_from_slice(DONE);
            self.finished = true;
        }
        Ok(())
    }

    fn write_token(&mut self, is_last: bool) -> io::Result<()> {
        if self.faults.break_before == Some(self.next_offset) {
            return Err(io::Error::from(io::ErrorKind::ConnectionReset));
        }
        let usage = match self.end {
            Some(StreamEnd::Completed(usage)) if is_last => Some(usage),
            _ => None,
        };
        let chunk = CompletionChunk {
            id: self.attempt.clone(),
            offset: self.next_offset,
            text: self.text.token(self.next_offset),
            finish_reason: usage.map(|_| FinishReason::Length),
            usage,
        };
        let copies = match self.faults.repeat == Some(self.next_offset) {
            true => 2,
            false => 1,
        };
        for _ in 0..copies {
            self.buffer.extend_from_slice(b"data: ");
            serde_json::to_writer(&mut self.buffer, &chunk)?;
            self.buffer.extend_from_slice(b"\n\n");
        }
        self.next_offset += 1;
        Ok(())
    }

    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match ready!(self.events.as_mut().poll_next(context)) {
            Some(StreamEvent::Generated(count)) => self.generated = self.generated.max(count),
            Some(StreamEvent::Ended(end)) => {
                if let StreamEnd::Completed(usage) = end {
                    self.generated = usage.completion_tokens;
                }
                self.end = Some(end);
            }
            // The sender was dropped because the engine crashed.
            None => return Poll::Ready(Err(io::Error::from(io::ErrorKind::ConnectionReset))),
        }
        if let Some(StreamEnd::Cancelled(_)) = self.end {
            return Poll::Ready(Err(io::Error::from(io::ErrorKind::ConnectionAborted)));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncBufRead for EventBody {
    fn poll_fill_buf(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<&[u8]>> {
        while self.position >= self.buffer.len() && !self.finished {
            ready!(self.poll_event(context))?;
            self.fill()?;
        }
        let this = self.get_mut();
        Poll::Ready(Ok(&this.buffer[this.position..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.position = (self.position + amount).min(self.buffer.len());
    }
}

impl AsyncRead for EventBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(buffer.len());
        buffer[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
