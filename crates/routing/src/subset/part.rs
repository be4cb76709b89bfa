//! The subset of a service's engines that one gateway uses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Change, PartUpdate};

/// Maximum number of removed engines kept for updates: about the size of a subset, so that
/// the log takes no more memory than the subset. A gateway that missed more removals gets
/// the complete subset.
const REMEMBERED_GONE: usize = 256;

/// The subset of a service's engines that one gateway uses, with the change at which each
/// engine was added or last changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Part {
    engines: BTreeMap<Arc<str>, Change>,
    log: BTreeSet<(Change, Arc<str>)>,
    gone: BTreeSet<(Change, Arc<str>)>,
    /// Last change at which an engine was reassigned to other gateways, or whose removal was
    /// dropped from the log; watchers from before it need the complete subset.
    released: Change,
    changed: Change,
}

impl Part {
    /// Creates an empty subset for a gateway that may still have an earlier one.
    pub fn begun(change: Change) -> Self {
        Self {
            released: change,
            changed: change,
            ..Self::default()
        }
    }

    /// Adds an engine or records that it changed.
    pub fn take(&mut self, engine: &Arc<str>, change: Change) {
        if let Some(before) = self.engines.insert(engine.clone(), change) {
            self.log.remove(&(before, engine.clone()));
        }
        self.log.insert((change, engine.clone()));
        self.changed = change;
    }

    /// Removes an engine that still exists but was reassigned to other gateways.
    pub fn release(&mut self, engine: &str, change: Change) {
        if self.forget(engine).is_some() {
            self.released = change;
            self.changed = change;
        }
    }

    /// Removes an engine that no longer exists.
    pub fn lose(&mut self, engine: &str, change: Change) {
        let Some(engine) = self.forget(engine) else {
            return;
        };
        self.gone.insert((change, engine));
        self.changed = change;
        if self.gone.len() > REMEMBERED_GONE
            && let Some((forgotten, _)) = self.gone.pop_first()
        {
            self.released = self.released.max(forgotten);
        }
    }

    fn forget(&mut self, engine: &str) -> Option<Arc<str>> {
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
    pub fn after(&self, since: Change, narrowed: bool) -> PartUpdate {
        let behind = (since + 1, Arc::from(""));
        let ids = |log: &BTreeSet<(Change, Arc<str>)>| {
            let log = log.range(behind.clone()..);
            log.map(|(_, engine)| engine.clone()).collect()
        };
        let whole = narrowed || self.released > since;
        PartUpdate {
            engines: ids(&self.log),
            gone: ids(&self.gone),
            whole: whole.then(|| self.engines.keys().cloned().collect()),
        }
    }
}
