//! Files with a checksum that are replaced atomically.

use crate::{Disk, StorageError};

/// File name suffix of a file that is being written.
pub(crate) const TEMPORARY_SUFFIX: &str = ".tmp";
/// Size of the checksum before the content, in bytes.
const CHECKSUM_BYTES: usize = 4;

/// Replaces the content of `file` in `directory` atomically: after a crash the file has
/// either the old or the new content. The parts are written one after another, so that a
/// large part does not need to be copied.
///
/// # Errors
/// Fails if the disk operation fails; the old content is then kept.
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

/// Reads a file written by [`write_checked`]; `None` if it does not exist.
///
/// # Errors
/// Returns [`StorageError::Corrupt`] if the checksum does not match, or the error of the
/// disk.
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
        return Err(StorageError::corrupt(
            &path,
            0,
            "file is too short for a checksum",
        ));
    };
    if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
        return Err(StorageError::corrupt(&path, 0, "checksum mismatch"));
    }
    bytes.drain(..CHECKSUM_BYTES);
    Ok(Some(bytes))
}

/// Returns the path of `file` in `directory`.
pub(crate) fn join(directory: &str, file: &str) -> String {
    if directory.is_empty() {
        return file.to_owned();
    }
    format!("{directory}/{file}")
}
