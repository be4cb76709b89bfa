//! Events of a stream, cut out of its bytes.

/// A whole event.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct Event {
    /// Its bytes, the empty line behind it included.
    pub bytes: Vec<u8>,
    /// Its number.
    pub id: Option<u64>,
    /// Its data, lines joined.
    pub data: String,
}

/// Longest event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Cuts events out of a stream. What is left of an event that never ends is
/// dropped with this.
#[derive(Debug, Default)]
pub(crate) struct EventCutter {
    buffer: Vec<u8>,
}

impl EventCutter {
    /// Takes bytes in; `false` when an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// The next whole event.
    pub fn next(&mut self) -> Option<Event> {
        let length = event_length(&self.buffer)?;
        let bytes: Vec<u8> = self.buffer.drain(..length).collect();
        Some(parse(bytes))
    }
}

/// Bytes up to and with the empty line that ends the first event.
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
