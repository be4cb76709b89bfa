//! Fetching a snapshot that the leader offers, piece by piece.

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

/// A part that has not come within this time is asked for again.
const RETRY: Duration = Duration::from_millis(300);
/// A transfer without progress for this time gives way to another offer.
const STALLED: Duration = Duration::from_secs(2);
/// Directory of payload bytes that do not belong to the payload log yet.
const DIRECTORY: &str = "incoming";
/// Staged bytes moved at once.
const MOVE_BYTES: u64 = 1 << 20;

/// A transfer under way.
#[derive(Debug)]
struct Transfer {
    from: ReplicaId,
    meta: SnapshotMeta,
    machine: Vec<u8>,
    /// The sender's payloads that come with it, where each replica has its own; known with
    /// the first part.
    own_payloads: Option<Range<u64>>,
    last_progress: Timestamp,
    last_pull: Timestamp,
}

impl Transfer {
    /// Where the first payload byte belongs that is fetched: in the sender's log where
    /// each replica has its own, else in that of all, which is so long here.
    fn payloads_from(&self, payload_length: u64) -> u64 {
        let own = self.own_payloads.as_ref();
        own.map_or(payload_length, |own| own.start)
    }
}

/// What has arrived. Payload bytes wait in a file of their own, since the
/// payload log may grow by ordinary entries while a transfer is cut off.
#[derive(Debug)]
pub(super) struct Staging {
    file: String,
    transfer: Option<Transfer>,
    /// Where in the payload log of all, or of the sender, the staged bytes belong.
    from: u64,
    /// Staged bytes.
    length: u64,
    fresh: bool,
}

impl Staging {
    pub fn new(group: GroupId) -> Self {
        Self {
            file: format!("{DIRECTORY}/{group}"),
            transfer: None,
            from: 0,
            length: 0,
            fresh: true,
        }
    }

    /// Throws staged bytes away unless they still follow on the payload log.
    fn align<D: Disk>(&mut self, disk: &D, payload_length: u64) -> Result<(), StorageError> {
        if !self.fresh && self.from == payload_length {
            return Ok(());
        }
        disk.create_dir(DIRECTORY)?;
        disk.remove(&self.file)?;
        self.from = payload_length;
        self.length = 0;
        self.fresh = false;
        Ok(())
    }

    /// Adds bytes; says whether there was room.
    fn add<D: Disk>(&mut self, disk: &D, bytes: &[u8]) -> Result<bool, StorageError> {
        match disk.append(&self.file, bytes) {
            Ok(()) => {
                self.length += bytes.len() as u64;
                Ok(true)
            }
            Err(error) if error.is_full() => {
                self.fresh = true;
                disk.remove(&self.file)?;
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}

impl<D: Disk> Group<D> {
    /// Begins to fetch what the leader offers, unless that is under way.
    pub(super) fn consider_offer(&mut self, turn: &mut Turn<'_, D>, offer: SnapshotOffer) {
        if let Some(transfer) = &self.staging.transfer {
            let stalled = turn.now.since(transfer.last_progress) > STALLED;
            let same_sender = transfer.from == offer.from;
            if same_sender && !stalled {
                return;
            }
        }
        if self.machine.payloads_needed_from(0).is_some() {
            // What was staged is of another sender's log, or of an earlier part of this one's.
            self.staging.fresh = true;
        }
        self.staging.transfer = Some(Transfer {
            from: offer.from,
            meta: offer.meta,
            machine: Vec::new(),
            own_payloads: None,
            last_progress: turn.now,
            last_pull: Timestamp::ZERO,
        });
        self.pull(turn);
    }

    /// Asks for the next part.
    fn pull(&mut self, turn: &mut Turn<'_, D>) {
        let Some(transfer) = &mut self.staging.transfer else {
            return;
        };
        let from = transfer.payloads_from(self.payloads.length());
        let staged = match self.staging.from == from && !self.staging.fresh {
            true => self.staging.length,
            false => 0,
        };
        transfer.last_pull = turn.now;
        let pull = Pull {
            index: transfer.meta.index.0,
            machine_offset: transfer.machine.len() as u64,
            payload_offset: from + staged,
        };
        let to = transfer.from;
        turn.send(self.id, to, GroupPayload::Pull(pull));
    }

    /// Asks again for a part that got lost, and gives up what is not wanted
    /// any more.
    pub fn drive_transfer(&mut self, turn: &mut Turn<'_, D>) {
        let Some(transfer) = &self.staging.transfer else {
            return;
        };
        let stalled = turn.now.since(transfer.last_progress) > STALLED;
        if stalled || !self.replica.wants_snapshot(&transfer.meta) {
            self.staging.transfer = None;
        } else if turn.now.since(transfer.last_pull) > RETRY {
            self.pull(turn);
        }
    }

    /// Takes a part in; asks for the next one, or installs the snapshot.
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
        let machine_held = transfer.machine.len() as u64;
        let payload_held = payloads_from + self.staging.length;
        match chunk.part {
            Part::Machine if chunk.offset == machine_held => {
                transfer.machine.extend_from_slice(&chunk.bytes);
                transfer.last_progress = turn.now;
            }
            Part::Payload if chunk.offset == payload_held => {
                transfer.last_progress = turn.now;
                if !self.staging.add(&self.disk, &chunk.bytes)? {
                    return Ok(());
                }
            }
            // A part that came twice.
            _ => return Ok(()),
        }
        self.pull_or_install(turn, chunk, &header)
    }

    fn pull_or_install(
        &mut self,
        turn: &mut Turn<'_, D>,
        chunk: &Chunk,
        header: &SnapshotHeader,
    ) -> Result<(), ReplicaError> {
        let Some(transfer) = &mut self.staging.transfer else {
            return Ok(());
        };
        let machine_complete = transfer.machine.len() as u64 >= chunk.machine_length;
        let payload_held = transfer.payloads_from(self.payloads.length()) + self.staging.length;
        if !machine_complete || payload_held < header.payload_length {
            self.pull(turn);
            return Ok(());
        }
        if xxh3_64(&transfer.machine) != chunk.machine_checksum {
            // Parts of different snapshots; a new offer starts afresh.
            self.staging.transfer = None;
            return Ok(());
        }
        self.install(turn, header)
    }

    /// Puts the fetched snapshot in the place of the machine. The log is synced
    /// before consensus learns of it, since that acknowledges it to the leader.
    fn install(
        &mut self,
        turn: &mut Turn<'_, D>,
        header: &SnapshotHeader,
    ) -> Result<(), ReplicaError> {
        let wanted = self.replica.wants_snapshot(&header.meta);
        // While the log waits for room, consensus must not move on.
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
            Some(theirs) => {
                drop(transfer.machine);
                self.store_with_payloads(turn, header, &mut machine, &theirs)?
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
        self.note_membership(turn, &header.meta.membership);
        self.abandon_proposals_through(turn, index);
        self.replica.snapshot_installed(header.meta.clone());
        self.answer_reads(turn);
        turn.event(ReplicaEvent::SnapshotInstalled {
            group,
            index: index.0,
        });
        Ok(())
    }

    /// Stores a snapshot that comes with payloads of its sender's log: they go behind what
    /// is in the own one, of which nothing is needed then.
    fn store_with_payloads(
        &mut self,
        turn: &mut Turn<'_, D>,
        header: &SnapshotHeader,
        machine: &mut Machine,
        theirs: &Range<u64>,
    ) -> Result<bool, StorageError> {
        let start = self.payloads.length();
        machine.move_payloads(theirs.start, start);
        let header = SnapshotHeader {
            meta: header.meta.clone(),
            payload_length: start + (theirs.end - theirs.start),
            payload_start: Some(start),
        };
        let stored = self.store_fetched(turn, &header, &machine.snapshot())?;
        if stored {
            self.payload_floor = start;
        }
        Ok(stored)
    }

    /// Stores the fetched snapshot durably; says whether there was room. On a
    /// full disk everything is as before, and a later offer tries again.
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
        // A full disk is an error from here on: the mark waits in the log, so
        // that the machine in memory must not live on without the snapshot.
        turn.log.sync()?;
        self.snapshots.remove_older(index.0)?;
        Ok(true)
    }

    /// Stores payloads and machine, which mean nothing before the log's mark.
    fn store_parts(
        &mut self,
        turn: &mut Turn<'_, D>,
        index: Index,
        header: &[u8],
        machine: &[u8],
    ) -> Result<bool, StorageError> {
        // What waits goes first: it belongs to entries that are applied.
        let ready = turn.log.sync().and_then(|_| self.payloads.flush());
        if !had_room(ready)? {
            return Ok(false);
        }
        let before = self.payloads.length();
        let stored = self
            .move_staged()
            .and_then(|()| self.snapshots.save(index.0, header, machine));
        let stored = had_room(stored)?;
        if !stored {
            self.payloads.truncate(before)?;
        }
        self.staging.fresh = true;
        Ok(stored)
    }

    /// Appends the staged bytes to the payload log and syncs it.
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

/// Tells a full disk from other errors.
fn had_room(result: Result<(), StorageError>) -> Result<bool, StorageError> {
    match result {
        Ok(()) => Ok(true),
        Err(error) if error.is_full() => Ok(false),
        Err(error) => Err(error),
    }
}
