//! State shared by all participants: time, randomness, network and records.

use std::collections::BTreeMap;

use molespan_types::{Incarnation, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::address::Address;
use crate::event::{Envelope, Event, EventQueue};
use crate::history::History;
use crate::message::Message;
use crate::network::Network;

/// State shared by all participants.
#[derive(Debug)]
pub struct Context {
    /// Simulation time.
    pub now: Timestamp,
    /// Source of all randomness.
    pub random: ChaCha8Rng,
    /// Scheduled events.
    pub queue: EventQueue,
    /// Links and their faults.
    pub network: Network,
    /// Observations of the participants, for the checkers.
    pub history: History,
    /// Current incarnation of each engine, as operators see it.
    pub engine_incarnations: BTreeMap<u32, Incarnation>,
}

impl Context {
    /// Creates the context at the start of a simulation.
    #[must_use]
    pub fn new(seed: u64, network: Network) -> Self {
        Self {
            now: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::default(),
            network,
            history: History::default(),
            engine_incarnations: BTreeMap::new(),
        }
    }

    /// Sends a message; the network decides whether and when it arrives.
    pub fn send(&mut self, from: Address, to: Address, message: Message) {
        let transport = message.transport();
        let arrivals = self
            .network
            .arrivals(&mut self.random, self.now, (from, to), transport);
        for at in arrivals {
            let message = message.clone();
            let envelope = Envelope { from, to, message };
            self.queue.push(at, Event::Deliver(envelope));
        }
    }

    /// Returns the current incarnation of an engine.
    #[must_use]
    pub fn engine_incarnation(&self, engine: u32) -> Incarnation {
        self.engine_incarnations
            .get(&engine)
            .copied()
            .unwrap_or_default()
    }

    /// Returns a random number for identifiers and seeds, unique in practice.
    pub fn random_id(&mut self) -> u64 {
        self.random.random()
    }
}
