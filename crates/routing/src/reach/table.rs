//! All zones, and which of them are out of reach.

use std::collections::{BTreeMap, BTreeSet};
use std::net::IpAddr;
use std::time::Duration;

use molespan_types::{Timestamp, ZoneName};

use super::telling::ReachReport;
use super::zone::{Change, Evidence, ReturnEvidence, Zone};

/// Hosts of engines by zone.
pub type Hosts = BTreeMap<ZoneName, BTreeSet<IpAddr>>;

/// Number of gateways of this gateway's zone whose report is accepted: a single one may
/// be cut off itself.
const MIN_REPORTERS: u32 = 2;

/// Reachability of all zones as observed by this gateway.
#[derive(Clone, Debug, Default)]
pub struct ReachTable {
    zones: BTreeMap<ZoneName, Zone>,
    /// Zones out of reach that are avoided; none if all zones are out of reach.
    avoided: BTreeSet<ZoneName>,
    changes: Vec<Change>,
}

impl ReachTable {
    /// Whether no requests are sent to the zone.
    #[must_use]
    pub fn is_avoided(&self, zone: &ZoneName) -> bool {
        !self.avoided.is_empty() && self.avoided.contains(zone)
    }

    /// Whether a zone is avoided because of failures seen here.
    #[must_use]
    pub fn is_found_out(&self, zone: &ZoneName) -> bool {
        let state = self.zones.get(zone);
        self.is_avoided(zone) && state.is_some_and(Zone::is_found_out)
    }

    /// Whether any zone is avoided.
    #[must_use]
    pub fn avoids_any(&self) -> bool {
        !self.avoided.is_empty()
    }

    /// Zones that are out of reach, whether they are avoided or not.
    pub fn out(&self) -> impl Iterator<Item = &ZoneName> {
        let zones = self.zones.iter();
        zones
            .filter(|(_, zone)| zone.is_out())
            .map(|(name, _)| name)
    }

    /// Records that an attempt started at `began` did not reach a host of a zone. `hosts`
    /// holds all known hosts.
    pub fn failed(
        &mut self,
        zone: &ZoneName,
        host: IpAddr,
        hosts: &Hosts,
        began: Timestamp,
        now: Timestamp,
    ) {
        if !is_tracked(zone, hosts) {
            return;
        }
        let of = hosts.get(zone).map_or(0, BTreeSet::len);
        let state = self.zones.entry(zone.clone()).or_default();
        let before = state.out_for(now);
        let Some(evidence) = state.failed(host, of, began, now) else {
            return;
        };
        match before {
            None => self.mark_out_of_reach(zone, evidence, hosts),
            Some(after) => self.changes.push(Change::Confirmed {
                zone: zone.clone(),
                after,
            }),
        }
    }

    fn mark_out_of_reach(&mut self, zone: &ZoneName, evidence: Evidence, hosts: &Hosts) {
        self.changes.push(Change::Out {
            zone: zone.clone(),
            evidence,
        });
        self.update_avoided(hosts);
    }

    /// Returns the report to gateways of the `own` zone: the zones found out of reach
    /// here.
    #[must_use]
    pub fn report(&self, own: &ZoneName) -> Option<ReachReport> {
        let zones = self.zones.iter().filter(|(_, zone)| zone.is_found_out());
        let out: Vec<(ZoneName, u32)> = zones.map(|(name, _)| (name.clone(), 1)).collect();
        (!out.is_empty()).then(|| ReachReport {
            from: own.clone(),
            out,
        })
    }

    /// Records a report of other gateways of this gateway's zone. Returns the zones to
    /// check from here. A zone reported by several gateways counts as out of reach even
    /// before the check.
    pub fn record_report(
        &mut self,
        report: &ReachReport,
        hosts: &Hosts,
        now: Timestamp,
    ) -> Vec<ZoneName> {
        let mut to_check = Vec::new();
        for (name, by) in &report.out {
            if !is_tracked(name, hosts) || !hosts.contains_key(name) {
                continue;
            }
            let zone = self.zones.entry(name.clone()).or_default();
            if *by < MIN_REPORTERS {
                if zone.check_reported(now) {
                    to_check.push(name.clone());
                }
            } else if zone.report(now) {
                to_check.push(name.clone());
                self.mark_out_of_reach(name, Evidence::Reported { by: *by }, hosts);
            }
        }
        to_check
    }

    /// Records that an attempt started at `began` reached a zone.
    pub fn reached(
        &mut self,
        zone: &ZoneName,
        began: Timestamp,
        by: ReturnEvidence,
        now: Timestamp,
    ) {
        // Nothing is recorded for zones that never failed: there may be many answers per
        // second.
        let Some(state) = self.zones.get_mut(zone) else {
            return;
        };
        if let Some(after) = state.reached(began, now) {
            self.mark_reachable(zone.clone(), after, by);
        }
    }

    fn mark_reachable(&mut self, zone: ZoneName, after: Duration, by: ReturnEvidence) {
        self.avoided.remove(&zone);
        self.changes.push(Change::Back { zone, after, by });
    }

    /// Records the time that a connect to a host of the zone took.
    pub fn connected(&mut self, zone: &ZoneName, took: Duration) {
        self.zones.entry(zone.clone()).or_default().connected(took);
    }

    /// Usual time that a connect to a zone takes, if any succeeded.
    #[must_use]
    pub fn usual_connect(&self, zone: &ZoneName) -> Option<Duration> {
        self.zones.get(zone).and_then(Zone::usual_connect)
    }

    /// Timeout of a probe to a zone.
    #[must_use]
    pub fn connect_timeout(&self, zone: &ZoneName) -> Duration {
        let state = self.zones.get(zone);
        state.map_or_else(|| Zone::default().connect_timeout(), Zone::connect_timeout)
    }

    /// Whether a host failed recently.
    #[must_use]
    pub fn has_failed(&self, zone: &ZoneName, host: IpAddr, now: Timestamp) -> bool {
        let state = self.zones.get(zone);
        state.is_some_and(|state| state.has_failed(host, now))
    }

    /// Whether several hosts of a zone failed recently.
    #[must_use]
    pub fn have_several_failed(&self, zone: &ZoneName, now: Timestamp) -> bool {
        let state = self.zones.get(zone);
        state.is_some_and(|state| state.have_several_failed(now))
    }

    /// Whether to check now whether a zone is out of reach, since one of its engines may
    /// be: at one host or, if `wide`, at several. If so, the check counts as done.
    pub fn check(&mut self, zone: &ZoneName, wide: bool, hosts: &Hosts, now: Timestamp) -> bool {
        is_tracked(zone, hosts) && self.zones.entry(zone.clone()).or_default().check(wide, now)
    }

    /// Returns the zones out of reach that are to be probed now. Drops zones without
    /// engines.
    pub fn probes(&mut self, hosts: &Hosts, now: Timestamp) -> Vec<ZoneName> {
        let mut due = Vec::new();
        let mut dropped = Vec::new();
        for (name, zone) in &mut self.zones {
            if !hosts.contains_key(name) {
                dropped.extend(zone.clear(now).map(|after| (name.clone(), after)));
            } else if zone.probe(now) {
                due.push(name.clone());
            }
        }
        for (zone, after) in dropped {
            self.mark_reachable(zone, after, ReturnEvidence::NoEngines);
        }
        self.zones.retain(|name, _| hosts.contains_key(name));
        self.update_avoided(hosts);
        due
    }

    /// Takes the changes in reachability since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Updates the avoided zones. If all zones are out of reach, this node is the one
    /// that is cut off, and there is no better choice.
    fn update_avoided(&mut self, hosts: &Hosts) {
        let out: BTreeSet<ZoneName> = self.out().cloned().collect();
        self.avoided = match hosts.keys().all(|zone| out.contains(zone)) {
            true => BTreeSet::new(),
            false => out,
        };
    }
}

/// Whether reachability is tracked: the zone is known, and there are several zones.
fn is_tracked(zone: &ZoneName, hosts: &Hosts) -> bool {
    hosts.len() > 1 && !zone.as_str().is_empty()
}
