//! Records, which make up the body of a frame.

use minicbor::bytes::ByteSlice;
use minicbor::{Decode, Encode};
use molespan_types::GroupId;

/// A change to one group.
#[derive(Clone, Copy, Debug, Encode, Decode)]
pub(super) enum Record<'a> {
    /// An entry. It replaces existing entries at its index and above.
    #[n(0)]
    Entry {
        #[n(0)]
        group: GroupId,
        #[n(1)]
        index: u64,
        #[b(2)]
        body: &'a ByteSlice,
    },
    /// A new hard state.
    #[n(1)]
    HardState {
        #[n(0)]
        group: GroupId,
        #[b(1)]
        body: &'a ByteSlice,
    },
    /// A snapshot is durable; entries up to it are no longer needed.
    #[n(2)]
    Snapshot {
        #[n(0)]
        group: GroupId,
        #[n(1)]
        index: u64,
        #[b(2)]
        body: &'a ByteSlice,
    },
    /// Entries from this index on are removed.
    #[n(3)]
    Truncate {
        #[n(0)]
        group: GroupId,
        #[n(1)]
        from: u64,
    },
}

impl Record<'_> {
    /// Appends the record to `buffer`.
    pub fn write(&self, buffer: &mut Vec<u8>) {
        // Writing to a vector cannot fail.
        let _ = minicbor::encode(self, buffer);
    }
}

/// Decodes the records of a body in order.
pub(super) fn read_all<'a>(
    body: &'a [u8],
    mut each: impl FnMut(Record<'a>),
) -> Result<(), minicbor::decode::Error> {
    let mut decoder = minicbor::Decoder::new(body);
    while decoder.position() < body.len() {
        each(decoder.decode()?);
    }
    Ok(())
}

impl Record<'_> {
    /// Returns the group that the record belongs to.
    pub fn group(&self) -> GroupId {
        match *self {
            Record::Entry { group, .. }
            | Record::HardState { group, .. }
            | Record::Snapshot { group, .. }
            | Record::Truncate { group, .. } => group,
        }
    }
}
