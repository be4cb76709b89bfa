//! Search for the origin of a stream at several nodes.

use super::origin::KnownOrigin;

/// Answer of one node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HolderAnswer {
    /// The node knows the origin.
    Known(KnownOrigin),
    /// The node does not know it.
    Unknown,
    /// The node did not answer.
    None,
}

/// Answers of the nodes that were asked for the origin of a stream.
#[derive(Clone, Debug, Default)]
pub struct Search {
    /// Nodes whose answer is still awaited.
    open: usize,
    found: Option<KnownOrigin>,
    contradicted: bool,
}

/// Result of a search.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Found {
    /// A node knows the origin.
    Known(KnownOrigin),
    /// No node that answered knows it, or nodes contradict each other.
    Unknown,
    /// Nodes whose answer is still awaited may know it.
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

    /// Records the answer of a node.
    pub fn record(&mut self, answer: HolderAnswer) {
        self.open = self.open.saturating_sub(1);
        let HolderAnswer::Known(known) = answer else {
            return;
        };
        match &self.found {
            Some(found) => self.contradicted |= found.origin != known.origin,
            None => self.found = Some(known),
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
