//! Identifiers of replicas, terms and log positions.

use derive_more::{Display, From};
use minicbor::{Decode, Encode};

/// Declares a numeric identifier that is encoded as a bare integer.
macro_rules! numeric_identifier {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Display, From,
            Encode, Decode,
        )]
        #[cbor(transparent)]
        pub struct $name(#[n(0)] pub u64);
    };
}

numeric_identifier! {
    /// An incarnation of a replica. A replica that lost its disk rejoins under a
    /// new identifier.
    ReplicaId
}
numeric_identifier! {
    /// An election term. Each term has at most one leader.
    Term
}
numeric_identifier! {
    /// A position in the log. The first entry has index 1.
    Index
}

impl Term {
    /// Returns the next term.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Index {
    /// The position before the first entry.
    pub const ZERO: Index = Index(0);

    /// Returns the next position.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// Returns the previous position, saturating at zero.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}
