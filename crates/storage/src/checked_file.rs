//! Small files that are replaced as a whole and carry a checksum.

use crate::{Disk, StorageError};

/// Suffix of a file that is being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";
/// Bytes of the checksum in front of the content.
const CHECKSUM_BYTES: usize = 4;

/// Replaces `file` in `directory` by one with this content. After a crash
/// either the old or the new content is there, never a mix. The parts are
/// written one after the other, so that a large one needs no copy.
///
/// # Errors
/// When the disk refuses; then the old content stands.
pub fn write_checked<D: Disk>(
    disk: &D,
    directory: &str,
    file: &str,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    let path = join(directory, file);
    let temporary = format!("{path}{TEMPORARY_SUFFIX}");
    let mut checksum = crc32fast::Hasher::new();
    for part in parts {
        checksum.update(part);
    }
    disk.remove(&temporary)?;
    let written = write_parts(disk, &temporary, checksum.finalize(), parts);
    if let Err(error) = written {
        disk.remove(&temporary)?;
        return Err(error);
    }
    disk.rename(&temporary, &path)?;
    disk.sync_dir(directory)
}

fn write_parts<D: Disk>(
    disk: &D,
    temporary: &str,
    checksum: u32,
    parts: &[&[u8]],
) -> Result<(), StorageError> {
    disk.append(temporary, &checksum.to_le_bytes())?;
    for part in parts {
        disk.append(temporary, part)?;
    }
    disk.sync(temporary)
}

/// Reads a file that [`write_checked`] wrote; `None` when there is none.
///
/// # Errors
/// [`StorageError::Corrupt`] when the checksum does not fit.
pub fn read_checked<D: Disk>(
    disk: &D,
    directory: &str,
    file: &str,
) -> Result<Option<Vec<u8>>, StorageError> {
    let path = join(directory, file);
    let Some(mut bytes) = disk.read(&path)? else {
        return Ok(None);
    };
    let Some((checksum, content)) = bytes.split_first_chunk::<CHECKSUM_BYTES>() else {
        return Err(StorageError::corrupt(&path, 0, "too short"));
    };
    if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
        return Err(StorageError::corrupt(&path, 0, "checksum does not fit"));
    }
    bytes.drain(..CHECKSUM_BYTES);
    Ok(Some(bytes))
}

/// The path of `file` in `directory`.
pub(crate) fn join(directory: &str, file: &str) -> String {
    if directory.is_empty() {
        return file.to_owned();
    }
    format!("{directory}/{file}")
}
