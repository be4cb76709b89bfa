//! Engines that said they leave.

use std::collections::{BTreeMap, VecDeque};

use minicbor::{Decode, Encode};

/// Departures that are remembered; the oldest are forgotten first. Far more
/// engines than leave while a late message of one may still be under way.
const REMEMBERED: usize = 10_000;

/// How far an engine is on its way out. It never goes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Departure {
    /// It finishes what it has and must get nothing new.
    #[n(0)]
    Draining,
    /// It has ended or is about to.
    #[n(1)]
    Gone,
}

/// Engines that said they leave, by the identifier of their incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Departures {
    #[n(0)]
    known: BTreeMap<String, Departure>,
    /// Identifiers, the oldest first.
    #[n(1)]
    order: VecDeque<String>,
}

impl Departures {
    /// How far an engine is; `None` while it stays.
    #[must_use]
    pub fn get(&self, engine: &str) -> Option<Departure> {
        self.known.get(engine).copied()
    }

    /// All that are remembered.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Departure)> {
        self.known
            .iter()
            .map(|(id, departure)| (id.as_str(), *departure))
    }

    /// Notes a departure; says whether anything changed.
    pub(super) fn note(&mut self, engine: &str, departure: Departure) -> bool {
        match self.known.get_mut(engine) {
            Some(known) if *known >= departure => return false,
            Some(known) => *known = departure,
            None => {
                self.known.insert(engine.to_owned(), departure);
                self.order.push_back(engine.to_owned());
            }
        }
        while self.order.len() > REMEMBERED {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        true
    }
}
