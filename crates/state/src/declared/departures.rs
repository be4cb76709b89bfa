//! Departures announced by engines.

use std::collections::{BTreeMap, VecDeque};

use minicbor::{Decode, Encode};

/// Maximum number of retained departures; the oldest are evicted first. This is far more
/// than the number of engines that leave while a late message of one may still be in
/// flight.
const MAX_DEPARTURES: usize = 10_000;

/// Progress of the departure of an engine. It never regresses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Encode, Decode)]
#[cbor(index_only)]
pub enum Departure {
    /// The engine finishes its running requests and must not get new ones.
    #[n(0)]
    Draining,
    /// The engine has stopped or is about to stop.
    #[n(1)]
    Gone,
}

/// Departures of engines, by the identifier of the engine's incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Departures {
    #[n(0)]
    known: BTreeMap<String, Departure>,
    /// Identifiers, oldest first.
    #[n(1)]
    order: VecDeque<String>,
}

impl Departures {
    /// Returns the departure of an engine, or `None` if it is not leaving.
    #[must_use]
    pub fn get(&self, engine: &str) -> Option<Departure> {
        self.known.get(engine).copied()
    }

    /// Iterates over all retained departures.
    pub fn iter(&self) -> impl Iterator<Item = (&str, Departure)> {
        self.known
            .iter()
            .map(|(id, departure)| (id.as_str(), *departure))
    }

    /// Records a departure and returns whether anything changed.
    pub(super) fn record(&mut self, engine: &str, departure: Departure) -> bool {
        match self.known.get_mut(engine) {
            Some(known) if *known >= departure => return false,
            Some(known) => *known = departure,
            None => {
                self.known.insert(engine.to_owned(), departure);
                self.order.push_back(engine.to_owned());
            }
        }
        while self.order.len() > MAX_DEPARTURES {
            if let Some(oldest) = self.order.pop_front() {
                self.known.remove(&oldest);
            }
        }
        true
    }
}
