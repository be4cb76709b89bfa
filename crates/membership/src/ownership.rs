//! Ownership of back ends for batch work, and when a gateway may act as owner.
//!
//! Rule: a new owner starts only after the old one released the back end, or after a full
//! lease has passed since the gateway set named the new owner.
//!
//! Why this is sufficient: a gateway may act as owner only while a replica has answered
//! one of its heartbeats that was sent less than [`STOP_SHARE`] of a lease ago, by its
//! own clock. An old owner that is in contact with replicas learns of the change within a
//! heartbeat interval and releases at once. One that is cut off from all replicas stops
//! 0.6 of a lease after its last answered heartbeat. That heartbeat was sent before the
//! gateway went silent, so by the time others named a new owner, the old one had at most
//! 0.6 of a lease left. The remaining 0.4 covers replicas that lag and clocks that run at
//! different rates.
//!
//! Two simultaneous owners would only overload an engine: items are protected by their
//! own leases in the job groups, not by this rule.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{BackendId, NodeId, Timestamp, ZoneName};

use crate::GatewaySet;

/// Fraction of a lease after which its holder stops, on its own clock.
pub const STOP_SHARE: f64 = 0.6;

/// Settings of ownership.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipSettings {
    /// Duration of the lease on a back end.
    pub lease: Duration,
}

impl Default for OwnershipSettings {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(5),
        }
    }
}

/// A change of the back ends that this gateway owns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnershipChange {
    /// The gateway may lease items for this back end.
    Acquired(BackendId),
    /// The gateway must stop batch work on this back end and notify `next`, if known.
    Released {
        /// Identifier of the back end.
        backend: BackendId,
        /// The gateway that should own it now.
        next: Option<NodeId>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Tenure {
    /// Named as owner by the gateway set; the previous owner may still be active.
    Waiting { until: Timestamp },
    /// Active as owner.
    Owning,
}

/// The back ends that a gateway owns or is about to own.
#[derive(Clone, Debug)]
pub struct Ownership {
    node: NodeId,
    settings: OwnershipSettings,
    tenures: BTreeMap<BackendId, Tenure>,
    /// Send time of the latest heartbeat that was answered.
    last_confirmed: Option<Timestamp>,
}

impl Ownership {
    /// Creates a state without any owned back ends.
    #[must_use]
    pub fn new(node: NodeId, settings: OwnershipSettings) -> Self {
        Self {
            node,
            settings,
            tenures: BTreeMap::new(),
            last_confirmed: None,
        }
    }

    /// Records that a replica answered the heartbeat sent at `sent`.
    pub fn heartbeat_answered(&mut self, sent: Timestamp) {
        self.last_confirmed = self.last_confirmed.max(Some(sent));
    }

    /// Records that another gateway released `backend`.
    pub fn released_elsewhere(&mut self, now: Timestamp, backend: BackendId) {
        if let Some(Tenure::Waiting { until }) = self.tenures.get_mut(&backend) {
            *until = now;
        }
    }

    /// Updates ownership from the gateway set. Must be called after each change of the
    /// set or of the back ends. Hashes each back end that this gateway may own against
    /// the gateways of a zone.
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

    /// Activates ownerships that are due, or releases all if the lease has expired.
    /// Should be called several times per second.
    pub fn tick(&mut self, now: Timestamp) -> Vec<OwnershipChange> {
        if self.must_stop(now) {
            return self.release_all();
        }
        let mut changes = Vec::new();
        self.begin_due(now, &mut changes);
        changes
    }

    /// Releases all back ends, for a planned stop.
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

    /// Returns the back ends that this gateway currently owns.
    pub fn owned(&self) -> impl Iterator<Item = BackendId> + '_ {
        self.tenures
            .iter()
            .filter(|(_, tenure)| **tenure == Tenure::Owning)
            .map(|(backend, _)| *backend)
    }

    /// Whether this gateway currently owns `backend`.
    #[must_use]
    pub fn owns(&self, backend: BackendId) -> bool {
        self.tenures.get(&backend) == Some(&Tenure::Owning)
    }

    /// Whether the lease has expired on this gateway's own clock.
    #[must_use]
    pub fn must_stop(&self, now: Timestamp) -> bool {
        let stop_after = self.settings.lease.mul_f64(STOP_SHARE);
        let ran_out = self
            .last_confirmed
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
