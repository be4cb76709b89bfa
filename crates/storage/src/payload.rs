//! The payload log of a group in files.

use std::collections::{BTreeMap, BTreeSet};

use molespan_state::{PayloadError, PayloadLocation, PayloadLog};
use molespan_types::GroupId;

use crate::checked_file::join;
use crate::layout;
use crate::{Disk, StorageError};

/// Bytes after which a new segment is begun.
const SEGMENT_BYTES: u64 = 64 << 20;
/// The same of a log whose beginning is dropped when it is not needed any more: a segment
/// goes as a whole, and small disks have room for few.
const SHORT_SEGMENT_BYTES: u64 = 4 << 20;
/// Bytes of length and checksum in front of each payload.
const HEADER_BYTES: usize = 8;
/// Suffix of a segment's file.
const SUFFIX: &str = ".payload";

/// An append-only log of payloads. Offsets count the headers too, so that
/// they are the same on every replica.
///
/// Appended payloads wait in memory until [`FilePayloadLog::flush`], which the
/// caller runs after each batch of commands: so an append never fails, and a
/// full disk holds up the application of commands but cannot make a replica's
/// machine differ from the others.
#[derive(Debug)]
pub struct FilePayloadLog<D> {
    disk: D,
    directory: String,
    /// Length of each segment by its offset in the log.
    segments: BTreeMap<u64, u64>,
    /// Bytes after which a new segment is begun.
    segment_bytes: u64,
    /// Bytes in files.
    flushed: u64,
    /// Bytes not yet in files.
    waiting: Vec<u8>,
    /// Whether files hold bytes that were not synced.
    unsynced: bool,
}

impl<D: Disk> FilePayloadLog<D> {
    /// Opens the log of `group` and cuts it to `length`, the length that the
    /// group's snapshot covers. Replaying the group's log appends the rest
    /// again.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when the log is shorter than that.
    pub fn open(disk: D, group: GroupId, length: u64) -> Result<Self, StorageError> {
        Self::open_part(disk, group, 0, length, SEGMENT_BYTES)
    }

    /// The same of a log that is needed from `start` on only, and whose beginning is
    /// dropped from time to time.
    ///
    /// # Errors
    /// [`StorageError::Corrupt`] when the log is shorter than `length`.
    pub fn open_from(
        disk: D,
        group: GroupId,
        start: u64,
        length: u64,
    ) -> Result<Self, StorageError> {
        Self::open_part(disk, group, start, length, SHORT_SEGMENT_BYTES)
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
            waiting: Vec::new(),
            unsynced: false,
        };
        log.find_segments(start)?;
        if log.flushed < length {
            let reason = format!("snapshot needs {length} bytes");
            return Err(StorageError::corrupt(&log.directory, log.flushed, reason));
        }
        log.truncate(length)?;
        Ok(log)
    }

    fn find_segments(&mut self, start: u64) -> Result<(), StorageError> {
        let names = self.disk.list(&self.directory)?;
        let offsets: BTreeSet<u64> = names.iter().filter_map(|name| parse_name(name)).collect();
        // The one that holds the start is the first: a crash may have kept earlier ones.
        let first = offsets.range(..=start).next_back();
        self.flushed = first.copied().unwrap_or(start);
        for offset in offsets {
            let path = self.path(offset);
            let length = self.disk.length(&path)?.unwrap_or(0);
            if offset != self.flushed {
                // Dropped before, or left over behind a gap; the bytes before that decide
                // whether enough of the log is there.
                self.disk.remove(&path)?;
                continue;
            }
            self.segments.insert(offset, length);
            self.flushed = offset + length;
        }
        Ok(())
    }

    /// Cuts the log to `length`, which must not lie past its end.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn truncate(&mut self, length: u64) -> Result<(), StorageError> {
        self.waiting.clear();
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

    /// Hands waiting payloads to the disk. They are not synced yet.
    ///
    /// # Errors
    /// When the disk refuses; the payloads go on waiting.
    pub fn flush(&mut self) -> Result<(), StorageError> {
        if self.waiting.is_empty() {
            return Ok(());
        }
        let waiting = std::mem::take(&mut self.waiting);
        let written = self.write(&waiting);
        if written.is_err() {
            self.waiting = waiting;
        }
        written
    }

    /// Where what is there of the log begins.
    #[must_use]
    pub fn start(&self) -> u64 {
        let first = self.segments.keys().next();
        first.copied().unwrap_or(self.flushed)
    }

    /// Removes segments of which nothing at `offset` or behind is part, but for the last.
    /// What rests on the log must outlive a crash without them by now.
    ///
    /// # Errors
    /// When the disk refuses.
    pub fn drop_before(&mut self, offset: u64) -> Result<(), StorageError> {
        while self.segments.len() > 1
            && let Some((&first, &held)) = self.segments.first_key_value()
            && first + held <= offset
        {
            self.disk.remove(&self.path(first))?;
            self.segments.remove(&first);
        }
        Ok(())
    }

    /// Bytes that wait for [`FilePayloadLog::flush`].
    #[must_use]
    pub fn waiting_bytes(&self) -> usize {
        self.waiting.len()
    }

    /// Makes the whole log outlive a crash.
    ///
    /// # Errors
    /// When the disk refuses; a failed sync must not be tried again.
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

    /// Appends bytes that another replica's [`FilePayloadLog::read_raw`] gave.
    ///
    /// # Errors
    /// When the disk refuses; then none of them were appended.
    pub fn append_raw(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        self.flush()?;
        self.write(bytes)
    }

    /// Reads `length` bytes from `offset`, headers included.
    ///
    /// # Errors
    /// When the range lies outside the log or the disk refuses.
    pub fn read_raw(&self, offset: u64, length: usize) -> Result<Vec<u8>, StorageError> {
        let end = offset.saturating_add(length as u64);
        if end > self.length() {
            return Err(StorageError::corrupt(
                &self.directory,
                offset,
                "range lies past the end",
            ));
        }
        let mut bytes = Vec::with_capacity(length);
        let mut position = offset;
        while position < end.min(self.flushed) {
            let piece = self.read_piece(position, end.min(self.flushed))?;
            position += piece.len() as u64;
            bytes.extend_from_slice(&piece);
        }
        if end > self.flushed {
            let from = (position - self.flushed) as usize;
            let to = (end - self.flushed) as usize;
            bytes.extend_from_slice(&self.waiting[from..to]);
        }
        Ok(bytes)
    }

    /// Reads what one segment has of the range.
    fn read_piece(&self, from: u64, to: u64) -> Result<Vec<u8>, StorageError> {
        let segment = self.segments.range(..=from).next_back();
        let Some((&offset, &held)) = segment else {
            return Err(StorageError::corrupt(&self.directory, from, "no segment"));
        };
        let end = to.min(offset + held);
        let length = (end - from) as usize;
        self.disk.read_at(&self.path(offset), from - offset, length)
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), StorageError> {
        let offset = self.segment_for_writing()?;
        let path = self.path(offset);
        let held = self.segments.get(&offset).copied().unwrap_or(0);
        if let Err(error) = self.disk.append(&path, bytes) {
            if self.disk.length(&path)?.is_some() {
                self.disk.truncate(&path, held)?;
            }
            return Err(error);
        }
        self.segments.insert(offset, held + bytes.len() as u64);
        self.flushed += bytes.len() as u64;
        self.unsynced = true;
        Ok(())
    }

    /// The segment that takes the next bytes. A finished one is synced before
    /// the next is begun.
    fn segment_for_writing(&mut self) -> Result<u64, StorageError> {
        let last = self.segments.iter().next_back();
        match last.map(|(&offset, &held)| (offset, held)) {
            Some((offset, held)) if held < self.segment_bytes => Ok(offset),
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
        self.waiting.extend_from_slice(&header(payload));
        self.waiting.extend_from_slice(payload);
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
        self.flushed + self.waiting.len() as u64
    }
}

/// Length and checksum of a payload as they stand in the log.
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
