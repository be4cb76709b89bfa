//! Watches the configuration and decides readiness.

use std::sync::Arc;
use std::time::Duration;

use molespan_replica::Consistency;
use molespan_routing::batch::BatchInput;
use molespan_routing::readiness::{ConfigurationChange, Readiness};
use molespan_state::control::{ControlAnswer, ControlQuery};
use molespan_types::{ConfigVersion, GroupId, Timestamp};

use super::process::{Process, Tag};
use crate::context::Context;
use crate::history::{AdmissionRecord, InForceRecord, ReadRecord};
use crate::message::Operation;

/// Interval between two rounds of reads.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(2);

impl Process {
    /// Requests the configuration: its content from any replica, and from the leader
    /// whether a newer version exists.
    pub(super) fn poll_configuration(&mut self, context: &mut Context) {
        let now = self.now(context);
        if self.timers.watch > now {
            return;
        }
        self.timers.watch = now + WATCH_INTERVAL;
        let group = GroupId::CONTROL;
        let local = query(Consistency::Local, &ControlQuery::Configuration);
        self.groups
            .call_random(context, now, group, local, READ_TIMEOUT, Tag::Watch);
        let after = self.holder.version();
        let newer = query(
            Consistency::Linearizable,
            &ControlQuery::ConfigurationAfter { after },
        );
        let tag = Tag::Confirm(after);
        self.groups
            .call(context, now, group, newer, READ_TIMEOUT, tag);
    }

    pub(super) fn handle_configuration(&mut self, context: &mut Context, answer: Option<&[u8]>) {
        if let Some(Ok(ControlAnswer::Configuration(Some(configuration)))) =
            answer.map(molespan_state::decode)
            // A replica that has not applied any entry yet has no services.
            && configuration.version > ConfigVersion(0)
        {
            let change = self.holder.offer(configuration);
            self.configuration_changed(context, change);
        }
    }

    pub(super) fn handle_confirmation(
        &mut self,
        context: &mut Context,
        sent: Timestamp,
        known: ConfigVersion,
        answer: Option<&[u8]>,
    ) {
        let Some(Ok(ControlAnswer::Configuration(newer))) = answer.map(molespan_state::decode)
        else {
            return;
        };
        let current = newer.as_ref().map_or(known, |newer| newer.version);
        context.history.reads.push(ReadRecord {
            sent: self.identity.clock.world(sent),
            answered: context.now,
            version: current,
        });
        if let Some(newer) = newer {
            let change = self.holder.offer(newer);
            self.configuration_changed(context, change);
        }
        self.holder.confirm(sent, current);
    }

    pub(super) fn configuration_changed(
        &mut self,
        context: &mut Context,
        change: ConfigurationChange,
    ) {
        let ConfigurationChange::InForce { to, .. } = change else {
            return;
        };
        let Some(configuration) = self.holder.in_force().map(Arc::clone) else {
            return;
        };
        context.history.in_force.push(InForceRecord {
            at: context.now,
            gateway: self.identity.number,
            version: to,
        });
        self.unsaved_configuration = Some((*configuration).clone());
        let now = self.now(context);
        let limits = Self::limits_of(&configuration);
        let outputs = self.admission.configure(now, limits, Default::default());
        self.admission_changed(context, outputs);
        let tail_protection = configuration.policy.tail_protection;
        self.batch_input(context, BatchInput::Policy { tail_protection });
    }

    /// Whether the gateway accepts new work now; records the admission if so.
    pub(super) fn admits_new_work(&self, context: &mut Context) -> bool {
        let ready = self.holder.readiness(self.now(context)) == Readiness::Ready;
        if !ready || self.refuses_new {
            return false;
        }
        context.history.admissions.push(AdmissionRecord {
            at: context.now,
            gateway: self.identity.number,
            version: self.holder.version(),
        });
        true
    }

    /// Returns the version in force.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.holder.version()
    }

    /// Whether the gateway would accept new work at simulation time `world`.
    #[must_use]
    pub fn is_ready(&self, world: Timestamp) -> bool {
        let now = self.identity.clock.local(world);
        self.holder.readiness(now) == Readiness::Ready
    }
}

/// Encodes a query for the control group.
fn query(consistency: Consistency, query: &ControlQuery) -> Operation {
    Operation::Query(consistency, molespan_state::encode(query).into())
}
