//! A disk in memory that loses and damages what real ones lose and damage.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::{Disk, StorageError};

/// What a simulated disk was asked to do so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SimulatedDiskCounters {
    /// Syncs of files.
    pub syncs: u64,
    /// Bytes appended.
    pub bytes_written: u64,
    /// Operations that change something: appends, syncs, renames and so on.
    pub changes: u64,
}

/// A disk in memory. Clones share it, so that a test keeps a handle while the
/// code under test is dropped and opened again.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

/// A file's bytes. The first `synced` of them outlive a crash.
#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    synced: usize,
}

/// A change of names that is not yet durable.
#[derive(Clone, Debug)]
enum NameChange {
    Create { file: String, content: u64 },
    Rename { from: String, to: String },
    Remove { file: String },
}

impl NameChange {
    /// The directory that it happens in.
    fn directory(&self) -> &str {
        match self {
            Self::Create { file, .. } | Self::Remove { file } => directory_of(file),
            Self::Rename { to, .. } => directory_of(to),
        }
    }

    /// Whether it gives `content` its name.
    fn creates(&self, content: u64) -> bool {
        matches!(self, Self::Create { content: created, .. } if *created == content)
    }

    /// Makes the change in `names`.
    fn apply(&self, names: &mut BTreeMap<String, u64>) {
        match self {
            Self::Create { file, content } => {
                names.insert(file.clone(), *content);
            }
            Self::Rename { from, to } => {
                if let Some(content) = names.remove(from) {
                    names.insert(to.clone(), content);
                }
            }
            Self::Remove { file } => {
                names.remove(file);
            }
        }
    }
}

/// The directory of a file; empty for the data folder itself.
fn directory_of(file: &str) -> &str {
    file.rsplit_once('/').map_or("", |(directory, _)| directory)
}

/// Whether changes are carried out.
#[derive(Clone, Copy, Debug, Default)]
enum Power {
    /// They are.
    #[default]
    On,
    /// So many more are.
    Ending(u64),
    /// None is.
    Off,
}

#[derive(Debug, Default)]
struct State {
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    pending: Vec<NameChange>,
    contents: BTreeMap<u64, Content>,
    next_content: u64,
    capacity: Option<u64>,
    failing_syncs: u32,
    power: Power,
    counters: SimulatedDiskCounters,
}

impl SimulatedDisk {
    /// A blank disk without a limit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Loses power. Bytes and names that were not synced are lost wholly, in
    /// part or not at all, and the last kept bytes may be damaged; `seed`
    /// decides.
    pub fn crash(&self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut state = self.state();
        let kept = random.random_range(0..=state.pending.len());
        let pending = std::mem::take(&mut state.pending);
        for change in &pending[..kept] {
            change.apply(&mut state.durable_names);
        }
        state.names = state.durable_names.clone();
        for content in state.contents.values_mut() {
            tear(content, &mut random);
        }
        state.drop_unnamed();
        state.failing_syncs = 0;
        state.power = Power::On;
    }

    /// Loses power and keeps exactly what was synced.
    pub fn crash_clean(&self) {
        let mut state = self.state();
        state.pending.clear();
        state.names = state.durable_names.clone();
        for content in state.contents.values_mut() {
            content.bytes.truncate(content.synced);
        }
        state.drop_unnamed();
        state.failing_syncs = 0;
        state.power = Power::On;
    }

    /// Replaces the disk by a blank one.
    pub fn lose(&self) {
        let mut state = self.state();
        let counters = state.counters;
        *state = State {
            counters,
            ..State::default()
        };
    }

    /// A copy of everything that is durable now, to be put back by
    /// [`SimulatedDisk::roll_back`].
    #[must_use]
    pub fn backup(&self) -> SimulatedDisk {
        let state = self.state();
        let copy = State {
            names: state.durable_names.clone(),
            durable_names: state.durable_names.clone(),
            contents: state.contents.clone(),
            next_content: state.next_content,
            ..State::default()
        };
        let copy = SimulatedDisk {
            state: Arc::new(Mutex::new(copy)),
        };
        copy.crash_clean();
        copy
    }

    /// Puts the files of an earlier [`SimulatedDisk::backup`] back.
    pub fn roll_back(&self, backup: &SimulatedDisk) {
        let earlier = backup.backup();
        let mut state = self.state();
        let mut earlier = earlier.state();
        state.pending.clear();
        state.names = std::mem::take(&mut earlier.names);
        state.durable_names = std::mem::take(&mut earlier.durable_names);
        state.contents = std::mem::take(&mut earlier.contents);
        state.next_content = earlier.next_content;
    }

    /// Takes all free room away, or gives unlimited room back. Removing or
    /// cutting files makes room as on a real disk.
    pub fn set_full(&self, full: bool) {
        let mut state = self.state();
        state.capacity = full.then(|| state.used());
    }

    /// Leaves room for so many more bytes.
    pub fn set_free(&self, bytes: u64) {
        let mut state = self.state();
        state.capacity = Some(state.used() + bytes);
    }

    /// Lets the next `count` syncs of files fail.
    pub fn fail_syncs(&self, count: u32) {
        self.state().failing_syncs = count;
    }

    /// Fails every operation after `changes` more changes. The append that comes
    /// next still writes half of its bytes. A crash brings the power back.
    pub fn fail_power_after(&self, changes: u64) {
        self.state().power = Power::Ending(changes);
    }

    /// Flips bits of one byte, durably. Returns whether there is such a byte.
    pub fn flip(&self, file: &str, offset: u64) -> bool {
        const EVERY_OTHER_BIT: u8 = 0x55;
        let mut state = self.state();
        let Some(content) = state.content_mut(file) else {
            return false;
        };
        match content.bytes.get_mut(offset as usize) {
            Some(byte) => {
                *byte ^= EVERY_OTHER_BIT;
                true
            }
            None => false,
        }
    }

    /// Every file, sorted.
    #[must_use]
    pub fn files(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// What it was asked to do so far.
    #[must_use]
    pub fn counters(&self) -> SimulatedDiskCounters {
        self.state().counters
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Loses part of what was not synced.
fn tear(content: &mut Content, random: &mut ChaCha8Rng) {
    const DAMAGED_AT_MOST: usize = 16;
    if content.synced >= content.bytes.len() {
        return;
    }
    let kept = random.random_range(content.synced..=content.bytes.len());
    content.bytes.truncate(kept);
    if random.random_bool(0.3) {
        let from = kept.saturating_sub(DAMAGED_AT_MOST).max(content.synced);
        content.bytes[from..].fill(0);
    }
    content.synced = content.bytes.len();
}

impl State {
    /// Counts a change; refuses it without power.
    fn note_change(&mut self, file: &str) -> Result<(), StorageError> {
        self.counters.changes += 1;
        match &mut self.power {
            Power::On => return Ok(()),
            Power::Ending(left) if *left > 0 => {
                *left -= 1;
                return Ok(());
            }
            Power::Ending(_) | Power::Off => self.power = Power::Off,
        }
        Err(StorageError::Io {
            file: file.to_owned(),
            message: "the power has failed".to_owned(),
        })
    }

    /// Adds bytes, as far as there is room.
    fn write(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
        if !self.names.contains_key(file) {
            self.create(file);
        }
        let free = match self.capacity {
            Some(capacity) => capacity.saturating_sub(self.used()) as usize,
            None => usize::MAX,
        };
        let fits = bytes.len().min(free);
        self.counters.bytes_written += fits as u64;
        let content = self.existing(file)?;
        content.bytes.extend_from_slice(&bytes[..fits]);
        if fits < bytes.len() {
            let file = file.to_owned();
            return Err(StorageError::Full { file });
        }
        Ok(())
    }

    fn used(&self) -> u64 {
        let named = self.names.values();
        named
            .filter_map(|content| self.contents.get(content))
            .map(|content| content.bytes.len() as u64)
            .sum()
    }

    /// Forgets contents that no name leads to.
    fn drop_unnamed(&mut self) {
        let names = &self.names;
        let durable = &self.durable_names;
        let pending = &self.pending;
        self.contents.retain(|content, _| {
            let named = names.values().any(|named| named == content);
            let durable = durable.values().any(|named| named == content);
            // A crash may keep the creation of a file and lose its removal.
            named || durable || pending.iter().any(|change| change.creates(*content))
        });
    }

    fn content_mut(&mut self, file: &str) -> Option<&mut Content> {
        let content = self.names.get(file)?;
        self.contents.get_mut(content)
    }

    fn existing(&mut self, file: &str) -> Result<&mut Content, StorageError> {
        self.content_mut(file).ok_or_else(|| StorageError::Io {
            file: file.to_owned(),
            message: "no such file".to_owned(),
        })
    }

    fn create(&mut self, file: &str) {
        let content = self.next_content;
        self.next_content += 1;
        self.contents.insert(content, Content::default());
        self.change(NameChange::Create {
            file: file.to_owned(),
            content,
        });
    }

    fn change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending.push(change);
    }
}

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
        let fails_now = matches!(state.power, Power::Ending(0));
        if let Err(error) = state.note_change(file) {
            if fails_now {
                state.write(file, &bytes[..bytes.len() / 2])?;
            }
            return Err(error);
        }
        state.write(file, bytes)
    }

    fn sync(&self, file: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.note_change(file)?;
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
        state.note_change(directory)?;
        let pending = std::mem::take(&mut state.pending);
        for change in pending {
            if change.directory() == directory {
                change.apply(&mut state.durable_names);
            } else {
                state.pending.push(change);
            }
        }
        state.drop_unnamed();
        Ok(())
    }

    fn rename(&self, from: &str, to: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.note_change(from)?;
        state.existing(from)?;
        state.change(NameChange::Rename {
            from: from.to_owned(),
            to: to.to_owned(),
        });
        Ok(())
    }

    fn remove(&self, file: &str) -> Result<(), StorageError> {
        let mut state = self.state();
        state.note_change(file)?;
        if state.names.contains_key(file) {
            state.change(NameChange::Remove {
                file: file.to_owned(),
            });
        }
        Ok(())
    }

    fn truncate(&self, file: &str, length: u64) -> Result<(), StorageError> {
        let mut state = self.state();
        state.note_change(file)?;
        let content = state.existing(file)?;
        content.bytes.truncate(length as usize);
        content.synced = content.synced.min(content.bytes.len());
        Ok(())
    }
}
