//! How much of an answer has arrived.

use molespan_http::EventScanner;
use molespan_http::h1::Framing;

/// Returns a framing as it is logged.
pub(crate) fn framing_text(framing: Framing) -> &'static str {
    match framing {
        Framing::Empty => "empty",
        Framing::Length(_) => "length",
        Framing::Chunked => "chunks",
        Framing::UntilClose => "none",
    }
}

/// How much of an answer's body has arrived, counted as bytes and as events.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AnswerProgress {
    /// Number of bytes.
    pub bytes: u64,
    scanner: EventScanner,
}

impl AnswerProgress {
    /// Records the next bytes of the body and returns how many events end in them.
    pub fn advance(&mut self, bytes: &[u8]) -> u64 {
        let before = self.events();
        self.bytes += bytes.len() as u64;
        for byte in bytes {
            self.scanner.push(*byte);
        }
        self.events() - before
    }

    /// Number of events that have arrived whole.
    pub fn events(&self) -> u64 {
        self.scanner.events()
    }

    /// Whether an event has begun to arrive and has not ended.
    pub fn is_inside_event(&self) -> bool {
        self.scanner.is_inside_event()
    }
}
