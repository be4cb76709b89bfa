//! Which engines are within reach, as the zones that they stand in are.

use std::collections::BTreeSet;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use molespan_types::{Timestamp, ZoneName};
use rand::seq::{IndexedRandom, SliceRandom};

use super::engine::Engine;
use super::table::{EngineTable, Pick, Picked};
use crate::reach::{Change, Hosts, ReachTelling, Sign, slow_after};

/// Engines beside the one in doubt that are looked at to find out whether its zone is
/// out of reach: with it as many as that takes.
const LOOKED_AT_BESIDE: usize = 4;

/// An engine that is to be connected to, without a request, to find out whether it is
/// within reach.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Probe {
    /// Engine.
    pub engine: String,
    /// Where it serves.
    pub address: SocketAddr,
    /// Time for the connect.
    pub timeout: Duration,
}

impl EngineTable {
    /// Whether nothing goes to the zone that an engine stands in.
    #[must_use]
    pub fn is_out_of_reach(&self, id: &str) -> bool {
        let engine = self.engines.get(id);
        engine.is_some_and(|engine| self.reach.is_avoided(&engine.facts.zone))
    }

    /// Zones that are out of reach, by name.
    #[must_use]
    pub fn zones_out_of_reach(&self) -> Vec<ZoneName> {
        self.reach.out().cloned().collect()
    }

    /// Engines of a service that stand where requests may go.
    pub(super) fn within_reach(&self, service: &str) -> impl Iterator<Item = &Engine> {
        let engines = self.of_service(service);
        engines.filter(|engine| !self.reach.is_avoided(&engine.facts.zone))
    }

    /// Gateways that share what is within reach of a service, this one included. Those
    /// beyond a cut use what is there; how many they are is not told, and taken to be as
    /// many by slot as here.
    pub(super) fn sharers(&self, service: &str) -> f64 {
        let users = self.users_of(service);
        if !self.reach.avoids_any() {
            return users;
        }
        let slots = |engine: &Engine| f64::from(engine.facts.slots);
        let all: f64 = self.of_service(service).map(slots).sum();
        let within: f64 = self.within_reach(service).map(slots).sum();
        (users * within / all.max(1.0)).max(1.0)
    }

    /// How long a connect to an engine may take, before another one is tried beside it,
    /// for a request with such a `target`.
    #[must_use]
    pub fn connect_is_slow_after(&self, id: &str, target: Duration) -> Duration {
        let engine = self.engines.get(id);
        let usual = engine.and_then(|engine| self.reach.usual_connect(&engine.facts.zone));
        slow_after(target, usual)
    }

    /// Another engine for a request whose connection to the `first` one does not come up:
    /// of another zone, and of the own one if the first is not. None where zones are not
    /// known or there is but one.
    pub fn pick_beside(&mut self, pick: &Pick<'_>, first: &str, now: Timestamp) -> Option<Picked> {
        let zone = self.engines.get(first)?.facts.zone.clone();
        if self.hosts().len() < 2 || zone.as_str().is_empty() {
            return None;
        }
        let own = self.zone.clone();
        let at_home = |at: &ZoneName| *at == own;
        let elsewhere = |at: &ZoneName| *at != zone;
        let near = match zone == own {
            true => None,
            false => self.pick_where(pick, at_home, now),
        };
        near.or_else(|| self.pick_where(pick, elsewhere, now))
    }

    fn pick_where(
        &mut self,
        pick: &Pick<'_>,
        fits: impl Fn(&ZoneName) -> bool,
        now: Timestamp,
    ) -> Option<Picked> {
        let engines = self.of_service(pick.service);
        let others = engines.filter(|engine| !fits(&engine.facts.zone));
        let others = others.map(|engine| engine.facts.id.clone());
        let tried: BTreeSet<String> = others.chain(pick.tried.iter().cloned()).collect();
        let pick = Pick {
            tried: &tried,
            ..pick.clone()
        };
        self.pick(&pick, now).ok()
    }

    /// An attempt that `began` then did not reach an engine.
    pub fn unreached(&mut self, id: &str, began: Timestamp, now: Timestamp) {
        let Some((zone, host)) = self.place(id) else {
            return;
        };
        let hosts = self.hosts();
        self.reach.failed(&zone, host, &hosts, began, now);
    }

    /// An attempt that `began` then was answered by an engine, or brought a connection up.
    pub fn reached(&mut self, id: &str, began: Timestamp, by: Sign, now: Timestamp) {
        if let Some(engine) = self.engines.get(id) {
            self.reach.reached(&engine.facts.zone, began, by, now);
        }
    }

    /// A connect to an engine came up after this time.
    pub fn connected(&mut self, id: &str, took: Duration) {
        if let Some(engine) = self.engines.get(id) {
            self.reach.connected(&engine.facts.zone, took);
        }
    }

    /// What to look at, now that an engine may be out of reach: itself and others of its
    /// zone that are taken for well. Nothing while somebody looks already.
    pub fn doubt(&mut self, id: &str, now: Timestamp) -> Vec<Probe> {
        let Some((zone, host)) = self.place(id) else {
            return Vec::new();
        };
        let hosts = self.hosts();
        if !self.reach.look(&zone, &hosts, now) {
            return Vec::new();
        }
        let of_zone = self.engines.values().filter(|one| one.facts.zone == zone);
        let well = of_zone.filter(|engine| {
            let failed = self.reach.has_failed(&zone, engine.facts.address.ip(), now);
            !failed && !engine.is_paused(now)
        });
        let mut well: Vec<&Engine> = well.collect();
        well.shuffle(&mut self.random);
        let mut asked = BTreeSet::from([host]);
        well.retain(|engine| asked.insert(engine.facts.address.ip()));
        let first = self.engines.get(id);
        let beside = well.into_iter().take(LOOKED_AT_BESIDE);
        let engines = first.into_iter().chain(beside);
        engines.map(|engine| self.probe(engine)).collect()
    }

    /// What is told to other gateways of the own zone of what is out of reach.
    #[must_use]
    pub fn reach_telling(&self) -> Option<ReachTelling> {
        self.reach.telling(&self.zone)
    }

    /// Other gateways of the own zone tell what is out of reach. Gives what to look at
    /// from here.
    pub fn note_reach_told(&mut self, told: &ReachTelling, now: Timestamp) -> Vec<Probe> {
        if told.from != self.zone {
            return Vec::new();
        }
        let hosts = self.hosts();
        let doubted = self.reach.note_told(told, &hosts, now);
        let mut probes = Vec::new();
        for zone in doubted {
            let mut of_zone = self.engines.values().filter(|one| one.facts.zone == zone);
            let engine = of_zone.find(|engine| !engine.is_paused(now));
            let id = engine.map(|engine| engine.facts.id.clone());
            probes.extend(id.into_iter().flat_map(|id| self.doubt(&id, now)));
        }
        probes
    }

    /// What to connect to now since its zone is out of reach: one engine of each.
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

    /// Changes of what is out of reach since the last call. Engines of a zone that is back
    /// failed for its links, and are not kept waiting for that.
    pub fn take_reach_changes(&mut self, now: Timestamp) -> Vec<Change> {
        let changes = self.reach.take_changes();
        for change in &changes {
            let Change::Back { zone, .. } = change else {
                continue;
            };
            let engines = self.engines.values_mut();
            let of_zone = engines.filter(|engine| engine.facts.zone == *zone);
            of_zone.for_each(|engine| engine.within_reach_again(now));
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
