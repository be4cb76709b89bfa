//! The file operations that the rest of the crate is built on.

use crate::StorageError;

/// Blocking file operations under one data folder.
///
/// Paths are relative to that folder, with `/` between their parts. A handle
/// is cheap to clone, and clones see the same files. Appended bytes outlive a
/// crash only after [`Disk::sync`]; created, renamed and removed files only
/// after [`Disk::sync_dir`] of their directory.
pub trait Disk: Clone {
    /// Creates a directory and its parents, if missing. They outlive a crash on
    /// return.
    ///
    /// # Errors
    /// When the disk refuses.
    fn create_dir(&self, directory: &str) -> Result<(), StorageError>;

    /// Names of the files in a directory, sorted; none when it is missing.
    ///
    /// # Errors
    /// When the disk refuses.
    fn list(&self, directory: &str) -> Result<Vec<String>, StorageError>;

    /// Length of a file in bytes; `None` when there is none.
    ///
    /// # Errors
    /// When the disk refuses.
    fn length(&self, file: &str) -> Result<Option<u64>, StorageError>;

    /// Reads exactly `length` bytes from `offset`.
    ///
    /// # Errors
    /// When the file is missing or shorter, or the disk refuses.
    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>, StorageError>;

    /// Appends to a file and creates it when missing. After an error some of
    /// the bytes may be there.
    ///
    /// # Errors
    /// [`StorageError::Full`] when no room is left, or the disk refuses.
    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes a file's bytes outlive a crash.
    ///
    /// # Errors
    /// When the disk refuses; then nothing is known about the bytes written
    /// since the last good sync.
    fn sync(&self, file: &str) -> Result<(), StorageError>;

    /// Makes the names in a directory outlive a crash.
    ///
    /// # Errors
    /// When the disk refuses.
    fn sync_dir(&self, directory: &str) -> Result<(), StorageError>;

    /// Renames a file within its directory, over an existing one if need be.
    ///
    /// # Errors
    /// When the disk refuses.
    fn rename(&self, from: &str, to: &str) -> Result<(), StorageError>;

    /// Removes a file, if it is there.
    ///
    /// # Errors
    /// When the disk refuses.
    fn remove(&self, file: &str) -> Result<(), StorageError>;

    /// Cuts a file to `length` bytes.
    ///
    /// # Errors
    /// When the disk refuses.
    fn truncate(&self, file: &str, length: u64) -> Result<(), StorageError>;

    /// Reads a whole file; `None` when there is none.
    ///
    /// # Errors
    /// When the disk refuses.
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match self.length(file)? {
            Some(length) => self.read_at(file, 0, length as usize).map(Some),
            None => Ok(None),
        }
    }
}
