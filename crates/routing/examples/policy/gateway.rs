//! A simulated gateway: its picker, its batch owner, and its requests in flight.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use molespan_engine_api::{block_hashes, token_ends};
use molespan_routing::batch::{BatchOwner, BatchSettings, StreamId};
use molespan_routing::pick::{Candidate, PickRequest, PickSettings, Picker};
use molespan_types::{BackendId, Incarnation, Timestamp, ZoneName};

use crate::arms::Arm;
use crate::load::{Profile, ZONES};

/// An online request at its gateway.
#[derive(Clone, Debug)]
pub struct Online {
    /// Index of the request in the load.
    pub number: usize,
    pub arrived: Timestamp,
    /// When the request was sent to `backend`.
    pub sent: Timestamp,
    pub backend: BackendId,
    pub hashes: Vec<u64>,
    pub last_token: Option<Timestamp>,
}

/// A simulated gateway.
pub struct Gateway {
    pub picker: Picker,
    pub owner: BatchOwner,
    /// Requests that wait until some engine is below its limit.
    pub waiting: VecDeque<Online>,
    pub online: BTreeMap<usize, Online>,
    /// Engine of each batch stream.
    pub streams: BTreeMap<StreamId, BackendId>,
    /// When the next tick of the owner is due.
    pub tick_at: Option<Timestamp>,
}

/// Returns the zone of an engine. Gateway `n` is in zone `n` and owns the engines there.
pub fn zone_of(backend: BackendId) -> u32 {
    backend.0 % ZONES
}

fn zone_name(zone: u32) -> ZoneName {
    ZoneName(format!("zone-{zone}"))
}

impl Gateway {
    pub fn new(profile: &Profile, arm: &Arm, number: u32, seed: u64) -> Self {
        let settings = PickSettings {
            policy: arm.pick,
            ..PickSettings::default()
        };
        let seed = seed * 100 + u64::from(number);
        let mut picker = Picker::new(zone_name(number), settings, seed);
        let candidates = (0..profile.engines).map(BackendId);
        picker.set_engines(candidates.map(candidate).collect());
        Self {
            picker,
            owner: BatchOwner::new(BatchSettings::default(), arm.tail_protection),
            waiting: VecDeque::new(),
            online: BTreeMap::new(),
            streams: BTreeMap::new(),
            tick_at: None,
        }
    }

    /// Chooses an engine for the request and records it as started there; returns
    /// false if all engines are at their limit.
    pub fn place(&mut self, now: Timestamp, request: &mut Online) -> bool {
        let pick = self.picker.pick(
            now,
            PickRequest {
                prefix_hashes: &request.hashes,
                exclude: &[],
            },
        );
        let Ok(pick) = pick else {
            return false;
        };
        self.picker.started(now, pick.backend, &request.hashes);
        request.backend = pick.backend;
        request.sent = now;
        true
    }
}

fn candidate(backend: BackendId) -> Candidate {
    Candidate {
        backend,
        incarnation: Incarnation(1),
        zone: zone_name(zone_of(backend)),
        suspect: false,
    }
}

/// Returns the hashes of the prompt's prefixes, as engines compute them.
pub fn hashes_of(prompt: &str) -> Vec<u64> {
    block_hashes(prompt, &token_ends(prompt))
}

/// Returns the one-way network delay between two zones.
pub fn delay(profile: &Profile, from: u32, to: u32) -> Duration {
    const WITHIN_ZONE: Duration = Duration::from_micros(100);
    if from == to {
        WITHIN_ZONE
    } else {
        profile.between_zones
    }
}
