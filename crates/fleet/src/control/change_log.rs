//! Index of keys by the revision at which they last changed, so that the changes that a
//! watcher missed are found without scanning all keys.

use std::collections::BTreeSet;

/// Keys ordered by the revision at which each last changed.
#[derive(Clone, Debug)]
pub(super) struct ChangeLog<K>(BTreeSet<(u64, K)>);

impl<K> Default for ChangeLog<K> {
    fn default() -> Self {
        Self(BTreeSet::new())
    }
}

impl<K: Ord + Clone + Default> ChangeLog<K> {
    /// Records that `key` changed at revision `change`, after its previous change at
    /// `before`.
    pub fn record(&mut self, key: &K, before: Option<u64>, change: u64) {
        if let Some(before) = before {
            self.remove(key, before);
        }
        self.0.insert((change, key.clone()));
    }

    /// Removes `key`, which last changed at revision `change`.
    pub fn remove(&mut self, key: &K, change: u64) {
        self.0.remove(&(change, key.clone()));
    }

    /// Returns the keys that changed after revision `since`.
    pub fn after(&self, since: u64) -> impl Iterator<Item = &K> {
        let keys = self.0.range((since + 1, K::default())..);
        keys.map(|(_, key)| key)
    }

    /// Returns the revision of the latest change, or 0 if there is none.
    pub fn latest(&self) -> u64 {
        self.0.last().map_or(0, |(change, _)| *change)
    }
}
