//! Typed calls on the declared state of the control group.

use std::time::Duration;

use molespan_state::control::{ControlAnswer, ControlCommand, ControlQuery, ControlReply};
use molespan_state::declared::{DeclaredCommand, DeclaredReply, DeclaredState};
use molespan_types::GroupId;

use super::calls::unexpected;
use super::{Cluster, ClusterError};

impl Cluster {
    /// Commits a command on the declared state within `deadline`.
    ///
    /// # Errors
    /// When no leader committed it before the deadline; it may still have taken effect.
    pub async fn change_declared(
        &self,
        command: DeclaredCommand,
        deadline: Duration,
    ) -> Result<DeclaredReply, ClusterError> {
        let command = ControlCommand::Declared(command);
        let reply = self.propose_within(GroupId::CONTROL, &command, deadline);
        match reply.await? {
            ControlReply::Declared(reply) => Ok(reply),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the declared state, including every change acknowledged before the call.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn declared(&self, deadline: Duration) -> Result<DeclaredState, ClusterError> {
        let answer = self.query_within(GroupId::CONTROL, &ControlQuery::Declared, deadline);
        match answer.await? {
            ControlAnswer::Declared(state) => Ok(*state),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the version of the declared configuration in force, including every change
    /// acknowledged before the call; 0 before the first declaration.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn declared_version(&self, deadline: Duration) -> Result<u64, ClusterError> {
        let query = ControlQuery::DeclaredVersion;
        let answer = self.query_within(GroupId::CONTROL, &query, deadline);
        match answer.await? {
            ControlAnswer::DeclaredVersion(version) => Ok(version),
            other => Err(unexpected(&other)),
        }
    }
}
