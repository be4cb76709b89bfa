//! State of a simulated disk.

use std::collections::BTreeMap;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::SimulatedDiskCounters;
use super::names::NameChange;
use crate::StorageError;

/// Content of a file. The first `synced` bytes survive a crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Content {
    pub(super) bytes: Vec<u8>,
    pub(super) synced: usize,
}

/// Power state, which decides whether changes succeed.
#[derive(Clone, Copy, Debug, Default)]
pub(super) enum Power {
    /// Changes succeed.
    #[default]
    On,
    /// This number of changes still succeeds.
    FailingAfter(u64),
    /// All changes fail.
    Off,
}

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) names: BTreeMap<String, u64>,
    pub(super) durable_names: BTreeMap<String, u64>,
    pub(super) pending: Vec<NameChange>,
    pub(super) contents: BTreeMap<u64, Content>,
    pub(super) next_content: u64,
    pub(super) capacity: Option<u64>,
    pub(super) failing_syncs: u32,
    pub(super) power: Power,
    pub(super) counters: SimulatedDiskCounters,
}

/// Removes or damages part of the unsynced bytes.
pub(super) fn tear(content: &mut Content, random: &mut ChaCha8Rng) {
    const MAX_DAMAGED_BYTES: usize = 16;
    if content.synced >= content.bytes.len() {
        return;
    }
    let kept = random.random_range(content.synced..=content.bytes.len());
    content.bytes.truncate(kept);
    if random.random_bool(0.3) {
        let from = kept.saturating_sub(MAX_DAMAGED_BYTES).max(content.synced);
        content.bytes[from..].fill(0);
    }
    content.synced = content.bytes.len();
}

impl State {
    /// Counts a change and rejects it without power.
    pub(super) fn count_change(&mut self, file: &str) -> Result<(), StorageError> {
        self.counters.changes += 1;
        match &mut self.power {
            Power::On => return Ok(()),
            Power::FailingAfter(left) if *left > 0 => {
                *left -= 1;
                return Ok(());
            }
            Power::FailingAfter(_) | Power::Off => self.power = Power::Off,
        }
        Err(StorageError::Io {
            file: file.to_owned(),
            message: "the power failed (simulated)".to_owned(),
        })
    }

    /// Appends bytes up to the free capacity.
    pub(super) fn write(&mut self, file: &str, bytes: &[u8]) -> Result<(), StorageError> {
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

    pub(super) fn used(&self) -> u64 {
        let named = self.names.values();
        named
            .filter_map(|content| self.contents.get(content))
            .map(|content| content.bytes.len() as u64)
            .sum()
    }

    /// Removes contents that no name refers to.
    pub(super) fn remove_unreferenced(&mut self) {
        let names = &self.names;
        let durable = &self.durable_names;
        let pending = &self.pending;
        self.contents.retain(|content, _| {
            let named = names.values().any(|named| named == content);
            let durable = durable.values().any(|named| named == content);
            // A crash may keep the name of a file and lose its removal.
            named || durable || pending.iter().any(|change| change.names(*content))
        });
    }

    pub(super) fn content_mut(&mut self, file: &str) -> Option<&mut Content> {
        let content = self.names.get(file)?;
        self.contents.get_mut(content)
    }

    pub(super) fn existing(&mut self, file: &str) -> Result<&mut Content, StorageError> {
        self.content_mut(file).ok_or_else(|| StorageError::Io {
            file: file.to_owned(),
            message: "no such file".to_owned(),
        })
    }

    pub(super) fn create(&mut self, file: &str) {
        let content = self.next_content;
        self.next_content += 1;
        self.contents.insert(content, Content::default());
        self.change(NameChange::Create {
            file: file.to_owned(),
            content,
        });
    }

    pub(super) fn change(&mut self, change: NameChange) {
        change.apply(&mut self.names);
        self.pending.push(change);
    }
}
