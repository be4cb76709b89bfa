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
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// The snapshot being sent.
#[derive(Debug)]
pub(super) struct OutgoingSnapshot {
    index: u64,
    snapshot: Snapshot,
    payload_length: u64,
    checksum: u64,
    last_requested: Timestamp,
}

impl<D: Disk> Group<D> {
    /// Replies with the next chunk. A request for an unknown snapshot is ignored: the
    /// leader's next offer names an available one.
    pub fn send_chunk(
        &mut self,
        turn: &mut Turn<'_, D>,
        to: ReplicaId,
        pull: &Pull,
    ) -> Result<(), StorageError> {
        if !self.load_outgoing(turn.now, pull.index)? {
            return Ok(());
        }
        let Some(outgoing) = &mut self.outgoing else {
            return Ok(());
        };
        outgoing.last_requested = turn.now;
        let size = turn.settings.chunk_bytes as u64;
        let machine_length = outgoing.snapshot.machine.len() as u64;
        let (part, offset, bytes) = if pull.machine_offset < machine_length {
            let end = machine_length.min(pull.machine_offset + size);
            let range = pull.machine_offset as usize..end as usize;
            let bytes = outgoing.snapshot.machine[range].to_vec();
            (Part::Machine, pull.machine_offset, bytes)
        } else if pull.payload_offset < self.payloads.start() {
            // These payloads were dropped meanwhile; a later offer names a snapshot
            // whose payloads are available.
            self.outgoing = None;
            return Ok(());
        } else if pull.payload_offset <= outgoing.payload_length {
            let length = size.min(outgoing.payload_length - pull.payload_offset);
            let bytes = self
                .payloads
                .read_raw(pull.payload_offset, length as usize)?;
            (Part::Payload, pull.payload_offset, bytes)
        } else {
            return Ok(());
        };
        let chunk = Chunk {
            index: outgoing.index,
            header: outgoing.snapshot.header.clone().into(),
            machine_length,
            machine_checksum: outgoing.checksum,
            part,
            offset,
            checksum: xxh3_64(&bytes),
            bytes: bytes.into(),
        };
        turn.send(self.id, to, GroupPayload::Chunk(chunk));
        Ok(())
    }

    /// Loads the snapshot at `index` for sending; returns whether it is available.
    fn load_outgoing(&mut self, now: Timestamp, index: u64) -> Result<bool, StorageError> {
        if matches!(&self.outgoing, Some(outgoing) if outgoing.index == index) {
            return Ok(true);
        }
        let Some(snapshot) = self.snapshots.load(index)? else {
            return Ok(false);
        };
        let Ok(header) = molespan_state::decode::<SnapshotHeader>(&snapshot.header) else {
            return Ok(false);
        };
        self.outgoing = Some(OutgoingSnapshot {
            index,
            payload_length: header.payload_length,
            checksum: xxh3_64(&snapshot.machine),
            snapshot,
            last_requested: now,
        });
        Ok(true)
    }

    /// Frees a snapshot that has not been requested for [`IDLE_TIMEOUT`].
    pub fn drop_idle_outgoing(&mut self, now: Timestamp) {
        let idle = |outgoing: &OutgoingSnapshot| now.since(outgoing.last_requested) > IDLE_TIMEOUT;
        if self.outgoing.as_ref().is_some_and(idle) {
            self.outgoing = None;
        }
    }
}
