//! Typed calls to the batch group.

use std::time::Duration;

use molespan_state::batch::{
    BatchAnswer, BatchCommand, BatchQuery, BatchReply, ItemToRun, ResultPage,
};
use molespan_types::GroupId;
use molespan_wire::{Request, Response, TakeItems};

use super::calls::unexpected;
use super::{Cluster, ClusterError};

/// Items that the batch leader assigned to this node.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AssignedItems {
    /// Items to run.
    pub items: Vec<ItemToRun>,
    /// Running items that must be stopped, as pairs of job number and item index.
    pub stop: Vec<(u64, u32)>,
}

impl Cluster {
    /// Commits a command of the batch group within `deadline`.
    ///
    /// # Errors
    /// When no leader committed it before the deadline; it may still have taken effect.
    pub async fn change_batch(
        &self,
        command: &BatchCommand,
        deadline: Duration,
    ) -> Result<BatchReply, ClusterError> {
        self.propose_within(GroupId::BATCH, command, deadline).await
    }

    /// Returns one page of a tenant's job results, starting after position `after`; `None`
    /// when there is no such job.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn batch_results(
        &self,
        tenant: Option<&str>,
        id: &str,
        after: u32,
        max_bytes: u64,
        deadline: Duration,
    ) -> Result<Option<ResultPage>, ClusterError> {
        let query = BatchQuery::Results {
            id: id.to_owned(),
            after,
            max_bytes,
            tenant: tenant.map(str::to_owned),
        };
        let answer = self.query_within(GroupId::BATCH, &query, deadline);
        match answer.await? {
            BatchAnswer::Results(page) => Ok(page),
            other => Err(unexpected(&other)),
        }
    }

    /// Returns the body of an unlisted item of a tenant's job; `None` when there is none.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn batch_body(
        &self,
        tenant: Option<&str>,
        id: &str,
        item: &str,
        deadline: Duration,
    ) -> Result<Option<Vec<u8>>, ClusterError> {
        let query = BatchQuery::Body {
            id: id.to_owned(),
            item: item.to_owned(),
            tenant: tenant.map(str::to_owned),
        };
        let answer = self.query_within(GroupId::BATCH, &query, deadline);
        match answer.await? {
            BatchAnswer::Body(body) => Ok(body.map(Into::into)),
            other => Err(unexpected(&other)),
        }
    }

    /// Requests items to run from the leader and renews the leases of items running here.
    ///
    /// # Errors
    /// When no leader answered before the deadline.
    pub async fn take_items(
        &self,
        ask: &TakeItems,
        deadline: Duration,
    ) -> Result<AssignedItems, ClusterError> {
        let request = || Request::TakeItems(ask.clone());
        let held = Duration::from_millis(u64::from(ask.wait_ms));
        let response = self.call_leader_held(GroupId::BATCH, request, held, deadline);
        match response.await? {
            Response::Items { items, stop } => {
                let items = molespan_state::decode(&items);
                let items = items.map_err(|error| ClusterError::Unexpected {
                    reason: error.to_string(),
                })?;
                Ok(AssignedItems { items, stop })
            }
            other => Err(unexpected(&other)),
        }
    }
}
