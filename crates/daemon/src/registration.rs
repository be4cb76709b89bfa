//! Registers a node without the gateway role, so that operators can see it.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_state::control::{ControlReply, RegisterNode};
use slog::{Logger, info, warn};

use crate::cluster::Cluster;

/// Delay after a failed attempt.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// Registers the node, retrying until the control group accepts it.
pub(crate) async fn register(cluster: Arc<Cluster>, node: RegisterNode, logger: Logger) {
    loop {
        match cluster.register_node(node.clone()).await {
            Ok(ControlReply::NodeAccepted) => {
                info!(logger, "registered");
                return;
            }
            Ok(ControlReply::NodeStale { registered }) => {
                warn!(logger, "a later incarnation of this node is registered";
                    "registered" => registered.0);
                return;
            }
            Ok(_) | Err(_) => {
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}
