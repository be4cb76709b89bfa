//! The set of live gateways, as replicas report them from heartbeats.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, Incarnation, NodeId, Timestamp, ZoneName};

use crate::rendezvous;

/// Timeouts of the gateway set.
#[derive(Clone, Debug, PartialEq)]
pub struct GatewaySetSettings {
    /// Time without a report after which a gateway is no longer live.
    pub live_for: Duration,
    /// Time without a report after which the incarnation of a gateway is forgotten.
    pub forget_after: Duration,
}

impl Default for GatewaySetSettings {
    fn default() -> Self {
        Self {
            live_for: Duration::from_secs(3),
            forget_after: Duration::from_secs(600),
        }
    }
}

/// A gateway as reported by a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GatewayRecord {
    /// Identifier of the node.
    pub node: NodeId,
    /// Incarnation of the gateway.
    pub incarnation: Incarnation,
    /// Zone of the gateway.
    pub zone: ZoneName,
    /// Whether the gateway is in a planned stop.
    pub draining: bool,
}

#[derive(Clone, Debug)]
struct Member {
    record: GatewayRecord,
    last_seen: Timestamp,
}

/// The set of live gateways.
#[derive(Clone, Debug)]
pub struct GatewaySet {
    settings: GatewaySetSettings,
    members: BTreeMap<NodeId, Member>,
    /// Live gateways that are not draining, by zone; rebuilt on each change.
    by_zone: BTreeMap<ZoneName, Vec<NodeId>>,
}

impl GatewaySet {
    /// Creates an empty set.
    #[must_use]
    pub fn new(settings: GatewaySetSettings) -> Self {
        Self {
            settings,
            members: BTreeMap::new(),
            by_zone: BTreeMap::new(),
        }
    }

    /// Merges the current report of a replica. Returns whether the set of gateways that
    /// may own back ends changed.
    pub fn update(&mut self, now: Timestamp, records: Vec<GatewayRecord>) -> bool {
        for record in records {
            self.merge(now, record);
        }
        self.expire(now)
    }

    /// Removes gateways that stopped sending heartbeats. Returns whether the set of
    /// gateways that may own back ends changed.
    pub fn expire(&mut self, now: Timestamp) -> bool {
        let forget_after = self.settings.forget_after;
        self.members
            .retain(|_, member| now.since(member.last_seen) < forget_after);
        let mut by_zone: BTreeMap<ZoneName, Vec<NodeId>> = BTreeMap::new();
        for member in self.members.values() {
            let silent = now.since(member.last_seen) >= self.settings.live_for;
            if silent || member.record.draining {
                continue;
            }
            by_zone
                .entry(member.record.zone.clone())
                .or_default()
                .push(member.record.node);
        }
        let changed = by_zone != self.by_zone;
        self.by_zone = by_zone;
        changed
    }

    fn merge(&mut self, now: Timestamp, mut record: GatewayRecord) {
        if let Some(known) = self.members.get(&record.node) {
            let known = &known.record;
            let older = record.incarnation < known.incarnation;
            if older && enabled(Mechanism::IncarnationOrder) {
                return;
            }
            // Replicas lag differently, so a report from one that does not know of a
            // planned stop yet must not undo it.
            if record.incarnation == known.incarnation && enabled(Mechanism::StickyLeaving) {
                record.draining |= known.draining;
            }
        }
        let node = record.node;
        let last_seen = now;
        self.members.insert(node, Member { record, last_seen });
    }

    /// Returns the live gateways that are not draining, by zone.
    #[must_use]
    pub fn by_zone(&self) -> &BTreeMap<ZoneName, Vec<NodeId>> {
        &self.by_zone
    }

    /// Returns every live gateway that is not draining.
    pub fn nodes(&self) -> impl Iterator<Item = NodeId> + '_ {
        self.by_zone.values().flatten().copied()
    }

    /// Returns the latest record of a gateway, live or not.
    #[must_use]
    pub fn record(&self, node: NodeId) -> Option<&GatewayRecord> {
        self.members.get(&node).map(|member| &member.record)
    }

    /// Whether `node` may own back ends of `zone`: it is in that zone, or no gateway is.
    #[must_use]
    pub fn is_candidate(&self, node: NodeId, zone: &ZoneName) -> bool {
        let is_in_zone = self.record(node).is_some_and(|record| record.zone == *zone);
        is_in_zone || self.by_zone.get(zone).is_none_or(Vec::is_empty)
    }

    /// Returns the gateway that should own the batch work of `backend`: the one with the
    /// highest rendezvous weight among those of its zone, or among all gateways if the
    /// zone has none.
    #[must_use]
    pub fn owner_of(&self, backend: BackendId, zone: &ZoneName) -> Option<NodeId> {
        let in_zone = self.by_zone.get(zone).into_iter().flatten().copied();
        rendezvous::highest(in_zone, backend).or_else(|| rendezvous::highest(self.nodes(), backend))
    }
}
