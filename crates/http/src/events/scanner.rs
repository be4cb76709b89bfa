//! Finds where events end in the bytes of a stream.

/// Position within a stream of events. A line ends with LF, CR LF or CR, and an event with
/// an empty line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventScanner {
    line_is_empty: bool,
    follows_cr: bool,
    inside_event: bool,
    events: u64,
}

impl Default for EventScanner {
    fn default() -> Self {
        Self {
            line_is_empty: true,
            follows_cr: false,
            inside_event: false,
            events: 0,
        }
    }
}

impl EventScanner {
    /// Processes the next byte of the stream and returns whether it ends an event. An LF
    /// behind a CR that ended one still belongs to that event.
    pub fn push(&mut self, byte: u8) -> bool {
        let follows_cr = std::mem::replace(&mut self.follows_cr, byte == b'\r');
        match byte {
            b'\n' if follows_cr => false,
            b'\n' | b'\r' => self.end_line(),
            _ => {
                self.line_is_empty = false;
                self.inside_event = true;
                false
            }
        }
    }

    fn end_line(&mut self) -> bool {
        let was_empty = std::mem::replace(&mut self.line_is_empty, true);
        let ends_event = was_empty && self.inside_event;
        if ends_event {
            self.inside_event = false;
            self.events += 1;
        }
        ends_event
    }

    /// Whether an event has begun that has not ended.
    #[must_use]
    pub fn is_inside_event(&self) -> bool {
        self.inside_event
    }

    /// Number of events that have ended.
    #[must_use]
    pub fn events(&self) -> u64 {
        self.events
    }
}
