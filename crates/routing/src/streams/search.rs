//! Search for the origin of a stream at several nodes.

use molespan_state::declared::StreamOrigin;

/// Answers of the nodes that were asked for the origin of a stream.
#[derive(Clone, Debug, Default)]
pub struct Search {
    /// Nodes that have not answered.
    open: usize,
    found: Option<StreamOrigin>,
    contradicted: bool,
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A node knows the origin.
    Known(StreamOrigin),
    /// No node knows it, or nodes contradict each other.
    Unknown,
    /// Nodes that have not answered may know it.
    Open,
}

impl Search {
    /// Returns a search at this many nodes.
    #[must_use]
    pub fn new(nodes: usize) -> Self {
        Self {
            open: nodes,
            ..Self::default()
        }
    }

    /// Records the answer of a node; `None` if it knows nothing or does not answer.
    pub fn record(&mut self, answer: Option<StreamOrigin>) {
        self.open = self.open.saturating_sub(1);
        match (&self.found, answer) {
            (Some(found), Some(answer)) if *found != answer => self.contradicted = true,
            (None, Some(answer)) => self.found = Some(answer),
            _ => {}
        }
    }

    /// Returns the result so far. One node that knows the origin is enough: an origin never
    /// changes.
    #[must_use]
    pub fn result(&self) -> Found {
        match &self.found {
            _ if self.contradicted => Found::Unknown,
            Some(found) => Found::Known(found.clone()),
            None if self.open > 0 => Found::Open,
            None => Found::Unknown,
        }
    }
}
