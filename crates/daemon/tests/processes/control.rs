//! A client of the control group over the internal protocol.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, ControlAnswer, ControlCommand, ControlQuery, ControlReply,
    IntentNumber, Policy,
};
use molespan_types::{ConfigVersion, GroupId, NodeId};
use molespan_wire::{Client, ClientLimits, Consistency, Request, Response};

use super::cluster::Cluster;
use super::eventually;

/// Timeout of one call.
const CALL: Duration = Duration::from_secs(2);

/// A client of the control group.
pub struct Control {
    clients: BTreeMap<NodeId, Client>,
    /// The presumed leader.
    leader: Mutex<NodeId>,
}

impl Control {
    /// Creates a client of the replicas of `cluster`.
    pub fn of(cluster: &Cluster) -> Self {
        let replicas = cluster.replicas();
        let limits = ClientLimits {
            max_backoff: Duration::from_millis(20),
            ..ClientLimits::default()
        };
        let clients = replicas.iter().map(|&node| {
            let address = cluster.internal_address(node);
            let seed = u64::from(node.0);
            let client = Client::new(&cluster.executor, address, limits.clone(), seed);
            (node, client)
        });
        Self {
            clients: clients.collect(),
            leader: Mutex::new(replicas[0]),
        }
    }

    /// Sends a request to one replica.
    pub async fn ask(&self, node: NodeId, request: Request) -> Option<Response> {
        self.clients[&node].call(request, CALL).await.ok()
    }

    /// Makes one attempt at the presumed leader.
    async fn attempt(&self, request: &Request) -> Option<Response> {
        let asked = self.presumed_leader();
        match self.ask(asked, request.clone()).await {
            Some(Response::NotLeader { leader: Some(hint) }) => self.set_presumed_leader(hint.node),
            None | Some(Response::NotLeader { leader: None }) => {
                self.set_presumed_leader(self.after(asked))
            }
            Some(Response::Refused { .. }) => {}
            Some(response) => return Some(response),
        }
        None
    }

    fn presumed_leader(&self) -> NodeId {
        *self.leader.lock().unwrap()
    }

    fn set_presumed_leader(&self, node: NodeId) {
        *self.leader.lock().unwrap() = node;
    }

    fn after(&self, node: NodeId) -> NodeId {
        let later = self.clients.keys().find(|&&other| other > node);
        let first = self.clients.keys().next();
        later.or(first).copied().unwrap_or(node)
    }

    /// Sends a request until the leader answers it.
    pub async fn ask_leader(&self, request: &Request) -> Response {
        eventually("the control leader answers", || self.attempt(request)).await
    }

    /// Returns the control leader.
    pub async fn leader(&self) -> NodeId {
        self.version().await;
        self.presumed_leader()
    }

    /// Returns the replica that reports itself as leader of `group`.
    pub async fn leader_of(&self, group: GroupId) -> NodeId {
        eventually("a replica leads the group", async || {
            for &node in self.clients.keys() {
                let status = self.ask(node, Request::Status).await;
                if let Some(Response::Status(status)) = status
                    && status.leads.contains(&group)
                {
                    return Some(node);
                }
            }
            None
        })
        .await
    }

    /// Returns the version from a linearizable read.
    pub async fn version(&self) -> u64 {
        let query = molespan_state::encode(&ControlQuery::Configuration);
        let request = Request::Query {
            group: GroupId::CONTROL,
            consistency: Consistency::Linearizable,
            query: query.into(),
        };
        let Response::Answered { answer } = self.ask_leader(&request).await else {
            panic!("no answer to a query");
        };
        version_of(&answer)
    }

    /// Confirms an intent that raises the version by one from `base`. The call is
    /// idempotent.
    pub async fn confirm(&self, base: u64) -> ConfirmReply {
        let change = Change::PutPolicy {
            policy: Policy {
                tail_protection: (base % 100) as u8,
            },
        };
        self.confirm_changes(base, vec![change]).await
    }

    /// Confirms an intent with these changes.
    pub async fn confirm_changes(&self, base: u64, changes: Vec<Change>) -> ConfirmReply {
        let command = ControlCommand::Confirm(ConfirmIntent {
            number: IntentNumber(base + 1),
            operator: "test".to_owned(),
            base_version: ConfigVersion(base),
            changes,
        });
        let request = Request::Propose {
            group: GroupId::CONTROL,
            command: molespan_state::encode(&command).into(),
        };
        let Response::Proposed { reply } = self.ask_leader(&request).await else {
            panic!("no reply to a proposal");
        };
        match molespan_state::decode(&reply).unwrap() {
            ControlReply::Confirm(reply) => reply,
            other => panic!("{other:?}"),
        }
    }
}

/// Returns the version in an encoded answer.
pub fn version_of(answer: &[u8]) -> u64 {
    match molespan_state::decode(answer).unwrap() {
        ControlAnswer::Configuration(Some(configuration)) => configuration.version.0,
        other => panic!("{other:?}"),
    }
}

/// Returns the reply to a successful confirmation.
pub fn confirmed(version: u64) -> ConfirmReply {
    ConfirmReply::Confirmed {
        version: ConfigVersion(version),
    }
}
