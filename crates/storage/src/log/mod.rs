//! The write-ahead log: one for every group of a process.

mod frame;
mod record;
mod recovery;
mod reserve;
mod track;

use std::collections::BTreeMap;

use molespan_types::GroupId;

use crate::checked_file::join;
use crate::{Disk, StorageError};
use frame::{HEADER_BYTES, Place};
use record::Record;
use recovery::Reader;
pub use recovery::{GroupRecovery, Recovery};
use reserve::Reserve;
use track::Track;

use crate::layout::LOG as DIRECTORY;
/// Suffix of a segment's file.
const SUFFIX: &str = ".segment";

/// Sizes of the log.
#[derive(Clone, Copy, Debug)]
pub struct LogSettings {
    /// A new segment is begun once one has as many bytes.
    pub segment_bytes: u64,
    /// Bytes held back for the writes that are under way when the disk fills.
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
    /// Position in that log.
    pub index: u64,
    /// The entry.
    pub bytes: Vec<u8>,
}

/// A group's latest snapshot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SnapshotMark {
    /// Last entry that it covers.
    pub index: u64,
    /// What the caller needs to know of it; small.
    pub bytes: Vec<u8>,
}

/// The write-ahead log of all groups.
///
/// Changes are gathered and become durable together with one
/// [`WriteAheadLog::sync`]: a frame with one checksum, written and synced
/// before the next is begun.
#[derive(Debug)]
pub struct WriteAheadLog<D> {
    disk: D,
    settings: LogSettings,
    tracks: BTreeMap<GroupId, Track>,
    /// Length of each segment.
    segments: BTreeMap<u64, u64>,
    /// Segment that is written to.
    current: u64,
    /// Number of the last synced frame.
    sequence: u64,
    buffer: Vec<u8>,
    reserve: Reserve,
    poisoned: bool,
}

impl<D: Disk> WriteAheadLog<D> {
    /// Opens the log and reads it back.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when synced bytes are damaged, or the disk
    /// refuses.
    pub fn open(disk: D, settings: LogSettings) -> Result<(Self, Recovery), StorageError> {
        disk.create_dir(DIRECTORY)?;
        let names = disk.list(DIRECTORY)?;
        let numbers: Vec<u64> = names.iter().filter_map(|name| parse_name(name)).collect();
        let mut reader = Reader::new(&disk);
        reader.run(&numbers)?;
        let recovery = std::mem::take(&mut reader.recovery);
        let tracks = std::mem::take(&mut reader.tracks);
        let segments = std::mem::take(&mut reader.segments);
        let sequence = reader.sequence.unwrap_or(0);
        let current = numbers.last().copied().unwrap_or(1);
        if !numbers.is_empty() {
            // A write whose sync was cut short may be whole by luck: make
            // sure of it before anything rests on it.
            disk.sync(&segment_path(current))?;
            disk.sync_dir(DIRECTORY)?;
        }
        let reserve = Reserve::open(&disk, settings.reserve_bytes)?;
        let log = Self {
            disk,
            settings,
            tracks,
            segments,
            current,
            sequence,
            buffer: Vec::new(),
            reserve,
            poisoned: false,
        };
        Ok((log, recovery))
    }

    /// Adds an entry. It replaces those at its index and behind.
    pub fn append_entry(&mut self, group: GroupId, index: u64, body: &[u8]) {
        let body = body.into();
        self.append(Record::Entry { group, index, body });
    }

    /// Replaces a group's hard state.
    pub fn set_hard_state(&mut self, group: GroupId, body: &[u8]) {
        let body = body.into();
        self.append(Record::HardState { group, body });
    }

    /// Notes that a durable snapshot covers the entries up to `index`.
    pub fn mark_snapshot(&mut self, group: GroupId, index: u64, body: &[u8]) {
        let body = body.into();
        self.append(Record::Snapshot { group, index, body });
    }

    /// Drops a group's entries from `from` on.
    pub fn truncate(&mut self, group: GroupId, from: u64) {
        self.append(Record::Truncate { group, from });
    }

    fn append(&mut self, record: Record<'_>) {
        if self.buffer.is_empty() {
            // Only here, so that all records of a frame are noted for the
            // segment that the frame will lie in.
            self.begin_segment_if_due();
        }
        let track = self.tracks.entry(record.group()).or_default();
        track.note(&record, self.current);
        record.write(&mut self.buffer);
    }

    /// Whether changes wait for [`WriteAheadLog::sync`].
    #[must_use]
    pub fn has_unsynced(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Number of the last synced frame. It rises by one with each, and a disk
    /// that was rolled back shows a lower one.
    #[must_use]
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Bytes in all segments.
    #[must_use]
    pub fn size(&self) -> u64 {
        self.segments.values().sum()
    }

    /// Whether the disk was full at the last write. What is under way is
    /// carried by the reserve, but nothing new should be taken in.
    #[must_use]
    pub fn is_low(&self) -> bool {
        self.reserve.is_spent()
    }

    /// Tries to set the reserve aside again; says whether it is there.
    ///
    /// # Errors
    /// When the disk refuses for another reason than that it is full.
    pub fn restore_reserve(&mut self) -> Result<bool, StorageError> {
        self.reserve.restore(&self.disk)
    }

    /// Writes and syncs every change since the last call, of all groups at
    /// once. Returns the bytes written.
    ///
    /// # Errors
    /// [`StorageError::Full`]: nothing was written, and the changes wait for
    /// the next call. Any other error is final: what is on disk is unknown.
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
        let bytes = self.frame(Place { segment, offset })?;
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

    /// The next frame. The first one of a segment repeats what older segments
    /// hold besides entries, so that these can be removed.
    fn frame(&self, place: Place) -> Result<Vec<u8>, StorageError> {
        let mut bytes = vec![0; HEADER_BYTES];
        if place.offset == 0 {
            for (&group, track) in &self.tracks {
                track.write_checkpoint(group, &mut bytes);
            }
        }
        bytes.extend_from_slice(&self.buffer);
        let (header, body) = bytes.split_at_mut(HEADER_BYTES);
        frame::check_length(&segment_path(place.segment), body)?;
        header.copy_from_slice(&frame::header(place, self.sequence + 1, body));
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

    /// Appends to the segment; on a full disk it is as before afterwards.
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

    /// Removes the oldest segment if no group needs it; says whether it did.
    /// Changes must have been synced first; with some waiting nothing is
    /// removed. It is one at a time because a file system may take long over
    /// a file, and a caller has other things to do in between.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn remove_obsolete(&mut self) -> Result<bool, StorageError> {
        if self.has_unsynced() {
            return Ok(false);
        }
        let Some((&oldest, _)) = self.segments.first_key_value() else {
            return Ok(false);
        };
        let needed = self.tracks.values().any(|track| track.needs(oldest));
        if oldest == self.current || needed {
            return Ok(false);
        }
        self.disk.remove(&segment_path(oldest))?;
        self.segments.remove(&oldest);
        for track in self.tracks.values_mut() {
            track.forget_before(oldest + 1);
        }
        Ok(true)
    }

    /// The group whose entries keep the oldest segment alive, when the log has
    /// more than `segments` of them. Appending its live entries again lets the
    /// old ones go.
    #[must_use]
    pub fn lagging_group(&self, segments: usize) -> Option<GroupId> {
        if self.segments.len() <= segments {
            return None;
        }
        let oldest = self.segments.first_key_value().map(|(&oldest, _)| oldest);
        let mut tracks = self.tracks.iter();
        let lagging = tracks.find(|(_, track)| track.oldest_needed() == oldest);
        lagging.map(|(&group, _)| group)
    }
}

fn segment_path(segment: u64) -> String {
    join(DIRECTORY, &format!("{segment:020}{SUFFIX}"))
}

fn parse_name(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX)?.parse().ok()
}
