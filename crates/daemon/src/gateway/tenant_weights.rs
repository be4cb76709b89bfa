//! Weights of tenants' jobs: one gateway carries them from the configuration
//! into the job groups, which share items out by them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_membership::rendezvous::highest;
use molespan_types::{BackendId, GroupId, TenantId, digest_of};

use super::state::GatewayState;

/// Time between two comparisons.
const INTERVAL: Duration = Duration::from_secs(1);
/// What the gateways are ranked by for this duty.
const DUTY: &[u8] = b"tenant weights";

impl GatewayState {
    /// Carries weights into the job groups until the gateway stops.
    pub(super) async fn carry_weights(self: Arc<Self>) {
        let mut carried: BTreeMap<TenantId, u32> = BTreeMap::new();
        loop {
            Timer::after(INTERVAL).await;
            if !self.has_weight_duty() {
                // Whoever has the duty next may set others.
                carried.clear();
                continue;
            }
            for (tenant, weight) in self.configured_weights() {
                if carried.get(&tenant) == Some(&weight) {
                    continue;
                }
                if self.carry_weight(&tenant, weight).await {
                    carried.insert(tenant, weight);
                }
            }
        }
    }

    fn has_weight_duty(&self) -> bool {
        let key = BackendId(digest_of(DUTY).0 as u32);
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

    /// Sets one weight in every job group; false when one did not take it.
    async fn carry_weight(&self, tenant: &TenantId, weight: u32) -> bool {
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
