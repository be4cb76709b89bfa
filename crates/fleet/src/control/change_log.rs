//! What changed, by the change of the view at which it did, so that what a watcher
//! missed is found without a walk of everything.

use std::collections::BTreeSet;

/// Keys by the change at which each last changed.
#[derive(Clone, Debug)]
pub(super) struct ChangeLog<K>(BTreeSet<(u64, K)>);

impl<K> Default for ChangeLog<K> {
    fn default() -> Self {
        Self(BTreeSet::new())
    }
}

impl<K: Ord + Clone + Default> ChangeLog<K> {
    /// A key changed, the last time `before` that.
    pub fn note(&mut self, key: &K, before: Option<u64>, change: u64) {
        if let Some(before) = before {
            self.forget(key, before);
        }
        self.0.insert((change, key.clone()));
    }

    /// A key that last changed at `change` is no more.
    pub fn forget(&mut self, key: &K, change: u64) {
        self.0.remove(&(change, key.clone()));
    }

    /// Keys that changed behind `since`.
    pub fn after(&self, since: u64) -> impl Iterator<Item = &K> {
        let keys = self.0.range((since + 1, K::default())..);
        keys.map(|(_, key)| key)
    }

    /// The last change of a key.
    pub fn last(&self) -> u64 {
        self.0.last().map_or(0, |(change, _)| *change)
    }
}
