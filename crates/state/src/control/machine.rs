//! The state machine of the control group.

use minicbor::{Decode, Encode};
use molespan_types::mechanism::{Mechanism, enabled};

use super::command::{ConfirmIntent, ConfirmReply, ControlCommand, ControlReply};
use super::configuration::Configuration;
use super::confirmations::Confirmations;
use super::nodes::Nodes;
use super::orders::Orders;
use super::plan::{apply_changes, digest_of_changes, plan};
use super::problems::problems;
use super::query::{ControlAnswer, ControlQuery};
use crate::declared::DeclaredState;
use crate::error::StateError;
use crate::snapshot;

/// Configuration, node registry, orders and declared state.
#[derive(Clone, Debug, Default, PartialEq, Encode, Decode)]
pub struct ControlMachine {
    #[n(0)]
    configuration: Configuration,
    #[n(1)]
    confirmations: Confirmations,
    #[n(2)]
    nodes: Nodes,
    #[n(3)]
    orders: Orders,
    /// Declared configuration, engine departures, registered stores and barred requests.
    #[n(4)]
    #[cbor(default)]
    declared: DeclaredState,
}

impl ControlMachine {
    /// Creates a machine with an empty configuration at version 0.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn configuration(&self) -> &Configuration {
        &self.configuration
    }

    /// Returns the declared state.
    #[must_use]
    pub fn declared(&self) -> &DeclaredState {
        &self.declared
    }

    /// Applies a committed command.
    pub fn apply(&mut self, command: &ControlCommand) -> ControlReply {
        match command {
            ControlCommand::Confirm(intent) => ControlReply::Confirm(self.confirm(intent)),
            ControlCommand::Register(registration) => self.nodes.register(registration),
            ControlCommand::Drain { node, incarnation } => self.nodes.drain(*node, *incarnation),
            ControlCommand::Remove { node, incarnation } => self.nodes.remove(*node, *incarnation),
            ControlCommand::Issue(order) => self.orders.issue(order),
            ControlCommand::Declared(command) => {
                ControlReply::Declared(self.declared.apply(command))
            }
        }
    }

    /// Applies an intent exactly once.
    fn confirm(&mut self, intent: &ConfirmIntent) -> ConfirmReply {
        let digest = digest_of_changes(&intent.changes);
        if enabled(Mechanism::ConfirmationMemory)
            && let Some(reply) = self.confirmations.find(intent, digest)
        {
            return reply;
        }
        let current = self.configuration.version;
        if intent.base_version != current {
            return ConfirmReply::BaseMoved { current };
        }
        let problems = problems(&self.configuration, &intent.changes);
        if !problems.is_empty() {
            return ConfirmReply::Invalid { problems };
        }
        apply_changes(&mut self.configuration, &intent.changes);
        let version = current.next();
        self.configuration.version = version;
        self.confirmations.record(intent, digest, version);
        ConfirmReply::Confirmed { version }
    }

    /// Answers a query.
    #[must_use]
    pub fn query(&self, query: &ControlQuery) -> ControlAnswer {
        match query {
            ControlQuery::Configuration => {
                ControlAnswer::Configuration(Some(self.configuration.clone()))
            }
            ControlQuery::ConfigurationAfter { after } => {
                let newer = self.configuration.version > *after;
                ControlAnswer::Configuration(newer.then(|| self.configuration.clone()))
            }
            ControlQuery::Plan { number, changes } => {
                ControlAnswer::Plan(plan(&self.configuration, *number, changes))
            }
            ControlQuery::Nodes => ControlAnswer::Nodes(self.nodes.records()),
            ControlQuery::Declared => ControlAnswer::Declared(Box::new(self.declared.clone())),
            ControlQuery::DeclaredVersion => {
                ControlAnswer::DeclaredVersion(self.declared.version())
            }
            ControlQuery::Orders => ControlAnswer::Orders(self.orders.latest().clone()),
        }
    }

    /// Encodes the whole machine.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Restores a machine from the bytes of [`Self::snapshot`].
    ///
    /// # Errors
    /// Fails if the bytes are damaged or have another format.
    pub fn restore(bytes: &[u8]) -> Result<Self, StateError> {
        snapshot::read(bytes)
    }
}
