//! A queue that serves tenants by deficit round robin.
//!
//! Every request costs one unit. The tenant at the front gets its weight in units, and
//! stays at the front until they are used up or it has no waiting requests.

use std::collections::{HashMap, VecDeque};

use molespan_types::TenantId;

use super::service::Waiting;

#[derive(Clone, Debug)]
struct Lane {
    waiting: VecDeque<Waiting>,
    weight: u32,
    credit: u32,
}

/// Waiting requests by tenant.
#[derive(Clone, Debug, Default)]
pub(super) struct FairQueue {
    lanes: HashMap<TenantId, Lane>,
    /// Tenants with waiting requests; the front one is served next.
    rotation: VecDeque<TenantId>,
    length: usize,
}

impl FairQueue {
    pub(super) fn len(&self) -> usize {
        self.length
    }

    /// Number of requests expected to be served before a new one of `tenant`: for each of
    /// its own waiting requests, one of every other waiting tenant. This is exact for
    /// equal weights and full lanes, and never exceeds the queue length.
    pub(super) fn ahead_of_new(&self, tenant: &TenantId) -> usize {
        let tenants = self.rotation.len().max(1);
        let rounds = self.len_of(tenant) + 1;
        rounds.saturating_mul(tenants).min(self.length)
    }

    /// Number of waiting requests of `tenant`.
    pub(super) fn len_of(&self, tenant: &TenantId) -> usize {
        self.lanes.get(tenant).map_or(0, |lane| lane.waiting.len())
    }

    pub(super) fn push(&mut self, waiting: Waiting, weight: u32) {
        let tenant = waiting.tenant.clone();
        let lane = self.lanes.entry(tenant.clone()).or_insert_with(|| {
            self.rotation.push_back(tenant);
            Lane {
                waiting: VecDeque::new(),
                weight,
                credit: 0,
            }
        });
        lane.weight = weight;
        lane.waiting.push_back(waiting);
        self.length += 1;
    }

    /// Returns the request that [`FairQueue::pop`] would take.
    pub(super) fn next(&self) -> Option<&Waiting> {
        self.lanes.get(self.rotation.front()?)?.waiting.front()
    }

    pub(super) fn pop(&mut self) -> Option<Waiting> {
        let tenant = self.rotation.front()?.clone();
        let lane = self.lanes.get_mut(&tenant)?;
        if lane.credit == 0 {
            lane.credit = lane.weight;
        }
        lane.credit -= 1;
        let credit_used_up = lane.credit == 0;
        let next = lane.waiting.pop_front()?;
        self.length -= 1;
        if lane.waiting.is_empty() {
            self.lanes.remove(&tenant);
            self.rotation.pop_front();
        } else if credit_used_up {
            self.rotation.rotate_left(1);
        }
        Some(next)
    }

    /// Removes the requests for which `hopeless` returns true, given how many are
    /// expected to be served before each.
    pub(super) fn remove_where(
        &mut self,
        mut hopeless: impl FnMut(&Waiting, usize) -> bool,
    ) -> Vec<Waiting> {
        let mut removed = Vec::new();
        let (tenants, length) = (self.rotation.len().max(1), self.length);
        for lane in self.lanes.values_mut() {
            let mut kept = VecDeque::with_capacity(lane.waiting.len());
            for waiting in lane.waiting.drain(..) {
                // Counts only requests that stay ahead of it.
                let ahead = (kept.len() * tenants).min(length);
                if hopeless(&waiting, ahead) {
                    removed.push(waiting);
                } else {
                    kept.push_back(waiting);
                }
            }
            lane.waiting = kept;
        }
        self.length -= removed.len();
        self.drop_empty_lanes();
        // The order of the map varies between runs; sorting makes the result
        // deterministic.
        removed.sort_by_key(|waiting| waiting.ticket);
        removed
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.lanes.values().flat_map(|lane| lane.waiting.iter())
    }

    fn drop_empty_lanes(&mut self) {
        self.lanes.retain(|_, lane| !lane.waiting.is_empty());
        let lanes = &self.lanes;
        self.rotation.retain(|tenant| lanes.contains_key(tenant));
    }
}
