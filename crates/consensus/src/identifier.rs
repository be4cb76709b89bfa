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
    /// One life of a replica. A replica whose disk was lost comes back under
    /// another identifier.
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
    /// The term that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl Index {
    /// The position before the first entry.
    pub const ZERO: Index = Index(0);

    /// The position that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }

    /// The position before this one; that of zero is zero.
    #[must_use]
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}
