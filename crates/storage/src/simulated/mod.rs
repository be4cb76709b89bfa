//! A disk in memory that loses and damages what real ones lose and damage.

mod names;
mod operations;
mod state;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use state::{Power, State, tear};

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
