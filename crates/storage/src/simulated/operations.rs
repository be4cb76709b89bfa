//! Disk operations of the simulated disk.

use super::SimulatedDisk;
use super::names::{NameChange, directory_of};
use super::state::Power;
use crate::{Disk, StorageError};

impl Disk for SimulatedDisk {
    fn create_dir(&self, _directory: &str) -> Result<(), StorageError> {
        Ok(())
    }

    fn list(&self, directory: &str) -> Result<Vec<String>, StorageError> {
        let state = self.state();
        let inside = state
            .names
            .keys()
            .filter(|file| directory_of(file) == directory);
        Ok(inside
            .map(|file| file.rsplit('/').next().unwrap_or(file).to_owned())
            .collect())
    }

    fn length(&self, file: &str) -> Result<Option<u64>, StorageError> {
        let mut state = self.state();
        let content = state.content_mut(file);
        Ok(content.map(|content| content.bytes.len() as u64))
    }

    fn read_at(&self, file: &str, offset: u64, length: usize) -> Result<Vec<u8>, StorageError> {
        let mut state = self.state();
        let content = state.existing(file)?;
        let start = offset as usize;
        let range = content.bytes.get(start..start.saturating_add(length));
        range.map(<[u8]>::to_vec).ok_or_else(|| StorageError::Io {
            file: file.to_owned(),
            message: "read past the end".to_owned(),
        })
    }

    fn append(&self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        let mut state = self.state();
        let fails_now = matches!(state.power, Power::FailingAfter(0));
        if let Err(error) = state.count_change(file) {
            if fails_now {
                state.write(file, &bytes[..bytes.len() / 2])?;
            }
            return Err(error);
        }
        state.write(file, bytes)
    }

    fn sync(&self, file: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.count_change(file)?;
        state.counters.syncs += 1;
        if state.failing_syncs > 0 {
            state.failing_syncs -= 1;
            return Err(StorageError::Io {
                file: file.to_owned(),
                message: "sync failed".to_owned(),
            });
        }
        let content = state.existing(file)?;
        content.synced = content.bytes.len();
        Ok(())
    }

    fn sync_dir(&self, directory: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.count_change(directory)?;
        let pending = std::mem::take(&mut state.pending);
        for change in pending {
            if change.directory() == directory {
                change.apply(&mut state.durable_names);
            } else {
                state.pending.push(change);
            }
        }
        state.remove_unreferenced();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.count_change(from)?;
        state.existing(from)?;
        let content = state.names[from];
        state.change(NameChange::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
            content,
        });
        Ok(())
    }

    fn remove(&self, file: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.count_change(file)?;
        if state.names.contains_key(file) {
            state.change(NameChange::Remove {
                file: file.to_owned(),
            });
        }
        Ok(())
    }

    fn truncate(&self, file: &str, length: u64) -> Result<(), StorageError> {
        let mut state = self.state();
        state.count_change(file)?;
        let content = state.existing(file)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(content.bytes.len());
        Ok(())
    }
}
