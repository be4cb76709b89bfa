//! Checks that after the faults all accepted work finishes and every machine is
//! used.

use molespan_types::BackendId;

use super::Findings;
use crate::history::ArrivalEnd;
use crate::world::{Client, World};

pub(super) fn check(world: &World, findings: &mut Findings) {
    check_work(world, findings);
    check_gateways(world, findings);
    check_answers(world, findings);
}

fn check_work(world: &World, findings: &mut Findings) {
    let now = world.context.now;
    for (number, client) in &world.clients {
        if !client.is_done() {
            let kind = match client {
                Client::Job(_) => "job",
                Client::Online(_) => "request",
            };
            let work = &world.scenario.work[*number as usize - 1];
            let work = work.as_ref().map(|work| work.work.to_string());
            let message = format!("a {kind} never finished: {}", work.unwrap_or_default());
            findings.add(now, message);
        }
    }
    for operator in world.operators.values() {
        if !operator.is_done() {
            let message = format!("an operator got no answer: {:?}", operator.goal());
            findings.add(now, message);
        }
    }
}

fn check_gateways(world: &World, findings: &mut Findings) {
    let now = world.context.now;
    let newest = world.context.history.reads.iter().map(|read| read.version);
    let newest = newest.max().unwrap_or_default();
    for (number, gateway) in &world.gateways {
        let Some(process) = gateway.process() else {
            findings.add(now, format!("gateway {number} does not run"));
            continue;
        };
        if !process.is_ready(now) || process.version() < newest {
            findings.add(now, format!("gateway {number} is not ready and current"));
        }
        for (engine, node) in &world.engines {
            if !process.uses(BackendId(*engine), node.incarnation()) {
                let message = format!("gateway {number} does not use engine {engine} again");
                findings.add(now, message);
            }
        }
    }
}

/// Checks that no caller gives up on an arrival sent after the faults: a live
/// gateway answers every arrival in some way.
fn check_answers(world: &World, findings: &mut Findings) {
    let calm = world.scenario.faults_end();
    for arrival in world.context.history.arrivals.values() {
        let given_up = matches!(&arrival.end, Some((_, ArrivalEnd::GivenUp)));
        if given_up && arrival.sent > calm {
            let message = format!(
                "{} was not answered in the calm phase after the faults",
                arrival.plan.prompt
            );
            findings.add(arrival.sent, message);
        }
    }
}
