//! What every participant works with: time, chance, network and records.

use std::collections::BTreeMap;

use molespan_types::{Incarnation, Timestamp};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::address::Address;
use crate::event::{Envelope, Event, EventQueue};
use crate::history::History;
use crate::message::Message;
use crate::network::Network;

/// What every participant works with.
#[derive(Debug)]
pub struct Context {
    /// Time of the simulation.
    pub now: Timestamp,
    /// Decides everything random.
    pub random: ChaCha8Rng,
    /// What is going to happen.
    pub queue: EventQueue,
    /// Links and their faults.
    pub network: Network,
    /// What participants saw, for the checkers.
    pub history: History,
    /// The present life of each engine, as operators see it.
    pub engine_lives: BTreeMap<u32, Incarnation>,
}

impl Context {
    /// The start of a simulation.
    #[must_use]
    pub fn new(seed: u64, network: Network) -> Self {
        Self {
            now: Timestamp::ZERO,
            random: ChaCha8Rng::seed_from_u64(seed),
            queue: EventQueue::default(),
            network,
            history: History::default(),
            engine_lives: BTreeMap::new(),
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

    /// The present life of an engine.
    #[must_use]
    pub fn engine_life(&self, engine: u32) -> Incarnation {
        self.engine_lives.get(&engine).copied().unwrap_or_default()
    }

    /// A number that no other call returned, for identifiers and seeds.
    pub fn fresh(&mut self) -> u64 {
        self.random.random()
    }
}
