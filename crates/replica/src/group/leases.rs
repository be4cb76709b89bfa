//! Expiry of leases, open submissions and open claims by the leader, on its own
//! clock.

use super::Group;
use crate::turn::Turn;
use molespan_state::job::JobCommand;
use molespan_storage::Disk;
use molespan_types::mechanism::{Mechanism, enabled};

/// Divisor of the lease length in mutation runs without the lease grace.
const MUTANT_LEASE_DIVISOR: u32 = 8;

impl<D: Disk> Group<D> {
    /// Proposes to expire leases that were not renewed for a lease length on this
    /// leader's clock. The owner measures from before it sent its request and
    /// stops earlier, so it has stopped by then.
    pub fn expire_leases(&mut self, turn: &Turn<'_, D>) {
        let mut length = turn.settings.lease_length;
        if !self.leads() || !self.leases.is_due(turn.now, length) {
            return;
        }
        if !enabled(Mechanism::LeaseGrace) {
            length /= MUTANT_LEASE_DIVISOR;
        }
        let records = self.machine.leases();
        let leases = records.map(|record| (record.lease, record.renewals));
        for (lease, renewals) in self.leases.scan(turn.now, length, leases) {
            let command = JobCommand::Expire { lease, renewals };
            // If rejected, it is proposed again after another lease length.
            let _ = self.replica.propose(molespan_state::encode(&command));
        }
    }
    /// Proposes to drop submissions without progress for the submission timeout. None
    /// of their items was accepted, and a returning client starts over.
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

    /// Proposes to settle claims that have been open for the claim timeout as unknown:
    /// their holder died, or its settlement was lost. It can no longer be determined
    /// whether the request ran, so it never runs again. A late settlement by a holder
    /// that is still alive has no effect.
    pub fn settle_expired_claims(&mut self, turn: &Turn<'_, D>) {
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
