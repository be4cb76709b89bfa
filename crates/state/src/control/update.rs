//! Configuration updates sent to nodes: the whole configuration, or only the changes since
//! the version that the node has.

use derive_more::{Display, Error};
use minicbor::{Decode, Encode};
use molespan_types::{ConfigVersion, Digest, digest_of};

use super::configuration::{Change, Configuration};
use super::plan::apply_changes;
use crate::codec::encode;

/// Changes that lead from one version to a later one.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationDelta {
    /// Version that the delta applies to; it cannot be applied to any other.
    #[n(0)]
    pub from: ConfigVersion,
    /// Resulting version.
    #[n(1)]
    pub to: ConfigVersion,
    /// Changes to apply.
    #[n(2)]
    pub changes: Vec<Change>,
    /// Digest of the resulting configuration.
    #[n(3)]
    pub digest: Digest,
}

/// An update to a newer configuration.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum ConfigurationUpdate {
    /// The whole configuration.
    #[n(0)]
    Whole(#[n(0)] Configuration),
    /// The changes since the version that the node reported.
    #[n(1)]
    Delta(#[n(0)] ConfigurationDelta),
}

/// Error from applying an update to the configuration of a node. The node then requests the
/// whole configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Error)]
pub enum UpdateError {
    /// The update applies to another version.
    #[display("the update starts from version {from}, but {held} is in force")]
    OtherVersion {
        /// Version that the update applies to.
        from: ConfigVersion,
        /// Version that the node has.
        held: ConfigVersion,
    },
    /// The result differs from the replica's configuration.
    #[display("the update to version {to} leads to another configuration than the replica's")]
    OtherResult {
        /// Resulting version.
        to: ConfigVersion,
    },
}

impl ConfigurationUpdate {
    /// Applies the update to `held`, the configuration of the node, and returns the result.
    ///
    /// # Errors
    /// Fails if the update is a delta that does not apply to `held`.
    pub fn apply_to(self, held: Option<&Configuration>) -> Result<Configuration, UpdateError> {
        let delta = match self {
            Self::Whole(configuration) => return Ok(configuration),
            Self::Delta(delta) => delta,
        };
        let held_version = held.map_or(ConfigVersion::default(), |held| held.version);
        let Some(held) = held.filter(|held| held.version == delta.from) else {
            return Err(UpdateError::OtherVersion {
                from: delta.from,
                held: held_version,
            });
        };
        let mut configuration = held.clone();
        apply_changes(&mut configuration, &delta.changes);
        configuration.version = delta.to;
        if digest_of_configuration(&configuration) == delta.digest {
            Ok(configuration)
        } else {
            Err(UpdateError::OtherResult { to: delta.to })
        }
    }
}

/// Returns the digest of a whole configuration.
pub(crate) fn digest_of_configuration(configuration: &Configuration) -> Digest {
    digest_of(&encode(configuration))
}

/// Returns the changes that lead from `old` to `new`, or `None` if changes cannot express
/// the difference, which is the case if the limits of a tenant were removed.
#[must_use]
pub fn changes_between(old: &Configuration, new: &Configuration) -> Option<Vec<Change>> {
    let tenant_removed = old
        .tenants
        .keys()
        .any(|name| !new.tenants.contains_key(name));
    if tenant_removed {
        return None;
    }
    let mut changes = Vec::new();
    put_models(&mut changes, old, new);
    put_adapters(&mut changes, old, new);
    put_services(&mut changes, old, new);
    for (name, limits) in &new.tenants {
        if old.tenants.get(name) != Some(limits) {
            let (name, limits) = (name.clone(), limits.clone());
            changes.push(Change::PutTenant { name, limits });
        }
    }
    if old.policy != new.policy {
        let policy = new.policy.clone();
        changes.push(Change::PutPolicy { policy });
    }
    delete(&mut changes, old, new);
    Some(changes)
}

fn put_models(changes: &mut Vec<Change>, old: &Configuration, new: &Configuration) {
    for (name, model) in &new.models {
        if old.models.get(name) != Some(model) {
            let (name, model) = (name.clone(), model.clone());
            changes.push(Change::PutModel { name, model });
        }
    }
}

fn put_adapters(changes: &mut Vec<Change>, old: &Configuration, new: &Configuration) {
    for (name, adapter) in &new.adapters {
        if old.adapters.get(name) != Some(adapter) {
            let (name, adapter) = (name.clone(), adapter.clone());
            changes.push(Change::PutAdapter { name, adapter });
        }
    }
}

fn put_services(changes: &mut Vec<Change>, old: &Configuration, new: &Configuration) {
    for (name, service) in &new.services {
        if old.services.get(name) != Some(service) {
            let (name, service) = (name.clone(), service.clone());
            changes.push(Change::PutService { name, service });
        }
    }
}

/// Adds deletions of objects missing from `new`; each object is deleted before the objects
/// it uses.
fn delete(changes: &mut Vec<Change>, old: &Configuration, new: &Configuration) {
    let services = old.services.keys();
    for name in services.filter(|name| !new.services.contains_key(*name)) {
        changes.push(Change::DeleteService { name: name.clone() });
    }
    let adapters = old.adapters.keys();
    for name in adapters.filter(|name| !new.adapters.contains_key(*name)) {
        changes.push(Change::DeleteAdapter { name: name.clone() });
    }
    let models = old.models.keys();
    for name in models.filter(|name| !new.models.contains_key(*name)) {
        changes.push(Change::DeleteModel { name: name.clone() });
    }
}
