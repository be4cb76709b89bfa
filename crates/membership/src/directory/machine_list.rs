//! Merging the platform list, which lags and may go back in time.

use std::collections::BTreeSet;

use molespan_engine_api::{Machine, MachineList, MachineState};
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Timestamp};

use super::record::{BackendState, ChangeReason, Entry};
use super::{Directory, DirectoryOutput, DirectorySettings};

/// What is remembered of earlier lists.
#[derive(Clone, Debug, Default)]
pub(super) struct ListHistory {
    /// Highest revision that is believed.
    highest: u64,
    /// Since when only lower revisions arrived.
    lower_since: Option<Timestamp>,
}

impl ListHistory {
    /// Whether a list of that revision is as new as any before. When only
    /// lower ones come for long, the platform was reset and they are believed.
    fn is_current(&mut self, now: Timestamp, revision: u64, settings: &DirectorySettings) -> bool {
        if revision >= self.highest {
            self.highest = revision;
            self.lower_since = None;
            return true;
        }
        let since = *self.lower_since.get_or_insert(now);
        if now.since(since) < settings.list_restart_after {
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
        let newer_life = machine.incarnation > entry.backend.incarnation;
        if !entry.admit_incarnation(now, machine.incarnation, outputs) {
            return;
        }
        if newer_life || (current && revision >= entry.revision) {
            entry.take_place(machine, revision);
        }
        match machine.state {
            MachineState::Leaving => {
                entry.change(now, BackendState::Leaving, ChangeReason::Listed, outputs);
            }
            MachineState::Live => entry.listed_live(now, outputs),
        }
    }
}

impl Entry {
    /// Takes over where the machine stands and what it is meant for.
    fn take_place(&mut self, machine: &Machine, revision: u64) {
        self.backend.kind = machine.kind;
        self.backend.address.clone_from(&machine.address);
        self.backend.zone = machine.zone.clone();
        self.backend.service = machine.service.clone();
        self.revision = revision;
    }

    /// A live line never undoes leaving: the list may be older than the mark.
    fn listed_live(&mut self, now: Timestamp, outputs: &mut Vec<DirectoryOutput>) {
        if !enabled(Mechanism::StickyLeaving) && self.backend.state == BackendState::Leaving {
            self.change(now, BackendState::Healthy, ChangeReason::Listed, outputs);
        }
        if self.backend.state == BackendState::Gone && !self.health.was_leaving {
            self.missing_since = None;
            self.change(now, BackendState::Unknown, ChangeReason::Listed, outputs);
        }
    }
}
