//! The persistent state of a replica.

use minicbor::{Decode, Encode};

use crate::{Entry, EntryKind, Index, Membership, ReplicaId, Term};

/// Term, vote and commit index.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct HardState {
    /// The latest term the replica has observed.
    #[n(0)]
    pub term: Term,
    /// The candidate the replica voted for in that term.
    #[n(1)]
    pub vote: Option<ReplicaId>,
    /// The last entry known to be committed. It may lag, because it is only
    /// written along with other data and never causes a sync of its own.
    #[n(2)]
    pub commit: Index,
}

/// The log position and membership covered by a state machine snapshot.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Encode, Decode)]
pub struct SnapshotMeta {
    /// Index of the last entry the snapshot contains.
    #[n(0)]
    pub index: Index,
    /// Term of that entry.
    #[n(1)]
    pub term: Term,
    /// The membership as of that entry.
    #[n(2)]
    pub membership: Membership,
}

/// The state loaded from storage when a replica starts.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Persisted {
    /// Term, vote and commit index.
    pub hard_state: HardState,
    /// The latest snapshot, which the driver has loaded into its state machine.
    pub snapshot: Option<SnapshotMeta>,
    /// The stored entries, in order. Entries that the snapshot contains are ignored.
    pub entries: Vec<Entry>,
}

impl Persisted {
    /// Returns the initial state of a new group: a log whose first entry is the
    /// committed membership.
    ///
    /// It must be identical on all initial voters, and must be stored and synced
    /// before a replica starts with it. Replicas that join later start with an
    /// empty state, [`Persisted::default`].
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
