//! A replica and its disk in an exploration.

use super::check::Invariant;
use crate::{Config, Entry, HardState, Persisted, Ready, Replica, ReplicaId};

/// Election timeout and heartbeat interval, in ticks. A single tick triggers them,
/// which keeps paths short.
const TICKS: u32 = 1;

/// One replica and its disk.
#[derive(Clone, Debug, Hash)]
pub(super) struct Node {
    pub(super) replica: Replica,
    /// The synced state.
    pub(super) disk: Persisted,
    /// Work that is written but not synced.
    pub(super) unsynced: Option<Ready>,
}

impl Node {
    /// Starts a replica from the synced state in `disk`.
    pub(super) fn start(id: ReplicaId, disk: Persisted, pre_vote: bool) -> Result<Self, Invariant> {
        let config = Config {
            election_ticks: TICKS,
            heartbeat_ticks: TICKS,
            pre_vote,
            ..Config::new(id)
        };
        let replica = Replica::new(config, disk.clone()).map_err(|_| Invariant::WholeLog)?;
        Ok(Self {
            replica,
            disk,
            unsynced: None,
        })
    }

    /// Returns the synced entries.
    pub(super) fn synced_entries(&self) -> &[Entry] {
        &self.disk.entries
    }

    /// Stores the data of a completed sync on the disk.
    pub(super) fn store(&mut self, hard_state: Option<HardState>, entries: &[Entry]) {
        if let Some(hard_state) = hard_state {
            self.disk.hard_state = hard_state;
        }
        if let Some(first) = entries.first() {
            self.disk.entries.retain(|entry| entry.index < first.index);
            self.disk.entries.extend_from_slice(entries);
        }
    }
}
