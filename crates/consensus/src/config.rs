//! Settings of a replica.

use crate::{ConsensusError, ReplicaId};

/// Settings of one replica. Times are counted in calls of
/// [`Replica::tick`](crate::Replica::tick).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Identity of this life of the replica.
    pub id: ReplicaId,
    /// Shortest time without a leader before an election. The actual timeout
    /// is drawn from `election_ticks..2 * election_ticks`.
    pub election_ticks: u32,
    /// Time between two heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Most bytes of entries in one append request; a larger entry goes alone.
    pub max_append_bytes: usize,
    /// Most append requests sent to a follower ahead of its answers.
    pub max_in_flight_appends: usize,
    /// Most bytes of uncommitted entries before a leader refuses proposals.
    pub max_uncommitted_bytes: usize,
    /// Most bytes of committed entries in one `Ready`; a larger entry goes alone.
    pub max_committed_bytes: usize,
    /// Most reads that wait for confirmation.
    pub max_pending_reads: usize,
    /// Entries kept behind a snapshot for followers that are a little behind.
    pub trailing_entries: usize,
    /// Bound in bytes on the entries kept behind a snapshot.
    pub trailing_bytes: usize,
    /// Heartbeats that a follower answers before a snapshot is offered again.
    pub snapshot_retry_heartbeats: u32,
    /// Whether an election starts with a pre-vote. Only an exploration that
    /// wants short traces turns it off.
    pub pre_vote: bool,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

impl Config {
    /// Default settings for the replica `id`, with the identity as seed.
    #[must_use]
    pub fn new(id: ReplicaId) -> Self {
        Self {
            id,
            election_ticks: 10,
            heartbeat_ticks: 2,
            max_append_bytes: 256 << 10,
            max_in_flight_appends: 16,
            max_uncommitted_bytes: 16 << 20,
            max_committed_bytes: 1 << 20,
            max_pending_reads: 65_536,
            trailing_entries: 1_024,
            trailing_bytes: 1 << 20,
            snapshot_retry_heartbeats: 20,
            pre_vote: true,
            seed: id.0,
        }
    }

    /// Checks that the settings can work together.
    ///
    /// # Errors
    /// [`ConsensusError::InvalidConfig`] with the names of all faulty settings.
    pub fn validate(&self) -> Result<(), ConsensusError> {
        let checks = [
            ("heartbeat_ticks", self.heartbeat_ticks > 0),
            (
                "election_ticks",
                self.election_ticks >= self.heartbeat_ticks && self.election_ticks > 0,
            ),
            ("max_append_bytes", self.max_append_bytes > 0),
            ("max_in_flight_appends", self.max_in_flight_appends > 0),
            ("max_uncommitted_bytes", self.max_uncommitted_bytes > 0),
            ("max_committed_bytes", self.max_committed_bytes > 0),
            ("max_pending_reads", self.max_pending_reads > 0),
        ];
        let settings: Vec<&'static str> = checks
            .iter()
            .filter(|(_, valid)| !valid)
            .map(|(name, _)| *name)
            .collect();
        if settings.is_empty() {
            Ok(())
        } else {
            Err(ConsensusError::InvalidConfig { settings })
        }
    }
}
