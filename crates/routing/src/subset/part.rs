//! The subset of a service's engines that one gateway uses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Change, SubsetUpdate};

/// Maximum number of removed engines kept for updates: about the size of a subset, so that
/// the log takes no more memory than the subset. A gateway that missed more removals gets
/// the complete subset.
const MAX_LOGGED_REMOVALS: usize = 256;

/// The subset of a service's engines that one gateway uses, with the change at which each
/// engine was added or last changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Subset {
    engines: BTreeMap<Arc<str>, Change>,
    log: BTreeSet<(Change, Arc<str>)>,
    gone: BTreeSet<(Change, Arc<str>)>,
    /// Last change at which an engine was reassigned to other gateways, or whose removal was
    /// dropped from the log; watchers from before it need the complete subset.
    last_reassigned: Change,
    changed: Change,
}

impl Subset {
    /// Creates an empty subset for a gateway that may still have an earlier one.
    pub fn new_at(change: Change) -> Self {
        Self {
            last_reassigned: change,
            changed: change,
            ..Self::default()
        }
    }

    /// Adds an engine or records that it changed.
    pub fn insert(&mut self, engine: &Arc<str>, change: Change) {
        if let Some(before) = self.engines.insert(engine.clone(), change) {
            self.log.remove(&(before, engine.clone()));
        }
        self.log.insert((change, engine.clone()));
        self.changed = change;
    }

    /// Removes an engine that still exists but was reassigned to other gateways.
    pub fn reassign(&mut self, engine: &str, change: Change) {
        if self.remove_entry(engine).is_some() {
            self.last_reassigned = change;
            self.changed = change;
        }
    }

    /// Removes an engine that no longer exists.
    pub fn remove(&mut self, engine: &str, change: Change) {
        let Some(engine) = self.remove_entry(engine) else {
            return;
        };
        self.gone.insert((change, engine));
        self.changed = change;
        if self.gone.len() > MAX_LOGGED_REMOVALS
            && let Some((oldest, _)) = self.gone.pop_first()
        {
            self.last_reassigned = self.last_reassigned.max(oldest);
        }
    }

    fn remove_entry(&mut self, engine: &str) -> Option<Arc<str>> {
        let (engine, change) = self.engines.remove_entry(engine)?;
        self.log.remove(&(change, engine.clone()));
        Some(engine)
    }

    pub fn len(&self) -> usize {
        self.engines.len()
    }

    /// Returns the last change.
    pub fn changed(&self) -> Change {
        self.changed
    }

    /// Returns the changes after `since`, with the complete subset if it was `narrowed` or
    /// engines were reassigned.
    pub fn changes_after(&self, since: Change, narrowed: bool) -> SubsetUpdate {
        let start = (since + 1, Arc::from(""));
        let ids = |log: &BTreeSet<(Change, Arc<str>)>| {
            let log = log.range(start.clone()..);
            log.map(|(_, engine)| engine.clone()).collect()
        };
        let complete = narrowed || self.last_reassigned > since;
        SubsetUpdate {
            engines: ids(&self.log),
            removed: ids(&self.gone),
            complete: complete.then(|| self.engines.keys().cloned().collect()),
        }
    }
}
