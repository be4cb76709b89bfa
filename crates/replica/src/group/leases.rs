//! The leader's watch over leases, on its own clock.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_state::job::JobCommand;
use molespan_storage::Disk;
use molespan_types::mechanism::{Mechanism, enabled};
use molespan_types::{LeaseId, Timestamp};

use super::Group;
use crate::turn::Turn;

/// The watch looks at the leases so many times in the length of one.
const SCANS_PER_LENGTH: u32 = 20;
/// Share of the length after which a mutation run ends a lease.
const MUTANT_SHARE: u32 = 8;

#[derive(Clone, Copy, Debug)]
struct Watched {
    renewals: u64,
    since: Timestamp,
}

/// When this leader last saw each lease granted or renewed.
#[derive(Debug, Default)]
pub(super) struct LeaseWatch {
    leases: BTreeMap<LeaseId, Watched>,
    next_scan: Timestamp,
}

impl LeaseWatch {
    /// Forgets everything, since another replica leads.
    pub fn clear(&mut self) {
        self.leases.clear();
        self.next_scan = Timestamp::ZERO;
    }

    /// Takes note of the leases that are out; gives those whose time is up.
    fn scan(
        &mut self,
        now: Timestamp,
        length: Duration,
        leases: impl Iterator<Item = (LeaseId, u64)>,
    ) -> Vec<(LeaseId, u64)> {
        let mut seen = BTreeMap::new();
        let mut expired = Vec::new();
        for (lease, renewals) in leases {
            let fresh = Watched {
                renewals,
                since: now,
            };
            let known = self.leases.get(&lease).copied();
            let mut watched = known
                .filter(|known| known.renewals == renewals)
                .unwrap_or(fresh);
            if now.since(watched.since) >= length {
                expired.push((lease, renewals));
                // Proposed again only after another full length.
                watched = fresh;
            }
            seen.insert(lease, watched);
        }
        self.leases = seen;
        expired
    }
}

impl<D: Disk> Group<D> {
    /// Proposes the end of leases whose owner was silent for a lease length by
    /// this leader's clock. The owner counts from before its request was sent
    /// and stops earlier, so that it has stopped by then.
    pub fn expire_leases(&mut self, turn: &Turn<'_, D>) {
        if !self.leads() || turn.now < self.leases.next_scan {
            return;
        }
        let mut length = turn.settings.lease_length;
        self.leases.next_scan = turn.now + length / SCANS_PER_LENGTH;
        if !enabled(Mechanism::LeaseGrace) {
            length /= MUTANT_SHARE;
        }
        let records = self.machine.leases();
        let leases = records.map(|record| (record.lease, record.renewals));
        for (lease, renewals) in self.leases.scan(turn.now, length, leases) {
            let command = JobCommand::Expire { lease, renewals };
            // When it is refused, the next scan after a length proposes again.
            let _ = self.replica.propose(molespan_state::encode(&command));
        }
    }
}
