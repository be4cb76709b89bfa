//! A replica of an exploration and its disk.

use super::check::Invariant;
use crate::{Config, Entry, HardState, Persisted, Ready, Replica, ReplicaId};

/// A tick is an election timeout, so that paths stay short.
const TICKS: u32 = 1;

/// One replica and its disk.
#[derive(Clone, Debug, Hash)]
pub(super) struct Node {
    pub(super) replica: Replica,
    /// What is synced.
    pub(super) disk: Persisted,
    /// What is written but not synced.
    pub(super) writing: Option<Ready>,
}

impl Node {
    /// Starts from what is synced.
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
            writing: None,
        })
    }

    /// Entries on disk.
    pub(super) fn synced_entries(&self) -> &[Entry] {
        &self.disk.entries
    }

    /// Notes that a write is synced.
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
