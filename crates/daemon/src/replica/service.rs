//! Handling of requests from other processes.

use std::sync::Arc;

use molespan_replica::{Consistency, Refusal};
use molespan_types::{GroupId, RunOutcome};
use molespan_wire::{Consistency as WireConsistency, GroupMessage, Request, Response};

use super::feed::ConfigurationFeed;
use super::heartbeats::{Heartbeats, NodeHeartbeat};
use super::leaders::Leaders;
use super::orders::{Answer, Call, DriverHandle};
use super::outbox::Outbox;
use super::versions::VersionsInForce;

/// Handles requests of other processes.
#[derive(Debug)]
pub(super) struct Service {
    pub driver: DriverHandle,
    pub outbox: Arc<Outbox>,
    pub leaders: Arc<Leaders>,
    pub feed: Arc<ConfigurationFeed>,
    pub heartbeats: Heartbeats,
    pub versions: VersionsInForce,
}

impl Service {
    /// Handles a request.
    pub async fn handle(&self, request: Request) -> Response {
        match request {
            Request::Consensus { .. } => {
                self.notify(request);
                Response::Acknowledged
            }
            Request::Propose { group, command } => {
                let command = command.into();
                let call = Call::Propose { group, command };
                self.proposed(self.driver.call(call).await)
            }
            Request::Query {
                group,
                consistency,
                query,
            } => {
                let call = Call::Query {
                    group,
                    consistency: core_consistency(consistency),
                    query: query.into(),
                };
                self.answered(self.driver.call(call).await)
            }
            Request::Watch(watch) => {
                self.versions.record(&watch);
                self.feed.watch(&watch).await
            }
            Request::VersionsInForce => Response::VersionsInForce {
                versions: self.versions.list(),
            },
            Request::Heartbeat {
                node,
                incarnation,
                zone,
                draining,
                owned: _,
            } => self.heartbeat(NodeHeartbeat {
                node,
                incarnation,
                zone,
                draining,
            }),
            Request::Status
            | Request::OnlineArrival(_)
            | Request::Loads { .. }
            | Request::WatchView(_)
            | Request::EnginesAnnounced { .. }
            | Request::TakeItems(_)
            | Request::EngineWork { .. }
            | Request::StreamsBegan { .. }
            | Request::FindStream { .. } => not_run("a replica does not answer this".to_owned(), 0),
        }
    }

    /// Handles a one-way message.
    pub fn notify(&self, request: Request) {
        if let Request::Consensus { from, messages } = request {
            for GroupMessage { group, message } in messages {
                self.driver.message(from, group, message.into());
            }
        }
    }

    /// Records a node's heartbeat and returns the live nodes. Only the leader of the control
    /// group answers, and a new leader collects heartbeats for a while first: an incomplete
    /// list would move ownership back and forth.
    fn heartbeat(&self, heartbeat: NodeHeartbeat) -> Response {
        let Some(led_for) = self.leaders.led_for(GroupId::CONTROL) else {
            return self.not_leader(self.leaders.of(GroupId::CONTROL));
        };
        self.heartbeats.record(heartbeat);
        let left = self.heartbeats.warm_up_left(led_for);
        if left.is_zero() {
            let nodes = self.heartbeats.live();
            return Response::LiveNodes { nodes };
        }
        let message = "the leader is new and does not know yet who is alive";
        not_run(message.to_owned(), left.as_millis() as u32 + 1)
    }

    fn proposed(&self, answer: Answer) -> Response {
        match answer {
            Ok(reply) => Response::Proposed {
                reply: reply.into(),
            },
            Err(refusal) => self.refused(refusal),
        }
    }

    fn answered(&self, answer: Answer) -> Response {
        match answer {
            Ok(answer) => Response::Answered {
                answer: answer.into(),
            },
            Err(refusal) => self.refused(refusal),
        }
    }

    fn refused(&self, refusal: Refusal) -> Response {
        match refusal {
            Refusal::NotLeader { leader } => self.not_leader(leader),
            Refusal::Refused {
                outcome,
                message,
                retry_after_ms,
            } => Response::Refused {
                outcome,
                message,
                retry_after_ms,
            },
        }
    }

    fn not_leader(&self, leader: Option<molespan_types::NodeId>) -> Response {
        let leader = leader.and_then(|node| self.outbox.hint(node));
        Response::NotLeader { leader }
    }
}

fn core_consistency(consistency: WireConsistency) -> Consistency {
    match consistency {
        WireConsistency::Linearizable => Consistency::Linearizable,
        WireConsistency::Local => Consistency::Local,
    }
}

fn not_run(message: String, retry_after_ms: u32) -> Response {
    Response::Refused {
        outcome: RunOutcome::NotRun,
        message,
        retry_after_ms,
    }
}
