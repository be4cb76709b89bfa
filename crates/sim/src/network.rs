//! The simulated network: delays, loss, duplicates, reordering and cuts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use molespan_types::Timestamp;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use crate::address::Address;
use crate::message::Transport;

/// Delay within a zone, in microseconds.
const DELAY_IN_ZONE: std::ops::Range<u64> = 50..200;
/// Delay between zones, in microseconds.
const DELAY_BETWEEN_ZONES: std::ops::Range<u64> = 500..1_500;
/// Delay to and from callers, operators and the platform, in microseconds.
const DELAY_OUTSIDE: std::ops::Range<u64> = 2_000..4_000;

/// Delay after which a connection retransmits lost bytes, in microseconds.
const RETRANSMIT_DELAY: u64 = 200_000;

/// A set of participants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// One participant.
    One(Address),
    /// The participants in a zone.
    Zone(u32),
    /// The participants in all other zones; excludes those without a zone.
    OutsideZone(u32),
    /// Every replica.
    Replicas,
    /// Every participant.
    Any,
}

impl std::fmt::Display for Endpoint {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Endpoint::One(address) => write!(formatter, "{address}"),
            Endpoint::Zone(zone) => write!(formatter, "zone {zone}"),
            Endpoint::OutsideZone(zone) => write!(formatter, "other zones than {zone}"),
            Endpoint::Replicas => write!(formatter, "every replica"),
            Endpoint::Any => write!(formatter, "anyone"),
        }
    }
}

/// A one-way cut: messages between these endpoints do not arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cut {
    /// Senders.
    pub from: Endpoint,
    /// Receivers.
    pub to: Endpoint,
}

/// A lossy or slow link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Disturbance {
    /// Participants whose sent and received messages are affected.
    pub at: Endpoint,
    /// Share of lost messages.
    pub loss: f64,
    /// Share of datagrams that arrive twice.
    pub duplicates: f64,
    /// Longest additional delay, which also reorders datagrams.
    pub longest_delay: Duration,
}

/// The network.
#[derive(Debug, Default)]
pub struct Network {
    zones: BTreeMap<Address, u32>,
    cuts: BTreeMap<usize, Vec<Cut>>,
    disturbances: BTreeMap<usize, Disturbance>,
    /// Latest arrival on each connection.
    latest: BTreeMap<Direction, Timestamp>,
    /// Connections on which a message was cut off; they deliver nothing more.
    broken: BTreeSet<Direction>,
}

/// One direction of a connection.
type Direction = (Address, Address, u64);

impl Network {
    /// Creates a network without faults; participants missing from `zones` are outside
    /// every zone.
    #[must_use]
    pub fn new(zones: BTreeMap<Address, u32>) -> Self {
        Self {
            zones,
            ..Self::default()
        }
    }

    /// Returns the zone of a participant.
    #[must_use]
    pub fn zone(&self, address: Address) -> Option<u32> {
        self.zones.get(&address).copied()
    }

    /// Applies the cuts of fault `fault`.
    pub fn cut(&mut self, fault: usize, cuts: Vec<Cut>) {
        self.cuts.insert(fault, cuts);
    }

    /// Applies the disturbance of fault `fault`.
    pub fn disturb(&mut self, fault: usize, disturbance: Disturbance) {
        self.disturbances.insert(fault, disturbance);
    }

    /// Ends the cuts and the disturbance of fault `fault`.
    pub fn heal(&mut self, fault: usize) {
        self.cuts.remove(&fault);
        self.disturbances.remove(&fault);
    }

    /// Whether any cut is active.
    #[must_use]
    pub fn has_cuts(&self) -> bool {
        !self.cuts.is_empty()
    }

    /// Whether messages from `from` to `to` are cut off.
    #[must_use]
    pub fn is_cut(&self, from: Address, to: Address) -> bool {
        let cuts = self.cuts.values().flatten();
        let mut cuts = cuts.filter(|cut| self.matches(cut.from, from));
        cuts.any(|cut| self.matches(cut.to, to))
    }

    /// Whether a message that arrives now is delivered. On a connection, nothing is
    /// delivered after a message that was cut off.
    pub fn is_delivered(&mut self, from: Address, to: Address, transport: Transport) -> bool {
        let cut = self.is_cut(from, to);
        let Transport::Stream(connection) = transport else {
            return !cut;
        };
        let direction = (from, to, connection);
        if cut {
            self.broken.insert(direction);
        }
        !self.broken.contains(&direction)
    }

    /// Returns the arrival times of the copies of a message sent now; none if it is lost.
    /// Messages lost on a connection are retransmitted and arrive later.
    pub fn arrivals(
        &mut self,
        random: &mut ChaCha8Rng,
        now: Timestamp,
        link: (Address, Address),
        transport: Transport,
    ) -> Vec<Timestamp> {
        let (from, to) = link;
        if !self.is_delivered(from, to, transport) {
            return Vec::new();
        }
        let mut delay = random.random_range(self.usual_delay(from, to));
        let mut copies = 1;
        for disturbance in self.disturbances.values() {
            let hit = self.matches(disturbance.at, from) || self.matches(disturbance.at, to);
            if !hit {
                continue;
            }
            if random.random_bool(disturbance.loss) {
                if transport == Transport::Datagram {
                    return Vec::new();
                }
                delay += RETRANSMIT_DELAY;
            }
            delay += random.random_range(0..=disturbance.longest_delay.as_micros() as u64);
            let doubled = random.random_bool(disturbance.duplicates);
            copies += usize::from(doubled && transport == Transport::Datagram);
        }
        let mut arrivals = Vec::with_capacity(copies);
        for copy in 0..copies as u64 {
            let at = Timestamp(now.0 + delay * (copy + 1));
            arrivals.push(self.keep_order(at, link, transport));
        }
        arrivals
    }

    fn keep_order(
        &mut self,
        at: Timestamp,
        link: (Address, Address),
        transport: Transport,
    ) -> Timestamp {
        let Transport::Stream(connection) = transport else {
            return at;
        };
        let key = (link.0, link.1, connection);
        let latest = self.latest.entry(key).or_default();
        *latest = at.max(Timestamp(latest.0 + 1));
        *latest
    }

    fn usual_delay(&self, from: Address, to: Address) -> std::ops::Range<u64> {
        match (self.zone(from), self.zone(to)) {
            (Some(one), Some(other)) if one == other => DELAY_IN_ZONE,
            (Some(_), Some(_)) => DELAY_BETWEEN_ZONES,
            _ => DELAY_OUTSIDE,
        }
    }

    fn matches(&self, endpoint: Endpoint, address: Address) -> bool {
        match endpoint {
            Endpoint::One(one) => one == address,
            Endpoint::Zone(zone) => self.zone(address) == Some(zone),
            Endpoint::OutsideZone(zone) => self.zone(address).is_some_and(|other| other != zone),
            Endpoint::Replicas => matches!(address, Address::Replica(_)),
            Endpoint::Any => true,
        }
    }
}
