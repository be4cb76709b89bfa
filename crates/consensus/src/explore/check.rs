//! Invariants of a group, and the history needed to check them.

use std::collections::BTreeMap;

use derive_more::Display;

use super::node::Node;
use crate::{Entry, EntryKind, Index, Membership, ReplicaId, Role, Term};

/// A property that must hold in every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display)]
pub enum Invariant {
    /// At most one leader per term.
    #[display("election safety")]
    ElectionSafety,
    /// If two logs agree on an entry, they agree on all preceding entries.
    #[display("log matching")]
    LogMatching,
    /// A leader's log contains every entry committed in its term or an earlier one.
    #[display("leader completeness")]
    LeaderCompleteness,
    /// All replicas apply the same entry at each position.
    #[display("state machine safety")]
    StateMachineSafety,
    /// Every committed entry remains synced on a quorum.
    #[display("committed entries stay")]
    CommittedStay,
    /// The synced state forms a valid log without gaps.
    #[display("whole log")]
    WholeLog,
    /// No replica stops with a [`Fault`](crate::Fault).
    #[display("no contradiction")]
    NoContradiction,
}

/// Leaders, applied entries and disk losses observed on the path to a state.
#[derive(Clone, Debug, Default, Hash)]
pub(super) struct History {
    leaders: BTreeMap<Term, ReplicaId>,
    /// Entries applied by any replica, by index.
    applied: BTreeMap<Index, Entry>,
    /// Whether a disk was lost on the path.
    pub(super) disk_lost: bool,
}

impl History {
    /// Records an entry that a replica applied.
    pub(super) fn record_applied(&mut self, entry: Entry) -> Result<(), Invariant> {
        let first = self
            .applied
            .entry(entry.index)
            .or_insert_with(|| entry.clone());
        check(*first == entry, Invariant::StateMachineSafety)
    }

    /// Checks all invariants on a state.
    pub(super) fn check(&mut self, nodes: &BTreeMap<ReplicaId, Node>) -> Result<(), Invariant> {
        for (id, node) in nodes {
            let status = node.replica.status();
            check(status.fault.is_none(), Invariant::NoContradiction)?;
            if status.role == Role::Leader {
                self.check_leader(*id, node)?;
            }
        }
        self.check_logs(nodes)?;
        self.check_committed(nodes)
    }

    fn check_leader(&mut self, id: ReplicaId, node: &Node) -> Result<(), Invariant> {
        let first = *self.leaders.entry(node.replica.term()).or_insert(id);
        check(first == id, Invariant::ElectionSafety)?;
        let term = node.replica.term();
        let complete = self
            .applied
            .values()
            .filter(|entry| entry.term <= term)
            .all(|entry| node.replica.term_at(entry.index) == Some(entry.term));
        check(complete, Invariant::LeaderCompleteness)
    }

    fn check_logs(&self, nodes: &BTreeMap<ReplicaId, Node>) -> Result<(), Invariant> {
        let logs: Vec<&[Entry]> = nodes.values().map(Node::synced_entries).collect();
        for (position, left) in logs.iter().enumerate() {
            for right in &logs[position + 1..] {
                check(logs_match(left, right), Invariant::LogMatching)?;
            }
        }
        Ok(())
    }

    /// Checks that a quorum stores every applied entry. Skipped after a disk loss,
    /// when fewer than a quorum may store an entry; leader completeness then
    /// detects whether the entry is lost.
    fn check_committed(&self, nodes: &BTreeMap<ReplicaId, Node>) -> Result<(), Invariant> {
        let Some(membership) = self.membership().filter(|_| !self.disk_lost) else {
            return Ok(());
        };
        for entry in self.applied.values() {
            let holds = |id| {
                let node = nodes.get(&id);
                node.is_some_and(|node| node.synced_entries().contains(entry))
            };
            check(membership.is_quorum(holds), Invariant::CommittedStay)?;
        }
        Ok(())
    }

    /// Returns the latest membership applied by any replica.
    fn membership(&self) -> Option<&Membership> {
        let mut entries = self.applied.values().rev();
        entries.find_map(|entry| match &entry.kind {
            EntryKind::Membership(membership) => Some(membership),
            EntryKind::Empty | EntryKind::Command(_) => None,
        })
    }
}

/// Whether the logs are identical up to the last position at which their terms
/// agree.
fn logs_match(left: &[Entry], right: &[Entry]) -> bool {
    let mut pairs = left.iter().zip(right).rev();
    let agreement = pairs.find(|(one, other)| one.term == other.term);
    let Some((last, _)) = agreement else {
        return true;
    };
    let up_to_last = |log: &[Entry]| -> Vec<Entry> {
        let entries = log.iter().take_while(|entry| entry.index <= last.index);
        entries.cloned().collect()
    };
    up_to_last(left) == up_to_last(right)
}

fn check(holds: bool, invariant: Invariant) -> Result<(), Invariant> {
    if holds { Ok(()) } else { Err(invariant) }
}
