//! Recent configuration changes, used to send deltas to nodes with an older version.

use std::collections::{BTreeMap, VecDeque};

use minicbor::bytes::ByteVec;
use molespan_types::{ConfigVersion, Digest};

use super::configuration::{Change, Configuration};
use super::update::{
    ConfigurationDelta, ConfigurationUpdate, changes_between, digest_of_configuration,
};
use crate::codec::encode;

/// Maximum number of retained steps.
const MAX_STEPS: usize = 64;

/// Changes between two consecutive observed versions.
#[derive(Clone, Debug)]
struct Step {
    from: ConfigVersion,
    changes: Vec<Change>,
}

/// The newest configuration and the changes that lead to it from earlier observed versions.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    newest: Option<Configuration>,
    digest: Digest,
    /// Steps, oldest first. Each leads to the version that the next one starts from; the
    /// last leads to the newest version.
    steps: VecDeque<Step>,
    /// Cache of encoded updates to the newest version, by starting version, since many
    /// nodes request the same update.
    encoded: BTreeMap<ConfigVersion, ByteVec>,
}

impl ConfigurationHistory {
    /// Returns the version of the newest configuration, or 0 if there is none.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        let newest = self.newest.as_ref();
        newest.map_or(ConfigVersion::default(), |newest| newest.version)
    }

    /// Records a newer configuration. One that is not newer is ignored.
    pub fn advance(&mut self, newer: Configuration) {
        if self.newest.is_some() && newer.version <= self.version() {
            return;
        }
        let old = self.newest.as_ref();
        match old.and_then(|old| changes_between(old, &newer)) {
            Some(changes) => self.steps.push_back(Step {
                from: self.version(),
                changes,
            }),
            None => self.steps.clear(),
        }
        if self.steps.len() > MAX_STEPS {
            self.steps.pop_front();
        }
        self.digest = digest_of_configuration(&newer);
        self.newest = Some(newer);
        self.encoded.clear();
    }

    /// Returns the encoded [`ConfigurationUpdate`] for a node at version `held`, or `None`
    /// if there is no newer version. The update is a delta if the changes since `held` are
    /// known and smaller than the whole configuration.
    pub fn update_for(&mut self, held: ConfigVersion) -> Option<ByteVec> {
        let newest = self.newest.as_ref()?;
        if held >= newest.version {
            return None;
        }
        let first = self.steps.iter().position(|step| step.from == held);
        let key = if first.is_some() {
            held
        } else {
            ConfigVersion::default()
        };
        if let Some(bytes) = self.encoded.get(&key) {
            return Some(bytes.clone());
        }
        let whole = encode(&ConfigurationUpdate::Whole(newest.clone()));
        let delta = first.map(|first| self.delta(held, newest.version, first));
        let bytes = match delta.map(|delta| encode(&delta)) {
            Some(delta) if delta.len() < whole.len() => delta,
            _ => whole,
        };
        let bytes = ByteVec::from(bytes);
        self.encoded.insert(key, bytes.clone());
        Some(bytes)
    }

    /// Returns the delta from version `from`, where step `first` starts, to version `to`,
    /// the newest.
    fn delta(&self, from: ConfigVersion, to: ConfigVersion, first: usize) -> ConfigurationUpdate {
        let steps = self.steps.iter().skip(first);
        let changes = steps.flat_map(|step| step.changes.iter().cloned());
        ConfigurationUpdate::Delta(ConfigurationDelta {
            from,
            to,
            changes: changes.collect(),
            digest: self.digest,
        })
    }
}
