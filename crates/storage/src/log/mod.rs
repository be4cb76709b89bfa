//! The write-ahead log, which all groups of a process share.

mod frame;
mod record;
mod recovery;
mod reserve;
mod track;

use std::collections::BTreeMap;

use molespan_types::GroupId;

use crate::checked_file::join;
use crate::{Disk, StorageError};
use frame::{FrameLocation, HEADER_BYTES};
use record::Record;
use recovery::Reader;
pub use recovery::{GroupRecovery, Recovery};
use reserve::Reserve;
use track::GroupTracker;

use crate::layout::LOG as DIRECTORY;
/// File name suffix of a segment.
const SUFFIX: &str = ".segment";

/// Size limits of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// Size in bytes at which a new segment is started.
    pub segment_bytes: u64,
    /// Reserved disk space in bytes for writes that are in progress when the disk becomes
    /// full.
    pub reserve_bytes: u64,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 16 << 20,
            reserve_bytes: 4 << 20,
        }
    }
}

/// An entry of a group's replicated log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogEntry {
    /// Index in that log.
    pub index: u64,
    /// Encoded entry.
    pub bytes: Vec<u8>,
}

/// Reference to the latest snapshot of a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotMark {
    /// Index of the last entry that the snapshot covers.
    pub index: u64,
    /// Small metadata defined by the caller.
    pub bytes: Vec<u8>,
}

/// The write-ahead log of all groups.
///
/// Changes are buffered and become durable together with one [`WriteAheadLog::sync`], as a
/// frame with one checksum. Each frame is written and synced before the next one is
/// started.
#[derive(Debug)]
pub struct WriteAheadLog<D> {
    disk: D,
    settings: LogSettings,
    trackers: BTreeMap<GroupId, GroupTracker>,
    /// Length of each segment.
    segments: BTreeMap<u64, u64>,
    /// Segment that new frames are written to.
    current: u64,
    /// Sequence number of the last synced frame.
    sequence: u64,
    buffer: Vec<u8>,
    reserve: Reserve,
    poisoned: bool,
}

impl<D: Disk> WriteAheadLog<D> {
    /// Opens the log and recovers its content.
    ///
    /// # Errors
    /// Returns [`StorageError::Corrupt`] if synced bytes are damaged, or the error of the
    /// disk.
    pub fn open(disk: D, settings: LogSettings) -> Result<(Self, Recovery), StorageError> {
        disk.create_dir(DIRECTORY)?;
        let names = disk.list(DIRECTORY)?;
        let numbers: Vec<u64> = names.iter().filter_map(|name| parse_name(name)).collect();
        let mut reader = Reader::new(&disk);
        reader.run(&numbers)?;
        let recovery = std::mem::take(&mut reader.recovery);
        let trackers = std::mem::take(&mut reader.trackers);
        let segments = std::mem::take(&mut reader.segments);
        let sequence = reader.sequence.unwrap_or(0);
        let current = numbers.last().copied().unwrap_or(1);
        if !numbers.is_empty() {
            // A frame whose sync was interrupted may be complete by chance. Sync it before
            // relying on it.
            disk.sync(&segment_path(current))?;
            disk.sync_dir(DIRECTORY)?;
        }
        let reserve = Reserve::open(&disk, settings.reserve_bytes)?;
        let log = Self {
            disk,
            settings,
            trackers,
            segments,
            current,
            sequence,
            buffer: Vec::new(),
            reserve,
            poisoned: false,
        };
        Ok((log, recovery))
    }

    /// Adds an entry. It replaces existing entries at its index and above.
    pub fn append_entry(&mut self, group: GroupId, index: u64, body: &[u8]) {
        let body = body.into();
        self.append(Record::Entry { group, index, body });
    }

    /// Replaces a group's hard state.
    pub fn set_hard_state(&mut self, group: GroupId, body: &[u8]) {
        let body = body.into();
        self.append(Record::HardState { group, body });
    }

    /// Records that a durable snapshot covers the entries up to `index`.
    pub fn mark_snapshot(&mut self, group: GroupId, index: u64, body: &[u8]) {
        let body = body.into();
        self.append(Record::Snapshot { group, index, body });
    }

    /// Removes a group's entries from index `from` on.
    pub fn truncate(&mut self, group: GroupId, from: u64) {
        self.append(Record::Truncate { group, from });
    }

    fn append(&mut self, record: Record<'_>) {
        if self.buffer.is_empty() {
            // A new segment is only started here, so that all records of a frame are
            // tracked in the segment that the frame is written to.
            self.begin_segment_if_due();
        }
        let tracker = self.trackers.entry(record.group()).or_default();
        tracker.apply(&record, self.current);
        record.write(&mut self.buffer);
    }

    /// Whether there are changes that have not been synced.
    #[must_use]
    pub fn has_unsynced(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns the sequence number of the last synced frame. It increases by one with each
    /// frame, so a lower number reveals a disk that was rolled back.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns the total size of all segments, in bytes.
    #[must_use]
    pub fn size(&self) -> u64 {
        self.segments.values().sum()
    }

    /// Whether the disk was full and the reserve is spent. Writes in progress use the space
    /// of the reserve, but no new work should be accepted.
    #[must_use]
    pub fn is_reserve_spent(&self) -> bool {
        self.reserve.is_spent()
    }

    /// Tries to allocate the reserve again and returns whether it is available.
    ///
    /// # Errors
    /// Fails if a disk operation fails for a reason other than a full disk.
    pub fn restore_reserve(&mut self) -> Result<bool, StorageError> {
        self.reserve.restore(&self.disk)
    }

    /// Writes and syncs all changes of all groups since the last call. Returns the number
    /// of bytes written.
    ///
    /// # Errors
    /// After [`StorageError::Full`] nothing was written, and the changes are kept for the
    /// next call. Any other error is final, since the content of the disk is unknown.
    pub fn sync(&mut self) -> Result<u64, StorageError> {
        if self.poisoned {
            let file = segment_path(self.current);
            return Err(StorageError::Poisoned { file });
        }
        if self.buffer.is_empty() {
            return Ok(0);
        }
        match self.write_frame() {
            Err(error) if !error.is_full() => {
                self.poisoned = true;
                Err(error)
            }
            result => result,
        }
    }

    fn begin_segment_if_due(&mut self) {
        let length = self.segments.get(&self.current).copied().unwrap_or(0);
        if length >= self.settings.segment_bytes {
            self.current += 1;
        }
    }

    fn write_frame(&mut self) -> Result<u64, StorageError> {
        let segment = self.current;
        let path = segment_path(segment);
        let offset = self.segments.get(&segment).copied().unwrap_or(0);
        let bytes = self.frame(FrameLocation { segment, offset })?;
        self.write_or_use_reserve(&path, offset, &bytes)?;
        self.disk.sync(&path)?;
        if offset == 0 {
            self.disk.sync_dir(DIRECTORY)?;
        }
        self.buffer.clear();
        self.sequence += 1;
        self.segments.insert(segment, offset + bytes.len() as u64);
        Ok(bytes.len() as u64)
    }

    /// Encodes the next frame. The first frame of a segment repeats the hard states and
    /// snapshot marks of older segments, so that these can be removed.
    fn frame(&self, location: FrameLocation) -> Result<Vec<u8>, StorageError> {
        let mut bytes = vec![0; HEADER_BYTES];
        if location.offset == 0 {
            for (&group, tracker) in &self.trackers {
                tracker.write_checkpoint(group, &mut bytes);
            }
        }
        bytes.extend_from_slice(&self.buffer);
        let (header, body) = bytes.split_at_mut(HEADER_BYTES);
        frame::check_length(&segment_path(location.segment), body)?;
        header.copy_from_slice(&frame::header(location, self.sequence + 1, body));
        Ok(bytes)
    }

    fn write_or_use_reserve(
        &mut self,
        path: &str,
        offset: u64,
        bytes: &[u8],
    ) -> Result<(), StorageError> {
        match self.write(path, offset, bytes) {
            Err(error) if error.is_full() && self.reserve.spend(&self.disk)? => {
                self.write(path, offset, bytes)
            }
            result => result,
        }
    }

    /// Appends to the segment. If the disk is full, the segment is restored to its previous
    /// length.
    fn write(&self, path: &str, offset: u64, bytes: &[u8]) -> Result<(), StorageError> {
        let written = self.disk.append(path, bytes);
        if matches!(&written, Err(error) if error.is_full()) {
            let exists = self.disk.length(path)?.is_some();
            if exists {
                self.disk.truncate(path, offset)?;
            }
        }
        written
    }

    /// Removes the oldest segment if no group needs it, and returns whether it did. Nothing
    /// is removed while there are unsynced changes. Only one segment is removed per call,
    /// durably, because a file system may take long to delete a file and the caller has other
    /// work to do in between.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    pub fn remove_obsolete(&mut self) -> Result<bool, StorageError> {
        if self.has_unsynced() {
            return Ok(false);
        }
        let Some((&oldest, _)) = self.segments.first_key_value() else {
            return Ok(false);
        };
        let needed = self.trackers.values().any(|tracker| tracker.needs(oldest));
        if oldest == self.current || needed {
            return Ok(false);
        }
        self.disk.remove(&segment_path(oldest))?;
        // A power loss undoes any of the removals since the last sync, not only the latest:
        // two of them could leave a gap between segments.
        self.disk.sync_dir(DIRECTORY)?;
        self.segments.remove(&oldest);
        for tracker in self.trackers.values_mut() {
            tracker.remove_before(oldest + 1);
        }
        Ok(true)
    }

    /// Returns a group whose entries prevent the removal of the oldest segment, if the log
    /// has more than `segments` segments. Appending its live entries again allows the old
    /// segments to be removed.
    #[must_use]
    pub fn lagging_group(&self, segments: usize) -> Option<GroupId> {
        if self.segments.len() <= segments {
            return None;
        }
        let oldest = self.segments.first_key_value().map(|(&oldest, _)| oldest);
        let mut trackers = self.trackers.iter();
        let lagging = trackers.find(|(_, tracker)| tracker.oldest_needed() == oldest);
        lagging.map(|(&group, _)| group)
    }
}

fn segment_path(segment: u64) -> String {
    join(DIRECTORY, &format!("{segment:020}{SUFFIX}"))
}

fn parse_name(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX)?.parse().ok()
}
