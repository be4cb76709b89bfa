//! Exchange of reports between gateways: their work at engines and their use of tenant
//! limits, sent directly, or through a relay where there are many gateways. An engine's own
//! load reports come only with answers, which is too late for a burst.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::{Executor, LocalExecutor};
use async_io::Timer;
use futures_lite::future;
use molespan_daemon::DaemonError;
use molespan_daemon::cluster::{PeerTransport, WireTransport};
use molespan_fleet::view::MAX_LISTED_GATEWAYS;
use molespan_fleet::{ClusterAddresses, notification};
use molespan_routing::dispatch::{ServiceDemand, WorkShare};
use molespan_routing::quota::Usage;
use molespan_routing::reach::ReachReport;
use molespan_routing::suspects::Blame;
use molespan_types::{NodeId, RunOutcome, Timestamp};
use molespan_wire::{Handler, Request, Response, Server, ServerLimits};
use slog::{Logger, info};

use crate::batch::preempt_batch_runs;
use crate::pace::report_paces;
use crate::state::GatewayState;

/// Interval between reports while the gateway is not busy.
const CALM_INTERVAL: Duration = Duration::from_millis(150);
/// Interval between reports in a burst, when recent reports of other gateways matter.
const BUSY_INTERVAL: Duration = Duration::from_millis(50);
/// Number of own requests at engines from which on a gateway is busy.
const BUSY_REQUESTS: u32 = 12;
/// Share of all slots in use from which on every gateway is busy: its next request may find
/// no slot.
const BUSY_OCCUPANCY: f64 = 0.4;
/// Maximum number of gateways that report to each other directly. The number of messages
/// grows with the square of the number of gateways; through relays it does not.
pub(crate) const MAX_DIRECT_GATEWAYS: u32 = MAX_LISTED_GATEWAYS as u32;
/// Unchanged work is reported again after this many intervals.
const REPEAT_INTERVALS: u32 = 6;
/// Minimum interval between reports of tenant usage while no tenant is close to its limit.
const USAGE_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of queued incoming reports; further ones are dropped.
const MAX_QUEUED_REPORTS: usize = 1_024;

/// A report from another gateway or a relay.
struct PeerReport {
    from: NodeId,
    shares: Vec<WorkShare>,
    usage: Option<Usage>,
    blames: Vec<Blame>,
    reach: Vec<ReachReport>,
    demand: Option<Vec<ServiceDemand>>,
    relayed: bool,
}

/// Receives the reports of other gateways.
struct ReportListener {
    reports: Sender<PeerReport>,
    logger: Logger,
}

impl Handler for ReportListener {
    async fn call(&self, _request: Request) -> Response {
        Response::Refused {
            outcome: RunOutcome::NotRun,
            message: "a gateway answers no calls".to_owned(),
            retry_after_ms: 0,
        }
    }

    fn notify(&self, request: Request) {
        if let Request::EngineWork {
            from,
            shares,
            relayed,
            usage,
            blames,
            reach,
            demand,
            ..
        } = request
            && let Some(shares) = notification::decode_or_log(&self.logger, from, "work", &shares)
        {
            let usage = usage.and_then(|usage| {
                notification::decode_or_log(&self.logger, from, "use of limits", &usage)
            });
            let blames = blames.and_then(|blames| {
                notification::decode_or_log(&self.logger, from, "blames", &blames)
            });
            let reach = reach.and_then(|reach| {
                notification::decode_or_log(&self.logger, from, "zones out of reach", &reach)
            });
            let demand = demand.and_then(|demand| {
                notification::decode_or_log(&self.logger, from, "demand", &demand)
            });
            let report = PeerReport {
                from,
                shares,
                usage,
                demand,
                blames: blames.unwrap_or_default(),
                reach: reach.unwrap_or_default(),
                relayed,
            };
            let _dropped = self.reports.try_send(report);
        }
    }
}

/// Starts sending reports to the other gateways and receiving theirs.
pub(crate) fn exchange_work(
    addresses: &ClusterAddresses,
    state: &Rc<GatewayState>,
    wire: Arc<WireTransport>,
    executor: &Arc<Executor<'static>>,
    local: &Rc<LocalExecutor<'static>>,
) -> Result<(), DaemonError> {
    let (reports, received) = async_channel::bounded(MAX_QUEUED_REPORTS);
    let server = Server::bind(addresses.own_address(), ServerLimits::default())?;
    let listener = Arc::new(ReportListener {
        reports,
        logger: state.logger.clone(),
    });
    executor
        .spawn(server.serve(executor.clone(), listener))
        .detach();
    local
        .spawn(receive_reports(state.clone(), received))
        .detach();
    local.spawn(send_reports(state.clone(), wire)).detach();
    Ok(())
}

async fn receive_reports(state: Rc<GatewayState>, reports: Receiver<PeerReport>) {
    let mut failing = BTreeSet::new();
    let mut by_demand = false;
    while let Ok(report) = reports.recv().await {
        let now = state.now();
        state.record_node_message();
        if report.relayed {
            state.relay.borrow_mut().record_message(report.from, now);
        }
        if let Some(usage) = report.usage {
            let mut tenants = state.tenants.borrow_mut();
            match report.relayed {
                true => tenants.note_relay(report.from, usage, now),
                false => tenants.note_gateway(report.from, usage, now),
            }
        }
        if state.suspects.borrow_mut().note(&report.blames, now) {
            state.bars.request_check();
        }
        state
            .engines
            .borrow_mut()
            .note_shares(report.from, &report.shares, now);
        state.apply_reach_report(report.from, report.relayed, report.reach);
        state.wake_all_queues();
        if let Some(demand) = report.demand {
            let mut engines = state.engines.borrow_mut();
            engines.note_demands(report.from, demand, now);
        }
        by_demand = log_sharing_change(&state, by_demand);
        preempt_batch_runs(&state);
        let failing_now = state.engines.borrow().failing_for_others(now);
        log_failing_engines(&state, &failing, &failing_now);
        failing = failing_now;
    }
}

/// Logs a change of whether capacity is shared by demand, and returns the new value.
fn log_sharing_change(state: &GatewayState, before: bool) -> bool {
    let by_demand = state.engines.borrow().has_demand_reports(state.now());
    if by_demand != before {
        info!(state.logger, "sharing of engine capacity changed"; "by_demand" => by_demand);
    }
    by_demand
}

/// Logs which engines are newly avoided because they fail for other gateways, and which no
/// longer are.
fn log_failing_engines(state: &GatewayState, before: &BTreeSet<String>, now: &BTreeSet<String>) {
    for engine in now.difference(before) {
        info!(state.logger, "engine fails for other gateways"; "engine" => engine);
    }
    for engine in before.difference(now) {
        info!(state.logger, "engine no longer fails for other gateways"; "engine" => engine);
    }
}

async fn send_reports(state: Rc<GatewayState>, wire: Arc<WireTransport>) {
    let mut before = Vec::new();
    let mut unchanged = 0;
    let mut interval = CALM_INTERVAL;
    let mut relay = None;
    let mut usage_reported = state.now();
    let mut reported_reach = None;
    loop {
        let due = async {
            Timer::after(interval).await;
        };
        future::or(due, state.report_requested()).await;
        report_paces(&state);
        let shares = state.engines.borrow().shares(state.now());
        let short = state.tenants.borrow().is_short(state.now());
        interval = match short || is_busy(&state, &shares) {
            true => BUSY_INTERVAL,
            false => CALM_INTERVAL,
        };
        unchanged = if shares == before { unchanged + 1 } else { 0 };
        let now = state.now();
        let usage = state.has_tenants() && (short || now.since(usage_reported) >= USAGE_INTERVAL);
        let reach = state.engines.borrow().reach_report();
        let reach_changed = reach != reported_reach;
        let has_news = usage || reach_changed || state.suspects.borrow().has_news();
        if unchanged % REPEAT_INTERVALS != 0 && !has_news {
            continue;
        }
        let bytes = molespan_state::encode(&shares);
        let usage = usage.then(|| {
            usage_reported = now;
            molespan_state::encode(&state.tenants.borrow_mut().usage(now))
        });
        let blames = blames(&state);
        let reach_bytes = reach
            .as_ref()
            .map(|reach| molespan_state::encode(&vec![reach]));
        let demand = state.engines.borrow().demands(now);
        export_demand(&state, &demand, now);
        let demand = (!demand.is_empty()).then(|| molespan_state::encode(&demand));
        for node in report_targets(&state, &mut relay) {
            let request = Request::EngineWork {
                from: state.own,
                shares: bytes.clone().into(),
                relayed: false,
                usage: usage.clone().map(Into::into),
                gateways: None,
                blames: blames.clone().map(Into::into),
                reach: reach_bytes.clone().map(Into::into),
                demand: demand.clone().map(Into::into),
            };
            wire.send(node, request);
        }
        before = shares;
        reported_reach = reach;
    }
}

/// Returns the encoded report of requests that ran at engines when these ended.
fn blames(state: &GatewayState) -> Option<Vec<u8>> {
    let now = state.now();
    let mut suspects = state.suspects.borrow_mut();
    suspects.expire(now);
    let blames = suspects.blames_to_send(now);
    (!blames.is_empty()).then(|| molespan_state::encode(&blames))
}

/// Exports the reported demand as metrics.
fn export_demand(state: &GatewayState, demands: &[ServiceDemand], now: Timestamp) {
    let engines = state.engines.borrow();
    for demand in demands {
        let part = engines.share_by_demand(&demand.service, now);
        state.metrics.capacity.set_demand(demand, part);
    }
}

fn is_busy(state: &GatewayState, shares: &[WorkShare]) -> bool {
    let own: u32 = shares.iter().map(|share| share.requests).sum();
    own >= BUSY_REQUESTS || state.engines.borrow().occupancy(state.now()) >= BUSY_OCCUPANCY
}

/// Returns the nodes that this gateway reports to: the other gateways, or the relay for
/// them.
fn report_targets(state: &GatewayState, relay: &mut Option<NodeId>) -> Vec<NodeId> {
    let new_relay = match state.gateways() > MAX_DIRECT_GATEWAYS {
        true => state.relay_in_use(),
        false => None,
    };
    let before = std::mem::replace(relay, new_relay);
    if let Some(left) = before.filter(|_| before != new_relay) {
        state.engines.borrow_mut().forget_shares(left);
    }
    match new_relay {
        Some(relay) => vec![relay],
        None => state.other_gateways(),
    }
}
