//! Registers a node that is no gateway, so that operators see it.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_state::control::{ControlReply, RegisterNode};
use slog::{Logger, info, warn};

use crate::cluster::Cluster;

/// Pause after an attempt that failed.
const PAUSE: Duration = Duration::from_secs(1);

/// Announces the node until the control group has taken it.
pub(crate) async fn register(cluster: Arc<Cluster>, node: RegisterNode, logger: Logger) {
    loop {
        match cluster.register_node(node.clone()).await {
            Ok(ControlReply::NodeAccepted) => {
                info!(logger, "registered");
                return;
            }
            Ok(ControlReply::NodeStale { registered }) => {
                warn!(logger, "a later life of this node is registered";
                    "registered" => registered.0);
                return;
            }
            Ok(_) | Err(_) => {
                Timer::after(PAUSE).await;
            }
        }
    }
}
