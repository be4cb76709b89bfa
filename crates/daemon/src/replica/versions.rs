//! Which configuration is in force on each node, as the nodes said.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molespan_types::{ConfigVersion, NodeId};
use molespan_wire::WatchConfiguration;

/// A node that said nothing for longer is forgotten.
const REMEMBERED: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct Said {
    version: ConfigVersion,
    at: Instant,
}

/// Which configuration is in force on each node, as the nodes said.
#[derive(Debug, Default)]
pub(super) struct VersionsInForce {
    said: Mutex<HashMap<NodeId, Said>>,
}

impl VersionsInForce {
    /// Notes what a node said of itself.
    pub fn note(&self, watch: &WatchConfiguration) {
        let said = Said {
            version: watch.in_force,
            at: Instant::now(),
        };
        self.lock().insert(watch.node, said);
    }

    /// Every node that was heard of lately, in the order of their numbers.
    pub fn list(&self) -> Vec<(NodeId, ConfigVersion)> {
        let mut said = self.lock();
        said.retain(|_, one| one.at.elapsed() < REMEMBERED);
        let mut versions: Vec<_> = said
            .iter()
            .map(|(&node, one)| (node, one.version))
            .collect();
        versions.sort_unstable();
        versions
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, Said>> {
        self.said.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
