//! Sending of a snapshot, in chunks, to a replica that requests it.

use std::time::Duration;

use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, Snapshot, StorageError};
use molespan_types::Timestamp;
use xxhash_rust::xxh3::xxh3_64;

use super::{Group, SnapshotHeader};
use crate::message::{Chunk, GroupPayload, Part, Pull};
use crate::turn::Turn;

/// How long a snapshot stays in memory after the last request for it.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// The snapshot being sent.
#[derive(Debug)]
pub(super) struct Serving {
    index: u64,
    snapshot: Snapshot,
    payload_length: u64,
    checksum: u64,
    last_asked: Timestamp,
}

impl<D: Disk> Group<D> {
    /// Replies with the next chunk. A request for an unknown snapshot is ignored: the
    /// leader's next offer names an available one.
    pub fn serve(
        &mut self,
        turn: &mut Turn<'_, D>,
        to: ReplicaId,
        pull: &Pull,
    ) -> Result<(), StorageError> {
        if !self.load_serving(turn.now, pull.index)? {
            return Ok(());
        }
        let Some(serving) = &mut self.serving else {
            return Ok(());
        };
        serving.last_asked = turn.now;
        let size = turn.settings.chunk_bytes as u64;
        let machine_length = serving.snapshot.machine.len() as u64;
        let (part, offset, bytes) = if pull.machine_offset < machine_length {
            let end = machine_length.min(pull.machine_offset + size);
            let range = pull.machine_offset as usize..end as usize;
            let bytes = serving.snapshot.machine[range].to_vec();
            (Part::Machine, pull.machine_offset, bytes)
        } else if pull.payload_offset < self.payloads.start() {
            // These payloads were dropped meanwhile; a later offer names a snapshot
            // whose payloads are available.
            self.serving = None;
            return Ok(());
        } else if pull.payload_offset <= serving.payload_length {
            let length = size.min(serving.payload_length - pull.payload_offset);
            let bytes = self
                .payloads
                .read_raw(pull.payload_offset, length as usize)?;
            (Part::Payload, pull.payload_offset, bytes)
        } else {
            return Ok(());
        };
        let chunk = Chunk {
            index: serving.index,
            header: serving.snapshot.header.clone().into(),
            machine_length,
            machine_checksum: serving.checksum,
            part,
            offset,
            checksum: xxh3_64(&bytes),
            bytes: bytes.into(),
        };
        turn.send(self.id, to, GroupPayload::Chunk(chunk));
        Ok(())
    }

    /// Loads the snapshot at `index` for sending; returns whether it is available.
    fn load_serving(&mut self, now: Timestamp, index: u64) -> Result<bool, StorageError> {
        if matches!(&self.serving, Some(serving) if serving.index == index) {
            return Ok(true);
        }
        let Some(snapshot) = self.snapshots.load(index)? else {
            return Ok(false);
        };
        let Ok(header) = molespan_state::decode::<SnapshotHeader>(&snapshot.header) else {
            return Ok(false);
        };
        self.serving = Some(Serving {
            index,
            payload_length: header.payload_length,
            checksum: xxh3_64(&snapshot.machine),
            snapshot,
            last_asked: now,
        });
        Ok(true)
    }

    /// Frees a snapshot that has not been requested for [`KEPT_FOR`].
    pub fn drop_idle_serving(&mut self, now: Timestamp) {
        let idle = |serving: &Serving| now.since(serving.last_asked) > KEPT_FOR;
        if self.serving.as_ref().is_some_and(idle) {
            self.serving = None;
        }
    }
}
