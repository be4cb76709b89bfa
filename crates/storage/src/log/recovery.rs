//! Recovery of the log after a restart.

use std::collections::{BTreeMap, BTreeSet};

use molespan_types::GroupId;

use super::frame::{self, Frame, FrameLocation};
use super::record::{self, Record};
use super::track::GroupTracker;
use super::{DIRECTORY, LogEntry, SnapshotMark, segment_path};
use crate::{Disk, StorageError};

/// Recovered state of one group.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct GroupRecovery {
    /// Latest hard state.
    pub hard_state: Option<Vec<u8>>,
    /// Latest snapshot.
    pub snapshot: Option<SnapshotMark>,
    /// Entries after that snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// Recovered content of the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recovery {
    /// Recovered state by group.
    pub groups: BTreeMap<GroupId, GroupRecovery>,
    /// Number of bytes of an incomplete write that were removed from the end.
    pub torn_bytes: u64,
    /// Number of segments that had been removed before and were found again.
    pub leftover_segments: usize,
}

impl GroupRecovery {
    fn apply(&mut self, record: Record<'_>) {
        match record {
            Record::Entry { index, body, .. } => {
                self.truncate(index);
                let bytes = body.to_vec();
                self.entries.push(LogEntry { index, bytes });
            }
            Record::HardState { body, .. } => self.hard_state = Some(body.to_vec()),
            Record::Snapshot { index, body, .. } => {
                let bytes = body.to_vec();
                self.snapshot = Some(SnapshotMark { index, bytes });
            }
            Record::Truncate { from, .. } => self.truncate(from),
        }
    }

    fn truncate(&mut self, from: u64) {
        let kept = self.entries.partition_point(|entry| entry.index < from);
        self.entries.truncate(kept);
    }

    /// Removes entries covered by the snapshot and returns the first missing index, if any.
    fn drop_covered_entries(&mut self) -> Option<u64> {
        let covered = self.snapshot.as_ref().map_or(0, |mark| mark.index);
        self.entries.retain(|entry| entry.index > covered);
        let expected = (covered + 1)..;
        let mut pairs = self.entries.iter().zip(expected);
        pairs.find_map(|(entry, expected)| (entry.index != expected).then_some(expected))
    }
}

/// Segments in front of a gap: a power loss may undo some of several removals and keep the
/// others.
#[derive(Debug)]
struct Leftovers {
    segments: BTreeSet<u64>,
    /// Groups with records in them.
    groups: BTreeSet<GroupId>,
    /// First segment of the gap.
    missing: u64,
}

/// Reads segments in order.
pub(super) struct Reader<'a, D> {
    disk: &'a D,
    pub recovery: Recovery,
    pub trackers: BTreeMap<GroupId, GroupTracker>,
    /// Sequence number of the last frame.
    pub sequence: Option<u64>,
    /// Length of each segment.
    pub segments: BTreeMap<u64, u64>,
    /// Index of the first entry that was read of each group.
    first_entries: BTreeMap<GroupId, u64>,
    leftovers: Option<Leftovers>,
}

impl<'a, D: Disk> Reader<'a, D> {
    pub fn new(disk: &'a D) -> Self {
        Self {
            disk,
            recovery: Recovery::default(),
            trackers: BTreeMap::new(),
            sequence: None,
            segments: BTreeMap::new(),
            first_entries: BTreeMap::new(),
            leftovers: None,
        }
    }

    /// Reads every segment, truncates a torn tail and removes leftover segments.
    pub fn run(&mut self, segments: &[u64]) -> Result<(), StorageError> {
        for (position, &segment) in segments.iter().enumerate() {
            let follows = position == 0 || segments[position - 1] + 1 == segment;
            if !follows {
                self.set_aside(segments[position - 1] + 1);
            }
            let last = position + 1 == segments.len();
            self.read_segment(segment, last)?;
        }
        self.check_entries()?;
        self.remove_leftovers()
    }

    /// Sets aside what was read in front of a gap, and reads on as if the log began behind it.
    fn set_aside(&mut self, missing: u64) {
        let recovered = std::mem::take(&mut self.recovery.groups);
        let read = std::mem::take(&mut self.segments);
        let earlier = self.leftovers.take();
        let (mut segments, mut groups) = earlier
            .map(|earlier| (earlier.segments, earlier.groups))
            .unwrap_or_default();
        segments.extend(read.into_keys());
        groups.extend(recovered.into_keys());
        self.leftovers = Some(Leftovers {
            segments,
            groups,
            missing,
        });
        self.trackers.clear();
        self.first_entries.clear();
        self.sequence = None;
    }

    /// Removes the segments in front of a gap if none of them, and none of the gap, is needed.
    fn remove_leftovers(&mut self) -> Result<(), StorageError> {
        let Some(leftovers) = self.leftovers.take() else {
            return Ok(());
        };
        let mut groups = leftovers.groups.iter().chain(self.recovery.groups.keys());
        if !groups.all(|group| self.is_complete(*group)) {
            let missing = segment_path(leftovers.missing);
            return Err(StorageError::corrupt(&missing, 0, "segment is missing"));
        }
        for &segment in &leftovers.segments {
            self.disk.remove(&segment_path(segment))?;
        }
        self.recovery.leftover_segments = leftovers.segments.len();
        Ok(())
    }

    /// Whether a group needs nothing but what was read. That is certain if its first entry
    /// there follows its snapshot or an earlier entry: all earlier records of entries are
    /// covered by the snapshot or replaced, and the first frame of a segment repeats the rest.
    fn is_complete(&self, group: GroupId) -> bool {
        let Some(&first) = self.first_entries.get(&group) else {
            return false;
        };
        let recovered = self.recovery.groups.get(&group);
        let snapshot = recovered.and_then(|recovered| recovered.snapshot.as_ref());
        first <= snapshot.map_or(0, |mark| mark.index) + 1
    }

    fn read_segment(&mut self, segment: u64, last: bool) -> Result<(), StorageError> {
        let path = segment_path(segment);
        let bytes = self.disk.read(&path)?.unwrap_or_default();
        let mut offset = 0;
        while (offset as usize) < bytes.len() {
            let location = FrameLocation { segment, offset };
            let rest = &bytes[offset as usize..];
            let Some(frame) = frame::parse(location, rest) else {
                self.truncate_torn_tail(location, rest, last)?;
                break;
            };
            self.read_frame(location, frame)?;
            offset += frame.length();
        }
        self.segments.insert(segment, offset);
        Ok(())
    }

    fn read_frame(
        &mut self,
        location: FrameLocation,
        frame: Frame<'_>,
    ) -> Result<(), StorageError> {
        let path = segment_path(location.segment);
        let expected = self.sequence.map(|sequence| sequence + 1);
        if expected.is_some_and(|expected| expected != frame.sequence) {
            let reason = format!("frame {} is missing", expected.unwrap_or(0));
            return Err(StorageError::corrupt(&path, location.offset, reason));
        }
        self.sequence = Some(frame.sequence);
        let recovery = &mut self.recovery.groups;
        let trackers = &mut self.trackers;
        let first_entries = &mut self.first_entries;
        record::read_all(frame.body, |record| {
            let group = record.group();
            if let Record::Entry { index, .. } = record {
                first_entries.entry(group).or_insert(index);
            }
            trackers
                .entry(group)
                .or_default()
                .apply(&record, location.segment);
            recovery.entry(group).or_default().apply(record);
        })
        .map_err(|error| StorageError::corrupt(&path, location.offset, error.to_string()))
    }

    /// Truncates an invalid frame if it is a write that a crash interrupted, and reports
    /// corruption otherwise. A frame is only started after the previous one was synced, so
    /// an incomplete write can only be at the very end of the log. An invalid frame before
    /// a valid one is corruption.
    fn truncate_torn_tail(
        &mut self,
        location: FrameLocation,
        rest: &[u8],
        last: bool,
    ) -> Result<(), StorageError> {
        let path = segment_path(location.segment);
        if !last {
            let reason = "damaged frame in an older segment";
            return Err(StorageError::corrupt(&path, location.offset, reason));
        }
        if let Some(later) = frame::find_later(location, rest) {
            let reason = format!("damaged frame before a valid frame at offset {later}");
            return Err(StorageError::corrupt(&path, location.offset, reason));
        }
        self.recovery.torn_bytes = rest.len() as u64;
        self.disk.truncate(&path, location.offset)?;
        self.disk.sync(&path)
    }

    fn check_entries(&mut self) -> Result<(), StorageError> {
        for (group, recovery) in &mut self.recovery.groups {
            if let Some(missing) = recovery.drop_covered_entries() {
                let reason = format!("entry {missing} of group {group} is missing");
                return Err(StorageError::corrupt(DIRECTORY, 0, reason));
            }
        }
        Ok(())
    }
}
