//! Narration of the demo.

use std::fmt::Display;
use std::time::Instant;

use crate::console::Console;

/// Prints the narration: as output for people, as progress if the output is JSON.
#[derive(Debug)]
pub(super) struct Guide<'c> {
    console: &'c mut Console,
    started: Instant,
    chapters: u32,
}

impl<'c> Guide<'c> {
    pub(super) fn new(console: &'c mut Console) -> Self {
        Self {
            console,
            started: Instant::now(),
            chapters: 0,
        }
    }

    /// Prints the title of the next chapter.
    pub(super) fn chapter(&mut self, title: &str) {
        self.chapters += 1;
        let seconds = self.started.elapsed().as_secs_f64();
        let chapter = self.chapters;
        self.write(format!("\n{chapter}. {title}  ({seconds:.1} s)"));
    }

    /// Prints a text, which may have several lines.
    pub(super) fn print(&mut self, text: impl Display) {
        for line in text.to_string().lines() {
            self.write(format!("   {line}"));
        }
    }

    fn write(&mut self, line: String) {
        if self.console.is_json() {
            self.console.progress(line);
        } else {
            // A closed output does not end the demo.
            let _ = self.console.line(line);
        }
    }

    /// Returns the console, for commands that write to it directly.
    pub(super) fn console(&mut self) -> &mut Console {
        self.console
    }
}
