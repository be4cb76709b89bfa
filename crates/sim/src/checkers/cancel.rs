//! Checks that a cancelled job stops.
//!
//! Items that an engine accepted earlier may still start there when the gateway can
//! no longer reach it, so the check covers what gateways send.

use std::collections::BTreeMap;
use std::time::Duration;

use molespan_types::{Digest, digest_of};

use super::Findings;
use crate::history::JobRecord;
use crate::scenario::LEASE;
use crate::world::World;

/// Time after the acknowledgement within which every owner has stopped: one lease,
/// as measured by the slowest clock.
const STOPS_WITHIN: Duration = LEASE.saturating_mul(5).checked_div(4).expect("not zero");

pub(super) fn check(world: &World, findings: &mut Findings) {
    let history = &world.context.history;
    let mut cancelled: BTreeMap<Digest, (&JobRecord, u32)> = BTreeMap::new();
    for record in history.jobs.values() {
        if record.cancel_acknowledged.is_none() {
            continue;
        }
        for item in 0..record.plan.items {
            let prompt = digest_of(record.plan.prompt(item).as_bytes());
            cancelled.insert(prompt, (record, item));
        }
    }
    for dispatch in &history.dispatches {
        let Some((record, item)) = cancelled.get(&dispatch.prompt) else {
            continue;
        };
        let after = |time: Option<_>| time.is_some_and(|time| dispatch.at > time);
        let late = record.cancel_acknowledged.map(|time| time + STOPS_WITHIN);
        if after(record.cancelled) {
            let message = format!(
                "gateway {} sent {} item {item} after the job was reported cancelled",
                dispatch.gateway, record.plan.key
            );
            findings.add(dispatch.at, message);
        } else if after(late) {
            let message = format!(
                "gateway {} sent {} item {item} long after the cancellation",
                dispatch.gateway, record.plan.key
            );
            findings.add(dispatch.at, message);
        }
    }
}
