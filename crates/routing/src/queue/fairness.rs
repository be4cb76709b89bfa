//! Fair turns between tenants: a tenant with waiting requests gets one turn per round, or
//! as many as its weight. A tenant that was idle joins in the current round, so that it
//! gains nothing from the idle time and is not held back by tenants that filled the
//! queue.

use std::collections::BTreeMap;

/// Lane of requests without a tenant; no tenant has an empty name.
const NO_TENANT: &str = "";

/// Scheduling state of one tenant.
#[derive(Clone, Copy, Debug, Default)]
struct Lane {
    /// Position of its next request, in rounds.
    position: f64,
    waiting: usize,
}

/// Rounds of the tenants in one queue. Keeps only tenants with waiting requests and
/// tenants that are ahead of the current round.
#[derive(Clone, Debug, Default)]
pub(super) struct Shares {
    /// The current round.
    round: u64,
    lanes: BTreeMap<String, Lane>,
}

impl Shares {
    /// Returns the round of a request that arrives now. Requests without a tenant are all
    /// in the current round, unless there are tenants: then they count as one tenant.
    pub fn round(&self, tenant: Option<&str>) -> u64 {
        let lane = self.lanes.get(tenant.unwrap_or(NO_TENANT));
        lane.map_or(self.round, |lane| (lane.position as u64).max(self.round))
    }

    /// Adds a waiting request in the round that [`Shares::round`] returned.
    pub fn enter(&mut self, tenant: Option<&str>, weight: u32) {
        if tenant.is_none() && self.lanes.is_empty() {
            return;
        }
        let tenant = tenant.unwrap_or(NO_TENANT);
        let round = self.round as f64;
        let step = 1.0 / f64::from(weight.max(1));
        match self.lanes.get_mut(tenant) {
            Some(lane) => {
                lane.position = lane.position.max(round) + step;
                lane.waiting += 1;
            }
            None => {
                let position = round + step;
                let lane = Lane {
                    position,
                    waiting: 1,
                };
                self.lanes.insert(tenant.to_owned(), lane);
            }
        }
    }

    /// Records that a request of `round` was dispatched; earlier rounds are over.
    pub fn dispatched(&mut self, round: u64) {
        self.round = self.round.max(round);
    }

    /// Removes a waiting request.
    pub fn leave(&mut self, tenant: Option<&str>) {
        let Some(lane) = self.lanes.get_mut(tenant.unwrap_or(NO_TENANT)) else {
            return;
        };
        lane.waiting = lane.waiting.saturating_sub(1);
        let round = self.round as f64;
        if lane.waiting == 0 && lane.position <= round {
            self.lanes
                .retain(|_, lane| lane.waiting > 0 || lane.position > round);
        }
    }

    /// Number of waiting requests of a tenant.
    pub fn waiting(&self, tenant: &str) -> usize {
        self.lanes.get(tenant).map_or(0, |lane| lane.waiting)
    }

    /// Makes all tenants equal again, once no request waits.
    pub fn clear(&mut self) {
        self.lanes.clear();
    }
}
