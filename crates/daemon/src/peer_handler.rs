//! Brings the requests of other processes to the role that answers them.

use std::sync::Arc;

use molespan_types::{ConfigVersion, Incarnation, NodeId, RunOutcome};
use molespan_wire::{Handler, NodeStatus, Request, Response};

use crate::replica::ReplicaRole;

/// Brings the requests of other processes to the role that answers them.
#[derive(Debug)]
pub(crate) struct PeerHandler {
    pub node: NodeId,
    pub incarnation: Incarnation,
    pub replica: Option<Arc<ReplicaRole>>,
}

impl Handler for PeerHandler {
    async fn call(&self, request: Request) -> Response {
        match request {
            Request::Status => self.status().await,
            Request::OnlineArrival(_) | Request::Loads { .. } => no_such_role("gateway"),
            _ => match &self.replica {
                Some(replica) => replica.handle_peer(request).await,
                None => no_such_role("replica"),
            },
        }
    }

    fn notify(&self, request: Request) {
        if let Some(replica) = &self.replica {
            replica.notify(request);
        }
    }
}

impl PeerHandler {
    async fn status(&self) -> Response {
        let (ready, leads) = match &self.replica {
            Some(replica) => (replica.is_ready().await, replica.leads()),
            None => (true, Vec::new()),
        };
        Response::Status(NodeStatus {
            node: self.node,
            incarnation: self.incarnation,
            in_force: ConfigVersion::default(),
            ready,
            leads,
            services: Vec::new(),
        })
    }
}

fn no_such_role(role: &str) -> Response {
    Response::Refused {
        outcome: RunOutcome::NotRun,
        message: format!("this node has no {role} role"),
        retry_after_ms: 0,
    }
}
