//! Frames, the unit of writing and syncing.

use crate::StorageError;

/// Magic number at the start of a frame.
const MAGIC: u32 = 0x6d6f_6c77;
/// Size of magic number, length, checksum and sequence number, in bytes.
pub(super) const HEADER_BYTES: usize = 20;
/// Maximum size of a body, in bytes. A greater length can only be the result of corruption.
pub(super) const MAX_BODY_BYTES: usize = 1 << 30;

/// Location of a frame. It is included in the checksum, so that stale bytes at another
/// location are never accepted as a frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct FrameLocation {
    pub segment: u64,
    pub offset: u64,
}

/// A decoded frame.
#[derive(Clone, Copy, Debug)]
pub(super) struct Frame<'a> {
    /// Sequence number of the frame in the whole log.
    pub sequence: u64,
    pub body: &'a [u8],
}

impl Frame<'_> {
    /// Returns the size of the frame with its header, in bytes.
    pub fn length(&self) -> u64 {
        (HEADER_BYTES + self.body.len()) as u64
    }
}

/// Encodes the header of a frame.
pub(super) fn header(location: FrameLocation, sequence: u64, body: &[u8]) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC.to_le_bytes());
    header[4..8].copy_from_slice(&(body.len() as u32).to_le_bytes());
    header[8..12].copy_from_slice(&checksum(location, sequence, body).to_le_bytes());
    header[12..].copy_from_slice(&sequence.to_le_bytes());
    header
}

fn checksum(location: FrameLocation, sequence: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&location.segment.to_le_bytes());
    hasher.update(&location.offset.to_le_bytes());
    hasher.update(&sequence.to_le_bytes());
    hasher.update(&(body.len() as u32).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

/// Decodes the frame at the start of `bytes`, which were read at `location`; `None` if it is
/// incomplete or invalid.
pub(super) fn parse(location: FrameLocation, bytes: &[u8]) -> Option<Frame<'_>> {
    let (header, rest) = bytes.split_first_chunk::<HEADER_BYTES>()?;
    let word = |at: usize| u32::from_le_bytes([0, 1, 2, 3].map(|byte| header[at + byte]));
    if word(0) != MAGIC {
        return None;
    }
    let length = word(4) as usize;
    if length > MAX_BODY_BYTES {
        return None;
    }
    let body = rest.get(..length)?;
    let sequence = u64::from(word(12)) | u64::from(word(16)) << 32;
    let fits = checksum(location, sequence, body) == word(8);
    fits.then_some(Frame { sequence, body })
}

/// Returns the offset of the first valid frame after `location`, if there is one.
pub(super) fn find_later(location: FrameLocation, bytes: &[u8]) -> Option<u64> {
    (1..bytes.len()).find_map(|skipped| {
        let later = FrameLocation {
            segment: location.segment,
            offset: location.offset + skipped as u64,
        };
        parse(later, &bytes[skipped..]).map(|_| later.offset)
    })
}

/// Rejects a body that is too long to be read back.
pub(super) fn check_length(file: &str, body: &[u8]) -> Result<(), StorageError> {
    if body.len() <= MAX_BODY_BYTES {
        return Ok(());
    }
    Err(StorageError::Io {
        file: file.to_owned(),
        message: format!(
            "batch of {} bytes exceeds the maximum frame size",
            body.len()
        ),
    })
}
