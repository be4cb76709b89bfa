//! Which engines are reachable, by the reachability of their zones.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use molespan_types::{Timestamp, ZoneName};
use rand::seq::{IndexedRandom, SliceRandom};

use super::engine::Engine;
use super::table::{EngineTable, Pick, Picked};
use crate::reach::{Change, Hosts, ReachReport, ReturnEvidence, slow_after};

/// Engines probed besides the suspected one to find out whether its zone is unreachable.
/// Together with it, as many as that decision needs.
const EXTRA_PROBES: usize = 4;

/// Why an engine may be unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectReason {
    /// Connecting to it is slow, as when the network drops packets.
    Slow,
    /// An attempt failed there, as when the engine has exited.
    Failed,
}

/// A connect to an engine, without a request, that checks whether the engine is reachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Engine identifier.
    pub engine: String,
    /// Address that it serves on.
    pub address: SocketAddr,
    /// Timeout of the connect.
    pub timeout: Duration,
}

impl EngineTable {
    /// Whether this gateway itself found an engine's zone unreachable. Reports of other
    /// gateways alone don't end a request that waits for an answer.
    #[must_use]
    pub fn is_zone_found_unreachable(&self, id: &str) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| self.reach.is_found_out(&engine.facts.zone))
    }

    /// Whether no requests go to the engine's zone.
    #[must_use]
    pub fn is_zone_avoided(&self, id: &str) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| self.reach.is_avoided(&engine.facts.zone))
    }

    /// Returns the zones that are unreachable.
    #[must_use]
    pub fn unreachable_zones(&self) -> Vec<ZoneName> {
        self.reach.out().cloned().collect()
    }

    /// Returns the engines of a service in zones that requests may go to.
    pub(super) fn reachable_engines(&self, service: &str) -> impl Iterator<Item = &Engine> {
        let engines = self.of_service(service);
        engines.filter(|engine| !self.reach.is_avoided(&engine.facts.zone))
    }

    /// Returns the number of gateways that share the reachable engines of a service, this
    /// one included. Gateways beyond a network partition use the engines on their side.
    /// Their number isn't reported; each slot there is assumed to have as many gateways as
    /// here.
    pub(super) fn sharing_gateways(&self, service: &str) -> f64 {
        let users = self.users_of(service);
        if !self.reach.avoids_any() {
            return users;
        }
        let slots = |engine: &Engine| f64::from(engine.facts.slots);
        let all: f64 = self.of_service(service).map(slots).sum();
        let within: f64 = self.reachable_engines(service).map(slots).sum();
        (users * within / all.max(1.0)).max(1.0)
    }

    /// Returns how long a connect to an engine may take before another engine is tried in
    /// parallel, for a request with this latency `target`.
    #[must_use]
    pub fn connect_is_slow_after(&self, id: &str, target: Duration) -> Duration {
        let engine = self.engines.get(id);
        let usual = engine.and_then(|engine| self.reach.usual_connect(&engine.facts.zone));
        slow_after(target, usual)
    }

    /// Returns an alternative engine for a request whose connect to the `first` one is
    /// slow: one in the own zone if `first` isn't there, otherwise or failing that one in
    /// any zone other than that of `first`. `None` if zones are unknown or there is only
    /// one.
    pub fn pick_alternative(
        &mut self,
        pick: &Pick<'_>,
        first: &str,
        now: Timestamp,
    ) -> Option<Picked> {
        let zone = self.engines.get(first)?.facts.zone.clone();
        if self.hosts().len() < 2 || zone.as_str().is_empty() {
            return None;
        }
        let own = self.zone.clone();
        let in_own_zone = |at: &ZoneName| *at == own;
        let outside_first_zone = |at: &ZoneName| *at != zone;
        let near = match zone == own {
            true => None,
            false => self.pick_where(pick, in_own_zone, now),
        };
        near.or_else(|| self.pick_where(pick, outside_first_zone, now))
    }

    fn pick_where(
        &mut self,
        pick: &Pick<'_>,
        allowed: impl Fn(&ZoneName) -> bool,
        now: Timestamp,
    ) -> Option<Picked> {
        let engines = self.of_service(pick.service);
        let others = engines.filter(|engine| !allowed(&engine.facts.zone));
        let others = others.map(|engine| engine.facts.id.clone());
        let tried: BTreeSet<String> = others.chain(pick.tried.iter().cloned()).collect();
        let pick = Pick {
            tried: &tried,
            ..pick.clone()
        };
        self.pick(&pick, now).ok()
    }

    /// Records that an attempt started at `began` did not reach an engine.
    pub fn record_unreachable(&mut self, id: &str, began: Timestamp, now: Timestamp) {
        let Some((zone, host)) = self.place(id) else {
            return;
        };
        let hosts = self.hosts();
        self.reach.failed(&zone, host, &hosts, began, now);
    }

    /// Records that an attempt started at `began` was answered by an engine or established
    /// a connection.
    pub fn record_reachable(
        &mut self,
        id: &str,
        began: Timestamp,
        by: ReturnEvidence,
        now: Timestamp,
    ) {
        if let Some(engine) = self.engines.get(id) {
            self.reach.reached(&engine.facts.zone, began, by, now);
        }
    }

    /// Records the duration of a successful connect to an engine.
    pub fn connected(&mut self, id: &str, took: Duration) {
        if let Some(engine) = self.engines.get(id) {
            self.reach.connected(&engine.facts.zone, took);
        }
    }

    /// Returns the probes to run when an engine may be unreachable: the engine itself and
    /// others of its zone that seem healthy, or a single other one if only this engine
    /// failed, since usually the engine has just exited. Returns none if a check is already
    /// in progress.
    pub fn probes_for_suspect(
        &mut self,
        id: &str,
        reason: SuspectReason,
        now: Timestamp,
    ) -> Vec<Probe> {
        let Some((zone, host)) = self.place(id) else {
            return Vec::new();
        };
        let hosts = self.hosts();
        let wide = reason == SuspectReason::Slow || self.reach.have_several_failed(&zone, now);
        if !self.reach.check(&zone, wide, &hosts, now) {
            return Vec::new();
        }
        let mut others = self.probe_zone(&zone, now);
        others.retain(|probe| probe.address.ip() != host);
        others.truncate(if wide { EXTRA_PROBES } else { 1 });
        let first = self.engines.get(id).filter(|_| wide);
        let first = first.map(|engine| self.probe(engine));
        first.into_iter().chain(others).collect()
    }

    /// Returns which zones are unreachable, to report to other gateways of the own zone.
    #[must_use]
    pub fn reach_report(&self) -> Option<ReachReport> {
        self.reach.report(&self.zone)
    }

    /// Records which zones other gateways of the own zone report as unreachable. Returns
    /// the probes with which this gateway checks them.
    pub fn record_reach_report(&mut self, report: &ReachReport, now: Timestamp) -> Vec<Probe> {
        if report.from != self.zone {
            return Vec::new();
        }
        let hosts = self.hosts();
        let to_check = self.reach.record_report(report, &hosts, now);
        let zones = to_check.iter();
        zones.flat_map(|zone| self.probe_zone(zone, now)).collect()
    }

    /// Returns probes of engines of a zone that seem healthy, as many as it takes to find
    /// the zone unreachable.
    fn probe_zone(&mut self, zone: &ZoneName, now: Timestamp) -> Vec<Probe> {
        let of_zone = self.engines.values().filter(|one| one.facts.zone == *zone);
        let healthy = of_zone.filter(|engine| {
            let failed = self.reach.has_failed(zone, engine.facts.address.ip(), now);
            !failed && !engine.is_backed_off(now)
        });
        let mut healthy: Vec<&Engine> = healthy.collect();
        healthy.shuffle(&mut self.random);
        let mut seen_hosts = BTreeSet::new();
        healthy.retain(|engine| seen_hosts.insert(engine.facts.address.ip()));
        let probed = healthy.into_iter().take(EXTRA_PROBES + 1);
        probed.map(|engine| self.probe(engine)).collect()
    }

    /// Returns the probes that are due in unreachable zones, of one engine per zone.
    pub fn probes(&mut self, now: Timestamp) -> Vec<Probe> {
        let hosts = self.hosts();
        let due = self.reach.probes(&hosts, now);
        let mut probes = Vec::new();
        for zone in due {
            let of_zone = self.engines.values().filter(|one| one.facts.zone == zone);
            let of_zone: Vec<&Engine> = of_zone.collect();
            let drawn = of_zone.choose(&mut self.random);
            probes.extend(drawn.map(|engine| self.probe(engine)));
        }
        probes
    }

    fn probe(&self, engine: &Engine) -> Probe {
        Probe {
            engine: engine.facts.id.clone(),
            address: engine.facts.address,
            timeout: self.reach.connect_timeout(&engine.facts.zone),
        }
    }

    /// Returns the changes in reachability since the last call. Ends the backoff of engines
    /// in zones that became reachable again, since they failed because of the network.
    pub fn take_reach_changes(&mut self, now: Timestamp) -> Vec<Change> {
        let changes = self.reach.take_changes();
        for change in &changes {
            let Change::Back { zone, .. } = change else {
                continue;
            };
            let engines = self.engines.values_mut();
            let of_zone = engines.filter(|engine| engine.facts.zone == *zone);
            of_zone.for_each(|engine| engine.end_backoff(now));
        }
        changes
    }

    fn place(&self, id: &str) -> Option<(ZoneName, IpAddr)> {
        let facts = &self.engines.get(id)?.facts;
        Some((facts.zone.clone(), facts.address.ip()))
    }

    fn hosts(&self) -> Hosts {
        let mut hosts = Hosts::new();
        for engine in self.engines.values() {
            let facts = &engine.facts;
            let of_zone = hosts.entry(facts.zone.clone()).or_default();
            of_zone.insert(facts.address.ip());
        }
        hosts
    }
}
