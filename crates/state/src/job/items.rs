//! The item table of a job.

use minicbor::decode::Error as DecodeError;
use minicbor::encode::{Error as EncodeError, Write};
use minicbor::{Decode, Decoder, Encode, Encoder};

use super::command::ItemOutcome;
use crate::payload::PayloadLocation;

/// Size of an item in memory and in encoded form, in bytes.
pub(crate) const ITEM_BYTES: usize = OFFSET_BYTES + LENGTH_BYTES;
const OFFSET_BYTES: usize = 8;
const LENGTH_BYTES: usize = 4;
/// Bit position of the outcome, which is packed into the top bits of the offset.
const OUTCOME_SHIFT: u32 = 62;
const OFFSET_MASK: u64 = (1 << OUTCOME_SHIFT) - 1;

/// Payload location and outcome of each item. The location points to the input until there
/// is a result, and to the result from then on: an item with a result never runs again, so
/// its input is no longer needed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct ItemTable {
    offsets: Vec<u64>,
    lengths: Vec<u32>,
}

impl ItemTable {
    /// Number of items.
    pub(crate) fn len(&self) -> u32 {
        self.offsets.len() as u32
    }

    /// Adds an item without a result.
    pub(crate) fn push_input(&mut self, input: PayloadLocation) {
        self.offsets.push(input.offset & OFFSET_MASK);
        self.lengths.push(input.length);
    }

    /// Releases spare capacity once no more items will be added.
    pub(crate) fn shrink(&mut self) {
        self.offsets.shrink_to_fit();
        self.lengths.shrink_to_fit();
    }

    /// Returns the location of the input or the result of `item`.
    pub(crate) fn location(&self, item: u32) -> Option<PayloadLocation> {
        let index = item as usize;
        Some(PayloadLocation {
            offset: self.offsets.get(index)? & OFFSET_MASK,
            length: *self.lengths.get(index)?,
        })
    }

    /// Returns the outcome of `item`, or `None` if it has no result.
    pub(crate) fn outcome(&self, item: u32) -> Option<ItemOutcome> {
        let packed = self.offsets.get(item as usize)?;
        match packed >> OUTCOME_SHIFT {
            1 => Some(ItemOutcome::Completed),
            2 => Some(ItemOutcome::Failed),
            3 => Some(ItemOutcome::Unknown),
            _ => None,
        }
    }

    /// Replaces the input of `item` with its result.
    pub(crate) fn set_result(&mut self, item: u32, outcome: ItemOutcome, at: PayloadLocation) {
        let code: u64 = match outcome {
            ItemOutcome::Completed => 1,
            ItemOutcome::Failed => 2,
            ItemOutcome::Unknown => 3,
        };
        let index = item as usize;
        if let (Some(offset), Some(length)) =
            (self.offsets.get_mut(index), self.lengths.get_mut(index))
        {
            *offset = (code << OUTCOME_SHIFT) | (at.offset & OFFSET_MASK);
            *length = at.length;
        }
    }

    /// Encodes up to `count` items starting at `first`.
    pub(crate) fn to_bytes(&self, first: usize, count: usize) -> Vec<u8> {
        let end = self.offsets.len().min(first + count);
        let mut bytes = Vec::with_capacity(end.saturating_sub(first) * ITEM_BYTES);
        for index in first..end {
            bytes.extend_from_slice(&self.offsets[index].to_le_bytes());
            bytes.extend_from_slice(&self.lengths[index].to_le_bytes());
        }
        bytes
    }

    /// Decodes the output of [`Self::to_bytes`]; `None` if it is truncated.
    pub(crate) fn from_bytes(bytes: &[u8]) -> Option<Self> {
        let (records, rest) = bytes.as_chunks::<ITEM_BYTES>();
        if !rest.is_empty() {
            return None;
        }
        let mut table = Self::default();
        for record in records {
            let (offset, length) = record.split_at(OFFSET_BYTES);
            table
                .offsets
                .push(u64::from_le_bytes(offset.try_into().ok()?));
            table
                .lengths
                .push(u32::from_le_bytes(length.try_into().ok()?));
        }
        table.shrink();
        Some(table)
    }
}

impl<C> Encode<C> for ItemTable {
    fn encode<W: Write>(
        &self,
        encoder: &mut Encoder<W>,
        _context: &mut C,
    ) -> Result<(), EncodeError<W::Error>> {
        encoder.bytes(&self.to_bytes(0, self.offsets.len()))?;
        Ok(())
    }
}

impl<'b, C> Decode<'b, C> for ItemTable {
    fn decode(decoder: &mut Decoder<'b>, _context: &mut C) -> Result<Self, DecodeError> {
        let bytes = decoder.bytes()?;
        Self::from_bytes(bytes).ok_or_else(|| DecodeError::message("item table is cut short"))
    }
}
