//! Relays the reports of gateways to other gateways: their load on engines, demand, use
//! of tenants' limits, requests suspected of crashing engines, and unreachable zones.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::cluster::{PeerTransport, WireTransport};
use molespan_routing::dispatch::{DemandRelay, ReportSource, ServiceDemand, WorkRelay, WorkShare};
use molespan_routing::quota::{Usage, UsageRelay};
use molespan_routing::reach::{ReachRelay, ReachReport};
use molespan_routing::suspects::{Blame, SuspectTable};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::Request;
use slog::Logger;

use super::hub::Hub;
use crate::notification;

/// Interval after which unchanged reports are sent again to other relays and to gateways.
const RESEND_INTERVAL: Duration = Duration::from_millis(400);

/// Received reports, by kind.
#[derive(Debug, Default)]
struct RelayTables {
    work: WorkRelay,
    demand: DemandRelay,
    usage: UsageRelay,
    /// Whether reports on the use of tenants' limits arrived since the last time they
    /// were forwarded.
    usage_received: bool,
    suspects: SuspectTable,
    reach: ReachRelay,
}

/// Reports received from gateways and other relays.
#[derive(Debug)]
pub(super) struct RelayState {
    clock: BootClock,
    relays: Mutex<RelayTables>,
    /// Signals that something was received; a relay that no gateway uses stays idle.
    received: (Sender<()>, Receiver<()>),
    logger: Logger,
}

impl RelayState {
    /// Creates an empty state.
    pub fn new(logger: Logger) -> Self {
        Self {
            clock: BootClock::start(),
            relays: Mutex::default(),
            received: async_channel::bounded(1),
            logger,
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, RelayTables> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the number of gateways that another relay reports for.
    pub fn record_gateway_count(&self, from: NodeId, gateways: u32) {
        let now = self.now();
        self.lock()
            .work
            .record_represented_gateways(from, gateways, now);
    }

    /// Records a report by a gateway or another relay of requests that were running on
    /// engines when those terminated.
    pub fn record_blames(&self, from: NodeId, blames: &[u8]) {
        let Some(blames) =
            notification::decode_or_log::<Vec<Blame>>(&self.logger, from, "blames", blames)
        else {
            return;
        };
        let now = self.now();
        if self.lock().suspects.note(&blames, now) {
            let _already_signaled = self.received.0.try_send(());
        }
    }

    /// Records a report by a gateway or another relay of unreachable zones.
    pub fn record_reach(&self, from: NodeId, reach: Option<&[u8]>, relayed: bool) {
        let reports = match reach {
            Some(reach) => {
                notification::decode_or_log(&self.logger, from, "zones out of reach", reach)
            }
            None => Some(Vec::new()),
        };
        // A malformed report does not revoke the earlier ones.
        let Some(reports) = reports else {
            return;
        };
        let now = self.now();
        if self
            .lock()
            .reach
            .note(from, sender_kind(relayed), reports, now)
        {
            let _already_signaled = self.received.0.try_send(());
        }
    }

    /// Records a report of demand by a gateway or another relay. It is forwarded together
    /// with the load in the same message.
    pub fn record_demand(&self, from: NodeId, demand: &[u8], relayed: bool) {
        let Some(demand) =
            notification::decode_or_log::<Vec<ServiceDemand>>(&self.logger, from, "demand", demand)
        else {
            return;
        };
        let now = self.now();
        self.lock()
            .demand
            .note(from, sender_kind(relayed), demand, now);
    }

    /// Records a report of load and of the use of tenants' limits by a gateway or another
    /// relay.
    pub fn record_work(&self, from: NodeId, shares: &[u8], usage: Option<&[u8]>, relayed: bool) {
        let Some(shares) =
            notification::decode_or_log::<Vec<WorkShare>>(&self.logger, from, "work", shares)
        else {
            return;
        };
        let usage = usage.and_then(|usage| {
            notification::decode_or_log(&self.logger, from, "use of limits", usage)
        });
        let sender = sender_kind(relayed);
        let now = self.now();
        let changed = {
            let mut relays = self.lock();
            if let Some(usage) = usage {
                relays.usage.note(from, sender, usage, now);
                relays.usage_received = true;
            }
            relays.work.note(from, sender, shares, now)
        };
        // Repeated reports of gateways are forwarded so that they do not expire. Relays
        // that forwarded each other's repeated reports would never become idle.
        if changed || sender == ReportSource::Gateway {
            let _already_signaled = self.received.0.try_send(());
        }
    }
}

fn sender_kind(relayed: bool) -> ReportSource {
    match relayed {
        true => ReportSource::Relay,
        false => ReportSource::Gateway,
    }
}

/// Load and demand to forward in one round.
struct Round {
    /// Total load of the gateways of this relay, for the other relays.
    of_gateways: Vec<WorkShare>,
    /// Number of gateways of this relay.
    gateways: u32,
    /// For each gateway of this relay, the load of all other gateways.
    by_gateway: Vec<(NodeId, Vec<WorkShare>)>,
    /// Total demand of the gateways of this relay, and for each of them the demand of all
    /// others.
    demand_of_gateways: Vec<ServiceDemand>,
    demand_by_gateway: BTreeMap<NodeId, Vec<ServiceDemand>>,
}

impl RelayState {
    /// Collects the known load and demand for the gateways that `hub` counts and for the
    /// engines that it assigns to them.
    fn round(&self, hub: &Hub) -> Round {
        let now = self.now();
        let relays = &mut *self.lock();
        let demand = &mut relays.demand;
        demand.expire(now);
        // Gateways in unreachable zones send no requests to engines in reachable ones.
        let unreachable = hub.own_zone().map(|zone| relays.reach.out_of_reach(&zone));
        let present = match unreachable.filter(|zones| !zones.is_empty()) {
            Some(zones) => hub.gateway_count_outside(&zones),
            None => hub.gateway_count(),
        };
        let relay = &mut relays.work;
        relay.expire(now);
        let scale = relay.total_to_reported_ratio(present, now);
        let mut by_gateway = relay.shares_by_user(|engines| hub.users_of(engines));
        let shares = by_gateway.iter_mut().flat_map(|(_, shares)| shares);
        shares.for_each(|share| share.multiply(scale));
        Round {
            of_gateways: relay.sum_of_gateways(),
            gateways: relay.gateways(),
            by_gateway,
            demand_of_gateways: demand.of_gateways(),
            demand_by_gateway: demand.by_gateway().into_iter().collect(),
        }
    }

    /// Returns the use of tenants' limits by the gateways of this relay, and for each of
    /// them the use by all others; `None` if no report arrived.
    fn usage(&self) -> Option<(Usage, BTreeMap<NodeId, Usage>)> {
        let now = self.now();
        let relays = &mut *self.lock();
        if !std::mem::take(&mut relays.usage_received) {
            return None;
        }
        let relay = &mut relays.usage;
        relay.expire(now);
        let by_gateway = relay.by_gateway(now).into_iter().collect();
        Some((relay.of_gateways(now), by_gateway))
    }
}

impl RelayState {
    /// Encodes the pending reports of requests that were running on engines when those
    /// terminated.
    fn blames(&self) -> Option<Vec<u8>> {
        let now = self.now();
        let suspects = &mut self.lock().suspects;
        suspects.expire(now);
        let blames = suspects.blames_to_send(now);
        (!blames.is_empty()).then(|| molespan_state::encode(&blames))
    }
}

/// Unreachable zones to forward in one round.
struct ReachRound {
    of_gateways: Vec<ReachReport>,
    by_gateway: BTreeMap<NodeId, Vec<ReachReport>>,
}

impl RelayState {
    /// Returns the reports of unreachable zones for other relays and for `gateways`.
    fn reach(&self, hub: &Hub, gateways: &[(NodeId, Vec<WorkShare>)]) -> ReachRound {
        let now = self.now();
        let reach = &mut self.lock().reach;
        reach.expire(now);
        let of_gateways = reach.of_gateways();
        let mut by_gateway = BTreeMap::new();
        if reach.is_empty() {
            return ReachRound {
                of_gateways,
                by_gateway,
            };
        }
        for (gateway, _) in gateways {
            let zone = hub.zone_of(*gateway);
            let report = zone.and_then(|zone| reach.for_gateway(*gateway, &zone));
            by_gateway.extend(report.map(|report| (*gateway, vec![report])));
        }
        ReachRound {
            of_gateways,
            by_gateway,
        }
    }
}

fn encoded(reach: &[ReachReport]) -> Option<Vec<u8>> {
    (!reach.is_empty()).then(|| molespan_state::encode(&reach))
}

/// The load last sent to each gateway, and when.
#[derive(Default)]
struct LastSent(BTreeMap<NodeId, (Vec<WorkShare>, Option<Instant>)>);

impl LastSent {
    /// Whether `shares` must be sent to a gateway: if they changed, or after
    /// [`RESEND_INTERVAL`].
    fn is_due(&mut self, gateway: NodeId, shares: &[WorkShare]) -> bool {
        let (before, at) = self.0.entry(gateway).or_default();
        let recently = at.is_some_and(|at| at.elapsed() < RESEND_INTERVAL);
        if recently && before == shares {
            return false;
        }
        before.clear();
        before.extend_from_slice(shares);
        *at = Some(Instant::now());
        true
    }

    /// Removes gateways that now use another relay.
    fn retain(&mut self, gateways: &[(NodeId, Vec<WorkShare>)]) {
        if self.0.len() > gateways.len() {
            let current: BTreeSet<NodeId> = gateways.iter().map(|(node, _)| *node).collect();
            self.0.retain(|node, _| current.contains(node));
        }
    }
}

/// Forwards received reports, at most once per round.
pub(super) async fn relay_work(
    own: NodeId,
    work: Arc<RelayState>,
    hub: Arc<Hub>,
    wire: Arc<WireTransport>,
) {
    let mut sent_to_relays = (Vec::new(), Instant::now());
    let mut sent_reach = Vec::new();
    let mut sent_to_gateways = LastSent::default();
    while work.received.1.recv().await.is_ok() {
        let blames = work.blames();
        let message = |shares: &[WorkShare],
                       usage: Option<&Usage>,
                       reach: &[ReachReport],
                       demand: &[ServiceDemand],
                       gateways| Request::EngineWork {
            from: own,
            shares: molespan_state::encode(&shares).into(),
            relayed: true,
            usage: usage.map(|usage| molespan_state::encode(usage).into()),
            gateways,
            blames: blames.clone().map(Into::into),
            reach: encoded(reach).map(Into::into),
            demand: (!demand.is_empty()).then(|| molespan_state::encode(&demand).into()),
        };
        let Round {
            of_gateways,
            gateways,
            by_gateway,
            demand_of_gateways,
            demand_by_gateway,
        } = work.round(&hub);
        let reach = work.reach(&hub, &by_gateway);
        let usage = work.usage();
        let (usage_of_gateways, usage_by_gateway) = usage.unzip();
        let usage_by_gateway = usage_by_gateway.unwrap_or_default();
        let (before, at) = &sent_to_relays;
        let repeat = at.elapsed() >= RESEND_INTERVAL;
        let reach_changed = reach.of_gateways != sent_reach;
        let other_changes = usage_of_gateways.is_some() || blames.is_some() || reach_changed;
        let must_send = repeat || other_changes || *before != of_gateways;
        if !by_gateway.is_empty() && must_send {
            let others = hub.control_nodes().into_iter();
            for relay in others.filter(|&node| node != own) {
                let usage = usage_of_gateways.as_ref();
                let reach = &reach.of_gateways;
                let demand = &demand_of_gateways;
                wire.send(
                    relay,
                    message(&of_gateways, usage, reach, demand, Some(gateways)),
                );
            }
            sent_reach = reach.of_gateways;
            sent_to_relays = (of_gateways, Instant::now());
        }
        sent_to_gateways.retain(&by_gateway);
        for (gateway, shares) in by_gateway {
            let usage = usage_by_gateway.get(&gateway);
            let reach = reach.by_gateway.get(&gateway);
            // Unreachable zones are sent in every round, so that gateways that have just
            // started receive them too.
            let other_changes = usage.is_some() || blames.is_some() || reach.is_some();
            if !sent_to_gateways.is_due(gateway, &shares) && !other_changes {
                continue;
            }
            let reach = reach.map(Vec::as_slice).unwrap_or_default();
            let demand = demand_by_gateway.get(&gateway);
            let demand = demand.map_or(&[][..], Vec::as_slice);
            wire.send(gateway, message(&shares, usage, reach, demand, None));
        }
        let pause = work.lock().work.pause(hub.slots());
        Timer::after(pause).await;
    }
}
