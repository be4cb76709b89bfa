//! The batch owner's requests to job groups.

use molespan_routing::batch::{BatchInput, BatchOutput, GroupReply, RequestNumber};
use molespan_state::job::LeaseRequest;
use molespan_telemetry::EventKind;
use molespan_types::GroupId;

use super::state::GatewayState;
use crate::cluster::ClusterError;

impl GatewayState {
    /// Sends one request of the batch owner and feeds the reply back to it.
    pub(super) async fn call_group(&self, output: BatchOutput) {
        let (request, reply) = match output {
            BatchOutput::LeaseItems {
                request,
                group,
                service,
                backend,
                max_items,
            } => {
                let lease = LeaseRequest {
                    owner: self.options.node,
                    owner_incarnation: self.options.incarnation.0,
                    sequence: request.0,
                    service,
                    backend,
                    max_items,
                };
                (request, self.lease(group, lease).await)
            }
            BatchOutput::Renew {
                request,
                group,
                leases,
            } => {
                let renewed = self.cluster.renew_leases(group, leases).await;
                let reply = renewed.map(|renewed| GroupReply::Renewed {
                    lost: renewed.lost,
                    cancelled: renewed.cancelled,
                });
                (request, reply)
            }
            BatchOutput::Record {
                request,
                group,
                lease,
                results,
            } => {
                let recorded = self.cluster.record_results(group, lease, results).await;
                (request, recorded.map(taken))
            }
            BatchOutput::Return {
                request,
                group,
                lease,
                items,
            } => {
                self.events.record(
                    EventKind::Lease,
                    format!("lease {lease} of group {group}"),
                    "items go back that were not run",
                    [("items", items.len().into())],
                );
                let returned = self.cluster.return_items(group, lease, items).await;
                (request, returned.map(taken))
            }
            _ => return,
        };
        self.handle_reply(request, reply);
    }

    async fn lease(
        &self,
        group: GroupId,
        request: LeaseRequest,
    ) -> Result<GroupReply, ClusterError> {
        let backend = request.backend;
        let granted = self.cluster.lease_items(group, request).await?;
        if let Some(granted) = &granted {
            self.events.record(
                EventKind::Lease,
                format!("{}", granted.job),
                "items were leased",
                [
                    ("engine", backend.0.into()),
                    ("lease", granted.lease.0.into()),
                    ("items", granted.items.len().into()),
                ],
            );
        }
        Ok(GroupReply::Leased(granted))
    }

    fn handle_reply(&self, request: RequestNumber, reply: Result<GroupReply, ClusterError>) {
        let reply = reply.unwrap_or(GroupReply::Failed);
        self.batch_input(BatchInput::Reply { request, reply });
    }
}

fn taken(taken: crate::cluster::ItemsTaken) -> GroupReply {
    GroupReply::Accepted {
        taken: taken.taken,
        dropped: taken.dropped,
    }
}
