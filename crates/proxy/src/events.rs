//! Parsing of server-sent events.

use molespan_http::EventScanner;

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

/// May stand before the first event of a stream.
const BYTE_ORDER_MARK: char = '\u{feff}';
/// Maximum length of an event, in bytes. Many engines may send bytes without end at once, and
/// what is held of each counts against the memory of the gateway.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a stream into events.
#[derive(Debug, Default)]
pub(crate) struct EventParser {
    buffer: Vec<u8>,
    /// Number of bytes of the buffer that the scanner has seen.
    scanned: usize,
    scanner: EventScanner,
}

impl EventParser {
    /// Appends bytes and returns `false` if an event is too long.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= MAX_EVENT_BYTES
    }

    /// Returns the next complete event.
    pub fn next(&mut self) -> Option<Event> {
        while let Some(byte) = self.buffer.get(self.scanned).copied() {
            self.scanned += 1;
            if !self.scanner.push(byte) {
                continue;
            }
            if byte == b'\r' && self.buffer.get(self.scanned) == Some(&b'\n') {
                self.scanner.push(b'\n');
                self.scanned += 1;
            }
            let bytes = self.buffer.drain(..self.scanned).collect();
            self.scanned = 0;
            return Some(parse(bytes));
        }
        None
    }

    /// Returns the bytes behind the last complete event.
    pub fn into_rest(self) -> Vec<u8> {
        self.buffer
    }
}

fn parse(bytes: Vec<u8>) -> Event {
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let mut event = Event {
        bytes,
        ..Event::default()
    };
    let mut data: Vec<&str> = Vec::new();
    let text = text.strip_prefix(BYTE_ORDER_MARK).unwrap_or(&text);
    for line in text.split(['\n', '\r']) {
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
