//! Reads server-sent events from a response.

use std::io;

use derive_more::{Display, Error, From};
use futures_lite::io::{AsyncBufReadExt, AsyncReadExt};

use super::ServerEvent;
use crate::body::BodyReader;
use crate::client::BodyError;

/// Maximum length of a line of an event in bytes.
const MAX_LINE_BYTES: u64 = 1024 * 1024;

/// Why a stream of events ended early.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, From)]
pub enum EventError {
    /// The body ended without the `[DONE]` event.
    #[display("the stream ended without its terminator")]
    #[from(skip)]
    NoTerminator,
    /// A line is too long or not valid UTF-8, or data follows the terminator.
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

    /// Returns the next event, or `None` after the terminator, once the body has
    /// ended completely. The terminator itself is not returned.
    ///
    /// # Errors
    /// When the stream ends without its terminator, stalls or is malformed.
    /// The stream must not be read further then.
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

    /// Returns the next event, including a terminator, or `None` at the end of a
    /// complete body. Used for streams without a terminator, such as a watch.
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
                // Comments, which keep an idle stream alive, and unknown fields.
                _ => {}
            }
        }
    }

    /// Reads a line without its line ending, or returns `None` at the end of the body.
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

    /// Checks that the body ends here, which releases the connection for reuse.
    async fn expect_end(&mut self) -> Result<(), EventError> {
        let rest = self.reader.fill_buf().await;
        match rest {
            Ok([]) => Ok(()),
            Ok(_) => Err(EventError::Malformed),
            Err(error) => Err(body_error(error)),
        }
    }
}

/// Converts the error of a read to an event error.
fn body_error(error: io::Error) -> EventError {
    EventError::Body(BodyError::from(error))
}
