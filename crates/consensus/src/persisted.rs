//! What a replica keeps on disk.

use minicbor::{Decode, Encode};

use crate::{Entry, EntryKind, Index, Membership, ReplicaId, Term};

/// Term, vote and commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HardState {
    /// The latest term that the replica has seen.
    #[n(0)]
    pub term: Term,
    /// The candidate that it voted for in that term.
    #[n(1)]
    pub vote: Option<ReplicaId>,
    /// The last entry known to be committed. It may lag: it is written along
    /// with other data and never needs a sync of its own.
    #[n(2)]
    pub commit: Index,
}

/// Position and members that a snapshot of the state machine stands for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotMeta {
    /// The last entry that the snapshot contains.
    #[n(0)]
    pub index: Index,
    /// Term of that entry.
    #[n(1)]
    pub term: Term,
    /// The membership as of that entry.
    #[n(2)]
    pub membership: Membership,
}

/// What storage gives back when a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Persisted {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The latest snapshot, which the driver has loaded into its machine.
    pub snapshot: Option<SnapshotMeta>,
    /// The stored entries, in order. Those up to the snapshot are ignored.
    pub entries: Vec<Entry>,
}

impl Persisted {
    /// The start of a fresh group: the membership as a committed first entry.
    ///
    /// It must be the same on each first voter, and must be stored and synced
    /// before the replica is started with it. Replicas that join later start
    /// blank, with [`Persisted::default`].
    #[must_use]
    pub fn bootstrap(membership: Membership) -> Self {
        let term = Term(1);
        let index = Index(1);
        Self {
            hard_state: HardState {
                term,
                vote: None,
                commit: index,
            },
            snapshot: None,
            entries: vec![Entry {
                term,
                index,
                kind: EntryKind::Membership(membership),
            }],
        }
    }
}
