//! Choice of the nodes that hold a gateway's streams, and how often they are told.

use std::time::Duration;

use molespan_types::{NodeId, Timestamp, ZoneName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Nodes that hold each stream: one may be lost.
pub const HOLDERS: usize = 2;
/// Reports that one holder receives per second: about 4% of a core at 25 microseconds each.
const REPORTS_PER_SECOND: f64 = 1_600.0;
/// Shortest mean interval between two reports of a gateway. Streams that began since the last
/// report are lost with the gateway.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Number of reports that a gateway sends without a pause behind a time without any.
const REPORT_BURST: u32 = 8;

/// A node that can hold streams.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// Node.
    pub node: NodeId,
    /// Zone of the node, if known.
    pub zone: Option<ZoneName>,
}

/// Returns the nodes in the order in which the gateway `own` in `zone` takes them for its
/// holders, [`HOLDERS`] of those that it can send to: first one in its zone, which it reaches
/// longest, then those in other zones. Gateways spread over them.
#[must_use]
pub fn in_order(own: NodeId, zone: &ZoneName, nodes: &[Holder]) -> Vec<NodeId> {
    let mut order: Vec<&Holder> = nodes.iter().collect();
    order.sort_by_key(|holder| {
        let draw = xxh3_64_with_seed(&holder.node.0.to_be_bytes(), u64::from(own.0));
        (holder.zone.as_ref() != Some(zone), draw)
    });
    let Some((first, others)) = order.split_first() else {
        return Vec::new();
    };
    let (elsewhere, beside): (Vec<&Holder>, Vec<&Holder>) =
        others.iter().partition(|holder| holder.zone != first.zone);
    let others = elsewhere.into_iter().chain(beside);
    let order = std::iter::once(*first).chain(others);
    order.map(|holder| holder.node).collect()
}

/// Pace of the reports of a gateway: a bounded mean rate, at which few streams wait for the
/// next report.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReportPace {
    /// When the reports so far would have ended at the mean rate.
    paid_until: Timestamp,
}

impl ReportPace {
    /// Returns the pause behind a report at `now`, with a mean `interval` between two.
    pub fn pause(&mut self, interval: Duration, now: Timestamp) -> Duration {
        self.paid_until = self.paid_until.max(now) + interval;
        let ahead = self.paid_until.since(now);
        ahead.saturating_sub(interval * REPORT_BURST)
    }
}

/// Returns the mean interval between two reports of a gateway, one of `gateways` that share
/// `nodes` holders.
#[must_use]
pub fn report_interval(gateways: u32, nodes: usize) -> Duration {
    let reports = f64::from(gateways) * HOLDERS as f64 / nodes.max(1) as f64;
    Duration::from_secs_f64(reports / REPORTS_PER_SECOND).max(MIN_INTERVAL)
}
