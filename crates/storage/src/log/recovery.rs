//! Recovery of the log after a restart.

use std::collections::BTreeMap;

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

/// Reads segments in order.
pub(super) struct Reader<'a, D> {
    disk: &'a D,
    pub recovery: Recovery,
    pub trackers: BTreeMap<GroupId, GroupTracker>,
    /// Sequence number of the last frame.
    pub sequence: Option<u64>,
    /// Length of each segment.
    pub segments: BTreeMap<u64, u64>,
}

impl<'a, D: Disk> Reader<'a, D> {
    pub fn new(disk: &'a D) -> Self {
        Self {
            disk,
            recovery: Recovery::default(),
            trackers: BTreeMap::new(),
            sequence: None,
            segments: BTreeMap::new(),
        }
    }

    /// Reads every segment and truncates a torn tail.
    pub fn run(&mut self, segments: &[u64]) -> Result<(), StorageError> {
        for (position, &segment) in segments.iter().enumerate() {
            let follows = position == 0 || segments[position - 1] + 1 == segment;
            if !follows {
                let missing = segment_path(segments[position - 1] + 1);
                return Err(StorageError::corrupt(&missing, 0, "segment is missing"));
            }
            let last = position + 1 == segments.len();
            self.read_segment(segment, last)?;
        }
        self.check_entries()
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
        record::read_all(frame.body, |record| {
            let group = record.group();
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
