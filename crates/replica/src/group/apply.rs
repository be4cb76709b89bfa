//! Application of committed entries to the state machine.

use std::collections::BTreeSet;

use molespan_consensus::{Entry, EntryKind, Membership, ReplicaId};
use molespan_state::Machine;
use molespan_storage::{Disk, StorageError};
use molespan_types::ConfigVersion;

use super::Group;
use crate::identity::node_of;
use crate::message::KnownVoters;
use crate::turn::Turn;
use crate::{Output, ReplicaError, ReplicaEvent};

/// Payload bytes buffered in memory before they are flushed to disk.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

impl<D: Disk> Group<D> {
    /// Applies committed entries as long as the payload log has disk space, and replies
    /// to the proposals and reads that this completes.
    pub fn apply(&mut self, turn: &mut Turn<'_, D>) -> Result<(), ReplicaError> {
        let version = self.configuration_version();
        let revision = self.machine.revision();
        while let Some(entry) = self.to_apply.pop_front() {
            let buffer_full = self.payloads.buffered_bytes() > MAX_BUFFERED_BYTES;
            if buffer_full && !self.flush_payloads()? {
                self.to_apply.push_front(entry);
                break;
            }
            self.apply_entry(turn, entry)?;
        }
        self.flush_payloads()?;
        let newer = self.configuration_version();
        if newer != version {
            let version = newer;
            turn.outputs.push(Output::ConfigurationChanged { version });
        }
        if self.machine.revision() != revision {
            let group = self.id;
            turn.outputs.push(Output::StateChanged { group });
        }
        self.answer_reads(turn);
        Ok(())
    }

    /// Flushes payloads to disk; returns false if the disk is full.
    fn flush_payloads(&mut self) -> Result<bool, StorageError> {
        match self.payloads.flush() {
            Ok(()) => Ok(true),
            Err(error) if error.is_full() => Ok(false),
            Err(error) => Err(error),
        }
    }

    fn apply_entry(&mut self, turn: &mut Turn<'_, D>, entry: Entry) -> Result<(), ReplicaError> {
        self.policy.record_applied(&entry);
        self.applied = entry.index;
        match entry.kind {
            EntryKind::Command(command) => {
                let reply = self
                    .machine
                    .apply_bytes(&command, &mut self.payloads)
                    .map_err(|source| ReplicaError::Payload {
                        group: self.id,
                        source,
                    })?;
                self.complete_proposal(turn, entry.index, entry.term, || reply);
            }
            EntryKind::Membership(membership) => {
                self.record_membership(turn, &membership);
                self.complete_proposal(turn, entry.index, entry.term, Vec::new);
            }
            EntryKind::Empty => self.complete_proposal(turn, entry.index, entry.term, Vec::new),
        }
        Ok(())
    }

    /// Records an applied membership, and reports the voters that it removed.
    pub(super) fn record_membership(&mut self, turn: &mut Turn<'_, D>, membership: &Membership) {
        let present = membership.members();
        let before = self.membership.all_voters();
        let removed: BTreeSet<ReplicaId> = before.difference(&present).copied().collect();
        for &replica in &removed {
            turn.event(ReplicaEvent::ReplicaReplaced {
                group: self.id,
                node: node_of(replica),
            });
        }
        turn.replaced.extend(removed);
        self.membership.clone_from(membership);
        self.membership_index = self.applied;
    }

    /// Returns the voters as of the last applied change.
    pub fn known_voters(&self) -> KnownVoters {
        KnownVoters {
            index: self.membership_index.0,
            voters: self.membership.all_voters(),
        }
    }

    /// Returns the version of the configuration; zero except in the control group.
    fn configuration_version(&self) -> ConfigVersion {
        match &self.machine {
            Machine::Control(machine) => machine.configuration().version,
            Machine::Job(_) | Machine::Batch(_) => ConfigVersion::default(),
        }
    }
}
