//! Which call for items of a gateway is its latest.
//!
//! A gateway that gives a call up asks again while the earlier call still waits
//! here, or is still on its way. What that one says of the items that the gateway
//! runs is out of date: it would free those that were handed out since.

use std::collections::BTreeMap;

use molespan_types::NodeId;

/// A call as its gateway numbers it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallNumber {
    /// Drawn by the gateway when it starts.
    pub life: u64,
    /// Rises with each call of that life; the same when a call is sent again.
    pub number: u64,
}

/// Names a call that was let in, in the order of arrivals.
pub type Arrival = u64;

/// The latest call of each gateway.
#[derive(Clone, Debug, Default)]
pub struct CallOrder {
    latest: BTreeMap<NodeId, (CallNumber, Arrival)>,
    arrivals: Arrival,
}

impl CallOrder {
    /// A call of a gateway arrives. `None` when a later one of the same life came
    /// before; else it takes the place of those that wait.
    pub fn arrive(&mut self, node: NodeId, call: CallNumber) -> Option<Arrival> {
        let known = self.latest.get(&node);
        if known.is_some_and(|(latest, _)| latest.life == call.life && latest.number > call.number)
        {
            return None;
        }
        self.arrivals += 1;
        self.latest.insert(node, (call, self.arrivals));
        Some(self.arrivals)
    }

    /// Forgets the gateways; calls that wait count no more. Their names stay used,
    /// so that none counts again.
    pub fn forget(&mut self) {
        self.latest.clear();
    }

    /// Whether no later call of the gateway came since.
    #[must_use]
    pub fn is_latest(&self, node: NodeId, arrival: Arrival) -> bool {
        let latest = self.latest.get(&node);
        latest.is_some_and(|&(_, latest)| latest == arrival)
    }
}
