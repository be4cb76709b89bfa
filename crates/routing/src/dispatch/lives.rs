//! What is remembered of engines that are not there any more: who said that it leaves, and
//! which life of each name is the latest.

use std::collections::{BTreeMap, HashMap, VecDeque};

use molespan_types::{EngineLife, lives_of};

/// Names and departures that are remembered, so that a late word of an engine does not
/// bring it back.
const REMEMBERED: usize = 10_000;

/// Engines that said they leave. An end that came without a start names a life that never
/// was, as late as the end: it binds those before.
#[derive(Clone, Debug, Default)]
pub(super) struct Departures {
    known: BTreeMap<String, ()>,
    order: VecDeque<String>,
}

impl Departures {
    /// Notes a departure; says whether that is news.
    pub fn note(&mut self, id: &str) -> bool {
        if self.known.insert(id.to_owned(), ()).is_some() {
            return false;
        }
        self.order.push_back(id.to_owned());
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Whether an engine said that it leaves, in this life or a later one.
    pub fn bind(&self, id: &str) -> bool {
        let life = EngineLife::of(id);
        let mut departed = lives_of(&self.known, life.name);
        departed.any(|(id, ())| life.is_bound_by(&EngineLife::of(id)))
    }
}

/// The latest start of each engine that told one.
#[derive(Clone, Debug, Default)]
pub struct LatestLives {
    starts: HashMap<String, u64>,
    order: VecDeque<String>,
}

impl LatestLives {
    /// A life was heard of.
    pub fn note(&mut self, id: &str) {
        let EngineLife {
            name,
            born: Some(born),
        } = EngineLife::of(id)
        else {
            return;
        };
        if let Some(latest) = self.starts.get_mut(name) {
            *latest = born.max(*latest);
            return;
        }
        self.starts.insert(name.to_owned(), born);
        self.order.push_back(name.to_owned());
        if self.order.len() > REMEMBERED
            && let Some(oldest) = self.order.pop_front()
        {
            self.starts.remove(&oldest);
        }
    }

    /// The latest start that was heard for a name.
    #[must_use]
    pub fn latest(&self, name: &str) -> Option<u64> {
        self.starts.get(name).copied()
    }

    /// Whether a later life of the same engine was heard: this one has ended.
    #[must_use]
    pub fn has_later(&self, id: &str) -> bool {
        let life = EngineLife::of(id);
        let later = self.latest(life.name);
        later.is_some() && life.born < later
    }
}
