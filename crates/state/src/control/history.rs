//! The newest configuration and the way there, for those who lag behind.

use std::collections::{BTreeMap, VecDeque};

use minicbor::bytes::ByteVec;
use molespan_types::{ConfigVersion, Digest};

use super::configuration::{Change, Configuration};
use super::update::{
    ConfigurationDelta, ConfigurationUpdate, changes_between, digest_of_configuration,
};
use crate::codec::encode;

/// Steps that are remembered.
const MOST_STEPS: usize = 64;

/// From one version that was seen to the next one that was.
#[derive(Clone, Debug)]
struct Step {
    from: ConfigVersion,
    changes: Vec<Change>,
}

/// The newest configuration, and what led there from the versions seen before.
#[derive(Clone, Debug, Default)]
pub struct ConfigurationHistory {
    newest: Option<Configuration>,
    digest: Digest,
    /// Oldest first; each leads to the version that the next one starts from,
    /// the last one to the newest.
    steps: VecDeque<Step>,
    /// Encoded updates to the newest version, by the version of those that
    /// asked: many ask for the same.
    encoded: BTreeMap<ConfigVersion, ByteVec>,
}

impl ConfigurationHistory {
    /// Version of the newest configuration; 0 without one.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        let newest = self.newest.as_ref();
        newest.map_or(ConfigVersion::default(), |newest| newest.version)
    }

    /// Takes a newer configuration. One that is not newer is passed over.
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
        if self.steps.len() > MOST_STEPS {
            self.steps.pop_front();
        }
        self.digest = digest_of_configuration(&newer);
        self.newest = Some(newer);
        self.encoded.clear();
    }

    /// The encoded [`ConfigurationUpdate`] for a node that has `held`; `None`
    /// when nothing is newer. It is a delta where the way from `held` is known
    /// and shorter than the whole.
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

    /// The way from `from`, which is where step `first` starts, to the newest.
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
