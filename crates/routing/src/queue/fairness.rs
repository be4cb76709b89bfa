//! Turns of tenants: each goes once a round, or as often as its weight says, as long
//! as it has something that waits. Whoever was idle begins in the round under way, so
//! that it gains nothing by having waited and loses nothing to who filled the queue.

use std::collections::BTreeMap;

/// Lane of requests that belong to no tenant; no tenant has an empty name.
const NO_TENANT: &str = "";

/// A tenant of which something waits.
#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    /// Where its next request begins, in rounds.
    next: f64,
    waiting: usize,
}

/// Rounds of the tenants of one queue. Only those with something waiting are kept,
/// and those that went further than the round under way.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// The round under way.
    round: u64,
    lanes: BTreeMap<String, Lane>,
}

impl Shares {
    /// The round of a request that comes now. Requests of no tenant are all in the round
    /// under way, unless there are tenants: then they go as one tenant does.
    pub fn round(&self, tenant: Option<&str>) -> u64 {
        let lane = self.lanes.get(tenant.unwrap_or(NO_TENANT));
        lane.map_or(self.round, |lane| (lane.next as u64).max(self.round))
    }

    /// A request waits, in the round that [`Shares::round`] says.
    pub fn enter(&mut self, tenant: Option<&str>, weight: u32) {
        if tenant.is_none() && self.lanes.is_empty() {
            return;
        }
        let tenant = tenant.unwrap_or(NO_TENANT);
        let round = self.round as f64;
        let step = 1.0 / f64::from(weight.max(1));
        match self.lanes.get_mut(tenant) {
            Some(lane) => {
                lane.next = lane.next.max(round) + step;
                lane.waiting += 1;
            }
            None => {
                let next = round + step;
                let lane = Lane { next, waiting: 1 };
                self.lanes.insert(tenant.to_owned(), lane);
            }
        }
    }

    /// A request of a round begins: earlier rounds are over.
    pub fn begun(&mut self, round: u64) {
        self.round = self.round.max(round);
    }

    /// A request no longer waits.
    pub fn leave(&mut self, tenant: Option<&str>) {
        let Some(lane) = self.lanes.get_mut(tenant.unwrap_or(NO_TENANT)) else {
            return;
        };
        lane.waiting = lane.waiting.saturating_sub(1);
        let round = self.round as f64;
        if lane.waiting == 0 && lane.next <= round {
            self.lanes
                .retain(|_, lane| lane.waiting > 0 || lane.next > round);
        }
    }

    /// Requests of a tenant that wait.
    pub fn waiting(&self, tenant: &str) -> usize {
        self.lanes.get(tenant).map_or(0, |lane| lane.waiting)
    }

    /// Nothing waits: all tenants are equal again.
    pub fn clear(&mut self) {
        self.lanes.clear();
    }
}
