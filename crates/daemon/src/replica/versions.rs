//! The active configuration version of each node, as reported by the nodes.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use molespan_types::{ConfigVersion, NodeId};
use molespan_wire::WatchConfiguration;

/// Time after which a silent node is removed.
const RETENTION: Duration = Duration::from_secs(60);

#[derive(Debug)]
struct ReportedVersion {
    version: ConfigVersion,
    at: Instant,
}

/// The active configuration version of each node, as reported by the nodes.
#[derive(Debug, Default)]
pub(super) struct VersionsInForce {
    reported: Mutex<HashMap<NodeId, ReportedVersion>>,
}

impl VersionsInForce {
    /// Records the version that a node reported.
    pub fn record(&self, watch: &WatchConfiguration) {
        let reported = ReportedVersion {
            version: watch.in_force,
            at: Instant::now(),
        };
        self.lock().insert(watch.node, reported);
    }

    /// Returns every node that reported recently, ordered by ID.
    pub fn list(&self) -> Vec<(NodeId, ConfigVersion)> {
        let mut reported = self.lock();
        reported.retain(|_, one| one.at.elapsed() < RETENTION);
        let mut versions: Vec<_> = reported
            .iter()
            .map(|(&node, one)| (node, one.version))
            .collect();
        versions.sort_unstable();
        versions
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<NodeId, ReportedVersion>> {
        self.reported.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
