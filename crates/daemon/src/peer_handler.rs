//! Dispatches requests of other processes to the role that handles them.

use std::sync::Arc;

use molespan_types::{ConfigVersion, Incarnation, NodeId, RunOutcome};
use molespan_wire::{Handler, NodeStatus, Request, Response};

use crate::gateway::Gateway;
use crate::replica::ReplicaRole;

/// Dispatches requests of other processes to the role that handles them.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub replica: Option<Arc<ReplicaRole>>,
    pub gateway: Option<Gateway>,
}

impl Handler for PeerHandler {
    async fn call(&self, request: Request) -> Response {
        match request {
            Request::Status => Response::Status(self.status().await),
            Request::OnlineArrival(_) | Request::Loads { .. } => match &self.gateway {
                Some(gateway) => gateway.handle_peer(request),
                None => no_such_role("gateway"),
            },
            _ => match &self.replica {
                Some(replica) => replica.handle_peer(request).await,
                None => no_such_role("replica"),
            },
        }
    }

    fn notify(&self, request: Request) {
        match (&request, &self.replica, &self.gateway) {
            (Request::Consensus { .. }, Some(replica), _) => replica.notify(request),
            (Request::OnlineArrival(_) | Request::Loads { .. }, _, Some(gateway)) => {
                let _nobody_waits = gateway.handle_peer(request);
            }
            _ => {}
        }
    }
}

impl PeerHandler {
    /// Returns the node's status: that of the gateway, plus the groups that the replica
    /// leads.
    async fn status(&self) -> NodeStatus {
        let mut status = match &self.gateway {
            Some(gateway) => gateway.status(),
            None => self.status_without_gateway().await,
        };
        if let Some(replica) = &self.replica {
            status.leads = replica.leads();
        }
        status
    }

    async fn status_without_gateway(&self) -> NodeStatus {
        let ready = match &self.replica {
            Some(replica) => replica.is_ready().await,
            None => false,
        };
        NodeStatus {
            node: self.node,
            incarnation: self.incarnation,
            in_force: ConfigVersion::default(),
            ready,
            leads: Vec::new(),
            services: Vec::new(),
        }
    }
}

fn no_such_role(role: &str) -> Response {
    Response::Refused {
        outcome: RunOutcome::NotRun,
        message: format!("this node has no {role} role"),
        retry_after_ms: 0,
    }
}
