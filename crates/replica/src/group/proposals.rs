//! Undecided proposals.

use std::collections::BTreeMap;

use molespan_consensus::{Index, ProposeError, Term};
use molespan_storage::Disk;
use molespan_types::Timestamp;

use super::Group;
use crate::identity::node_of;
use crate::turn::{Turn, not_run, unknown};
use crate::{Refusal, Ticket};

/// Retry delay suggested for short-lived conditions, in milliseconds.
const SHORT_RETRY_MS: u32 = 50;
/// Retry delay suggested while the disk is full, in milliseconds.
const FULL_RETRY_MS: u32 = 1_000;

#[derive(Debug)]
struct Pending {
    ticket: Ticket,
    term: Term,
    deadline: Timestamp,
}

/// Undecided proposals of this replica by log index.
#[derive(Debug, Default)]
pub(super) struct Proposals {
    pending: BTreeMap<Index, Pending>,
}

impl Proposals {
    fn take(&mut self, index: Index) -> Option<Pending> {
        self.pending.remove(&index)
    }

    /// Removes and returns the proposals up to `index`.
    fn take_through(&mut self, index: Index) -> BTreeMap<Index, Pending> {
        let later = self.pending.split_off(&index.next());
        std::mem::replace(&mut self.pending, later)
    }

    /// Removes the proposals whose deadline has passed and returns their tickets.
    fn take_expired(&mut self, now: Timestamp) -> Vec<Ticket> {
        let late = self.pending.extract_if(.., |_, one| one.deadline <= now);
        late.map(|(_, one)| one.ticket).collect()
    }
}

impl<D: Disk> Group<D> {
    /// Appends a command to the log. `not-run` is only replied if nothing was
    /// appended, or if an entry of another term was committed at its index.
    pub fn propose(&mut self, turn: &mut Turn<'_, D>, ticket: Ticket, command: Vec<u8>) {
        if let Some(refusal) = self.refusal(turn) {
            return turn.reply(ticket, Err(refusal));
        }
        match self.replica.propose(command) {
            Ok(index) => {
                let pending = Pending {
                    ticket,
                    term: self.replica.term(),
                    deadline: turn.now + turn.settings.proposal_timeout,
                };
                if let Some(earlier) = self.proposals.pending.insert(index, pending) {
                    // Its entry was truncated here, but other replicas may still have it.
                    turn.reply(earlier.ticket, Err(unknown("another entry took its place")));
                }
            }
            Err(error) => turn.reply(ticket, Err(refusal_of(&error))),
        }
    }

    /// Returns the reason why no proposals can be accepted now, if there is one.
    fn refusal(&self, turn: &Turn<'_, D>) -> Option<Refusal> {
        let leader = self.leader();
        if !self.leads() {
            return Some(Refusal::NotLeader { leader });
        }
        if turn.log.is_reserve_spent() || !self.to_apply.is_empty() {
            return Some(not_run("the disk is full", FULL_RETRY_MS));
        }
        let at_limit = self.proposals.pending.len() >= turn.settings.max_pending_proposals;
        at_limit.then(|| not_run("too many proposals are under way", SHORT_RETRY_MS))
    }

    /// Replies to the proposal at the index of an applied entry.
    pub(super) fn complete_proposal(
        &mut self,
        turn: &mut Turn<'_, D>,
        index: Index,
        term: Term,
        reply: impl FnOnce() -> Vec<u8>,
    ) {
        let Some(pending) = self.proposals.take(index) else {
            return;
        };
        // An entry of another term was committed at this index, so the proposed entry
        // can never be committed.
        let result = if pending.term == term {
            Ok(reply())
        } else {
            Err(not_run("another leader took over", SHORT_RETRY_MS))
        };
        turn.reply(pending.ticket, result);
    }

    /// Replies `unknown` to the proposals up to `index`, which a snapshot has replaced:
    /// it can no longer be determined whether they were committed.
    pub(super) fn abandon_proposals_through(&mut self, turn: &mut Turn<'_, D>, index: Index) {
        for pending in self.proposals.take_through(index).into_values() {
            turn.reply(pending.ticket, Err(unknown("the log was replaced")));
        }
    }

    /// Replies `unknown` to the proposals whose deadline has passed.
    pub fn time_out_proposals(&mut self, turn: &mut Turn<'_, D>) {
        for ticket in self.proposals.take_expired(turn.now) {
            turn.reply(ticket, Err(unknown("not committed in time")));
        }
    }

    /// Replies to all pending proposals and reads, because this incarnation ends.
    pub fn abandon_all(&mut self, turn: &mut Turn<'_, D>) {
        for pending in std::mem::take(&mut self.proposals.pending).into_values() {
            turn.reply(pending.ticket, Err(unknown("the replica starts anew")));
        }
        self.fail_all_reads(turn);
    }
}

/// Converts a consensus error to a refusal. Consensus rejects before it appends, so
/// the outcome is `NotRun`.
pub(super) fn refusal_of(error: &ProposeError) -> Refusal {
    match error {
        ProposeError::NotLeader { leader } => Refusal::NotLeader {
            leader: leader.map(node_of),
        },
        other => not_run(other, SHORT_RETRY_MS),
    }
}
