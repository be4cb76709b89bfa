//! Opening of the groups of a process.

use std::collections::BTreeMap;

use molespan_consensus::{Membership, Persisted};
use molespan_storage::{Disk, GroupRecovery, Recovery, StorageError};
use molespan_types::GroupId;

use crate::ReplicaError;
use crate::ReplicaSettings;
use crate::fleet::Fleet;
use crate::group::{Group, config};
use crate::message::JoinState;
use crate::shared::Shared;

/// Returns the groups of a process: the control group and the job groups, or the
/// single group if members are discovered.
pub(crate) fn group_ids(settings: &ReplicaSettings) -> impl Iterator<Item = GroupId> + use<> {
    let only = settings
        .discovery
        .as_ref()
        .map(|discovery| discovery.group.0);
    let first = only.unwrap_or(GroupId::CONTROL.0);
    let last = only.unwrap_or(settings.job_groups);
    (first..=last).map(GroupId)
}

/// Opens every group. On a founder that has not been bootstrapped yet, this first
/// writes the common first entry of each group to the log.
pub(crate) fn open_groups<D: Disk>(
    disk: &D,
    fleet: &mut Fleet<D>,
    shared: &mut Shared<D>,
    mut recovery: Recovery,
) -> Result<BTreeMap<GroupId, Group<D>>, ReplicaError> {
    if fleet.record().join_state == JoinState::Founder {
        bootstrap(fleet, shared, &mut recovery)?;
    }
    let mut groups = BTreeMap::new();
    for id in group_ids(&shared.settings) {
        let config = config(&shared.settings, fleet.own_id(), id);
        let found = recovery.groups.remove(&id).unwrap_or_default();
        groups.insert(id, Group::open(disk, id, config, found)?);
    }
    Ok(groups)
}

fn bootstrap<D: Disk>(
    fleet: &mut Fleet<D>,
    shared: &mut Shared<D>,
    recovery: &mut Recovery,
) -> Result<(), ReplicaError> {
    if fleet.record().bootstrapped {
        return match recovery.groups.is_empty() {
            true => Err(missing_log().into()),
            false => Ok(()),
        };
    }
    let membership = Membership::of_voters(fleet.record().founders.iter().copied());
    let first = Persisted::bootstrap(membership);
    for id in group_ids(&shared.settings) {
        recovery.groups.insert(id, write_first(shared, id, &first));
    }
    shared.log.sync()?;
    fleet.record_bootstrapped()?;
    Ok(())
}

/// Writes the common first entry to the log; returns the state that a restart would
/// recover from it.
fn write_first<D: Disk>(
    shared: &mut Shared<D>,
    group: GroupId,
    first: &Persisted,
) -> GroupRecovery {
    let hard_state = molespan_state::encode(&first.hard_state);
    shared.log.set_hard_state(group, &hard_state);
    let entries = first.entries.iter().map(|entry| {
        let bytes = molespan_state::encode(entry);
        let index = entry.index.0;
        shared.log.append_entry(group, index, &bytes);
        molespan_storage::LogEntry { index, bytes }
    });
    GroupRecovery {
        entries: entries.collect(),
        hard_state: Some(hard_state),
        snapshot: None,
    }
}

fn missing_log() -> StorageError {
    StorageError::Corrupt {
        file: "log".to_owned(),
        offset: 0,
        reason: "the log is missing; empty the whole data folder to start as a new replica"
            .to_owned(),
    }
}
