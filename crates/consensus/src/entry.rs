//! Log entries.

use minicbor::{Decode, Encode};

use crate::{Index, Membership, Term};

/// Approximate overhead of an entry beyond its content, in memory and in a message.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// Approximate size of one member in a membership entry.
const MEMBER_BYTES: usize = 10;

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub enum EntryKind {
    /// No content. A leader appends such an entry at the start of its term.
    #[n(0)]
    Empty,
    /// A command for the replicated state machine.
    #[n(1)]
    Command(
        #[n(0)]
        #[cbor(with = "minicbor::bytes")]
        Vec<u8>,
    ),
    /// The members of the group, which take effect as soon as the entry is appended.
    #[n(2)]
    Membership(#[n(0)] Membership),
}

/// One entry of the log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Encode, Decode)]
pub struct Entry {
    /// Term of the leader that appended the entry.
    #[n(0)]
    pub term: Term,
    /// Position in the log.
    #[n(1)]
    pub index: Index,
    /// Content.
    #[n(2)]
    pub kind: EntryKind,
}

impl Entry {
    /// Returns the approximate size in bytes, in memory and in a message.
    #[must_use]
    pub fn size(&self) -> usize {
        let content = match &self.kind {
            EntryKind::Empty => 0,
            EntryKind::Command(command) => command.len(),
            EntryKind::Membership(membership) => membership.members().len() * MEMBER_BYTES,
        };
        ENTRY_OVERHEAD_BYTES + content
    }
}
