//! Engines that announced their departure. They get no new requests, but go on with streams
//! that no other engine may go on with: in a rolling release the last engines of the old
//! version leave while streams of it still run.

use std::time::Duration;

use molespan_types::{EngineIncarnation, Timestamp};

use super::engine::EngineFacts;
use super::table::{Pick, Picked, WorkClass};

/// Time for which a stream may go on at an engine after this gateway learned that it
/// leaves: half of the shortest time for which engines serve on.
const SERVES_ON: Duration = Duration::from_secs(1);

/// Engines that leave, with when this gateway learned it.
#[derive(Debug, Default)]
pub(super) struct LeavingEngines(Vec<(EngineFacts, Timestamp)>);

impl LeavingEngines {
    /// Records that an engine leaves.
    pub fn note(&mut self, facts: EngineFacts, now: Timestamp) {
        self.0.retain(|(_, since)| now.since(*since) < SERVES_ON);
        self.0.push((facts, now));
    }

    /// Whether a stream may still go on at an engine.
    pub fn serves_on(&self, id: &str, now: Timestamp) -> bool {
        self.serving(now).any(|facts| facts.id == id)
    }

    /// Removes the earlier incarnations of an engine that started again.
    pub fn replace(&mut self, id: &str) {
        let incarnation = EngineIncarnation::of(id);
        self.0
            .retain(|(facts, _)| EngineIncarnation::of(&facts.id).name != incarnation.name);
    }

    /// Returns an engine for an online stream that only its version may go on with.
    pub fn pick(&self, pick: &Pick<'_>, now: Timestamp) -> Option<Picked> {
        if pick.class != WorkClass::Online || pick.version.is_none() {
            return None;
        }
        let mut engines = self.serving(now).filter(|facts| {
            let suitable = facts.service == pick.service && pick.allows_version(facts);
            suitable && !pick.tried.contains(&facts.id)
        });
        let facts = engines.next()?.clone();
        Some(Picked {
            facts,
            load: 0.0,
            unread_tokens: pick.prompt.tokens,
            queued_tokens: 0,
            takes_over: false,
        })
    }

    /// Returns the engines that still serve, the one that left last first.
    fn serving(&self, now: Timestamp) -> impl Iterator<Item = &EngineFacts> {
        let serving = self.0.iter().rev();
        let serving = serving.filter(move |(_, since)| now.since(*since) < SERVES_ON);
        serving.map(|(facts, _)| facts)
    }
}
