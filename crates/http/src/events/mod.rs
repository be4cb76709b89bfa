//! Reading and writing of server-sent events.

mod reader;
mod scanner;
mod writer;

pub use reader::{EventError, EventStream};
pub use scanner::EventScanner;
pub use writer::{EventWriter, StreamClosed, event_response};

/// A server-sent event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ServerEvent {
    /// Name; empty for the default event type.
    pub name: String,
    /// Identifier; empty when there is none.
    pub id: String,
    /// Data, with lines joined by `\n`.
    pub data: String,
}

impl ServerEvent {
    /// Data of the event that ends a stream of completions.
    pub const DONE: &'static str = "[DONE]";

    /// Creates an event with only data.
    #[must_use]
    pub fn data(data: impl Into<String>) -> Self {
        Self {
            data: data.into(),
            ..Self::default()
        }
    }

    /// Whether the event is the terminator of a stream.
    #[must_use]
    pub fn is_done(&self) -> bool {
        self.data == Self::DONE
    }

    /// Encodes the event for the stream.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut text = String::with_capacity(self.data.len() + 16);
        for (field, value) in [("event", &self.name), ("id", &self.id)] {
            if !value.is_empty() {
                push_field(&mut text, field, value);
            }
        }
        for line in self.data.split('\n') {
            push_field(&mut text, "data", line);
        }
        text.push('\n');
        text.into_bytes()
    }
}

/// Appends one line of an event.
fn push_field(text: &mut String, field: &str, value: &str) {
    text.push_str(field);
    text.push_str(": ");
    text.push_str(value);
    text.push('\n');
}
