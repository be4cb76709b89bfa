//! How much of an answer has arrived, and whether it is whole where its body ends.

use molespan_http::EventScanner;
use molespan_http::h1::{Framing, ResponseHead};

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

/// Where the body of an answer may end if the answer is whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllowedEnd {
    /// Where its framing says so.
    Framing,
    /// Where its framing says so, and behind an event.
    BetweenEvents,
    /// The same, and not before the first event: the end of a connection is no sign that
    /// nothing was to come.
    AfterEvent,
}

impl AllowedEnd {
    /// Returns where the body of an answer may end. A body without a type that ends with its
    /// connection is a stream of events if the request asks for one; if `resumes`, there may
    /// be nothing left to send.
    pub fn of(head: &ResponseHead, framing: Framing, expects_events: bool, resumes: bool) -> Self {
        let ends_with_connection = framing == Framing::UntilClose;
        let is_event_stream = match head.headers.text("content-type") {
            Some(media_type) => is_event_stream(media_type),
            None => expects_events && ends_with_connection && head.status == 200,
        };
        match is_event_stream {
            false => Self::Framing,
            true if ends_with_connection && !resumes => Self::AfterEvent,
            true => Self::BetweenEvents,
        }
    }

    /// Whether a body that ends here by its framing is a whole answer.
    pub fn allows(self, progress: &AnswerProgress) -> bool {
        match self {
            Self::Framing => true,
            Self::BetweenEvents => !progress.is_inside_event(),
            Self::AfterEvent => !progress.is_inside_event() && progress.events() > 0,
        }
    }
}

fn is_event_stream(media_type: &str) -> bool {
    let essence = media_type.split(';').next().unwrap_or_default();
    essence.trim().eq_ignore_ascii_case("text/event-stream")
}
