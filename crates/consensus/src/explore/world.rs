//! The state of a group with its disks and its network.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use super::check::{History, Invariant};
use super::node::Node;
use super::{Action, Bounds, Start};
use crate::{Membership, MembershipChange, Message, Outgoing, Persisted, ReplicaId};

/// A message in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Envelope {
    from: ReplicaId,
    to: ReplicaId,
    message: Message,
}

/// Remaining number of steps of each kind within the bounds.
#[derive(Clone, Copy, Debug, Hash)]
pub(super) struct Budget {
    pub(super) ticks: u32,
    proposals: u32,
    restarts: u32,
    repetitions: u32,
    losses: u32,
    replacements: u32,
}

/// The state of a group with its disks and its network.
#[derive(Clone, Debug)]
pub(super) struct World {
    pub(super) nodes: BTreeMap<ReplicaId, Node>,
    pub(super) network: Vec<Envelope>,
    history: History,
    pub(super) budget: Budget,
    pub(super) bounds: Bounds,
}

impl World {
    /// Returns the start state of the search.
    ///
    /// # Errors
    /// The violated invariant if preparing the start state violates one.
    pub(super) fn new(bounds: &Bounds) -> Result<Self, Invariant> {
        let ids = (1..=bounds.replicas).map(ReplicaId);
        let disk = Persisted::bootstrap(Membership::of_voters(ids.clone()));
        let mut nodes = BTreeMap::new();
        for id in ids {
            nodes.insert(id, Node::start(id, disk.clone(), bounds.pre_vote)?);
        }
        let mut world = Self {
            nodes,
            network: Vec::new(),
            history: History::default(),
            budget: Budget {
                ticks: bounds.ticks,
                proposals: bounds.proposals,
                restarts: bounds.restarts,
                repetitions: bounds.repetitions,
                losses: bounds.losses,
                replacements: u32::from(bounds.start == Start::Repairing),
            },
            bounds: *bounds,
        };
        world.prepare()?;
        Ok(world)
    }

    /// Returns a hash of everything that determines the possible next steps.
    pub(super) fn fingerprint(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        self.nodes.hash(&mut hasher);
        self.history.hash(&mut hasher);
        self.budget.hash(&mut hasher);
        // The order in which messages were sent does not matter.
        let mut messages: Vec<u64> = self.network.iter().map(hash_of).collect();
        messages.sort_unstable();
        messages.hash(&mut hasher);
        hasher.finish()
    }

    /// Returns the possible next steps.
    pub(super) fn actions(&self) -> Vec<Action> {
        let mut actions = Vec::new();
        for (id, node) in &self.nodes {
            if self.budget.ticks > 0 {
                actions.push(Action::Tick(*id));
            }
            if self.budget.proposals > 0 && node.replica.leader() == Some(*id) {
                actions.push(Action::Propose(*id));
            }
            if self.budget.restarts > 0 {
                actions.push(Action::Restart(*id));
            }
            if self.budget.losses > 0 {
                actions.push(Action::Lose(*id));
            }
            if self.budget.replacements > 0 && node.replica.leader() == Some(*id) {
                actions.push(Action::Replace(*id));
            }
            if node.unsynced.is_some() {
                actions.push(Action::Sync(*id));
            }
        }
        for envelope in &self.network {
            actions.push(envelope.delivery(false));
            if self.budget.repetitions > 0 {
                actions.push(envelope.delivery(true));
            }
        }
        actions
    }

    /// Executes one step and checks the invariants on the resulting state.
    pub(super) fn execute(&mut self, action: &Action) -> Result<(), Invariant> {
        let id = self.apply_action(action)?;
        if self.nodes.contains_key(&id) {
            self.process_ready(id)?;
        }
        self.history.check(&self.nodes)
    }

    /// Passes the input of a step to its replica, and returns that replica.
    fn apply_action(&mut self, action: &Action) -> Result<ReplicaId, Invariant> {
        let id = match action {
            Action::Tick(id) => {
                self.budget.ticks -= 1;
                self.node(*id).replica.tick();
                *id
            }
            Action::Propose(id) => {
                self.budget.proposals -= 1;
                let command = self.budget.proposals.to_be_bytes().to_vec();
                // A rejected request does not change the state.
                let _ = self.node(*id).replica.propose(command);
                *id
            }
            Action::Sync(id) => {
                self.sync(*id);
                *id
            }
            Action::Restart(id) => {
                self.budget.restarts -= 1;
                let pre_vote = self.bounds.pre_vote;
                let node = self.node(*id);
                *node = Node::start(*id, node.disk.clone(), pre_vote)?;
                *id
            }
            Action::Lose(id) => {
                self.budget.losses -= 1;
                self.history.disk_lost = true;
                self.nodes.remove(id);
                self.network.retain(|envelope| envelope.to != *id);
                *id
            }
            Action::Replace(id) => {
                self.budget.replacements -= 1;
                let (lost, replacement) = self.replacement_pair();
                let change = MembershipChange::Replace { lost, replacement };
                // A rejected request does not change the state.
                let _ = self.node(*id).replica.change_membership(change);
                *id
            }
            Action::Deliver {
                from,
                to,
                message,
                repeated,
            } => {
                self.remove_delivered(*from, *to, message, *repeated);
                self.node(*to).replica.step(*from, message.clone());
                *to
            }
        };
        Ok(id)
    }

    pub(super) fn node(&mut self, id: ReplicaId) -> &mut Node {
        let Some(node) = self.nodes.get_mut(&id) else {
            unreachable!("messages only go to existing replicas")
        };
        node
    }

    /// Removes a delivered message from the network, unless it is a duplicate
    /// delivery.
    fn remove_delivered(
        &mut self,
        from: ReplicaId,
        to: ReplicaId,
        message: &Message,
        repeated: bool,
    ) {
        if repeated {
            self.budget.repetitions -= 1;
            return;
        }
        let delivered = |envelope: &Envelope| {
            envelope.from == from && envelope.to == to && envelope.message == *message
        };
        if let Some(position) = self.network.iter().position(delivered) {
            self.network.remove(position);
        }
    }

    /// Processes all pending work of a replica.
    pub(super) fn process_ready(&mut self, id: ReplicaId) -> Result<(), Invariant> {
        while let Some(mut ready) = self.node(id).replica.ready() {
            self.send(id, std::mem::take(&mut ready.messages));
            for entry in std::mem::take(&mut ready.committed) {
                self.history.record_applied(entry)?;
            }
            if ready.needs_sync() {
                self.node(id).unsynced = Some(ready);
                if !self.bounds.slow_disk {
                    self.sync(id);
                }
            } else {
                self.send(id, ready.messages_after_sync);
            }
        }
        Ok(())
    }

    /// Syncs the data a replica has written, and sends the messages that depend on
    /// the sync.
    fn sync(&mut self, id: ReplicaId) {
        let node = self.node(id);
        let Some(ready) = node.unsynced.take() else {
            return;
        };
        node.store(ready.hard_state, &ready.entries);
        node.replica.persisted();
        self.send(id, ready.messages_after_sync);
    }

    fn send(&mut self, from: ReplicaId, messages: Vec<Outgoing>) {
        for Outgoing { to, message } in messages {
            let receiver_exists = self.nodes.contains_key(&to);
            if receiver_exists && self.network.len() < self.bounds.max_in_flight {
                self.network.push(Envelope { from, to, message });
            }
        }
    }
}

impl Envelope {
    pub(super) fn delivery(&self, repeated: bool) -> Action {
        Action::Deliver {
            from: self.from,
            to: self.to,
            message: self.message.clone(),
            repeated,
        }
    }
}

fn hash_of(envelope: &Envelope) -> u64 {
    let mut hasher = DefaultHasher::new();
    envelope.hash(&mut hasher);
    hasher.finish()
}
