//! Load reports: the owner of an engine polls it frequently and distributes digests;
//! other gateways poll it rarely, for what digests do not contain.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_io::Timer;
use molespan_engine_api::{LoadReport, MachineKind};
use molespan_membership::rendezvous::weight;
use molespan_membership::{BackendReport, BackendState, DirectoryInput, WorkResult};
use molespan_routing::batch::BatchInput;
use molespan_routing::pick::LoadSample;
use molespan_types::{BackendId, Incarnation, NodeId, Timestamp};
use molespan_wire::{LoadDigest, Request};

use super::state::GatewayState;

/// Polling interval of a back end that another gateway owns.
const NON_OWNED_POLL: Duration = Duration::from_secs(1);
/// Polling interval of a back end that has not reported yet.
const DISCOVERY_POLL: Duration = Duration::from_millis(100);
/// Polling interval of an engine's cache events.
const CACHE_POLL: Duration = Duration::from_millis(250);
/// Time after which an unanswered poll no longer delays the next one.
const POLL_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of gateways that receive an engine's digests.
const MAX_DIGEST_RECEIVERS: usize = 16;
/// Scale of the KV memory share in a digest.
const KV_STEPS: f64 = 255.0;
/// Unit of the step duration in a digest, in microseconds.
const STEP_MICROS: u64 = 100;

/// Poll state of each back end, and the back ends to poll.
#[derive(Debug, Default)]
pub(super) struct LoadPolls {
    polls: Mutex<BTreeMap<BackendId, Poll>>,
    /// Back ends that this gateway routes to.
    watched: Mutex<BTreeSet<BackendId>>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Poll {
    incarnation: Incarnation,
    next: Timestamp,
    outstanding_until: Timestamp,
    next_cache: Timestamp,
    cache_sequence: u64,
}

/// A back end whose poll is due.
#[derive(Clone, Copy, Debug)]
struct Due {
    backend: BackendId,
    incarnation: Incarnation,
    address: SocketAddr,
    /// Sequence number after which cache events are fetched; `None` to fetch none.
    cache_after: Option<u64>,
}

impl LoadPolls {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<BackendId, Poll>> {
        self.polls.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the back ends that this gateway routes to; besides them, only owned back ends
    /// and engines of the services it places are polled.
    pub(super) fn set_watched(&self, watched: impl Iterator<Item = BackendId>) {
        *self.watched() = watched.collect();
    }

    /// Returns the back ends that this gateway routes to.
    pub(super) fn watched(&self) -> MutexGuard<'_, BTreeSet<BackendId>> {
        self.watched.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl GatewayState {
    /// Polls the load of back ends until the gateway stops.
    pub(super) async fn poll_loads(self: Arc<Self>) {
        loop {
            for due in self.polls_due() {
                let state = self.clone();
                self.spawn(async move { state.poll_one(due).await });
            }
            Timer::after(self.options.load_poll / 2).await;
        }
    }

    fn polls_due(&self) -> Vec<Due> {
        let now = self.clock.now();
        let owned: BTreeSet<BackendId> = self.ownership().owned().collect();
        let placed = self.placement.placed();
        let mut polled: BTreeSet<BackendId> = self.loads.watched().union(&owned).copied().collect();
        let directory = self.directory();
        if !placed.is_empty() {
            // Placement needs the loaded models of every engine of its services.
            let engines = directory.backends();
            let engines = engines.filter(|backend| placed.contains(&backend.service));
            polled.extend(engines.map(|backend| backend.id));
        }
        let mut polls = self.loads.lock();
        polls.retain(|backend, _| polled.contains(backend));
        let mut due = Vec::new();
        for backend in polled.iter().filter_map(|id| directory.backend(*id)) {
            let Ok(address) = backend.address.parse() else {
                continue;
            };
            let poll = polls.entry(backend.id).or_default();
            if poll.incarnation != backend.incarnation {
                *poll = Poll {
                    incarnation: backend.incarnation,
                    ..Poll::default()
                };
            }
            if poll.next > now || poll.outstanding_until > now {
                continue;
            }
            let is_owned = owned.contains(&backend.id);
            let is_known =
                backend.kind == MachineKind::Application || !backend.loaded.models.is_empty();
            let interval = match backend.state {
                BackendState::Unknown | BackendState::Ejected => NON_OWNED_POLL,
                _ if is_owned => self.options.load_poll,
                _ if is_known => NON_OWNED_POLL,
                _ => DISCOVERY_POLL,
            };
            poll.next = now + interval;
            poll.outstanding_until = now + POLL_TIMEOUT;
            let wants_cache = backend.kind == MachineKind::Engine && poll.next_cache <= now;
            if wants_cache {
                poll.next_cache = now + CACHE_POLL;
            }
            due.push(Due {
                backend: backend.id,
                incarnation: backend.incarnation,
                address,
                cache_after: wants_cache.then_some(poll.cache_sequence),
            });
        }
        due
    }

    async fn poll_one(self: Arc<Self>, due: Due) {
        let sent = self.clock.now();
        let report = self.engines.load(due.address).await;
        if let Some(poll) = self.loads.lock().get_mut(&due.backend) {
            poll.outstanding_until = Timestamp::ZERO;
        }
        let Some(report) = report.filter(|report| report.backend == due.backend) else {
            self.directory_input(DirectoryInput::Work {
                backend: due.backend,
                incarnation: due.incarnation,
                result: WorkResult::Failed,
            });
            return;
        };
        self.handle_report(sent, &report);
        if let Some(after) = due.cache_after {
            self.read_cache_events(due, after).await;
        }
    }

    async fn read_cache_events(&self, due: Due, after: u64) {
        let Some(page) = self.engines.cache_events(due.address, after).await else {
            return;
        };
        self.pickers.observe_cache(due.backend, &page);
        let last = page.events.iter().map(|event| event.sequence).max();
        if let Some(poll) = self.loads.lock().get_mut(&due.backend)
            && poll.incarnation == page.incarnation
        {
            poll.cache_sequence = poll.cache_sequence.max(last.unwrap_or(0));
        }
    }

    /// Processes a direct report that was requested at `sent`.
    fn handle_report(self: &Arc<Self>, sent: Timestamp, report: &LoadReport) {
        let now = self.clock.now();
        let half_round_trip = now.since(sent) / 2;
        let age = Duration::from_millis(u64::from(report.age_ms)) + half_round_trip;
        let observed = Timestamp(now.0.saturating_sub(age.as_micros() as u64));
        let before = self.loaded(report.backend);
        self.directory_input(DirectoryInput::Report(BackendReport::from(report)));
        if before != self.loaded(report.backend) {
            self.mark_candidates_stale();
        }
        let sample = LoadSample::from_report(report, observed);
        self.pickers.observe_load(&sample);
        if self.ownership().owns(report.backend) {
            self.send_digest(report);
            self.batch_input(BatchInput::Load(sample));
        }
    }

    fn loaded(&self, backend: BackendId) -> Option<molespan_membership::Loaded> {
        let directory = self.directory();
        directory.backend(backend).map(|known| known.loaded.clone())
    }

    /// Sends the digest of an owned engine's report to the gateways most likely to
    /// route there.
    fn send_digest(&self, report: &LoadReport) {
        let digest = digest_of(report);
        for node in self.digest_receivers(report.backend) {
            let request = Request::Loads {
                from: self.options.node,
                digests: vec![digest.clone()],
            };
            let _queued = self.cluster.transport().send(node, request);
        }
    }

    fn digest_receivers(&self, backend: BackendId) -> Vec<NodeId> {
        let own = self.options.node;
        let gateways = self.gateways();
        let mut nodes: Vec<NodeId> = gateways.nodes().filter(|node| *node != own).collect();
        if nodes.len() > MAX_DIGEST_RECEIVERS {
            nodes.sort_by_key(|node| std::cmp::Reverse(weight(*node, backend)));
            nodes.truncate(MAX_DIGEST_RECEIVERS);
        }
        nodes
    }

    /// Processes digests sent by an owner.
    pub(super) fn handle_digests(self: &Arc<Self>, digests: Vec<LoadDigest>) {
        let now = self.clock.now();
        for digest in digests {
            self.directory_input(DirectoryInput::Report(BackendReport {
                backend: digest.backend,
                incarnation: digest.incarnation,
                leaving: digest.leaving,
                loaded: None,
            }));
            let observed = now
                .0
                .saturating_sub(self.options.load_poll.as_micros() as u64);
            self.pickers
                .observe_load(&sample_of(&digest, Timestamp(observed)));
        }
    }
}

fn digest_of(report: &LoadReport) -> LoadDigest {
    let clamp = |count: u32| u16::try_from(count).unwrap_or(u16::MAX);
    let step = u64::from(report.step_micros) / STEP_MICROS;
    LoadDigest {
        backend: report.backend,
        incarnation: report.incarnation,
        sequence: report.sequence,
        online: clamp(report.online_running + report.online_waiting),
        batch: clamp(report.batch_running + report.batch_waiting),
        kv_used: (report.kv_used.clamp(0.0, 1.0) * KV_STEPS) as u8,
        step: u16::try_from(step).unwrap_or(u16::MAX),
        leaving: report.leaving,
    }
}

/// Converts a digest to a sample. A digest does not carry its age, so callers assume the
/// owner's polling interval: own requests sent in that time may be counted twice, but are
/// never missed.
fn sample_of(digest: &LoadDigest, observed: Timestamp) -> LoadSample {
    LoadSample {
        backend: digest.backend,
        incarnation: digest.incarnation,
        sequence: digest.sequence,
        observed,
        online: u32::from(digest.online),
        online_waiting: 0,
        batch: u32::from(digest.batch),
        batch_running: 0,
        max_running: 0,
        kv_used: f64::from(digest.kv_used) / KV_STEPS,
        step: Duration::from_micros(u64::from(digest.step) * STEP_MICROS),
    }
}
