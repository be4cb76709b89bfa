//! One member of a group: its state and the interface for the driver.

mod election;
mod leadership;
mod log;
mod membership_change;
mod memberships;
mod output;
mod progress;
mod read;
mod replication;
mod snapshot;
mod step;
mod timer;
mod transfer;

use std::collections::BTreeSet;
use std::hash::{DefaultHasher, Hash, Hasher};

use self::leadership::Leadership;
use self::log::Log;
use self::output::Output;
use self::timer::ElectionTimer;
use crate::{
    Config, ConsensusError, EntryKind, Fault, Index, Membership, Persisted, ProposeError,
    ReplicaId, Role, Status, Term,
};

/// One member of a replicated group.
#[derive(Clone, Debug, Hash)]
pub struct Replica {
    config: Config,
    term: Term,
    vote: Option<ReplicaId>,
    role: RoleState,
    /// The leader of the term, if known.
    leader: Option<ReplicaId>,
    log: Log,
    timer: ElectionTimer,
    output: Output,
    fault: Option<Fault>,
}

/// The role, with the state specific to it.
#[derive(Clone, Debug, Hash)]
enum RoleState {
    Follower,
    PreCandidate { granted: BTreeSet<ReplicaId> },
    Candidate { granted: BTreeSet<ReplicaId> },
    Leader(Box<Leadership>),
}

impl Replica {
    /// Starts a replica from its stored state.
    ///
    /// # Errors
    /// [`ConsensusError`] if the settings are invalid or the stored log is
    /// inconsistent.
    pub fn new(config: Config, persisted: Persisted) -> Result<Self, ConsensusError> {
        config.validate()?;
        let hard_state = persisted.hard_state;
        Ok(Self {
            term: hard_state.term,
            vote: hard_state.vote,
            role: RoleState::Follower,
            leader: None,
            timer: ElectionTimer::new(&config),
            output: Output::new(hard_state.term, hard_state.vote),
            log: Log::new(persisted)?,
            fault: None,
            config,
        })
    }

    /// Advances the clock by one tick.
    pub fn tick(&mut self) {
        if self.fault.is_some() {
            return;
        }
        if matches!(self.role, RoleState::Leader(_)) {
            self.tick_leader();
        } else if self.timer.tick() {
            self.leader = None;
            self.campaign();
        }
    }

    /// Appends a command to the leader's log and returns its index. The command is
    /// committed once a `Ready` returns the entry at that index with the same term.
    ///
    /// # Errors
    /// [`ProposeError`] if nothing was appended.
    pub fn propose(&mut self, command: Vec<u8>) -> Result<Index, ProposeError> {
        let max_uncommitted_bytes = self.config.max_uncommitted_bytes;
        let leadership = self.proposing_leader()?;
        let bytes = leadership.uncommitted_bytes;
        // A command larger than the limit is accepted if nothing else is uncommitted.
        if bytes > 0 && bytes + command.len() > max_uncommitted_bytes {
            return Err(ProposeError::Busy);
        }
        Ok(self.append(EntryKind::Command(command)))
    }

    /// Returns the leader state if this replica can currently accept proposals.
    fn proposing_leader(&mut self) -> Result<&mut Leadership, ProposeError> {
        let leader = self.leader;
        if self.fault.is_some() {
            return Err(ProposeError::NotLeader { leader: None });
        }
        match &mut self.role {
            RoleState::Leader(leadership) if leadership.transfer.is_some() => {
                Err(ProposeError::TransferInProgress)
            }
            RoleState::Leader(leadership) => Ok(leadership),
            _ => Err(ProposeError::NotLeader { leader }),
        }
    }

    /// Returns the status of this replica and its group.
    #[must_use]
    pub fn status(&self) -> Status {
        let leadership = match &self.role {
            RoleState::Leader(leadership) => Some(leadership),
            _ => None,
        };
        let followers = leadership.map(|leadership| {
            let statuses = leadership.followers.iter();
            statuses
                .map(|(id, progress)| (*id, progress.status()))
                .collect()
        });
        Status {
            id: self.config.id,
            role: self.role(),
            term: self.term,
            leader: self.leader,
            commit: self.log.commit(),
            applied: self.log.applied(),
            first_index: self.log.first_index(),
            last_index: self.log.last_index(),
            persisted: self.log.persisted(),
            snapshot_index: self.log.snapshot().index,
            membership: self.log.membership().clone(),
            membership_index: self.log.membership_index(),
            followers: followers.unwrap_or_default(),
            uncommitted_bytes: leadership.map_or(0, |leadership| leadership.uncommitted_bytes),
            fault: self.fault.clone(),
        }
    }

    /// Returns the role in the current term.
    #[must_use]
    pub fn role(&self) -> Role {
        match self.role {
            RoleState::Follower => Role::Follower,
            RoleState::PreCandidate { .. } => Role::PreCandidate,
            RoleState::Candidate { .. } => Role::Candidate,
            RoleState::Leader(_) => Role::Leader,
        }
    }

    /// Returns the identifier of this replica.
    #[must_use]
    pub fn id(&self) -> ReplicaId {
        self.config.id
    }

    /// Returns the current term.
    #[must_use]
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns the leader of the term, if known.
    #[must_use]
    pub fn leader(&self) -> Option<ReplicaId> {
        self.leader
    }

    /// Returns the membership in force.
    #[must_use]
    pub fn membership(&self) -> &Membership {
        self.log.membership()
    }

    /// Returns the term of the entry at `index`, if the entry is in memory or is the
    /// last one before those in memory.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        self.log.term(index)
    }

    /// Returns a hash of the whole state except for future random timeouts. An
    /// exploration uses it to recognize states it has already visited.
    #[must_use]
    pub fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        hasher.finish()
    }

    fn is_voter(&self) -> bool {
        self.log.membership().is_voter(self.config.id)
    }

    /// Stops this replica permanently because of a fault.
    fn fail(&mut self, fault: Fault) {
        self.become_follower(self.term, None);
        self.output.discard_messages();
        self.output.fault = Some(fault.clone());
        self.fault = Some(fault);
    }
}
