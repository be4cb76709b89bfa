//! Engines avoided because they fail other gateways, or some of all requests.

use std::collections::BTreeSet;

use molespan_types::Timestamp;

use super::engine::Engine;
use super::table::EngineTable;

/// Largest share of a service's engines that may be avoided for failing elsewhere. Beyond
/// it none is avoided: the cause lies elsewhere, and the remaining engines could not carry
/// the load.
const MAX_FAILING_SHARE: f64 = 0.5;

impl EngineTable {
    /// Returns engines of all services that fail for other gateways, or fail some of all
    /// requests.
    #[must_use]
    pub fn failing_for_others(&self, now: Timestamp) -> BTreeSet<String> {
        let failing = failing(self.engines.values(), now);
        failing.into_iter().map(str::to_owned).collect()
    }

    /// Returns the engines of the service to avoid because they fail for other gateways, or
    /// fail some of all requests.
    pub(super) fn avoided(&self, service: &str, now: Timestamp) -> BTreeSet<&str> {
        let failing = failing(self.reachable_engines(service), now);
        let all = self.reachable_engines(service).count() as f64;
        match failing.len() as f64 <= all * MAX_FAILING_SHARE {
            true => failing,
            false => BTreeSet::new(),
        }
    }
}

fn failing<'e>(engines: impl Iterator<Item = &'e Engine>, now: Timestamp) -> BTreeSet<&'e str> {
    let failing =
        engines.filter(|engine| engine.fails_for_others(now) || engine.fails_some_requests(now));
    failing.map(|engine| engine.facts.id.as_str()).collect()
}
