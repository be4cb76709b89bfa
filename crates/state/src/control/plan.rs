//! Computation of plans: a pure function of configuration and changes.

use molespan_types::{Digest, digest_of};

use super::command::IntentNumber;
use super::configuration::{Change, Configuration};
use super::effects::line;
use super::problems::problems;
use super::query::Plan;
use crate::codec::encode;

/// Returns the plan of an intent against `configuration`.
#[must_use]
pub fn plan(configuration: &Configuration, number: IntentNumber, changes: &[Change]) -> Plan {
    let mut after = configuration.clone();
    apply_changes(&mut after, changes);
    let lines = changes
        .iter()
        .map(|change| line(configuration, &after, change))
        .collect();
    Plan {
        number,
        base_version: configuration.version,
        digest: digest_of_changes(changes),
        lines,
        problems: problems(configuration, changes),
    }
}

/// Returns the digest that identifies the changes of an intent.
#[must_use]
pub fn digest_of_changes(changes: &[Change]) -> Digest {
    digest_of(&encode(&changes))
}

/// Applies the changes without changing the version.
pub fn apply_changes(configuration: &mut Configuration, changes: &[Change]) {
    for change in changes {
        apply_change(configuration, change);
    }
}

/// Applies one change.
fn apply_change(configuration: &mut Configuration, change: &Change) {
    match change.clone() {
        Change::PutService { name, service } => {
            configuration.services.insert(name, service);
        }
        Change::DeleteService { name } => {
            configuration.services.remove(&name);
        }
        Change::PutModel { name, model } => {
            configuration.models.insert(name, model);
        }
        Change::DeleteModel { name } => {
            configuration.models.remove(&name);
        }
        Change::PutAdapter { name, adapter } => {
            configuration.adapters.insert(name, adapter);
        }
        Change::DeleteAdapter { name } => {
            configuration.adapters.remove(&name);
        }
        Change::PutTenant { name, limits } => {
            configuration.tenants.insert(name, limits);
        }
        Change::PutPolicy { policy } => configuration.policy = policy,
    }
}
