//! File-based payload log of a group.

use std::collections::{BTreeMap, BTreeSet};

use molespan_state::{PayloadError, PayloadLocation, PayloadLog};
use molespan_types::GroupId;

use crate::checked_file::join;
use crate::layout;
use crate::{Disk, StorageError};

/// Size in bytes at which a new segment is started.
const SEGMENT_BYTES: u64 = 64 << 20;
/// Segment size in bytes for logs whose beginning is dropped when it is no longer needed.
/// Segments are only removed as a whole, and small disks have space for few.
const TRIMMED_LOG_SEGMENT_BYTES: u64 = 4 << 20;
/// Size of the length and checksum before each payload, in bytes.
const HEADER_BYTES: usize = 8;
/// File name suffix of a segment.
const SUFFIX: &str = ".payload";

/// An append-only log of payloads. Offsets include the headers, so that they are the same
/// on every replica.
///
/// Appended payloads are buffered in memory until [`FilePayloadLog::flush`], which the
/// caller runs after each batch of commands. An append therefore never fails, and a full
/// disk delays the application of commands but cannot make a replica's machine diverge from
/// the others.
#[derive(Debug)]
pub struct FilePayloadLog<D> {
    disk: D,
    directory: String,
    /// Length of each segment, by its offset in the log.
    segments: BTreeMap<u64, u64>,
    /// Size in bytes at which a new segment is started.
    segment_bytes: u64,
    /// Length of the log in files, in bytes.
    flushed: u64,
    /// Buffered bytes that are not yet in files.
    buffered: Vec<u8>,
    /// Whether files contain bytes that were not synced.
    unsynced: bool,
}

impl<D: Disk> FilePayloadLog<D> {
    /// Opens the log of `group` and truncates it to `length`, the length that the group's
    /// snapshot covers. Replaying the group's log appends the rest again.
    ///
    /// # Errors
    /// Returns [`StorageError::Corrupt`] if the log is shorter than `length`, or the error
    /// of the disk.
    pub fn open(disk: D, group: GroupId, length: u64) -> Result<Self, StorageError> {
        Self::open_part(disk, group, 0, length, SEGMENT_BYTES)
    }

    /// Opens a log that is only needed from `start` on, and whose beginning is dropped from
    /// time to time.
    ///
    /// # Errors
    /// Returns [`StorageError::Corrupt`] if the log is shorter than `length`, or the error
    /// of the disk.
    pub fn open_from(
        disk: D,
        group: GroupId,
        start: u64,
        length: u64,
    ) -> Result<Self, StorageError> {
        Self::open_part(disk, group, start, length, TRIMMED_LOG_SEGMENT_BYTES)
    }

    fn open_part(
        disk: D,
        group: GroupId,
        start: u64,
        length: u64,
        segment_bytes: u64,
    ) -> Result<Self, StorageError> {
        let directory = layout::payloads(group);
        disk.create_dir(&directory)?;
        let mut log = Self {
            disk,
            directory,
            segment_bytes,
            segments: BTreeMap::new(),
            flushed: 0,
            buffered: Vec::new(),
            unsynced: false,
        };
        log.find_segments(start)?;
        if log.flushed < length {
            let reason = format!("log is shorter than the {length} bytes required by the snapshot");
            return Err(StorageError::corrupt(&log.directory, log.flushed, reason));
        }
        log.truncate(length)?;
        Ok(log)
    }

    fn find_segments(&mut self, start: u64) -> Result<(), StorageError> {
        let names = self.disk.list(&self.directory)?;
        let offsets: BTreeSet<u64> = names.iter().filter_map(|name| parse_name(name)).collect();
        // The first segment is the one that contains `start`: a crash may have kept earlier
        // ones.
        let first = offsets.range(..=start).next_back();
        self.flushed = first.copied().unwrap_or(start);
        for offset in offsets {
            let path = self.path(offset);
            let length = self.disk.length(&path)?.unwrap_or(0);
            if offset != self.flushed {
                // The segment was dropped earlier, or is left over after a gap. The bytes
                // before the gap determine whether the log is long enough.
                self.disk.remove(&path)?;
                continue;
            }
            self.segments.insert(offset, length);
            self.flushed = offset + length;
        }
        Ok(())
    }

    /// Truncates the log to `length`, which must not be past its end.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    pub fn truncate(&mut self, length: u64) -> Result<(), StorageError> {
        self.buffered.clear();
        let removed = self.segments.split_off(&length);
        for &offset in removed.keys() {
            self.disk.remove(&self.path(offset))?;
        }
        if let Some((&offset, kept)) = self.segments.iter_mut().next_back() {
            let wanted = length - offset;
            if *kept > wanted {
                *kept = wanted;
                let path = self.path(offset);
                self.disk.truncate(&path, wanted)?;
            }
        }
        self.flushed = length;
        Ok(())
    }

    /// Writes buffered payloads to the disk without syncing them.
    ///
    /// # Errors
    /// Fails if the disk operation fails; the payloads then remain buffered.
    pub fn flush(&mut self) -> Result<(), StorageError> {
        if self.buffered.is_empty() {
            return Ok(());
        }
        let buffered = std::mem::take(&mut self.buffered);
        let written = self.write(&buffered);
        if written.is_err() {
            self.buffered = buffered;
        }
        written
    }

    /// Returns the offset at which the existing part of the log starts.
    #[must_use]
    pub fn start(&self) -> u64 {
        let first = self.segments.keys().next();
        first.copied().unwrap_or(self.flushed)
    }

    /// Removes segments that end at or before `offset`, except the last segment. State that
    /// refers to the log must already be durable without the removed segments.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    pub fn remove_segments_before(&mut self, offset: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1
            && let Some((&first, &segment_length)) = self.segments.first_key_value()
            && first + segment_length <= offset
        {
            self.disk.remove(&self.path(first))?;
            self.segments.remove(&first);
        }
        Ok(())
    }

    /// Returns the number of buffered bytes that [`FilePayloadLog::flush`] will write.
    #[must_use]
    pub fn buffered_bytes(&self) -> usize {
        self.buffered.len()
    }

    /// Makes the whole log durable.
    ///
    /// # Errors
    /// Fails if the disk operation fails; a failed sync must not be retried.
    pub fn sync(&mut self) -> Result<(), StorageError> {
        self.flush()?;
        if !self.unsynced {
            return Ok(());
        }
        if let Some(&offset) = self.segments.keys().next_back() {
            self.disk.sync(&self.path(offset))?;
        }
        self.disk.sync_dir(&self.directory)?;
        self.unsynced = false;
        Ok(())
    }

    /// Appends bytes returned by [`FilePayloadLog::read_raw`] of another replica.
    ///
    /// # Errors
    /// Fails if the disk operation fails; none of the bytes are appended then.
    pub fn append_raw(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        self.flush()?;
        self.write(bytes)
    }

    /// Reads `length` bytes from `offset`, including headers.
    ///
    /// # Errors
    /// Fails if the range is outside the log or the disk operation fails.
    pub fn read_raw(&self, offset: u64, length: usize) -> Result<Vec<u8>, StorageError> {
        let end = offset.saturating_add(length as u64);
        if end > self.length() {
            return Err(StorageError::corrupt(
                &self.directory,
                offset,
                "range is past the end of the log",
            ));
        }
        let mut bytes = Vec::with_capacity(length);
        let mut position = offset;
        while position < end.min(self.flushed) {
            let chunk = self.read_from_segment(position, end.min(self.flushed))?;
            position += chunk.len() as u64;
            bytes.extend_from_slice(&chunk);
        }
        if end > self.flushed {
            let from = (position - self.flushed) as usize;
            let to = (end - self.flushed) as usize;
            bytes.extend_from_slice(&self.buffered[from..to]);
        }
        Ok(bytes)
    }

    /// Reads the part of the range that is in its first segment.
    fn read_from_segment(&self, from: u64, to: u64) -> Result<Vec<u8>, StorageError> {
        let segment = self.segments.range(..=from).next_back();
        let Some((&offset, &segment_length)) = segment else {
            return Err(StorageError::corrupt(
                &self.directory,
                from,
                "no segment contains this offset",
            ));
        };
        let end = to.min(offset + segment_length);
        let length = (end - from) as usize;
        self.disk.read_at(&self.path(offset), from - offset, length)
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let offset = self.segment_for_writing()?;
        let path = self.path(offset);
        let segment_length = self.segments.get(&offset).copied().unwrap_or(0);
        if let Err(error) = self.disk.append(&path, bytes) {
            if self.disk.length(&path)?.is_some() {
                self.disk.truncate(&path, segment_length)?;
            }
            return Err(error);
        }
        self.segments
            .insert(offset, segment_length + bytes.len() as u64);
        self.flushed += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// Returns the offset of the segment to append to. A full segment is synced before the
    /// next one is started.
    fn segment_for_writing(&mut self) -> Result<u64, StorageError> {
        let last = self.segments.iter().next_back();
        match last.map(|(&offset, &segment_length)| (offset, segment_length)) {
            Some((offset, segment_length)) if segment_length < self.segment_bytes => Ok(offset),
            Some((offset, _)) => {
                self.disk.sync(&self.path(offset))?;
                Ok(self.flushed)
            }
            None => Ok(self.flushed),
        }
    }

    fn path(&self, offset: u64) -> String {
        join(&self.directory, &format!("{offset:020}{SUFFIX}"))
    }
}

impl<D: Disk> PayloadLog for FilePayloadLog<D> {
    fn append(&mut self, payload: &[u8]) -> Result<PayloadLocation, PayloadError> {
        let offset = self.length();
        let length = payload.len() as u32;
        self.buffered.extend_from_slice(&header(payload));
        self.buffered.extend_from_slice(payload);
        Ok(PayloadLocation { offset, length })
    }

    fn read(&self, location: PayloadLocation) -> Result<Vec<u8>, PayloadError> {
        let offset = location.offset;
        let whole = HEADER_BYTES + location.length as usize;
        if offset.saturating_add(whole as u64) > self.length() {
            return Err(PayloadError::Missing { offset });
        }
        let mut bytes = self
            .read_raw(offset, whole)
            .map_err(|error| PayloadError::Disk {
                message: error.to_string(),
            })?;
        let payload = bytes.split_off(HEADER_BYTES);
        if bytes == header(&payload) {
            Ok(payload)
        } else {
            Err(PayloadError::Corrupt { offset })
        }
    }

    fn length(&self) -> u64 {
        self.flushed + self.buffered.len() as u64
    }
}

/// Encodes the length and checksum of a payload.
fn header(payload: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    let (length, checksum) = header.split_at_mut(HEADER_BYTES / 2);
    length.copy_from_slice(&(payload.len() as u32).to_le_bytes());
    checksum.copy_from_slice(&crc32fast::hash(payload).to_le_bytes());
    header
}

fn parse_name(name: &str) -> Option<u64> {
    name.strip_suffix(SUFFIX)?.parse().ok()
}
