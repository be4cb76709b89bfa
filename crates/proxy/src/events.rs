//! Parsing of server-sent events.

/// A complete event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes, including the terminating empty line.
    pub bytes: Vec<u8>,
    /// Its number.
    pub id: Option<u64>,
    /// Its data lines, joined.
    pub data: String,
}

/// Maximum length of an event, in bytes.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a stream into events. An incomplete event at the end is dropped with the cutter.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: Vec<u8>,
}

impl EventParser {
    /// Appends bytes and returns `false` if an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event.
    pub fn next(&mut self) -> Option<Event> {
        let length = event_length(&self.buffer)?;
        let bytes: Vec<u8> = self.buffer.drain(..length).collect();
        Some(parse(bytes))
    }
}

/// Returns the length of the first event, including the empty line that ends it.
fn event_length(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (place, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..place];
        if line.is_empty() || line == b"\r" {
            return Some(place + 1);
        }
        line_start = place + 1;
    }
    None
}

fn parse(bytes: Vec<u8>) -> Event {
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut event = Event {
        bytes,
        ..Event::default()
    };
    let mut data: Vec<&str> = Vec::new();
    for line in text.lines() {
        let (field, value) = line.split_once(':').unwrap_or((line, ""));
        let value = value.strip_prefix(' ').unwrap_or(value);
        match field {
            "id" => event.id = value.parse().ok(),
            "data" => data.push(value),
            _ => {}
        }
    }
    event.data = data.join("\n");
    event
}
