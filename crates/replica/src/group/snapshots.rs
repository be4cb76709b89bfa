//! Snapshots of the state machine.

use std::time::Duration;

use molespan_consensus::{Entry, Index};
use molespan_state::PayloadLog;
use molespan_storage::{Disk, StorageError};
use molespan_types::Timestamp;

use super::{Group, SnapshotHeader};
use crate::turn::Turn;
use crate::{ReplicaEvent, ReplicaSettings};

/// Delay after a snapshot failed because the disk was full.
const FULL_PAUSE: Duration = Duration::from_secs(5);

/// Determines when a snapshot is due.
#[derive(Debug)]
pub(super) struct SnapshotPolicy {
    snapshot_index: Index,
    applied_bytes: u64,
    applied_entries: u64,
    not_before: Timestamp,
}

impl SnapshotPolicy {
    /// Creates a policy with the latest snapshot at `snapshot_index`.
    pub fn new(snapshot_index: Index) -> Self {
        Self {
            snapshot_index,
            applied_bytes: 0,
            applied_entries: 0,
            not_before: Timestamp::ZERO,
        }
    }

    /// Returns the last entry in the latest snapshot.
    pub fn snapshot_index(&self) -> Index {
        self.snapshot_index
    }

    pub fn record_applied(&mut self, entry: &Entry) {
        self.applied_entries += 1;
        self.applied_bytes += entry.size() as u64;
    }

    fn is_due(&self, now: Timestamp, settings: &ReplicaSettings) -> bool {
        let many = self.applied_entries >= settings.snapshot_every_entries;
        let large = self.applied_bytes >= settings.snapshot_every_bytes;
        (many || large) && now >= self.not_before
    }
}

impl<D: Disk> Group<D> {
    /// Takes a snapshot if one is due, or if `lagging` indicates that this group retains
    /// old segments of the log. Returns whether it took one.
    pub fn snapshot_if_due(
        &mut self,
        turn: &mut Turn<'_, D>,
        lagging: bool,
    ) -> Result<bool, StorageError> {
        let useful = lagging && self.applied > self.policy.snapshot_index;
        if !useful && !self.policy.is_due(turn.now, turn.settings) {
            return Ok(false);
        }
        match self.take_snapshot(turn) {
            Err(error) if error.is_full() => {
                self.policy.not_before = turn.now + FULL_PAUSE;
                Ok(false)
            }
            result => result,
        }
    }

    /// Takes a snapshot. The payload log is synced first, because a snapshot must never
    /// refer to payloads that a crash can lose.
    fn take_snapshot(&mut self, turn: &mut Turn<'_, D>) -> Result<bool, StorageError> {
        let Some(meta) = self.replica.snapshot_meta(self.applied) else {
            return Ok(false);
        };
        // The log record of the previous snapshot is durable, so payloads that it does
        // not need are not needed at all.
        self.payloads.remove_segments_before(self.payload_floor)?;
        self.payloads.sync()?;
        let payload_length = self.payloads.length();
        let payload_start = self.machine.oldest_needed_payload(payload_length);
        let header = SnapshotHeader {
            meta: meta.clone(),
            payload_length,
            payload_start,
        };
        let header = molespan_state::encode(&header);
        let machine = self.machine.snapshot();
        let index = meta.index.0;
        self.snapshots.save(index, &header, &machine)?;
        turn.log.mark_snapshot(self.id, index, &header);
        self.replica.compact(meta);
        self.snapshots.remove_older(index)?;
        self.policy = SnapshotPolicy::new(Index(index));
        self.payload_floor = payload_start.unwrap_or_default();
        turn.event(ReplicaEvent::SnapshotTaken {
            group: self.id,
            index,
            bytes: machine.len(),
        });
        Ok(true)
    }
}
