//! Checks that orders to an engine have increasing tokens and are never reverted.

use std::collections::{BTreeMap, BTreeSet};

use molespan_types::{BackendId, FencingToken, Incarnation};

use super::Findings;
use crate::history::OrderTakenRecord;
use crate::world::World;

pub(super) fn check(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    let mut tokens: BTreeMap<(BackendId, FencingToken), u32> = BTreeMap::new();
    for order in &history.orders {
        let key = (order.backend, order.token);
        let first = *tokens.entry(key).or_insert(order.order);
        if first != order.order {
            let message = format!(
                "two orders to engine {} have token {}",
                order.backend, order.token
            );
            findings.add(order.at, message);
        }
        if let Some((at, false, highest)) = order.reply
            && highest < order.token
            && order.incarnation == world.engines[&order.backend.0].incarnation()
        {
            let message = format!(
                "engine {} refused token {} though {highest} was its highest",
                order.backend, order.token
            );
            findings.add(at, message);
        }
    }
    check_taken(&history.orders_taken, findings);
}

/// Checks that an engine accepts increasing tokens; a resent order that it accepted
/// before is answered again.
fn check_taken(orders: &[OrderTakenRecord], findings: &mut Findings) {
    let mut taken: BTreeMap<(BackendId, Incarnation), BTreeSet<FencingToken>> = BTreeMap::new();
    for order in orders {
        let key = (order.backend, order.incarnation);
        let earlier = taken.entry(key).or_default();
        let highest = earlier.last().copied().unwrap_or_default();
        let fresh = earlier.insert(order.token);
        if fresh && order.token <= highest {
            let message = format!(
                "engine {} accepted token {} after {highest}",
                order.backend, order.token
            );
            findings.add(order.at, message);
        }
    }
}
