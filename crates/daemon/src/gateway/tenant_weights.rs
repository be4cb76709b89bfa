//! Batch weights of tenants: one gateway copies them from the configuration
//! to the job groups, which distribute items accordingly.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_membership::rendezvous::highest;
use molespan_types::{BackendId, GroupId, TenantId, digest_of};

use super::state::GatewayState;

/// Interval between comparisons with the configuration.
const INTERVAL: Duration = Duration::from_secs(1);
/// Key by which the gateways are ranked for this task.
const RANKING_KEY: &[u8] = b"tenant weights";

impl GatewayState {
    /// Copies weights to the job groups until the gateway stops.
    pub(super) async fn sync_weights(self: Arc<Self>) {
        let mut applied: BTreeMap<TenantId, u32> = BTreeMap::new();
        loop {
            Timer::after(INTERVAL).await;
            if !self.syncs_weights() {
                // The gateway that takes over may set other weights.
                applied.clear();
                continue;
            }
            for (tenant, weight) in self.configured_weights() {
                if applied.get(&tenant) == Some(&weight) {
                    continue;
                }
                if self.set_weight_everywhere(&tenant, weight).await {
                    applied.insert(tenant, weight);
                }
            }
        }
    }

    fn syncs_weights(&self) -> bool {
        let key = BackendId(digest_of(RANKING_KEY).0 as u32);
        let chosen = highest(self.gateways().nodes(), key);
        chosen == Some(self.options.node) && !self.is_draining()
    }

    fn configured_weights(&self) -> BTreeMap<TenantId, u32> {
        let configuration = self.configuration.in_force();
        let tenants = configuration.iter().flat_map(|held| &held.tenants);
        tenants
            .map(|(tenant, limits)| (tenant.clone(), limits.batch_weight))
            .collect()
    }

    /// Sets one weight in every job group; returns false if a group did not accept it.
    async fn set_weight_everywhere(&self, tenant: &TenantId, weight: u32) -> bool {
        for group in 1..=self.options.job_groups {
            let set = self
                .cluster
                .set_weight(GroupId(group), tenant.clone(), weight);
            if set.await.is_err() {
                return false;
            }
        }
        true
    }
}
