//! Memory of engines that are gone: which announced their departure, and the latest
//! incarnation of each engine name.

use std::collections::{BTreeMap, HashMap, VecDeque};

use molespan_types::{EngineIncarnation, incarnations_of};

/// Most names and departures that are kept; the oldest are evicted first. They keep a late
/// message from bringing a departed engine back.
const MAX_REMEMBERED: usize = 10_000;

/// Engines that announced their departure. A departure whose start was never observed is
/// recorded under a made-up incarnation that started when it ended; it applies to all
/// earlier incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    known: BTreeMap<String, ()>,
    order: VecDeque<String>,
}

impl Departures {
    /// Records a departure. Returns whether it is new.
    pub fn note(&mut self, id: &str) -> bool {
        if self.known.insert(id.to_owned(), ()).is_some() {
            return false;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Whether an engine announced its departure, in this incarnation or a later one.
    pub fn applies_to(&self, id: &str) -> bool {
        let incarnation = EngineIncarnation::of(id);
        let mut departed = incarnations_of(&self.known, incarnation.name);
        departed.any(|(id, ())| incarnation.departure_applies(&EngineIncarnation::of(id)))
    }
}

/// Latest start time of each engine that reported one.
#[derive(Clone, Debug, Default)]
pub struct LatestIncarnations {
    starts: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl LatestIncarnations {
    /// Records the start time of an incarnation.
    pub fn note(&mut self, id: &str) {
        let EngineIncarnation {
            name,
            started_at_ms: Some(started_at_ms),
        } = EngineIncarnation::of(id)
        else {
            return;
        };
        if let Some(latest) = self.starts.get_mut(name) {
            *latest = started_at_ms.max(*latest);
            return;
        }
        self.starts.insert(name.to_owned(), started_at_ms);
        self.order.push_back(name.to_owned());
        if self.order.len() > MAX_REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.starts.remove(&oldest);
        }
    }

    /// Returns the latest observed start time for an engine name.
    #[must_use]
    pub fn latest(&self, name: &str) -> Option<u64> {
        self.starts.get(name).copied()
    }

    /// Whether a later incarnation of the same engine was observed, so that this one has
    /// ended.
    #[must_use]
    pub fn has_later(&self, id: &str) -> bool {
        let incarnation = EngineIncarnation::of(id);
        let later = self.latest(incarnation.name);
        later.is_some() && incarnation.started_at_ms < later
    }
}
