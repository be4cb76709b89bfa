//! The replica process as its driver sees it.

use molespan_storage::{Disk, DiskIdentity};
use molespan_types::{RunOutcome, Timestamp};

use crate::{Input, Output, Refusal, ReplicaError, ReplicaSettings, ReplicaStatus, Ticket};

/// A replica process.
#[derive(Debug)]
pub struct ReplicaCore<D> {
    disk: D,
    settings: ReplicaSettings,
    identity: DiskIdentity,
    outputs: Vec<Output>,
    next_tick: Timestamp,
}

impl<D: Disk> ReplicaCore<D> {
    /// Starts from what is on `disk`.
    ///
    /// # Errors
    /// When the settings cannot work, or the disk refuses or is damaged.
    pub fn open(disk: D, settings: ReplicaSettings, now: Timestamp) -> Result<Self, ReplicaError> {
        let identity = DiskIdentity::open(&disk, settings.node, settings.seed as u32)?;
        Ok(Self {
            disk,
            settings,
            identity,
            outputs: Vec::new(),
            next_tick: now,
        })
    }

    /// Takes an input in. Its outputs come from the next [`ReplicaCore::poll`].
    pub fn handle(&mut self, _now: Timestamp, input: Input) {
        match input {
            Input::Message { .. } => {}
            Input::Propose { ticket, .. }
            | Input::Query { ticket, .. }
            | Input::ReplaceReplica { ticket, .. }
            | Input::TransferLeadership { ticket, .. } => self.refuse(ticket),
        }
    }

    fn refuse(&mut self, ticket: Ticket) {
        let refusal = Refusal::Refused {
            outcome: RunOutcome::NotRun,
            message: "the replica does not take part yet".to_owned(),
            retry_after_ms: 1_000,
        };
        self.outputs.push(Output::Reply {
            ticket,
            result: Err(refusal),
        });
    }

    /// Does all work that is due: call it after a batch of inputs and at
    /// [`ReplicaCore::next_deadline`].
    ///
    /// # Errors
    /// Every error is final; the core must be dropped.
    pub fn poll(&mut self, now: Timestamp) -> Result<Vec<Output>, ReplicaError> {
        self.next_tick = now + self.settings.tick;
        Ok(std::mem::take(&mut self.outputs))
    }

    /// When to poll again if no input comes before.
    #[must_use]
    pub fn next_deadline(&self) -> Timestamp {
        self.next_tick
    }

    /// What operators and metrics show.
    #[must_use]
    pub fn status(&self) -> ReplicaStatus {
        ReplicaStatus {
            node: self.settings.node,
            incarnation: self.identity.incarnation,
            boot: self.identity.boot,
            takes_part: false,
            disk_full: false,
            log_bytes: self.disk.length("log").ok().flatten().unwrap_or(0),
            log_syncs: 0,
            groups: Vec::new(),
        }
    }
}
