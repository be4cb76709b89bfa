//! Relaying between gateways what they have at engines and of tenants.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::Timer;
use molespan_daemon::boot_clock::BootClock;
use molespan_daemon::cluster::{PeerTransport, WireTransport};
use molespan_routing::dispatch::{DemandRelay, ServiceDemand, Teller, WorkRelay, WorkShare};
use molespan_routing::quota::{Usage, UsageRelay};
use molespan_routing::reach::{ReachRelay, ReachTelling};
use molespan_routing::suspects::{Blame, SuspectTable};
use molespan_types::{NodeId, Timestamp};
use molespan_wire::Request;
use slog::Logger;

use super::hub::Hub;
use crate::telling;

/// Time after which other relays and gateways are told again what did not change.
const REPEATED_AFTER: Duration = Duration::from_millis(400);

/// What was told, by its kind.
#[derive(Debug, Default)]
struct Relays {
    work: WorkRelay,
    demand: DemandRelay,
    usage: UsageRelay,
    /// Whether use of tenants' limits came since it was passed on.
    usage_came: bool,
    suspects: SuspectTable,
    reach: ReachRelay,
}

/// What gateways and other relays told this node.
#[derive(Debug)]
pub(super) struct RelayedWork {
    clock: BootClock,
    relays: Mutex<Relays>,
    /// Told that something came; a relay that nobody uses does nothing.
    heard: (Sender<()>, Receiver<()>),
    logger: Logger,
}

impl RelayedWork {
    /// Nothing was told yet.
    pub fn new(logger: Logger) -> Self {
        Self {
            clock: BootClock::start(),
            relays: Mutex::default(),
            heard: async_channel::bounded(1),
            logger,
        }
    }

    fn now(&self) -> Timestamp {
        self.clock.now()
    }

    fn lock(&self) -> MutexGuard<'_, Relays> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Another relay speaks for so many gateways.
    pub fn note_spoken_for(&self, from: NodeId, gateways: u32) {
        let now = self.now();
        self.lock().work.note_spoken_for(from, gateways, now);
    }

    /// Takes in what a gateway, or another relay, told of requests that ran at engines
    /// as they ended.
    pub fn note_blames(&self, from: NodeId, blames: &[u8]) {
        let Some(blames) = telling::read::<Vec<Blame>>(&self.logger, from, "blames", blames) else {
            return;
        };
        let now = self.now();
        if self.lock().suspects.note(&blames, now) {
            let _already_told = self.heard.0.try_send(());
        }
    }

    /// Takes in what a gateway, or another relay, told of zones out of reach.
    pub fn note_reach(&self, from: NodeId, reach: Option<&[u8]>, relayed: bool) {
        let told = match reach {
            Some(reach) => telling::read(&self.logger, from, "zones out of reach", reach),
            None => Some(Vec::new()),
        };
        // What cannot be read takes back nothing that was told before.
        let Some(told) = told else {
            return;
        };
        let now = self.now();
        if self.lock().reach.note(from, teller(relayed), told, now) {
            let _already_told = self.heard.0.try_send(());
        }
    }

    /// Takes in what a gateway, or another relay, told of demand. It is passed on with the
    /// work that comes in the same message.
    pub fn note_demand(&self, from: NodeId, demand: &[u8], relayed: bool) {
        let Some(demand) =
            telling::read::<Vec<ServiceDemand>>(&self.logger, from, "demand", demand)
        else {
            return;
        };
        let now = self.now();
        self.lock().demand.note(from, teller(relayed), demand, now);
    }

    /// Takes in what a gateway, or another relay, told.
    pub fn note(&self, from: NodeId, shares: &[u8], usage: Option<&[u8]>, relayed: bool) {
        let Some(shares) = telling::read::<Vec<WorkShare>>(&self.logger, from, "work", shares)
        else {
            return;
        };
        let usage =
            usage.and_then(|usage| telling::read(&self.logger, from, "use of limits", usage));
        let teller = teller(relayed);
        let now = self.now();
        let changed = {
            let mut relays = self.lock();
            if let Some(usage) = usage {
                relays.usage.note(from, teller, usage, now);
                relays.usage_came = true;
            }
            relays.work.note(from, teller, shares, now)
        };
        // What gateways repeat is passed on, so that it holds. If relays did
        // the same with one another's words, they would never come to rest.
        if changed || teller == Teller::Gateway {
            let _already_told = self.heard.0.try_send(());
        }
    }
}

fn teller(relayed: bool) -> Teller {
    match relayed {
        true => Teller::Relay,
        false => Teller::Gateway,
    }
}

/// What a round passes on of work at engines.
struct Round {
    /// What the gateways of this relay have together, for the other relays.
    of_gateways: Vec<WorkShare>,
    /// How many they are.
    gateways: u32,
    /// What all others have, for each of them.
    by_gateway: Vec<(NodeId, Vec<WorkShare>)>,
    /// Demand of the gateways of this relay, and of all others for each of them.
    demand_of_gateways: Vec<ServiceDemand>,
    demand_by_gateway: BTreeMap<NodeId, Vec<ServiceDemand>>,
}

impl RelayedWork {
    /// Work at engines as far as it is known, for the gateways that the `hub` counts and
    /// the engines that it has them use.
    fn round(&self, hub: &Hub) -> Round {
        let now = self.now();
        let relays = &mut *self.lock();
        let demand = &mut relays.demand;
        demand.expire(now);
        // Those beyond a cut of a whole zone send nothing to engines on this side.
        let beyond = hub.own_zone().map(|zone| relays.reach.out_of_reach(&zone));
        let present = match beyond.filter(|zones| !zones.is_empty()) {
            Some(zones) => hub.gateways_outside(&zones),
            None => hub.gateways(),
        };
        let relay = &mut relays.work;
        relay.expire(now);
        let all_by_told = relay.all_by_told(present, now);
        let mut by_gateway = relay.shares_by_user(|engines| hub.users_of(engines));
        let shares = by_gateway.iter_mut().flat_map(|(_, shares)| shares);
        shares.for_each(|share| share.multiply(all_by_told));
        Round {
            of_gateways: relay.sum_of_gateways(),
            gateways: relay.gateways(),
            by_gateway,
            demand_of_gateways: demand.of_gateways(),
            demand_by_gateway: demand.by_gateway().into_iter().collect(),
        }
    }

    /// Use of tenants' limits by the gateways of this relay, and by all others for
    /// each of them; `None` when nothing came.
    fn usage(&self) -> Option<(Usage, BTreeMap<NodeId, Usage>)> {
        let now = self.now();
        let relays = &mut *self.lock();
        if !std::mem::take(&mut relays.usage_came) {
            return None;
        }
        let relay = &mut relays.usage;
        relay.expire(now);
        let by_gateway = relay.by_gateway(now).into_iter().collect();
        Some((relay.of_gateways(now), by_gateway))
    }
}

impl RelayedWork {
    /// What is to be told of requests that ran at engines as they ended, encoded.
    fn blames(&self) -> Option<Vec<u8>> {
        let now = self.now();
        let suspects = &mut self.lock().suspects;
        suspects.expire(now);
        let blames = suspects.tell(now);
        (!blames.is_empty()).then(|| molespan_state::encode(&blames))
    }
}

/// What a round passes on of zones out of reach.
struct ReachRound {
    of_gateways: Vec<ReachTelling>,
    by_gateway: BTreeMap<NodeId, Vec<ReachTelling>>,
}

impl RelayedWork {
    /// What is told of zones out of reach, to other relays and to these gateways.
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
            let told = zone.and_then(|zone| reach.for_gateway(*gateway, &zone));
            by_gateway.extend(told.map(|told| (*gateway, vec![told])));
        }
        ReachRound {
            of_gateways,
            by_gateway,
        }
    }
}

fn encoded(reach: &[ReachTelling]) -> Option<Vec<u8>> {
    (!reach.is_empty()).then(|| molespan_state::encode(&reach))
}

/// What gateways were told of work at engines, and when.
#[derive(Default)]
struct LastTold(BTreeMap<NodeId, (Vec<WorkShare>, Option<Instant>)>);

impl LastTold {
    /// Whether a gateway is to be told this: when it is not what it was told last, and
    /// again after a while.
    fn is_due(&mut self, gateway: NodeId, shares: &[WorkShare]) -> bool {
        let (before, at) = self.0.entry(gateway).or_default();
        let lately = at.is_some_and(|at| at.elapsed() < REPEATED_AFTER);
        if lately && before == shares {
            return false;
        }
        before.clear();
        before.extend_from_slice(shares);
        *at = Some(Instant::now());
        true
    }

    /// Forgets gateways that go through another relay.
    fn retain(&mut self, gateways: &[(NodeId, Vec<WorkShare>)]) {
        if self.0.len() > gateways.len() {
            let held: BTreeSet<NodeId> = gateways.iter().map(|(node, _)| *node).collect();
            self.0.retain(|node, _| held.contains(node));
        }
    }
}

/// Passes on what comes, at most once a round.
pub(super) async fn relay_work(
    own: NodeId,
    work: Arc<RelayedWork>,
    hub: Arc<Hub>,
    wire: Arc<WireTransport>,
) {
    let mut told_relays = (Vec::new(), Instant::now());
    let mut told_reach = Vec::new();
    let mut told_gateways = LastTold::default();
    while work.heard.1.recv().await.is_ok() {
        let blames = work.blames();
        let told = |shares: &[WorkShare],
                    usage: Option<&Usage>,
                    reach: &[ReachTelling],
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
        let (before, at) = &told_relays;
        let repeat = at.elapsed() >= REPEATED_AFTER;
        let reach_news = reach.of_gateways != told_reach;
        let other_news = usage_of_gateways.is_some() || blames.is_some() || reach_news;
        let news = repeat || other_news || *before != of_gateways;
        if !by_gateway.is_empty() && news {
            let others = hub.control_nodes().into_iter();
            for relay in others.filter(|&node| node != own) {
                let usage = usage_of_gateways.as_ref();
                let reach = &reach.of_gateways;
                let demand = &demand_of_gateways;
                wire.send(
                    relay,
                    told(&of_gateways, usage, reach, demand, Some(gateways)),
                );
            }
            told_reach = reach.of_gateways;
            told_relays = (of_gateways, Instant::now());
        }
        told_gateways.retain(&by_gateway);
        for (gateway, shares) in by_gateway {
            let usage = usage_by_gateway.get(&gateway);
            let reach = reach.by_gateway.get(&gateway);
            // Told in each round: whoever has just started asks there too.
            let other_news = usage.is_some() || blames.is_some() || reach.is_some();
            if !told_gateways.is_due(gateway, &shares) && !other_news {
                continue;
            }
            let reach = reach.map(Vec::as_slice).unwrap_or_default();
            let demand = demand_by_gateway.get(&gateway);
            let demand = demand.map_or(&[][..], Vec::as_slice);
            wire.send(gateway, told(&shares, usage, reach, demand, None));
        }
        let pause = work.lock().work.pause(hub.slots());
        Timer::after(pause).await;
    }
}
