//! Findings: errors in a settings file.

use std::fmt;

/// An error and its location.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line, from 1; `None` when the finding concerns the whole file.
    pub line: Option<usize>,
    /// Dotted key, such as `timing.lease` or `peers[1].id`; empty if the finding, such
    /// as a syntax error, concerns no key.
    pub key: String,
    /// One sentence that describes the error and the expected value.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            Some(line) => write!(formatter, "line {line}: ")?,
            None => write!(formatter, "file: ")?,
        }
        if !self.key.is_empty() {
            write!(formatter, "{}: ", self.key)?;
        }
        write!(formatter, "{}", self.message)
    }
}

/// All findings of a settings file, sorted by line.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Sorts findings by line.
    #[must_use]
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        Self(findings)
    }

    /// Iterates over the findings in the order of their lines.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// Returns the number of findings.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<'a> IntoIterator for &'a Findings {
    type Item = &'a Finding;
    type IntoIter = std::slice::Iter<'a, Finding>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, finding) in self.0.iter().enumerate() {
            if position > 0 {
                writeln!(formatter)?;
            }
            write!(formatter, "{finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}
