//! Engines that are avoided since they fail others.

use std::collections::BTreeSet;

use molespan_types::Timestamp;

use super::engine::Engine;
use super::table::EngineTable;

/// Share of a service's engines that may count as failing for others; beyond it
/// their word is not heeded, since the cause lies elsewhere and the rest could not
/// carry the load.
const MOST_FAILING: f64 = 0.5;

impl EngineTable {
    /// Engines of all services that fail for other gateways, or part of all requests.
    #[must_use]
    pub fn failing_for_others(&self, now: Timestamp) -> BTreeSet<String> {
        let failing = failing(self.engines.values(), now);
        failing.into_iter().map(str::to_owned).collect()
    }

    /// Engines of the service that are avoided since they fail for others, or fail
    /// part of all requests.
    pub(super) fn avoided(&self, service: &str, now: Timestamp) -> BTreeSet<&str> {
        let failing = failing(self.within_reach(service), now);
        let all = self.within_reach(service).count() as f64;
        match failing.len() as f64 <= all * MOST_FAILING {
            true => failing,
            false => BTreeSet::new(),
        }
    }
}

fn failing<'e>(engines: impl Iterator<Item = &'e Engine>, now: Timestamp) -> BTreeSet<&'e str> {
    let failing = engines.filter(|engine| engine.fails_others(now) || engine.errs(now));
    failing.map(|engine| engine.facts.id.as_str()).collect()
}
