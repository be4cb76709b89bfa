//! Reads server-sent events out of a response.

use std::io;

use derive_more::{Display, Error, From};
use futures_lite::io::{AsyncBufReadExt, AsyncReadExt};

use super::ServerEvent;
use crate::body::BodyReader;
use crate::client::BodyError;

/// Longest line of an event in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Why a stream of events ended early.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum EventError {
    /// The body ended without the `[DONE]` event.
    #[display("the stream ended without its terminator")]
    #[from(skip)]
    NoTerminator,
    /// A line is too long or not text.
    #[display("malformed event")]
    #[from(skip)]
    Malformed,
    /// The body could not be read.
    Body(BodyError),
}

/// The events of one response, up to the `[DONE]` event.
pub struct EventStream {
    reader: BodyReader,
    done: bool,
}

impl std::fmt::Debug for EventStream {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("EventStream")
            .field("done", &self.done)
            .finish_non_exhaustive()
    }
}

impl EventStream {
    pub(crate) fn new(reader: BodyReader) -> Self {
        Self {
            reader,
            done: false,
        }
    }

    /// The next event, or `None` behind the terminator, once the body ended
    /// whole. The terminator itself is not returned.
    ///
    /// # Errors
    /// When the stream ends without its terminator, stalls or is malformed.
    /// The stream is of no use then.
    pub async fn next(&mut self) -> Result<Option<ServerEvent>, EventError> {
        match self.next_raw().await? {
            _ if self.done => Ok(None),
            Some(event) if event.is_done() => {
                self.done = true;
                self.expect_end().await?;
                Ok(None)
            }
            Some(event) => Ok(Some(event)),
            None => Err(EventError::NoTerminator),
        }
    }

    /// The next event as it is, or `None` at the end of a whole body: for
    /// streams that have no terminator, such as a watch.
    ///
    /// # Errors
    /// When the body is cut short, stalls or is malformed.
    pub async fn next_raw(&mut self) -> Result<Option<ServerEvent>, EventError> {
        let mut event = ServerEvent::default();
        let mut lines_of_data = 0;
        loop {
            let Some(line) = self.line().await? else {
                return Ok(None);
            };
            if line.is_empty() {
                if lines_of_data > 0 {
                    return Ok(Some(event));
                }
                event = ServerEvent::default();
                continue;
            }
            let (field, value) = line.split_once(':').unwrap_or((&line, ""));
            let value = value.strip_prefix(' ').unwrap_or(value);
            match field {
                "data" => {
                    if lines_of_data > 0 {
                        event.data.push('\n');
                    }
                    event.data.push_str(value);
                    lines_of_data += 1;
                }
                "event" => value.clone_into(&mut event.name),
                "id" => value.clone_into(&mut event.id),
                // Comments, which keep a silent stream alive, and unknown fields.
                _ => {}
            }
        }
    }

    /// One line without its end, or `None` at the end of the body.
    async fn line(&mut self) -> Result<Option<String>, EventError> {
        let mut bytes = Vec::new();
        let read = (&mut self.reader)
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut bytes)
            .await
            .map_err(BodyError::from)?;
        if read == 0 {
            return Ok(None);
        }
        if bytes.pop() != Some(b'\n') {
            return Err(EventError::Malformed);
        }
        if bytes.last() == Some(&b'\r') {
            bytes.pop();
        }
        String::from_utf8(bytes)
            .map(Some)
            .map_err(|_| EventError::Malformed)
    }

    /// Reads to the end of the body, which frees the connection for reuse.
    async fn expect_end(&mut self) -> Result<(), EventError> {
        let rest = self.reader.fill_buf().await;
        match rest {
            Ok([]) => Ok(()),
            Ok(_) => Err(EventError::Malformed),
            Err(error) => Err(body_error(error)),
        }
    }
}

/// A failed read as an event error.
fn body_error(error: io::Error) -> EventError {
    EventError::Body(BodyError::from(error))
}
