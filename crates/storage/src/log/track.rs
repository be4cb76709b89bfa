//! Tracking of the segments that a group still needs.

use std::collections::BTreeMap;

use molespan_types::GroupId;

use super::SnapshotMark;
use super::record::Record;

/// State of one group in the log, without the bytes of its entries.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupTracker {
    hard_state: Option<Vec<u8>>,
    snapshot: Option<SnapshotMark>,
    /// First and last live entry index in each segment.
    entries: BTreeMap<u64, (u64, u64)>,
}

impl GroupTracker {
    /// Records the effect of a record stored in `segment`.
    pub fn apply(&mut self, record: &Record<'_>, segment: u64) {
        match *record {
            Record::Entry { index, .. } => self.apply_entry(index, segment),
            Record::HardState { body, .. } => self.hard_state = Some(body.to_vec()),
            Record::Snapshot { index, body, .. } => {
                let bytes = body.to_vec();
                self.snapshot = Some(SnapshotMark { index, bytes });
            }
            Record::Truncate { from, .. } => self.truncate(from),
        }
    }

    fn apply_entry(&mut self, index: u64, segment: u64) {
        self.truncate(index);
        let (_, last) = self.entries.entry(segment).or_insert((index, index));
        *last = index;
    }

    /// Removes entries from index `from` on.
    fn truncate(&mut self, from: u64) {
        while let Some(mut newest) = self.entries.last_entry() {
            let (first, last) = *newest.get();
            if last < from {
                return;
            }
            if first < from {
                *newest.get_mut() = (first, from - 1);
                return;
            }
            newest.remove();
        }
    }

    /// Whether `segment` contains an entry that is not covered by a snapshot.
    pub fn needs(&self, segment: u64) -> bool {
        let covered = self.snapshot.as_ref().map_or(0, |mark| mark.index);
        let entries = self.entries.get(&segment);
        entries.is_some_and(|&(_, last)| last > covered)
    }

    /// Returns the oldest segment that is still needed.
    pub fn oldest_needed(&self) -> Option<u64> {
        let mut segments = self.entries.keys().copied();
        segments.find(|&segment| self.needs(segment))
    }

    /// Removes segments before `segment`, which have been deleted.
    pub fn remove_before(&mut self, segment: u64) {
        self.entries = self.entries.split_off(&segment);
    }

    /// Writes the hard state and snapshot mark, which a new segment must repeat because
    /// older segments will be removed.
    pub fn write_checkpoint(&self, group: GroupId, buffer: &mut Vec<u8>) {
        if let Some(body) = &self.hard_state {
            let body = body.as_slice().into();
            Record::HardState { group, body }.write(buffer);
        }
        if let Some(mark) = &self.snapshot {
            let index = mark.index;
            let body = mark.bytes.as_slice().into();
            Record::Snapshot { group, index, body }.write(buffer);
        }
    }
}
