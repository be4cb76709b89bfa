//! A disk backed by files of the operating system.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions};
use std::io::{self, ErrorKind, Write};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use crate::checked_file::join;
use crate::{Disk, StorageError};

/// Maximum number of cached open files; when it is reached, all are closed and reopened on
/// demand.
const MAX_OPEN_FILES: usize = 64;

/// A data folder in the file system.
#[derive(Clone, Debug)]
pub struct RealDisk {
    root: Arc<PathBuf>,
    open: Arc<Mutex<HashMap<String, Arc<File>>>>,
}

impl RealDisk {
    /// Opens the folder at `root` and creates it if it is missing.
    ///
    /// # Errors
    /// Fails if the folder cannot be created.
    pub fn open(root: impl AsRef<Path>) -> Result<Self, StorageError> {
        let root = root.as_ref().to_path_buf();
        fs::create_dir_all(&root).map_err(|error| io_error(".", &error))?;
        Ok(Self {
            root: Arc::new(root),
            open: Arc::default(),
        })
    }

    /// Returns the path of a file in the file system.
    fn path(&self, file: &str) -> PathBuf {
        self.root.join(file)
    }

    /// Locks and returns the cached open files.
    fn handles(&self) -> MutexGuard<'_, HashMap<String, Arc<File>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates a directory if it is missing and makes its name durable.
    fn create_child(&self, parent: &str, child: &str) -> Result<(), StorageError> {
        match fs::create_dir(self.path(child)) {
            Ok(()) => self.sync_dir(parent),
            Err(error) if error.kind() == ErrorKind::AlreadyExists => Ok(()),
            Err(error) => Err(io_error(child, &error)),
        }
    }

    /// Removes an open file from the cache, since its name is about to change.
    fn close(&self, file: &str) {
        self.handles().remove(file);
    }

    /// Returns a file opened for reading and appending.
    fn handle(&self, file: &str, create: bool) -> Result<Arc<File>, StorageError> {
        let mut handles = self.handles();
        if let Some(handle) = handles.get(file) {
            return Ok(handle.clone());
        }
        let opened = OpenOptions::new()
            .read(true)
            .append(true)
            .create(create)
            .open(self.path(file))
            .map_err(|error| io_error(file, &error))?;
        if handles.len() >= MAX_OPEN_FILES {
            handles.clear();
        }
        let handle = Arc::new(opened);
        handles.insert(file.to_owned(), handle.clone());
        Ok(handle)
    }
}

/// Converts an error of the operating system.
fn io_error(file: &str, error: &io::Error) -> StorageError {
    let file = file.to_owned();
    match error.kind() {
        ErrorKind::StorageFull | ErrorKind::QuotaExceeded => StorageError::Full { file },
        _ => StorageError::Io {
            file,
            message: error.to_string(),
        },
    }
}

impl Disk for RealDisk {
    fn create_dir(&self, directory: &str) -> Result<(), StorageError> {
        let mut parent = String::new();
        for name in directory.split('/') {
            let child = join(&parent, name);
            self.create_child(&parent, &child)?;
            parent = child;
        }
        Ok(())
    }

    fn list(&self, directory: &str) -> Result<Vec<String>, StorageError> {
        let entries = match fs::read_dir(self.path(directory)) {
            Ok(entries) => entries,
            Err(error) if error.kind() == ErrorKind::NotFound => return Ok(Vec::new()),
            Err(error) => return Err(io_error(directory, &error)),
        };
        let mut names = Vec::new();
        for entry in entries {
            let entry = entry.map_err(|error| io_error(directory, &error))?;
            if entry.path().is_file() {
                names.push(entry.file_name().to_string_lossy().into_owned());
            }
        }
        names.sort();
        Ok(names)
    }

    fn length(&self, file: &str) -> Result<Option<u64>, StorageError> {
        match fs::metadata(self.path(file)) {
            Ok(metadata) => Ok(Some(metadata.len())),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(io_error(file, &error)),
        }
    }

    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>, StorageError> {
        let handle = self.handle(file, false)?;
        let mut bytes = vec![0; length];
        handle
            .read_exact_at(&mut bytes, offset)
            .map_err(|error| io_error(file, &error))?;
        Ok(bytes)
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let handle = self.handle(file, true)?;
        (&*handle)
            .write_all(bytes)
            .map_err(|error| io_error(file, &error))
    }

    fn sync(&self, file: &str) -> Result<(), StorageError> {
        let handle = self.handle(file, false)?;
        handle.sync_data().map_err(|error| io_error(file, &error))
    }

    fn sync_dir(&self, directory: &str) -> Result<(), StorageError> {
        File::open(self.path(directory))
            .and_then(|opened| opened.sync_all())
            .map_err(|error| io_error(directory, &error))
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), StorageError> {
        self.close(from);
        self.close(to);
        fs::rename(self.path(from), self.path(to)).map_err(|error| io_error(from, &error))
    }

    fn remove(&self, file: &str) -> Result<(), StorageError> {
        self.close(file);
        match fs::remove_file(self.path(file)) {
            Err(error) if error.kind() != ErrorKind::NotFound => Err(io_error(file, &error)),
            _ => Ok(()),
        }
    }

    fn truncate(&self, file: &str, length: u64) -> Result<(), StorageError> {
        let handle = self.handle(file, false)?;
        handle
            .set_len(length)
            .map_err(|error| io_error(file, &error))
    }
}
