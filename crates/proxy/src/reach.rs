//! Detects which zones are unreachable and when they are reachable again.
//!
//! Records what requests observe of engines, and makes probe connects, which write no data,
//! where the routing table asks for them.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use molespan_http::h1::{self, SocketOptions};
use molespan_routing::dispatch::{Failure, Probe, ReportSource, SuspectReason};
use molespan_routing::reach::{Change, Evidence, ReachRelay, ReachReport, ReturnEvidence};
use molespan_types::{NodeId, Timestamp};
use slog::{info, warn};

use crate::state::GatewayState;

/// Maximum number of queued probe requests; at most one per zone is made at a time.
const MAX_QUEUED_PROBES: usize = 64;
/// Interval at which due probes are collected while a zone is unreachable; a fraction of
/// the interval between probes.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(20);

type Wakeup = (Sender<()>, Receiver<()>);

/// Queued probes, and the wake-up of requests that wait for reachability changes.
pub(crate) struct Reach {
    probes: (Sender<Vec<Probe>>, Receiver<Vec<Probe>>),
    /// Closed and replaced when a zone becomes unreachable.
    zone_lost: RefCell<Wakeup>,
    /// Reports of other gateways, where gateways report to each other directly.
    reports: RefCell<ReachRelay>,
}

impl Default for Reach {
    fn default() -> Self {
        Self {
            probes: async_channel::bounded(MAX_QUEUED_PROBES),
            zone_lost: RefCell::new(async_channel::bounded(1)),
            reports: RefCell::default(),
        }
    }
}

impl GatewayState {
    /// Checks whether the zone of an engine that may be unreachable is unreachable.
    pub fn check_reach(&self, engine: &str, reason: SuspectReason) {
        let now = self.now();
        let probes = self
            .engines
            .borrow_mut()
            .probes_for_suspect(engine, reason, now);
        if !probes.is_empty() {
            self.queue_probes(probes);
        }
    }

    fn queue_probes(&self, probes: Vec<Probe>) {
        if self.reach.probes.0.try_send(probes).is_err() {
            warn!(
                self.logger,
                "too many queued probes of engines; dropping a request"
            );
        }
    }

    /// Records that an attempt that started at `began` did not reach an engine.
    pub fn note_unreached(&self, engine: &str, began: Timestamp) {
        let now = self.now();
        self.engines
            .borrow_mut()
            .record_unreachable(engine, began, now);
        self.note_reach_changes();
        self.check_reach(engine, SuspectReason::Failed);
    }

    /// Records that an attempt that started at `began` reached an engine.
    pub fn note_reached(&self, engine: &str, began: Timestamp, by: ReturnEvidence) {
        let now = self.now();
        self.engines
            .borrow_mut()
            .record_reachable(engine, began, by, now);
        self.note_reach_changes();
    }

    /// Records a report of unreachable zones from another gateway, or from a relay for all
    /// others.
    pub fn apply_reach_report(&self, from: NodeId, relayed: bool, report: Vec<ReachReport>) {
        let now = self.now();
        let report = match relayed {
            true => report.into_iter().next(),
            false => {
                let mut all = self.reach.reports.borrow_mut();
                all.expire(now);
                all.note(from, ReportSource::Gateway, report, now);
                all.for_gateway(self.own, self.zone())
            }
        };
        let Some(report) = report else {
            return;
        };
        let probes = self.engines.borrow_mut().record_reach_report(&report, now);
        self.note_reach_changes();
        if !probes.is_empty() {
            self.queue_probes(probes);
        }
    }

    /// Waits until this gateway finds the zone of an engine unreachable.
    pub async fn wait_until_unreachable(&self, engine: &str) {
        while !self.engines.borrow().is_zone_found_unreachable(engine) {
            let zone_lost = self.reach.zone_lost.borrow().1.clone();
            let _closed = zone_lost.recv().await;
        }
    }

    fn note_reach_changes(&self) {
        let now = self.now();
        let changes = self.engines.borrow_mut().take_reach_changes(now);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            self.note_reach_change(change);
        }
        let out = self.engines.borrow().unreachable_zones();
        self.metrics.reach.set_unreachable_zones(out.len());
    }

    fn note_reach_change(&self, change: Change) {
        match change {
            Change::Out { zone, evidence } => {
                self.log_unreachable_zone(zone.as_str(), evidence);
                self.metrics.reach.count_change("out");
                self.wake_waiting();
                // Wakes the prober, which probes the zone from now on, and then the sender
                // of reports.
                self.queue_probes(Vec::new());
                self.request_report();
            }
            Change::Confirmed { zone, after } => {
                info!(self.logger, "zone out of reach, confirmed here"; "zone" => zone.as_str(),
                    "after_ms" => after.as_millis() as u64);
                self.wake_waiting();
                self.request_report();
            }
            Change::Back { zone, after, by } => {
                info!(self.logger, "zone back"; "zone" => zone.as_str(),
                    "after_ms" => after.as_millis() as u64, "by" => by.name());
                self.metrics.reach.count_change("back");
            }
        }
    }
}

impl GatewayState {
    /// Wakes the requests that wait for an answer from an unreachable zone.
    fn wake_waiting(&self) {
        let next = async_channel::bounded(1);
        let (woken, _) = self.reach.zone_lost.replace(next);
        woken.close();
    }

    fn log_unreachable_zone(&self, zone: &str, evidence: Evidence) {
        match evidence {
            Evidence::Own { failed, of, age } => {
                warn!(self.logger, "zone out of reach"; "zone" => zone, "evidence" => "own",
                    "failed_hosts" => failed, "of" => of, "age_ms" => age.as_millis() as u64);
            }
            Evidence::Reported { by } => {
                warn!(self.logger, "zone out of reach"; "zone" => zone, "evidence" => "told",
                    "gateways" => by);
            }
        }
    }
}

/// Makes the requested and due probe connects. Runs until dropped.
pub(crate) async fn watch_reach(state: Rc<GatewayState>, local: Rc<LocalExecutor<'static>>) {
    loop {
        let asked = async { state.reach.probes.1.recv().await.unwrap_or_default() };
        let out = !state.engines.borrow().unreachable_zones().is_empty();
        let probes = match out {
            true => future::or(asked, due_probes(&state)).await,
            false => asked.await,
        };
        for probe in probes {
            local.spawn(make_probe(state.clone(), probe)).detach();
        }
    }
}

/// Returns the due probes of unreachable zones.
async fn due_probes(state: &GatewayState) -> Vec<Probe> {
    Timer::after(PROBE_POLL_INTERVAL).await;
    let now = state.now();
    let probes = state.engines.borrow_mut().probes(now);
    state.note_reach_changes();
    probes
}

async fn make_probe(state: Rc<GatewayState>, probe: Probe) {
    let Probe {
        engine,
        address,
        timeout,
    } = probe;
    let began = state.now();
    let connected = h1::connect(address, timeout, SocketOptions::default()).await;
    let now = state.now();
    state.metrics.reach.count_probe(connected.is_ok());
    match connected {
        Ok(_closed_again) => {
            let took = now.since(began);
            state.engines.borrow_mut().connected(&engine, took);
            state.note_reached(&engine, began, ReturnEvidence::Connect);
        }
        Err(_) => {
            let mut engines = state.engines.borrow_mut();
            if !engines.is_zone_avoided(&engine) {
                engines.failed(&engine, Failure::Unreachable, now);
            }
            drop(engines);
            state.note_unreached(&engine, began);
        }
    }
}
