//! Merges the platform list, which may lag or go back to an older revision.

use std::collections::BTreeSet;

use molespan_engine_api::{Machine, MachineList, MachineState};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Timestamp};

use super::record::{BackendState, ChangeReason, Entry};
use super::{Directory, DirectoryOutput, DirectorySettings};

/// State kept from earlier lists.
#[derive(Clone, Debug, Default)]
pub(super) struct ListHistory {
    /// Highest accepted revision.
    highest: u64,
    /// Since when only lower revisions have arrived.
    lower_since: Option<Timestamp>,
}

impl ListHistory {
    /// Whether a list of this revision is at least as new as all earlier ones. If only
    /// lower revisions arrive for a long time, the platform was reset and they are
    /// accepted.
    fn is_current(&mut self, now: Timestamp, revision: u64, settings: &DirectorySettings) -> bool {
        if revision >= self.highest {
            self.highest = revision;
            self.lower_since = None;
            return true;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.since(since) < settings.list_reset_after {
            return false;
        }
        self.highest = revision;
        self.lower_since = None;
        true
    }
}

impl Directory {
    pub(super) fn merge_list(
        &mut self,
        now: Timestamp,
        list: MachineList,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let current = self.list.is_current(now, list.revision, &self.settings);
        let listed: BTreeSet<BackendId> = list.machines.iter().map(|machine| machine.id).collect();
        for machine in &list.machines {
            self.merge_machine(now, machine, list.revision, current, outputs);
        }
        if !current {
            return;
        }
        for (backend, entry) in &mut self.entries {
            if listed.contains(backend) {
                entry.missing_since = None;
            } else {
                entry.missing_since.get_or_insert(now);
            }
        }
    }

    fn merge_machine(
        &mut self,
        now: Timestamp,
        machine: &Machine,
        revision: u64,
        current: bool,
        outputs: &mut Vec<DirectoryOutput>,
    ) {
        let entry = self
            .entries
            .entry(machine.id)
            .or_insert_with(|| Entry::new(now, machine, revision));
        let newer_incarnation = machine.incarnation > entry.backend.incarnation;
        if !entry.admit_incarnation(now, machine.incarnation, outputs) {
            return;
        }
        if newer_incarnation || (current && revision >= entry.revision) {
            entry.update_placement(machine, revision);
        }
        match machine.state {
            MachineState::Leaving => {
                entry.change(now, BackendState::Leaving, ChangeReason::Listed, outputs);
            }
            MachineState::Live => entry.handle_listed_live(now, outputs),
        }
    }
}

impl Entry {
    /// Updates the address, zone and purpose of the machine.
    fn update_placement(&mut self, machine: &Machine, revision: u64) {
        self.backend.kind = machine.kind;
        self.backend.address.clone_from(&machine.address);
        self.backend.zone = machine.zone.clone();
        self.backend.service = machine.service.clone();
        self.revision = revision;
    }

    /// Handles a machine that is listed as live. This never undoes leaving, because the
    /// list may be older than the leaving mark.
    fn handle_listed_live(&mut self, now: Timestamp, outputs: &mut Vec<DirectoryOutput>) {
        if !enabled(Mechanism::StickyLeaving) && self.backend.state == BackendState::Leaving {
            self.change(now, BackendState::Healthy, ChangeReason::Listed, outputs);
        }
        if self.backend.state == BackendState::Gone && !self.health.was_leaving {
            self.missing_since = None;
            self.change(now, BackendState::Unknown, ChangeReason::Listed, outputs);
        }
    }
}
