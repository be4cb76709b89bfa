//! This gateway's share of a service's free capacity, in proportion to the requests that
//! want an engine.
//!
//! Sharing by requests that already have an engine would give the smallest share to a
//! gateway that could not start any, and shrink it further the fewer it starts.
//!
//! Gateways report how many requests wait and arrive, a few figures for each service;
//! relays pass on the sums.

use std::collections::BTreeMap;
use std::time::Duration;

use minicbor::{Decode, Encode};
use molespan_types::{NodeId, Timestamp};

use super::engine::SHARE_TTL;
use super::relay::ReportSource;
use super::room::START_VISIBILITY_DELAY;
use super::table::EngineTable;
use crate::decay::DecayingSum;

/// Decay time of the arrival count. A shorter one makes the estimate noisy; a longer one
/// detects a burst only after it has passed.
const ARRIVAL_DECAY: Duration = Duration::from_secs(1);
/// Arrivals are reported per this many seconds, so that the rate is a whole number.
const ARRIVAL_RATE_SECONDS: f64 = 1_000.0;
/// Most services that are taken from one report. Several times the expected number; bounds
/// the memory that a report can take.
const MAX_SERVICES: usize = 256;

/// Online requests that want an engine of a service, at one gateway or summed over several.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ServiceDemand {
    /// Service name.
    #[n(0)]
    pub service: String,
    /// Number of gateways summed up.
    #[n(1)]
    pub gateways: u32,
    /// Requests that wait for an engine.
    #[n(2)]
    #[cbor(default)]
    pub waiting: u32,
    /// Recent arrival rate, in requests per 1,000 seconds.
    #[n(3)]
    #[cbor(default)]
    pub asked: u64,
}

impl ServiceDemand {
    /// Adds the demand of other gateways.
    fn add(&mut self, others: &Self) {
        self.gateways = self.gateways.saturating_add(others.gateways);
        self.waiting = self.waiting.saturating_add(others.waiting);
        self.asked = self.asked.saturating_add(others.asked);
    }

    /// Returns this sum less one `part` of it.
    fn without(&self, part: &Self) -> Self {
        Self {
            service: self.service.clone(),
            gateways: self.gateways.saturating_sub(part.gateways),
            waiting: self.waiting.saturating_sub(part.waiting),
            asked: self.asked.saturating_sub(part.asked),
        }
    }

    /// Returns the requests that want an engine before other gateways observe who started:
    /// those that wait now, and those expected to arrive within the visibility delay.
    fn wanted(&self) -> f64 {
        let coming =
            self.asked as f64 / ARRIVAL_RATE_SECONDS * START_VISIBILITY_DELAY.as_secs_f64();
        f64::from(self.waiting) + coming
    }
}

/// Demand of this gateway for one service.
#[derive(Clone, Copy, Debug)]
struct OwnDemand {
    waiting: u32,
    asked: DecayingSum,
}

impl Default for OwnDemand {
    fn default() -> Self {
        Self {
            waiting: 0,
            asked: DecayingSum::new(ARRIVAL_DECAY),
        }
    }
}

impl OwnDemand {
    fn reported(&self, service: &str, now: Timestamp) -> ServiceDemand {
        let asked = self.asked.at(now) / ARRIVAL_DECAY.as_secs_f64();
        ServiceDemand {
            service: service.to_owned(),
            gateways: 1,
            waiting: self.waiting,
            asked: (asked * ARRIVAL_RATE_SECONDS) as u64,
        }
    }
}

/// Latest demand reported by a node, and when.
#[derive(Clone, Debug)]
struct ReportedDemand {
    demands: Vec<ServiceDemand>,
    at: Timestamp,
}

impl ReportedDemand {
    fn new(mut demands: Vec<ServiceDemand>, at: Timestamp) -> Self {
        demands.truncate(MAX_SERVICES);
        Self { demands, at }
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        now.since(self.at) < SHARE_TTL
    }
}

/// Demand for each service: this gateway's own and that reported by others.
#[derive(Clone, Debug, Default)]
pub(super) struct DemandTable {
    own: BTreeMap<String, OwnDemand>,
    others: BTreeMap<NodeId, ReportedDemand>,
}

impl DemandTable {
    fn own_mut(&mut self, service: &str) -> &mut OwnDemand {
        if !self.own.contains_key(service) {
            self.own.insert(service.to_owned(), OwnDemand::default());
        }
        self.own.get_mut(service).expect("it was just inserted")
    }

    /// Returns this gateway's share of a service's free capacity, from 0 to 1, where
    /// `users` gateways share it. `None` while no other gateway reports demand for the
    /// service.
    pub fn share(&self, service: &str, users: f64, now: Timestamp) -> Option<f64> {
        let reported = self
            .others
            .values()
            .filter(|reported| reported.is_fresh(now));
        let of_service = reported.flat_map(|reported| &reported.demands);
        let others = sum(of_service.filter(|one| one.service == service)).pop()?;
        // Gateways that report nothing are assumed to want as much as the average of the
        // others.
        let reporting_factor = (users - 1.0) / f64::from(others.gateways.max(1));
        let others = others.wanted() * reporting_factor.max(1.0);
        let own = self.own.get(service).copied().unwrap_or_default();
        let own = own.reported(service, now).wanted().max(1.0);
        Some(own / (own + others))
    }
}

impl EngineTable {
    /// Records the arrival of an online request for a service.
    pub fn record_arrival(&mut self, service: &str, now: Timestamp) {
        self.demands.own_mut(service).asked.add(1.0, now);
    }

    /// Records that a request starts to wait for an engine of a service.
    pub fn start_waiting(&mut self, service: &str) {
        self.demands.own_mut(service).waiting += 1;
    }

    /// Records that a waiting request got an engine or gave up.
    pub fn stop_waiting(&mut self, service: &str) {
        let own = self.demands.own_mut(service);
        own.waiting = own.waiting.saturating_sub(1);
    }

    /// Returns this gateway's demand for each service, to report to others.
    #[must_use]
    pub fn demands(&self, now: Timestamp) -> Vec<ServiceDemand> {
        let own = self.demands.own.iter();
        own.map(|(service, own)| own.reported(service, now))
            .collect()
    }

    /// Records the demand reported by another gateway, or by a relay for all others.
    pub fn note_demands(&mut self, from: NodeId, demands: Vec<ServiceDemand>, now: Timestamp) {
        let others = &mut self.demands.others;
        others.retain(|_, reported| reported.is_fresh(now));
        others.insert(from, ReportedDemand::new(demands, now));
    }

    /// Sets the services that are served from now on. Demand is reported for each of them
    /// even when it is zero, because a gateway that reports nothing is assumed to want as
    /// much as the others. Services that are no longer served keep their entry while
    /// requests wait.
    pub fn serve(&mut self, services: impl Iterator<Item = String>) {
        let before = std::mem::take(&mut self.demands.own);
        self.demands.own = services
            .map(|service| (service, OwnDemand::default()))
            .collect();
        let kept = before.into_iter();
        let kept =
            kept.filter(|(name, own)| own.waiting > 0 || self.demands.own.contains_key(name));
        let kept: Vec<(String, OwnDemand)> = kept.collect();
        self.demands.own.extend(kept);
    }

    /// Whether other gateways report their demand.
    #[must_use]
    pub fn has_demand_reports(&self, now: Timestamp) -> bool {
        let mut others = self.demands.others.values();
        others.any(|reported| reported.is_fresh(now) && !reported.demands.is_empty())
    }

    /// Returns this gateway's share of a service's free capacity by demand, from 0 to 1, or
    /// `None` while no other gateway reports demand for the service.
    #[must_use]
    pub fn share_by_demand(&self, service: &str, now: Timestamp) -> Option<f64> {
        self.demands.share(service, self.users_of(service), now)
    }
}

/// Demand reported to a relay.
#[derive(Clone, Debug, Default)]
pub struct DemandRelay {
    reported: BTreeMap<NodeId, (ReportSource, ReportedDemand)>,
}

impl DemandRelay {
    /// Records the demand reported by a gateway, or by another relay for its gateways.
    pub fn note(
        &mut self,
        from: NodeId,
        source: ReportSource,
        demands: Vec<ServiceDemand>,
        now: Timestamp,
    ) {
        self.reported
            .insert(from, (source, ReportedDemand::new(demands, now)));
    }

    /// Removes reports that have expired.
    pub fn expire(&mut self, now: Timestamp) {
        self.reported
            .retain(|_, (_, reported)| reported.is_fresh(now));
    }

    /// Returns the summed demand of this relay's gateways, to report to the other relays.
    #[must_use]
    pub fn of_gateways(&self) -> Vec<ServiceDemand> {
        let reported = self.reported.values();
        let gateways = reported.filter(|(source, _)| *source == ReportSource::Gateway);
        sum(gateways.flat_map(|(_, reported)| &reported.demands))
    }

    /// Returns, for each gateway of this relay, the summed demand of all other gateways.
    #[must_use]
    pub fn by_gateway(&self) -> Vec<(NodeId, Vec<ServiceDemand>)> {
        let all = sum(self
            .reported
            .values()
            .flat_map(|(_, reported)| &reported.demands));
        let reported = self.reported.iter();
        let gateways = reported.filter(|(_, (source, _))| *source == ReportSource::Gateway);
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
