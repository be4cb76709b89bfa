//! The engines of one service that one gateway uses.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Change, PartUpdate};

/// Engines that went and are still told of: as many as a part holds, so that the log
/// takes no more room than the part. Whoever missed more gets the whole part.
const REMEMBERED_GONE: usize = 256;

/// The engines of one service that one gateway uses, with the change at which each came
/// or changed.
#[derive(Clone, Debug, Default)]
pub(super) struct Part {
    engines: BTreeMap<Arc<str>, Change>,
    log: BTreeSet<(Change, Arc<str>)>,
    gone: BTreeSet<(Change, Arc<str>)>,
    /// Last change at which one went to other gateways, or was forgotten to have gone.
    released: Change,
    changed: Change,
}

impl Part {
    /// An empty part, of a gateway that may know an earlier one.
    pub fn begun(change: Change) -> Self {
        Self {
            released: change,
            changed: change,
            ..Self::default()
        }
    }

    /// An engine is this gateway's from now on, or something of it changed.
    pub fn take(&mut self, engine: &Arc<str>, change: Change) {
        if let Some(before) = self.engines.insert(engine.clone(), change) {
            self.log.remove(&(before, engine.clone()));
        }
        self.log.insert((change, engine.clone()));
        self.changed = change;
    }

    /// An engine is there, and no longer this gateway's.
    pub fn release(&mut self, engine: &str, change: Change) {
        if self.forget(engine).is_some() {
            self.released = change;
            self.changed = change;
        }
    }

    /// An engine is there no more.
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

    /// The change that was last.
    pub fn changed(&self) -> Change {
        self.changed
    }

    /// What changed behind `since`; all of it too if the part was `narrowed`.
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
