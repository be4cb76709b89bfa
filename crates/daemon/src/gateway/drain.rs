//! Graceful stop: reports unready, then refuses new connections, lets requests in
//! flight finish and hands leases over.

use std::sync::Arc;
use std::time::Duration;

use async_io::Timer;
use molespan_http::ServerHandle;
use molespan_membership::{DrainInput, DrainOutput, DrainPlan, DrainSettings};
use molespan_routing::batch::BatchInput;
use molespan_telemetry::EventKind;
use slog::info;

use super::state::GatewayState;

/// Interval between checks of the remaining work.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// How long requests on open connections are still answered after new
/// connections are refused.
const IDLE_GRACE: Duration = Duration::from_millis(500);

/// Result of a graceful stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DrainReport {
    /// Requests that were aborted because the time limit passed.
    pub cut_off: u32,
    /// Leases that were not handed over and must expire.
    pub left_behind: u32,
}

/// Performs a graceful stop.
pub(super) async fn drain(state: &Arc<GatewayState>, server: &ServerHandle) -> DrainReport {
    let limits = &state.options.drain;
    let mut plan = DrainPlan::new(DrainSettings {
        unready_wait: limits.unready_wait,
        finish_within: limits.finish_within,
        hand_over_within: limits.hand_over_within,
    });
    let mut report = DrainReport::default();
    let mut input = DrainInput::Begin;
    loop {
        let now = state.clock.now();
        let in_flight = server.counters().requests_in_flight as u32;
        let held = state.batch.left_to_return() as u32;
        let mut outputs = plan.handle(now, DrainInput::InFlight(in_flight));
        outputs.extend(plan.handle(now, DrainInput::Held(held)));
        outputs.extend(plan.handle(now, input));
        input = DrainInput::Tick;
        for output in outputs {
            record_step(state, &output, in_flight, held);
            match output {
                DrainOutput::SayUnready => announce_unready(state),
                DrainOutput::ReturnBatchItems => return_batch_items(state),
                DrainOutput::RefuseNew => refuse_new(state, server),
                DrainOutput::HandOver => state.release_ownership(),
                DrainOutput::CutOff { in_flight } => report.cut_off = in_flight,
                DrainOutput::LeftBehind { held } => report.left_behind = held,
                DrainOutput::Exit => {
                    // Closes idle connections; either nothing else is left, or the time
                    // limit passed.
                    server.shutdown(Duration::ZERO, Duration::ZERO).await;
                    return report;
                }
            }
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn announce_unready(state: &Arc<GatewayState>) {
    state.begin_drain();
    let gateway = state.clone();
    state.spawn(async move {
        let (node, incarnation) = (gateway.options.node, gateway.options.incarnation);
        // If this call fails, the heartbeats still report the drain.
        let _unreachable = gateway.cluster.drain_node(node, incarnation).await;
        let sent = gateway.clock.now();
        let _unreachable = gateway.heartbeat(sent).await;
    });
}

fn return_batch_items(state: &Arc<GatewayState>) {
    state.batch_input(BatchInput::Drain);
}

fn refuse_new(state: &Arc<GatewayState>, server: &ServerHandle) {
    state.begin_stopping();
    let server = server.clone();
    let limits = state.options.drain.clone();
    state.spawn(async move {
        let deadline = limits.finish_within + limits.hand_over_within;
        server.shutdown(IDLE_GRACE, deadline).await;
    });
}

fn record_step(state: &GatewayState, output: &DrainOutput, in_flight: u32, held: u32) {
    info!(state.logger, "planned stop moved on to its next step";
        "step" => ?output, "in_flight" => in_flight, "leases" => held);
    state.events.record(
        EventKind::Drain,
        format!("node {}", state.options.node),
        format!("{output:?}"),
        [("in_flight", in_flight.into()), ("leases", held.into())],
    );
}
