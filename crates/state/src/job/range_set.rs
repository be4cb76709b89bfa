//! A set of item positions, stored as ranges.

use std::collections::BTreeMap;

use minicbor::{Decode, Encode};

/// A set of item positions as disjoint, non-adjacent ranges. Memory grows with the number
/// of ranges, not with the number of items.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub(crate) struct RangeSet {
    /// Exclusive end of each range, by its start.
    #[n(0)]
    ranges: BTreeMap<u32, u32>,
    /// Number of positions in all ranges.
    #[n(1)]
    count: u32,
}

impl RangeSet {
    /// Creates the set of positions from 0 up to `end`, exclusive.
    pub(crate) fn up_to(end: u32) -> Self {
        let mut ranges = BTreeMap::new();
        if end > 0 {
            ranges.insert(0, end);
        }
        Self { ranges, count: end }
    }

    /// Number of positions.
    pub(crate) fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub(crate) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether `item` is in the set.
    pub(crate) fn contains(&self, item: u32) -> bool {
        let before = self.ranges.range(..=item).next_back();
        before.is_some_and(|(_, &end)| item < end)
    }

    /// Adds `item` if it is absent.
    pub(crate) fn insert(&mut self, item: u32) {
        if self.contains(item) {
            return;
        }
        self.count += 1;
        let before = self.ranges.range(..item).next_back();
        let joined_start = before
            .filter(|&(_, &end)| end == item)
            .map(|(&start, _)| start);
        let after_end = self.ranges.remove(&(item + 1));
        let start = joined_start.unwrap_or(item);
        self.ranges.insert(start, after_end.unwrap_or(item + 1));
    }

    /// Removes `item` and returns whether it was present.
    pub(crate) fn remove(&mut self, item: u32) -> bool {
        let before = self.ranges.range(..=item).next_back();
        let Some((&start, &end)) = before.filter(|&(_, &end)| item < end) else {
            return false;
        };
        self.count -= 1;
        self.ranges.remove(&start);
        if start < item {
            self.ranges.insert(start, item);
        }
        if item + 1 < end {
            self.ranges.insert(item + 1, end);
        }
        true
    }

    /// Returns the lowest position.
    pub(crate) fn first(&self) -> Option<u32> {
        self.ranges.first_key_value().map(|(&start, _)| start)
    }

    /// Iterates over all positions in ascending order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = u32> {
        self.ranges.iter().flat_map(|(&start, &end)| start..end)
    }
}
