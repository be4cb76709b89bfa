//! Construction of the start states of a search.

use super::check::Invariant;
use super::node::Node;
use super::world::World;
use super::{Action, Start};
use crate::{MembershipChange, Persisted, ReplicaId};

impl World {
    /// Brings the group into the start state given by the bounds.
    pub(super) fn prepare(&mut self) -> Result<(), Invariant> {
        match self.bounds.start {
            Start::Fresh => Ok(()),
            Start::Led => self.without_faults(Self::elect_first),
            Start::Repairing => self.without_faults(|world| {
                world.elect_first()?;
                world.add_caught_up_learner()
            }),
        }
    }

    /// Runs `prepare` with immediate syncs and a network without message loss.
    fn without_faults(
        &mut self,
        prepare: impl FnOnce(&mut Self) -> Result<(), Invariant>,
    ) -> Result<(), Invariant> {
        let (budget, bounds) = (self.budget, self.bounds);
        self.budget.ticks = 1;
        self.bounds.slow_disk = false;
        self.bounds.max_in_flight = usize::MAX;
        prepare(self)?;
        (self.budget, self.bounds) = (budget, bounds);
        Ok(())
    }

    /// Makes replica 1 win an election.
    fn elect_first(&mut self) -> Result<(), Invariant> {
        self.execute(&Action::Tick(ReplicaId(1)))?;
        self.deliver_all()
    }

    /// Adds a learner and lets it catch up.
    fn add_caught_up_learner(&mut self) -> Result<(), Invariant> {
        let (_, learner) = self.replacement_pair();
        let blank = Node::start(learner, Persisted::default(), self.bounds.pre_vote)?;
        self.nodes.insert(learner, blank);
        let add = MembershipChange::AddLearner(learner);
        let added = self.node(ReplicaId(1)).replica.change_membership(add);
        debug_assert!(added.is_ok(), "the first leader is undisturbed");
        self.process_ready(ReplicaId(1))?;
        self.deliver_all()
    }

    /// Returns the voter to replace and the learner that replaces it.
    pub(super) fn replacement_pair(&self) -> (ReplicaId, ReplicaId) {
        let voters = self.bounds.replicas;
        (ReplicaId(voters), ReplicaId(voters + 1))
    }

    fn deliver_all(&mut self) -> Result<(), Invariant> {
        while let Some(envelope) = self.network.first() {
            let delivery = envelope.delivery(false);
            self.execute(&delivery)?;
        }
        Ok(())
    }
}
