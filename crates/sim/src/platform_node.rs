//! The platform and its machine list, which lags.

use std::time::Duration;

use molespan_engine_api::{Machine, MachineKind, MachineList, MachineState};
use molespan_types::{BackendId, Incarnation, Timestamp};
use rand::Rng;

use crate::address::Address;
use crate::context::Context;
use crate::message::Message;
use crate::node::Node;
use crate::scenario::SERVICES;

/// Range of the lag of the list, in milliseconds.
const LAG_MS: std::ops::Range<u64> = 300..1_500;
/// Maximum age of a list while stale lists are served, in milliseconds.
const OLD_LAG_MS: u64 = 9_000;

/// The platform.
#[derive(Debug)]
pub struct PlatformNode {
    /// Lists and the time from which each is current.
    lists: Vec<(Timestamp, MachineList)>,
    /// Active faults that make the platform serve stale lists.
    old_lists: Vec<usize>,
}

impl PlatformNode {
    /// Creates a platform with live engines, spread over zones.
    #[must_use]
    pub fn new(engines: u32, zones: u32) -> Self {
        let machines = (1..=engines).map(|engine| Machine {
            id: BackendId(engine),
            incarnation: Incarnation(1),
            kind: MachineKind::Engine,
            address: format!("127.0.0.1:{engine}"),
            zone: zone_name(engine % zones).as_str().into(),
            service: service_of(engine).into(),
            state: MachineState::Live,
        });
        let list = MachineList {
            revision: 1,
            machines: machines.collect(),
        };
        Self {
            lists: vec![(Timestamp::ZERO, list)],
            old_lists: Vec::new(),
        }
    }

    /// Sets the state and incarnation of an engine from now on.
    pub fn set(&mut self, now: Timestamp, engine: u32, life: Incarnation, state: MachineState) {
        let Some((_, latest)) = self.lists.last() else {
            return;
        };
        let mut list = latest.clone();
        list.revision += 1;
        for machine in &mut list.machines {
            if machine.id == BackendId(engine) {
                machine.incarnation = life;
                machine.state = state;
            }
        }
        self.lists.push((now, list));
    }

    /// Starts serving stale lists.
    pub fn start_stale_lists(&mut self, fault: usize) {
        self.old_lists.push(fault);
    }

    /// Stops serving stale lists for this fault.
    pub fn stop_stale_lists(&mut self, fault: usize) {
        self.old_lists.retain(|one| *one != fault);
    }

    fn list_at(&self, time: Timestamp) -> Option<&MachineList> {
        let earlier = self.lists.iter().rev();
        let mut earlier = earlier.skip_while(|(since, _)| *since > time);
        earlier.next().map(|(_, list)| list)
    }
}

/// Returns the name of a zone.
#[must_use]
pub fn zone_name(zone: u32) -> String {
    format!("zone {zone}")
}

/// Returns the service of an engine: only the first engine has the last service.
#[must_use]
pub fn service_of(engine: u32) -> &'static str {
    if engine == 1 {
        SERVICES[1]
    } else {
        SERVICES[0]
    }
}

impl Node for PlatformNode {
    fn receive(&mut self, context: &mut Context, from: Address, message: Message) {
        if !matches!(message, Message::ListRequest) {
            return;
        }
        let lag = if self.old_lists.is_empty() {
            context.random.random_range(LAG_MS)
        } else {
            context.random.random_range(0..OLD_LAG_MS)
        };
        let lag = Duration::from_millis(lag).as_micros() as u64;
        let time = Timestamp(context.now.0.saturating_sub(lag));
        if let Some(list) = self.list_at(time).cloned() {
            context.send(Address::Platform, from, Message::List(list));
        }
    }

    fn wake(&mut self, _context: &mut Context) {}

    fn next_wakeup(&self) -> Option<Timestamp> {
        None
    }
}
