//! A network that loses, duplicates, delays and reorders packets, and whose links
//! can be cut.

use std::collections::BTreeSet;

use molespan_consensus::{Index, Message, ReplicaId, SnapshotMeta};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A packet from one replica to another.
#[derive(Clone, Debug)]
pub enum Packet {
    Consensus(Message),
    /// Requests one command of a snapshot.
    Pull {
        snapshot: Index,
        position: usize,
    },
    /// One command of a snapshot.
    Chunk {
        meta: SnapshotMeta,
        position: usize,
        total: usize,
        command: Option<Vec<u8>>,
    },
}

/// Fault rates in percent, and the maximum delay in ticks.
#[derive(Clone, Copy, Debug, Default)]
pub struct FaultRates {
    pub loss: u32,
    pub repetition: u32,
    pub max_delay: u64,
}

#[derive(Clone, Debug)]
struct InFlightPacket {
    due: u64,
    from: ReplicaId,
    to: ReplicaId,
    packet: Packet,
}

#[derive(Debug, Default)]
pub struct Network {
    pub fault_rates: FaultRates,
    in_flight: Vec<InFlightPacket>,
    /// Directed links, from sender to receiver, that drop all packets.
    cut_links: BTreeSet<(ReplicaId, ReplicaId)>,
}

impl Network {
    pub fn send(
        &mut self,
        now: u64,
        random: &mut ChaCha8Rng,
        (from, to): (ReplicaId, ReplicaId),
        packet: Packet,
    ) {
        let mut copies = 1;
        if random.random_range(0..100) < self.fault_rates.repetition {
            copies += 1;
        }
        for _ in 0..copies {
            if random.random_range(0..100) < self.fault_rates.loss {
                continue;
            }
            let due = now + random.random_range(0..=self.fault_rates.max_delay);
            let packet = packet.clone();
            self.in_flight.push(InFlightPacket {
                due,
                from,
                to,
                packet,
            });
        }
    }

    /// Removes and returns the next packet that is due by `now`.
    pub fn take_due(&mut self, now: u64) -> Option<(ReplicaId, ReplicaId, Packet)> {
        loop {
            let position = self.in_flight.iter().position(|one| one.due <= now)?;
            let one = self.in_flight.remove(position);
            if !self.cut_links.contains(&(one.from, one.to)) {
                return Some((one.from, one.to, one.packet));
            }
        }
    }

    pub fn cut_one_way(&mut self, from: ReplicaId, to: ReplicaId) {
        self.cut_links.insert((from, to));
    }

    pub fn cut(&mut self, one: ReplicaId, other: ReplicaId) {
        self.cut_one_way(one, other);
        self.cut_one_way(other, one);
    }

    pub fn heal(&mut self) {
        self.cut_links.clear();
    }
}
