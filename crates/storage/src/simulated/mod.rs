//! An in-memory disk that simulates the data loss and corruption of real disks.

mod names;
mod operations;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::{Power, State, tear};

/// Operation counters of a simulated disk.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SimulatedDiskCounters {
    /// Number of file syncs.
    pub syncs: u64,
    /// Number of bytes appended.
    pub bytes_written: u64,
    /// Number of operations that change the disk: appends, syncs, renames and so on.
    pub changes: u64,
}

/// An in-memory disk. Clones share its state, so that a test can keep a handle while the
/// code under test is dropped and opened again.
#[derive(Clone, Debug, Default)]
pub struct SimulatedDisk {
    state: Arc<Mutex<State>>,
}

impl SimulatedDisk {
    /// Creates an empty disk without a capacity limit.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Simulates a power loss. Unsynced bytes and names are lost completely, partly or not
    /// at all, and the last kept unsynced bytes may be damaged, depending on `seed`. Names are
    /// lost from some change on, or each on its own.
    pub fn crash(&self, seed: u64) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut state = self.state();
        let mut pending = std::mem::take(&mut state.pending);
        if random.random_bool(0.5) {
            pending.truncate(random.random_range(0..=pending.len()));
        } else {
            pending.retain(|_| random.random_bool(0.5));
        }
        for change in &pending {
            change.apply(&mut state.durable_names);
        }
        state.names = state.durable_names.clone();
        for content in state.contents.values_mut() {
            tear(content, &mut random);
        }
        state.remove_unreferenced();
        state.failing_syncs = 0;
        state.power = Power::On;
    }

    /// Simulates a power loss that keeps exactly the synced data.
    pub fn crash_to_synced(&self) {
        let mut state = self.state();
        state.pending.clear();
        state.names = state.durable_names.clone();
        for content in state.contents.values_mut() {
            content.bytes.truncate(content.synced);
        }
        state.remove_unreferenced();
        state.failing_syncs = 0;
        state.power = Power::On;
    }

    /// Replaces the disk with an empty one.
    pub fn erase(&self) {
        let mut state = self.state();
        let counters = state.counters;
        *state = State {
            counters,
            ..State::default()
        };
    }

    /// Returns a copy of all durable data, for [`SimulatedDisk::roll_back`].
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
        copy.crash_to_synced();
        copy
    }

    /// Restores the files of an earlier [`SimulatedDisk::backup`].
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

    /// Removes all free space, or sets the capacity to unlimited. Removing or truncating
    /// files frees space as on a real disk.
    pub fn set_full(&self, full: bool) {
        let mut state = self.state();
        state.capacity = full.then(|| state.used());
    }

    /// Sets the free space to `bytes`.
    pub fn set_free(&self, bytes: u64) {
        let mut state = self.state();
        state.capacity = Some(state.used() + bytes);
    }

    /// Makes the next `count` file syncs fail.
    pub fn fail_syncs(&self, count: u32) {
        self.state().failing_syncs = count;
    }

    /// Fails every change after `changes` more changes. If the first failing change is an
    /// append, it still writes half of its bytes. A crash restores the power.
    pub fn fail_power_after(&self, changes: u64) {
        self.state().power = Power::FailingAfter(changes);
    }

    /// Flips bits of one byte durably. Returns whether the byte exists.
    pub fn corrupt_byte(&self, file: &str, offset: u64) -> bool {
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

    /// Returns the names of all files, sorted.
    #[must_use]
    pub fn files(&self) -> Vec<String> {
        self.state().names.keys().cloned().collect()
    }

    /// Returns the operation counters.
    #[must_use]
    pub fn counters(&self) -> SimulatedDiskCounters {
        self.state().counters
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
