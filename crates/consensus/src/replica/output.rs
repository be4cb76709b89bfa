//! Output for the driver, and the ordering between syncs and messages.

use molespan_types::mechanism::{Mechanism, enabled};

use super::{Replica, RoleState};
use crate::{
    Fault, HardState, Index, Message, Outgoing, ReadReady, Ready, ReplicaId, SnapshotOffer, Term,
};

/// Output collected for the next [`Ready`].
#[derive(Clone, Debug, Hash)]
pub(crate) struct Output {
    /// Messages that may be sent before the sync.
    messages: Vec<Outgoing>,
    /// Messages that must wait until the state they were created in is synced.
    messages_after_sync: Vec<Outgoing>,
    pub(crate) reads: Vec<ReadReady>,
    pub(crate) failed_reads: Vec<u64>,
    pub(crate) snapshot_offer: Option<SnapshotOffer>,
    pub(crate) fault: Option<Fault>,
    /// Term, vote and commit index last passed to the driver for writing.
    term: Term,
    vote: Option<ReplicaId>,
    commit: Index,
    /// State passed to the driver whose sync is not yet confirmed.
    pending_sync: Option<PendingSync>,
}

/// State passed to the driver for writing in a `Ready`.
#[derive(Clone, Debug, Hash)]
struct PendingSync {
    term: Term,
    vote: Option<ReplicaId>,
    last_index: Index,
    last_term: Term,
}

impl Output {
    pub(crate) fn new(term: Term, vote: Option<ReplicaId>) -> Self {
        Self {
            messages: Vec::new(),
            messages_after_sync: Vec::new(),
            reads: Vec::new(),
            failed_reads: Vec::new(),
            snapshot_offer: None,
            fault: None,
            term,
            vote,
            commit: Index::ZERO,
            pending_sync: None,
        }
    }

    pub(crate) fn discard_messages(&mut self) {
        self.messages.clear();
        self.messages_after_sync.clear();
    }
}

impl Replica {
    /// Returns the pending work for the driver, or `None` if there is none.
    ///
    /// While an earlier `Ready` is being written, that is until
    /// [`Replica::persisted`] is called, further ones contain nothing that has to
    /// be synced.
    pub fn ready(&mut self) -> Option<Ready> {
        self.start_read_round();
        self.send_appends();
        let mut ready = Ready::default();
        if self.output.pending_sync.is_none() && self.fault.is_none() {
            self.take_unsynced_state(&mut ready);
        }
        ready.messages.append(&mut self.output.messages);
        ready.committed = self.log.take_committed(self.config.max_committed_bytes);
        ready.reads.append(&mut self.output.reads);
        ready.failed_reads.append(&mut self.output.failed_reads);
        ready.snapshot_offer = self.output.snapshot_offer.take();
        ready.fault = self.output.fault.take();
        if !enabled(Mechanism::SyncBeforeReply) {
            ready.messages.append(&mut ready.messages_after_sync);
            self.persisted();
        }
        Some(ready).filter(|ready| !ready.is_empty())
    }

    /// Reports that the last `Ready` that needed a sync is synced.
    pub fn persisted(&mut self) {
        let Some(pending_sync) = self.output.pending_sync.take() else {
            return;
        };
        self.log
            .mark_persisted(pending_sync.last_index, pending_sync.last_term);
        if pending_sync.term != self.term || self.fault.is_some() {
            return;
        }
        match &self.role {
            // A candidate's vote for itself counts only once it is synced.
            RoleState::Candidate { .. } if pending_sync.vote == Some(self.config.id) => {
                self.count_vote(self.config.id);
            }
            // A leader's own copy of an entry also counts only once it is synced.
            RoleState::Leader(_) => self.advance_commit(),
            _ => {}
        }
    }

    fn take_unsynced_state(&mut self, ready: &mut Ready) {
        ready.entries = self.log.take_unsynced();
        ready.hard_state = self.take_hard_state(!ready.entries.is_empty());
        ready
            .messages_after_sync
            .append(&mut self.output.messages_after_sync);
        if ready.needs_sync() {
            self.output.pending_sync = Some(PendingSync {
                term: self.term,
                vote: self.vote,
                last_index: self.log.last_index(),
                last_term: self.log.last_term(),
            });
        }
    }

    /// Returns the hard state if the term or vote changed, or if the commit index
    /// changed and `entries` indicates that entries are written as well. The commit index
    /// alone does not cause a sync.
    fn take_hard_state(&mut self, entries: bool) -> Option<HardState> {
        let commit = self.log.commit();
        let changed = (self.term, self.vote) != (self.output.term, self.output.vote);
        let include_commit = entries && commit != self.output.commit;
        if !changed && !include_commit {
            return None;
        }
        self.output.term = self.term;
        self.output.vote = self.vote;
        self.output.commit = commit;
        let durable_vote = enabled(Mechanism::DurableVote);
        Some(HardState {
            term: self.term,
            vote: self.vote.filter(|_| durable_vote),
            commit,
        })
    }

    /// Sends a message that does not depend on unsynced state.
    pub(super) fn send(&mut self, to: ReplicaId, message: Message) {
        self.output.messages.push(Outgoing { to, message });
    }

    /// Sends a message once all state up to this call is synced.
    pub(super) fn send_after_sync(&mut self, to: ReplicaId, message: Message) {
        self.output
            .messages_after_sync
            .push(Outgoing { to, message });
    }
}
