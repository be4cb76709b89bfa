//! State shared by all groups of a process.

use std::collections::BTreeSet;
use std::time::Duration;

use molespan_consensus::ReplicaId;
use molespan_storage::{Disk, StorageError, WriteAheadLog};
use molespan_types::Timestamp;
use molespan_types::mechanism::{Mechanism, enabled};

use crate::turn::Turn;
use crate::{Output, ReplicaEvent, ReplicaSettings};

/// Interval between attempts to restore the log's reserved disk space.
const RESERVE_RETRY: Duration = Duration::from_secs(1);

/// State shared by all groups of a process.
#[derive(Debug)]
pub(crate) struct Shared<D> {
    pub settings: ReplicaSettings,
    pub own: ReplicaId,
    /// Random identifier of this start of the process.
    pub session: u64,
    pub log: WriteAheadLog<D>,
    pub outputs: Vec<Output>,
    pub replaced: BTreeSet<ReplicaId>,
    pub syncs: u64,
    /// Whether the full disk has been reported to operators.
    reported_full: bool,
    next_reserve: Timestamp,
    /// Set at each tick; only used in mutation runs.
    lazy_sync_due: bool,
}

impl<D: Disk> Shared<D> {
    pub fn new(
        settings: ReplicaSettings,
        own: ReplicaId,
        session: u64,
        log: WriteAheadLog<D>,
    ) -> Self {
        Self {
            settings,
            own,
            session,
            log,
            outputs: Vec::new(),
            replaced: BTreeSet::new(),
            syncs: 0,
            reported_full: false,
            next_reserve: Timestamp::ZERO,
            lazy_sync_due: false,
        }
    }

    pub fn turn(&mut self, now: Timestamp) -> Turn<'_, D> {
        Turn {
            now,
            settings: &self.settings,
            own: self.own,
            session: self.session,
            log: &mut self.log,
            outputs: &mut self.outputs,
            replaced: &mut self.replaced,
        }
    }

    pub fn event(&mut self, event: ReplicaEvent) {
        self.outputs.push(Output::Event(event));
    }

    pub fn record_tick(&mut self) {
        self.lazy_sync_due = true;
    }

    /// Syncs the log once for all groups. Returns whether replies may be sent: on a
    /// full disk the changes stay pending, and so do the replies.
    pub fn sync(&mut self) -> Result<bool, StorageError> {
        if !enabled(Mechanism::SyncBeforeReply) && !std::mem::take(&mut self.lazy_sync_due) {
            return Ok(true);
        }
        let unsynced = self.log.has_unsynced();
        match self.log.sync() {
            Ok(_) => {
                self.syncs += u64::from(unsynced);
                Ok(true)
            }
            Err(error) if error.is_full() => Ok(false),
            Err(error) => Err(error),
        }
    }

    /// Restores the log's reserved disk space if needed, and reports to operators when
    /// the disk becomes full or has space again.
    pub fn check_disk_space(&mut self, now: Timestamp) -> Result<(), StorageError> {
        if self.log.is_reserve_spent() && now >= self.next_reserve && !self.log.has_unsynced() {
            self.next_reserve = now + RESERVE_RETRY;
            self.log.restore_reserve()?;
        }
        let full = self.log.is_reserve_spent();
        if full != self.reported_full {
            self.reported_full = full;
            self.event(ReplicaEvent::DiskFull { full });
        }
        Ok(())
    }
}
