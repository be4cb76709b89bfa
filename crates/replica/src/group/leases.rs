//! The leader's watch over leases, open submissions and
//! open claims, on its own clock.

use super::Group;
use crate::turn::Turn;
use molespan_state::job::JobCommand;
use molespan_storage::Disk;
use molespan_types::mechanism::{Mechanism, enabled};

/// Share of the length after which a mutation run ends a lease.
const MUTANT_SHARE: u32 = 8;

impl<D: Disk> Group<D> {
    /// Proposes the end of leases whose owner was silent for a lease length by
    /// this leader's clock. The owner counts from before its request was sent
    /// and stops earlier, so that it has stopped by then.
    pub fn expire_leases(&mut self, turn: &Turn<'_, D>) {
        let mut length = turn.settings.lease_length;
        if !self.leads() || !self.leases.is_due(turn.now, length) {
            return;
        }
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
    /// Proposes to drop submissions that have not gone on for long. Nothing of
    /// them was accepted, and a client that comes back begins anew.
    pub fn abandon_submissions(&mut self, turn: &Turn<'_, D>) {
        let length = turn.settings.submission_timeout;
        if !self.leads() || !self.submissions.is_due(turn.now, length) {
            return;
        }
        let open = self.machine.submissions();
        let open = open.map(|(job, received)| (job, u64::from(received)));
        for (job, received) in self.submissions.scan(turn.now, length, open) {
            let received = received as u32;
            let command = JobCommand::Abandon { job, received };
            let _ = self.replica.propose(molespan_state::encode(&command));
        }
    }

    /// Proposes to settle claims that have been open for long as unknown: their
    /// holder died, or its settlement is lost. Whether the request ran cannot
    /// be told any more, so it never runs again. A holder that lives settles
    /// too late and changes nothing.
    pub fn end_open_claims(&mut self, turn: &Turn<'_, D>) {
        let length = turn.settings.claim_timeout;
        if !self.leads() || !self.claims.is_due(turn.now, length) {
            return;
        }
        let open = self.machine.open_claims().map(|claim| (claim, 0));
        for (claim, _) in self.claims.scan(turn.now, length, open) {
            let command = JobCommand::Settle(claim.into_unknown());
            let _ = self.replica.propose(molespan_state::encode(&command));
        }
    }
}
