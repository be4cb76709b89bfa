//! Findings: the faults of a settings file.

use std::fmt;

/// One fault and its place.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Finding {
    /// Line from 1; `None` where the file as a whole is at fault.
    pub line: Option<usize>,
    /// Dotted key, such as `timing.lease` or `peers[1].id`; empty for syntax.
    pub key: String,
    /// What is wrong and what would be right, in one sentence.
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

/// Every fault of a settings file, in the order of their lines.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Findings in the order of their lines.
    #[must_use]
    pub fn new(mut findings: Vec<Finding>) -> Self {
        findings.sort();
        Self(findings)
    }

    /// The findings in the order of their lines.
    pub fn iter(&self) -> std::slice::Iter<'_, Finding> {
        self.0.iter()
    }

    /// How many there are.
    #[must_use]
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there are none.
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
