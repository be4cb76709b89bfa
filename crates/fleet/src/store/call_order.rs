//! Tracks the latest request for items of each gateway.
//!
//! A gateway that gives up on a request sends another one while the earlier one is still
//! waiting here or is still in transit. The running items listed by the earlier request
//! are outdated: processing it would release items that were handed out since.

use std::collections::BTreeMap;

use molespan_types::NodeId;

/// The number that a gateway gives to a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallNumber {
    /// Random number that the gateway draws at startup.
    pub life: u64,
    /// Increases with each request of that life of the gateway; a retry keeps its number.
    pub number: u64,
}

/// Identifies an admitted request, in order of arrival.
pub type ArrivalNumber = u64;

/// The latest request of each gateway.
#[derive(Clone, Debug, Default)]
pub struct CallOrder {
    latest: BTreeMap<NodeId, (CallNumber, ArrivalNumber)>,
    arrivals: ArrivalNumber,
}

impl CallOrder {
    /// Admits a request of a gateway, which then supersedes the gateway's waiting
    /// requests. Returns `None` if a later request of the same life has already arrived.
    pub fn admit(&mut self, node: NodeId, call: CallNumber) -> Option<ArrivalNumber> {
        let known = self.latest.get(&node);
        if known.is_some_and(|(latest, _)| latest.life == call.life && latest.number > call.number)
        {
            return None;
        }
        self.arrivals += 1;
        self.latest.insert(node, (call, self.arrivals));
        Some(self.arrivals)
    }

    /// Removes all gateways, which supersedes all waiting requests. Arrival numbers are
    /// not reused, so that none of those requests becomes the latest again.
    pub fn clear(&mut self) {
        self.latest.clear();
    }

    /// Whether the gateway has sent no later request.
    #[must_use]
    pub fn is_latest(&self, node: NodeId, arrival: ArrivalNumber) -> bool {
        let latest = self.latest.get(&node);
        latest.is_some_and(|&(_, latest)| latest == arrival)
    }
}
