//! Settings of a replica.

use crate::{ConsensusError, ReplicaId};

/// Settings of one replica. Times are counted in calls of
/// [`Replica::tick`](crate::Replica::tick).
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// Identifier of this incarnation of the replica.
    pub id: ReplicaId,
    /// Minimum election timeout. The actual timeout is drawn at random from
    /// `election_ticks..2 * election_ticks`.
    pub election_ticks: u32,
    /// Interval between heartbeats of a leader.
    pub heartbeat_ticks: u32,
    /// Maximum bytes of entries in one append request. An entry larger than this
    /// is sent alone.
    pub max_append_bytes: usize,
    /// Maximum unacknowledged append requests per follower.
    pub max_in_flight_appends: usize,
    /// Maximum bytes of uncommitted entries; beyond it a leader rejects proposals.
    pub max_uncommitted_bytes: usize,
    /// Maximum bytes of committed entries in one `Ready`. An entry larger than
    /// this is returned alone.
    pub max_committed_bytes: usize,
    /// Maximum reads waiting for confirmation.
    pub max_pending_reads: usize,
    /// Maximum entries kept in memory after a snapshot contains them, so that
    /// slightly lagging followers need no snapshot.
    pub trailing_entries: usize,
    /// Maximum total bytes of the entries kept for lagging followers.
    pub trailing_bytes: usize,
    /// Heartbeat responses of a follower after which a snapshot is offered again.
    pub snapshot_retry_heartbeats: u32,
    /// Whether an election starts with a pre-vote. Only state-space explorations
    /// disable it, to keep their traces short.
    pub pre_vote: bool,
    /// Seed for the random election timeouts.
    pub seed: u64,
}

impl Config {
    /// Returns the default settings for the replica `id`, with `id` as the seed.
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

    /// Checks that the settings are valid and consistent with each other.
    ///
    /// # Errors
    /// [`ConsensusError::InvalidConfig`] with the names of all invalid settings.
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
