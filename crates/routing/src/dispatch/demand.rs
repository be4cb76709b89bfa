//! Which part of a service's room is one gateway's: its part of the requests that want
//! an engine, and not of those that have one. Who could not start any would else get
//! the smallest part, and the smaller the fewer it starts.
//!
//! Gateways tell how many requests wait and come, a few figures a service; relays pass
//! the sums on.

use std::collections::BTreeMap;
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, Timestamp};

use super::engine::SHARE_HOLDS;
use super::relay::Teller;
use super::room::STARTS_SHOW;
use super::table::EngineTable;
use crate::decay::FadingSum;

/// Time over which requests that came fade: shorter, chance decides; longer, a burst is
/// over before it shows.
const ASKED_FADES: Duration = Duration::from_secs(1);
/// Requests that came are told in so many seconds, to be whole numbers.
const ASKED_SECONDS: f64 = 1_000.0;
/// Services of one telling that are taken in. Several times as many as are expected, so
/// that no word makes memory grow.
const MOST_SERVICES: usize = 256;

/// Online requests that want engines of a service, at one gateway or several together.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceDemand {
    /// Service.
    #[n(0)]
    pub service: String,
    /// Gateways that it is of.
    #[n(1)]
    pub gateways: u32,
    /// Requests that wait for an engine.
    #[n(2)]
    #[cbor(default)]
    pub waiting: u32,
    /// Requests that came in a thousand seconds, as lately.
    #[n(3)]
    #[cbor(default)]
    pub asked: u64,
}

impl ServiceDemand {
    /// Adds what others have.
    fn add(&mut self, others: &Self) {
        self.gateways = self.gateways.saturating_add(others.gateways);
        self.waiting = self.waiting.saturating_add(others.waiting);
        self.asked = self.asked.saturating_add(others.asked);
    }

    /// What is left without a part of it.
    fn without(&self, part: &Self) -> Self {
        Self {
            service: self.service.clone(),
            gateways: self.gateways.saturating_sub(part.gateways),
            waiting: self.waiting.saturating_sub(part.waiting),
            asked: self.asked.saturating_sub(part.asked),
        }
    }

    /// Requests that want an engine before others see who started: those that wait, and
    /// those that come until then.
    fn wanted(&self) -> f64 {
        let coming = self.asked as f64 / ASKED_SECONDS * STARTS_SHOW.as_secs_f64();
        f64::from(self.waiting) + coming
    }
}

/// Requests of this gateway for one service.
#[derive(Clone, Copy, Debug)]
struct Own {
    waiting: u32,
    asked: FadingSum,
}

impl Default for Own {
    fn default() -> Self {
        Self {
            waiting: 0,
            asked: FadingSum::new(ASKED_FADES),
        }
    }
}

impl Own {
    fn told(&self, service: &str, now: Timestamp) -> ServiceDemand {
        let asked = self.asked.at(now) / ASKED_FADES.as_secs_f64();
        ServiceDemand {
            service: service.to_owned(),
            gateways: 1,
            waiting: self.waiting,
            asked: (asked * ASKED_SECONDS) as u64,
        }
    }
}

/// What a node told last, and when.
#[derive(Clone, Debug)]
struct Told {
    demands: Vec<ServiceDemand>,
    at: Timestamp,
}

impl Told {
    fn new(mut demands: Vec<ServiceDemand>, at: Timestamp) -> Self {
        demands.truncate(MOST_SERVICES);
        Self { demands, at }
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) < SHARE_HOLDS
    }
}

/// What this gateway knows of the requests for each service.
#[derive(Clone, Debug, Default)]
pub(super) struct Demands {
    own: BTreeMap<String, Own>,
    others: BTreeMap<NodeId, Told>,
}

impl Demands {
    fn own_mut(&mut self, service: &str) -> &mut Own {
        if !self.own.contains_key(service) {
            self.own.insert(service.to_owned(), Own::default());
        }
        self.own.get_mut(service).expect("it was just inserted")
    }

    /// Part of a service's room that is this gateway's, of `users` that share it. `None`
    /// while no other one tells what it wants.
    pub fn share(&self, service: &str, users: f64, now: Timestamp) -> Option<f64> {
        let told = self.others.values().filter(|told| told.is_fresh(now));
        let of_service = told.flat_map(|told| &told.demands);
        let others = sum(of_service.filter(|one| one.service == service)).pop()?;
        // Those who tell nothing want as much as the others.
        let silent = (users - 1.0) / f64::from(others.gateways.max(1));
        let others = others.wanted() * silent.max(1.0);
        let own = self.own.get(service).copied().unwrap_or_default();
        let own = own.told(service, now).wanted().max(1.0);
        Some(own / (own + others))
    }
}

impl EngineTable {
    /// An online request for a service came.
    pub fn asked(&mut self, service: &str, now: Timestamp) {
        self.demands.own_mut(service).asked.add(1.0, now);
    }

    /// A request begins to wait for an engine of a service.
    pub fn begins_to_wait(&mut self, service: &str) {
        self.demands.own_mut(service).waiting += 1;
    }

    /// It has one, or gave up.
    pub fn ends_to_wait(&mut self, service: &str) {
        let own = self.demands.own_mut(service);
        own.waiting = own.waiting.saturating_sub(1);
    }

    /// Requests of this gateway for each service, for telling others.
    #[must_use]
    pub fn demands(&self, now: Timestamp) -> Vec<ServiceDemand> {
        let own = self.demands.own.iter();
        own.map(|(service, own)| own.told(service, now)).collect()
    }

    /// Another gateway, or a relay for all others, tells which requests it has.
    pub fn note_demands(&mut self, from: NodeId, demands: Vec<ServiceDemand>, now: Timestamp) {
        let others = &mut self.demands.others;
        others.retain(|_, told| told.is_fresh(now));
        others.insert(from, Told::new(demands, now));
    }

    /// These services are served from now on. Demand for each is told, none as well: who
    /// tells nothing counts as one that wants as much as the others.
    pub fn serve(&mut self, services: impl Iterator<Item = String>) {
        let before = std::mem::take(&mut self.demands.own);
        self.demands.own = services.map(|service| (service, Own::default())).collect();
        let kept = before.into_iter();
        let kept =
            kept.filter(|(name, own)| own.waiting > 0 || self.demands.own.contains_key(name));
        let kept: Vec<(String, Own)> = kept.collect();
        self.demands.own.extend(kept);
    }

    /// Whether other gateways tell their demand.
    #[must_use]
    pub fn hears_demand(&self, now: Timestamp) -> bool {
        let mut others = self.demands.others.values();
        others.any(|told| told.is_fresh(now) && !told.demands.is_empty())
    }

    /// Part of a service's room that is this gateway's by demand, where others tell it.
    #[must_use]
    pub fn part_by_demand(&self, service: &str, now: Timestamp) -> Option<f64> {
        self.demands.share(service, self.users_of(service), now)
    }
}

/// What a relay was told of demand.
#[derive(Clone, Debug, Default)]
pub struct DemandRelay {
    told: BTreeMap<NodeId, (Teller, Told)>,
}

impl DemandRelay {
    /// Takes in what a gateway, or another relay for its gateways, tells.
    pub fn note(
        &mut self,
        from: NodeId,
        teller: Teller,
        demands: Vec<ServiceDemand>,
        now: Timestamp,
    ) {
        self.told.insert(from, (teller, Told::new(demands, now)));
    }

    /// Forgets those that were silent for too long.
    pub fn expire(&mut self, now: Timestamp) {
        self.told.retain(|_, (_, told)| told.is_fresh(now));
    }

    /// What the gateways of this relay want together, for the other relays.
    #[must_use]
    pub fn of_gateways(&self) -> Vec<ServiceDemand> {
        let told = self.told.values();
        let gateways = told.filter(|(teller, _)| *teller == Teller::Gateway);
        sum(gateways.flat_map(|(_, told)| &told.demands))
    }

    /// For each gateway of this relay, what all others want together.
    #[must_use]
    pub fn by_gateway(&self) -> Vec<(NodeId, Vec<ServiceDemand>)> {
        let all = sum(self.told.values().flat_map(|(_, told)| &told.demands));
        let told = self.told.iter();
        let gateways = told.filter(|(_, (teller, _))| *teller == Teller::Gateway);
        gateways
            .map(|(&gateway, (_, own))| (gateway, without(&all, &own.demands)))
            .collect()
    }
}

fn without(all: &[ServiceDemand], own: &[ServiceDemand]) -> Vec<ServiceDemand> {
    let rest = all.iter().map(|all| {
        let own = own.iter().find(|own| own.service == all.service);
        own.map_or_else(|| all.clone(), |own| all.without(own))
    });
    rest.filter(|rest| rest.gateways > 0).collect()
}

fn sum<'d>(demands: impl Iterator<Item = &'d ServiceDemand>) -> Vec<ServiceDemand> {
    let mut sums: BTreeMap<&str, ServiceDemand> = BTreeMap::new();
    for demand in demands {
        match sums.get_mut(demand.service.as_str()) {
            Some(sum) => sum.add(demand),
            None => {
                sums.insert(&demand.service, demand.clone());
            }
        }
    }
    sums.into_values().collect()
}
