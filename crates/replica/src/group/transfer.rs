//! Fetching of a snapshot offered by the leader, in chunks.

use std::ops::Range;
use std::time::Duration;

use molespan_consensus::{Index, ReplicaId, SnapshotMeta, SnapshotOffer};
use molespan_state::{Machine, PayloadLog};
use molespan_storage::{Disk, StorageError};
use molespan_types::{GroupId, Timestamp};
use xxhash_rust::xxh3::xxh3_64;

use super::snapshots::SnapshotPolicy;
use super::{Group, SnapshotHeader};
use crate::message::{Chunk, GroupPayload, Part, Pull};
use crate::turn::Turn;
use crate::{ReplicaError, ReplicaEvent};

/// Time after which a chunk that has not arrived is requested again.
const CHUNK_RETRY: Duration = Duration::from_millis(300);
/// Time without progress after which a transfer is abandoned.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Directory for staged payload bytes, which are not part of the payload log yet.
const DIRECTORY: &str = "incoming";
/// Maximum number of staged bytes moved at once.
const MOVE_BYTES: u64 = 1 << 20;

/// A transfer in progress.
#[derive(Debug)]
struct Transfer {
    from: ReplicaId,
    meta: SnapshotMeta,
    machine: Vec<u8>,
    /// Range of the sender's payload log that belongs to the snapshot, if each replica has a
    /// payload log of its own. Known once the first chunk has arrived.
    own_payloads: Option<Range<u64>>,
    last_progress: Timestamp,
    last_request: Timestamp,
}

impl Transfer {
    /// Returns the offset of the first payload byte to fetch: in the sender's payload log if
    /// each replica has its own, otherwise the local length of the common payload log.
    fn payloads_from(&self, payload_length: u64) -> u64 {
        let own = self.own_payloads.as_ref();
        own.map_or(payload_length, |own| own.start)
    }
}

/// The received parts of a snapshot. Payload bytes are staged in a separate file,
/// because the payload log may grow by ordinary entries while a transfer is
/// interrupted.
#[derive(Debug)]
pub(super) struct Staging {
    file: String,
    transfer: Option<Transfer>,
    /// Offset of the staged bytes in the common payload log, or in the sender's.
    from: u64,
    /// Number of staged bytes.
    length: u64,
    needs_reset: bool,
}

impl Staging {
    pub fn new(group: GroupId) -> Self {
        Self {
            file: format!("{DIRECTORY}/{group}"),
            transfer: None,
            from: 0,
            length: 0,
            needs_reset: true,
        }
    }

    /// Discards the staged bytes unless they still start at `payload_length`.
    fn align<D: Disk>(&mut self, disk: &D, payload_length: u64) -> Result<(), StorageError> {
        if !self.needs_reset && self.from == payload_length {
            return Ok(());
        }
        disk.create_dir(DIRECTORY)?;
        disk.remove(&self.file)?;
        self.from = payload_length;
        self.length = 0;
        self.needs_reset = false;
        Ok(())
    }

    /// Appends bytes to the staging file; returns false if the disk is full, after
    /// discarding the staged bytes.
    fn append_bytes<D: Disk>(&mut self, disk: &D, bytes: &[u8]) -> Result<bool, StorageError> {
        match disk.append(&self.file, bytes) {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(true)
            }
            Err(error) if error.is_full() => {
                self.needs_reset = true;
                disk.remove(&self.file)?;
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}

impl<D: Disk> Group<D> {
    /// Starts to fetch the offered snapshot, unless a transfer from the same sender is
    /// progressing.
    pub(super) fn handle_offer(&mut self, turn: &mut Turn<'_, D>, offer: SnapshotOffer) {
        if let Some(transfer) = &self.staging.transfer {
            let stalled = turn.now.since(transfer.last_progress) > STALL_TIMEOUT;
            let same_sender = transfer.from == offer.from;
            if same_sender && !stalled {
                return;
            }
        }
        if self.machine.oldest_needed_payload(0).is_some() {
            // The staged bytes come from another sender's log, or from an earlier part of this
            // sender's log.
            self.staging.needs_reset = true;
        }
        self.staging.transfer = Some(Transfer {
            from: offer.from,
            meta: offer.meta,
            machine: Vec::new(),
            own_payloads: None,
            last_progress: turn.now,
            last_request: Timestamp::ZERO,
        });
        self.request_chunk(turn);
    }

    /// Requests the next chunk.
    fn request_chunk(&mut self, turn: &mut Turn<'_, D>) {
        let Some(transfer) = &mut self.staging.transfer else {
            return;
        };
        let from = transfer.payloads_from(self.payloads.length());
        let staged = match self.staging.from == from && !self.staging.needs_reset {
            true => self.staging.length,
            false => 0,
        };
        transfer.last_request = turn.now;
        let pull = Pull {
            index: transfer.meta.index.0,
            machine_offset: transfer.machine.len() as u64,
            payload_offset: from + staged,
        };
        let to = transfer.from;
        turn.send(self.id, to, GroupPayload::Pull(pull));
    }

    /// Repeats the request for a lost chunk, and abandons a transfer that is stalled or no
    /// longer needed.
    pub fn check_transfer(&mut self, turn: &mut Turn<'_, D>) {
        let Some(transfer) = &self.staging.transfer else {
            return;
        };
        let stalled = turn.now.since(transfer.last_progress) > STALL_TIMEOUT;
        if stalled || !self.replica.wants_snapshot(&transfer.meta) {
            self.staging.transfer = None;
        } else if turn.now.since(transfer.last_request) > CHUNK_RETRY {
            self.request_chunk(turn);
        }
    }

    /// Handles a received chunk: requests the next one, or installs the snapshot.
    pub fn receive_chunk(
        &mut self,
        turn: &mut Turn<'_, D>,
        from: ReplicaId,
        chunk: &Chunk,
    ) -> Result<(), ReplicaError> {
        let Some(transfer) = &mut self.staging.transfer else {
            return Ok(());
        };
        let expected = transfer.from == from && transfer.meta.index.0 == chunk.index;
        if !expected || xxh3_64(&chunk.bytes) != chunk.checksum {
            return Ok(());
        }
        let Ok(header) = molespan_state::decode::<SnapshotHeader>(&chunk.header) else {
            return Ok(());
        };
        transfer.own_payloads = header.own_payloads(&self.machine);
        let payloads_from = transfer.payloads_from(self.payloads.length());
        self.staging.align(&self.disk, payloads_from)?;
        let Some(transfer) = &mut self.staging.transfer else {
            return Ok(());
        };
        let machine_received = transfer.machine.len() as u64;
        let payload_received = payloads_from + self.staging.length;
        match chunk.part {
            Part::Machine if chunk.offset == machine_received => {
                transfer.machine.extend_from_slice(&chunk.bytes);
                transfer.last_progress = turn.now;
            }
            Part::Payload if chunk.offset == payload_received => {
                transfer.last_progress = turn.now;
                if !self.staging.append_bytes(&self.disk, &chunk.bytes)? {
                    return Ok(());
                }
            }
            // A duplicate chunk.
            _ => return Ok(()),
        }
        self.continue_or_install(turn, chunk, &header)
    }

    fn continue_or_install(
        &mut self,
        turn: &mut Turn<'_, D>,
        chunk: &Chunk,
        header: &SnapshotHeader,
    ) -> Result<(), ReplicaError> {
        let Some(transfer) = &mut self.staging.transfer else {
            return Ok(());
        };
        let machine_complete = transfer.machine.len() as u64 >= chunk.machine_length;
        let payload_received = transfer.payloads_from(self.payloads.length()) + self.staging.length;
        if !machine_complete || payload_received < header.payload_length {
            self.request_chunk(turn);
            return Ok(());
        }
        if xxh3_64(&transfer.machine) != chunk.machine_checksum {
            // The parts belong to different snapshots; a new offer restarts the transfer.
            self.staging.transfer = None;
            return Ok(());
        }
        self.install(turn, header)
    }

    /// Replaces the state machine by the fetched snapshot. The log is synced before
    /// consensus is notified, because that acknowledges the snapshot to the leader.
    fn install(
        &mut self,
        turn: &mut Turn<'_, D>,
        header: &SnapshotHeader,
    ) -> Result<(), ReplicaError> {
        let wanted = self.replica.wants_snapshot(&header.meta);
        // While the log waits for disk space, consensus must not advance.
        if !wanted || self.awaiting_sync.is_some() {
            return Ok(());
        }
        let Some(transfer) = self.staging.transfer.take() else {
            return Ok(());
        };
        let group = self.id;
        let mut machine = Machine::restore(group, &transfer.machine)
            .map_err(|source| ReplicaError::State { group, source })?;
        let stored = match transfer.own_payloads {
            None => self.store_fetched(turn, header, &transfer.machine)?,
            Some(sender_range) => {
                drop(transfer.machine);
                self.store_with_payloads(turn, header, &mut machine, &sender_range)?
            }
        };
        if !stored {
            return Ok(());
        }
        let index = header.meta.index;
        self.machine = machine;
        self.applied = index;
        self.to_apply.clear();
        self.policy = SnapshotPolicy::new(index);
        self.record_membership(turn, &header.meta.membership);
        self.abandon_proposals_through(turn, index);
        self.replica.snapshot_installed(header.meta.clone());
        self.answer_reads(turn);
        turn.event(ReplicaEvent::SnapshotInstalled {
            group,
            index: index.0,
        });
        Ok(())
    }

    /// Stores a snapshot with payloads of its sender's payload log. They are appended to the
    /// local payload log, whose earlier content is then no longer needed.
    fn store_with_payloads(
        &mut self,
        turn: &mut Turn<'_, D>,
        header: &SnapshotHeader,
        machine: &mut Machine,
        sender_range: &Range<u64>,
    ) -> Result<bool, StorageError> {
        let start = self.payloads.length();
        machine.relocate_payloads(sender_range.start, start);
        let header = SnapshotHeader {
            meta: header.meta.clone(),
            payload_length: start + (sender_range.end - sender_range.start),
            payload_start: Some(start),
        };
        let stored = self.store_fetched(turn, &header, &machine.snapshot())?;
        if stored {
            self.payload_floor = start;
        }
        Ok(stored)
    }

    /// Stores the fetched snapshot durably; returns false if the disk is full. In that
    /// case nothing changes, and a later offer retries.
    fn store_fetched(
        &mut self,
        turn: &mut Turn<'_, D>,
        header: &SnapshotHeader,
        machine: &[u8],
    ) -> Result<bool, StorageError> {
        let index = header.meta.index;
        let bytes = molespan_state::encode(header);
        if !self.store_parts(turn, index, &bytes, machine)? {
            return Ok(false);
        }
        turn.log.mark_snapshot(self.id, index.0, &bytes);
        if self.replica.term_at(index) != Some(header.meta.term) {
            turn.log.truncate(self.id, index.next().0);
        }
        // A full disk is an error from here on: the snapshot's record is pending in the
        // log, so the state machine in memory must not continue without the snapshot.
        turn.log.sync()?;
        self.snapshots.remove_older(index.0)?;
        Ok(true)
    }

    /// Stores payloads and state machine, which take effect only with the snapshot's
    /// record in the log.
    fn store_parts(
        &mut self,
        turn: &mut Turn<'_, D>,
        index: Index,
        header: &[u8],
        machine: &[u8],
    ) -> Result<bool, StorageError> {
        // Pending writes go first, because they belong to applied entries.
        let ready = turn.log.sync().and_then(|_| self.payloads.flush());
        if !had_space(ready)? {
            return Ok(false);
        }
        let before = self.payloads.length();
        let stored = self
            .move_staged()
            .and_then(|()| self.snapshots.save(index.0, header, machine));
        let stored = had_space(stored)?;
        if !stored {
            self.payloads.truncate(before)?;
        }
        self.staging.needs_reset = true;
        Ok(stored)
    }

    /// Moves the staged bytes to the payload log and syncs it.
    fn move_staged(&mut self) -> Result<(), StorageError> {
        let mut moved = 0;
        while moved < self.staging.length {
            let length = MOVE_BYTES.min(self.staging.length - moved);
            let bytes = self
                .disk
                .read_at(&self.staging.file, moved, length as usize)?;
            self.payloads.append_raw(&bytes)?;
            moved += length;
        }
        self.disk.remove(&self.staging.file)?;
        self.payloads.sync()
    }
}

/// Returns whether there was disk space; other errors are passed on.
fn had_space(result: Result<(), StorageError>) -> Result<bool, StorageError> {
    match result {
        Ok(()) => Ok(true),
        Err(error) if error.is_full() => Ok(false),
        Err(error) => Err(error),
    }
}
