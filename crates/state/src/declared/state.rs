//! State machine of the declared state.

use minicbor::{Decode, Encode};

use super::bars::Bars;
use super::command::{Declaration, DeclaredCommand, DeclaredReply};
use super::departures::Departures;
use super::document::Document;
use super::model::ServingModel;
use super::request_digest::RequestDigest;
use super::stores::Stores;
use super::trials::{TrialOutcome, Trials};

/// The declared configuration in force.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct DeclaredConfiguration {
    /// Version number assigned by the operator.
    #[n(0)]
    pub version: u64,
    /// The original document, byte for byte.
    #[n(1)]
    pub document: Document,
    /// Parsed content of the document.
    #[n(2)]
    pub model: ServingModel,
}

/// The declared configuration and all registrations.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct DeclaredState {
    #[n(0)]
    configuration: Option<Box<DeclaredConfiguration>>,
    #[n(1)]
    departures: Departures,
    #[n(2)]
    stores: Stores,
    /// Number of commands that changed the state.
    #[n(3)]
    revision: u64,
    /// Barred requests; absent in older snapshots.
    #[n(4)]
    #[cbor(default)]
    bars: Bars,
    /// Trials of barred requests; absent in older snapshots.
    #[n(5)]
    #[cbor(default)]
    trials: Trials,
}

impl DeclaredState {
    /// Returns the configuration in force, if one was declared.
    #[must_use]
    pub fn configuration(&self) -> Option<&DeclaredConfiguration> {
        self.configuration.as_deref()
    }

    /// Returns the departures of engines.
    #[must_use]
    pub fn departures(&self) -> &Departures {
        &self.departures
    }

    /// Returns the stores of batch jobs.
    #[must_use]
    pub fn stores(&self) -> &Stores {
        &self.stores
    }

    /// Returns the barred requests.
    #[must_use]
    pub fn bars(&self) -> &Bars {
        &self.bars
    }

    /// Returns a number that increases with every command that changes the state.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the version in force; 0 before the first declaration.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration.as_ref().map_or(0, |held| held.version)
    }

    /// Applies a committed command.
    pub(crate) fn apply(&mut self, command: &DeclaredCommand) -> DeclaredReply {
        match command {
            DeclaredCommand::Declare(declaration) => self.declare(declaration),
            DeclaredCommand::Depart { engine, departure } => {
                let changed = self.departures.record(engine, *departure);
                self.count_change(changed)
            }
            DeclaredCommand::RegisterStore(register) => {
                let changed = self.stores.register(register);
                self.count_change(changed)
            }
            DeclaredCommand::Retire {
                name,
                replicas,
                alive,
            } => {
                let reply = self.stores.retire(name, *replicas, alive);
                self.revision += 1;
                DeclaredReply::Retire(reply)
            }
            DeclaredCommand::RetirementCompleted { node } => {
                let changed = self.stores.complete_retirement(*node);
                self.count_change(changed)
            }
            DeclaredCommand::Bar {
                request,
                since_ms,
                crashes,
            } => {
                let changed = self.bars.add(*request, *since_ms, *crashes);
                self.count_change(changed)
            }
            DeclaredCommand::LiftBar { request } => {
                let changed = self.bars.lift(request);
                self.trials.remove(request);
                self.count_change(changed)
            }
            DeclaredCommand::Try {
                request,
                now_ms,
                allowed,
                is_calm,
            } => {
                let reply = self.trials.grant(*request, *now_ms, *allowed, *is_calm);
                DeclaredReply::Trial(reply)
            }
            DeclaredCommand::TrialEnded { request, outcome } => {
                self.end_trial(request, *outcome);
                DeclaredReply::Noted
            }
        }
    }

    fn declare(&mut self, declaration: &Declaration) -> DeclaredReply {
        if self.configuration.is_none() || declaration.version > self.version() {
            self.configuration = Some(Box::new(DeclaredConfiguration {
                version: declaration.version,
                document: declaration.document.clone(),
                model: declaration.model.clone(),
            }));
            self.revision += 1;
        }
        DeclaredReply::Version {
            version: self.version(),
        }
    }

    /// A sound request is no longer barred, and all gateways are told, also those that found
    /// it guilty by themselves.
    fn end_trial(&mut self, request: &RequestDigest, outcome: TrialOutcome) {
        match outcome {
            TrialOutcome::Sound => {
                self.bars.clear(*request);
                self.trials.remove(request);
                self.revision += 1;
            }
            TrialOutcome::NotRun { asked_ms } => self.trials.take_back(request, asked_ms),
        }
    }

    fn count_change(&mut self, changed: bool) -> DeclaredReply {
        self.revision += u64::from(changed);
        DeclaredReply::Noted
    }
}
