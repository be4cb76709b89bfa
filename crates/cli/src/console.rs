//! Output of a command.

use std::io::{self, Write};

use serde::Serialize;

use crate::error::CliError;

/// Writers for the results and the progress messages of a command.
pub struct Console {
    results: Box<dyn Write + Send>,
    progress: Box<dyn Write + Send>,
    json: bool,
}

impl std::fmt::Debug for Console {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Console")
            .field("json", &self.json)
            .finish_non_exhaustive()
    }
}

impl Console {
    /// Creates a console with results on standard output and progress on standard error.
    #[must_use]
    pub fn standard(json: bool) -> Self {
        Self::new(Box::new(io::stdout()), Box::new(io::stderr()), json)
    }

    /// Creates a console with the given writers.
    #[must_use]
    pub fn new(
        results: Box<dyn Write + Send>,
        progress: Box<dyn Write + Send>,
        json: bool,
    ) -> Self {
        Self {
            results,
            progress,
            json,
        }
    }

    /// Whether results are printed as JSON.
    #[must_use]
    pub fn is_json(&self) -> bool {
        self.json
    }

    /// Writes one line of results.
    ///
    /// # Errors
    /// When the output is closed.
    pub fn line(&mut self, text: impl std::fmt::Display) -> Result<(), CliError> {
        writeln!(self.results, "{text}")?;
        self.results.flush()?;
        Ok(())
    }

    /// Writes one line of JSON.
    ///
    /// # Errors
    /// When the output is closed.
    pub fn json_line(&mut self, value: &impl Serialize) -> Result<(), CliError> {
        let text = serde_json::to_string(value).map_err(io::Error::from)?;
        self.line(text)
    }

    /// Writes one line of progress for people. Write errors, such as a closed output, are ignored.
    pub fn progress(&mut self, text: impl std::fmt::Display) {
        let _ = writeln!(self.progress, "{text}");
    }
}
