//! Which back ends this gateway owns for batch work, and when it may begin.
//!
//! Rule: a new owner begins only after the old one released the back end, or
//! after a whole lease has passed since the new owner became the one that the
//! gateway set names.
//!
//! Why that suffices. A gateway may act as owner only while a replica answered
//! one of its heartbeats that was sent less than [`STOP_SHARE`] of a lease ago,
//! by its own clock. An old owner that hears from replicas learns of the change
//! within a heartbeat and releases at once. One that hears from none stops at
//! 0.6 of a lease after its last answered heartbeat. That heartbeat was sent
//! before it fell silent, so by the time others named a new owner the old one
//! had at most 0.6 of a lease left; the remaining 0.4 covers replicas that lag
//! and clocks that run at different rates.
//!
//! Two owners at once would only crowd an engine: items are protected by their
//! own leases in the job groups, not by this rule.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, NodeId, Timestamp, ZoneName};

use crate::GatewaySet;

/// Share of a lease after which its holder stops on its own clock.
pub const STOP_SHARE: f64 = 0.6;

/// Bounds of ownership.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// Length of the lease on a back end.
    pub lease: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
        }
    }
}

/// A change in what this gateway owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// It may lease items for this back end.
    Acquired(BackendId),
    /// It must stop batch work there and tell `next`, if known.
    Released {
        /// Back end.
        backend: BackendId,
        /// Who should own it now.
        next: Option<NodeId>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tenure {
    /// Named as owner; the old owner may still act.
    Waiting { until: Timestamp },
    /// Acts as owner.
    Owning,
}

/// The back ends that one gateway owns or is about to own.
#[derive(Clone, Debug)]
pub struct Ownership {
    node: NodeId,
    settings: OwnershipSettings,
    tenures: BTreeMap<BackendId, Tenure>,
    /// When the latest answered heartbeat was sent.
    confirmed: Option<Timestamp>,
}

impl Ownership {
    /// Owns nothing yet.
    #[must_use]
    pub fn new(node: NodeId, settings: OwnershipSettings) -> Self {
        Self {
            node,
            settings,
            tenures: BTreeMap::new(),
            confirmed: None,
        }
    }

    /// A replica answered the heartbeat that was sent at `sent`.
    pub fn heartbeat_answered(&mut self, sent: Timestamp) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Another gateway says that it no longer owns `backend`.
    pub fn released_elsewhere(&mut self, now: Timestamp, backend: BackendId) {
        if let Some(Tenure::Waiting { until }) = self.tenures.get_mut(&backend) {
            *until = now;
        }
    }

    /// Compares the tenures with the gateway set. Call it after each change of
    /// the set or of the back ends; it hashes every back end that this gateway
    /// might own against a zone's gateways.
    pub fn refresh<'a>(
        &mut self,
        now: Timestamp,
        gateways: &GatewaySet,
        backends: impl Iterator<Item = (BackendId, &'a ZoneName)>,
    ) -> Vec<OwnershipChange> {
        if self.must_stop(now) {
            return self.release_all();
        }
        let mut owners = BTreeMap::new();
        for (backend, zone) in backends {
            let candidate = gateways.is_candidate(self.node, zone);
            if candidate || self.tenures.contains_key(&backend) {
                owners.insert(backend, gateways.owner_of(backend, zone));
            }
        }
        let mut changes = self.release_lost(&owners);
        let named = owners
            .iter()
            .filter(|(_, owner)| **owner == Some(self.node));
        let begin_at = now + self.settings.lease;
        for (backend, _) in named {
            self.tenures
                .entry(*backend)
                .or_insert(Tenure::Waiting { until: begin_at });
        }
        self.begin_due(now, &mut changes);
        changes
    }

    /// Begins tenures that are due, or stops all when the lease ran out. Call
    /// it a few times a second.
    pub fn tick(&mut self, now: Timestamp) -> Vec<OwnershipChange> {
        if self.must_stop(now) {
            return self.release_all();
        }
        let mut changes = Vec::new();
        self.begin_due(now, &mut changes);
        changes
    }

    /// Stops every tenure, for a planned stop.
    pub fn release_all(&mut self) -> Vec<OwnershipChange> {
        let owned: Vec<BackendId> = self.owned().collect();
        self.tenures.clear();
        owned
            .into_iter()
            .map(|backend| OwnershipChange::Released {
                backend,
                next: None,
            })
            .collect()
    }

    /// The back ends that this gateway owns now.
    pub fn owned(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.tenures
            .iter()
            .filter(|(_, tenure)| **tenure == Tenure::Owning)
            .map(|(backend, _)| *backend)
    }

    /// Whether this gateway owns `backend` now.
    #[must_use]
    pub fn owns(&self, backend: BackendId) -> bool {
        self.tenures.get(&backend) == Some(&Tenure::Owning)
    }

    /// Whether the lease ran out on this gateway's own clock.
    #[must_use]
    pub fn must_stop(&self, now: Timestamp) -> bool {
        let stop_after = self.settings.lease.mul_f64(STOP_SHARE);
        let ran_out = self
            .confirmed
            .is_none_or(|sent| now.since(sent) >= stop_after);
        ran_out && enabled(Mechanism::OwnerStopsAtExpiry)
    }

    fn release_lost(
        &mut self,
        owners: &BTreeMap<BackendId, Option<NodeId>>,
    ) -> Vec<OwnershipChange> {
        let mut changes = Vec::new();
        let node = self.node;
        self.tenures.retain(|backend, tenure| {
            let next = owners.get(backend).copied().flatten();
            if next == Some(node) {
                return true;
            }
            if *tenure == Tenure::Owning {
                let backend = *backend;
                changes.push(OwnershipChange::Released { backend, next });
            }
            false
        });
        changes
    }

    fn begin_due(&mut self, now: Timestamp, changes: &mut Vec<OwnershipChange>) {
        for (backend, tenure) in &mut self.tenures {
            let due = matches!(tenure, Tenure::Waiting { until } if *until <= now);
            if due {
                *tenure = Tenure::Owning;
                changes.push(OwnershipChange::Acquired(*backend));
            }
        }
    }
}
