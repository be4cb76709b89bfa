//! Abstraction of the file operations used by this crate.

use crate::StorageError;

/// Blocking file operations under one data folder.
///
/// Paths are relative to that folder and use `/` as the separator. A handle is cheap to
/// clone, and clones share the same files. Appended bytes survive a crash only after
/// [`Disk::sync`]; created, renamed and removed files only after [`Disk::sync_dir`] of
/// their directory.
pub trait Disk: Clone {
    /// Creates a directory and its parents if they are missing. They are durable on return.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn create_dir(&self, directory: &str) -> Result<(), StorageError>;

    /// Returns the sorted names of the files in a directory; empty if the directory is
    /// missing.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn list(&self, directory: &str) -> Result<Vec<String>, StorageError>;

    /// Returns the length of a file in bytes, or `None` if it does not exist.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn length(&self, file: &str) -> Result<Option<u64>, StorageError>;

    /// Reads exactly `length` bytes from `offset`.
    ///
    /// # Errors
    /// Fails if the file is missing or too short, or if the disk operation fails.
    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>, StorageError>;

    /// Appends to a file and creates it if it is missing. After an error some of the bytes
    /// may have been written.
    ///
    /// # Errors
    /// Returns [`StorageError::Full`] if no space is left, or another error of the disk.
    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), StorageError>;

    /// Makes the content of a file durable.
    ///
    /// # Errors
    /// Fails if the disk operation fails; the state of bytes written since the last
    /// successful sync is then unknown.
    fn sync(&self, file: &str) -> Result<(), StorageError>;

    /// Makes the names in a directory durable.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn sync_dir(&self, directory: &str) -> Result<(), StorageError>;

    /// Renames a file within its directory, replacing an existing one.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn rename(&self, from: &str, to: &str) -> Result<(), StorageError>;

    /// Removes a file if it exists.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn remove(&self, file: &str) -> Result<(), StorageError>;

    /// Truncates a file to `length` bytes.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn truncate(&self, file: &str, length: u64) -> Result<(), StorageError>;

    /// Reads a whole file; `None` if it does not exist.
    ///
    /// # Errors
    /// Fails if the disk operation fails.
    fn read(&self, file: &str) -> Result<Option<Vec<u8>>, StorageError> {
        match self.length(file)? {
            Some(length) => self.read_at(file, 0, length as usize).map(Some),
            None => Ok(None),
        }
    }
}
