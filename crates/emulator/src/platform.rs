//! The emulated platform list: it serves changes with a delay and can return to
//! an earlier revision.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Executor;
use futures_lite::FutureExt;
use futures_lite::future::Boxed;
use http_types::{Method, Request, Response};
use molespan_engine_api::{HEALTH_PATH, MACHINES_PATH, Machine, MachineList, MachineState};
use molespan_types::{BackendId, Timestamp};
use serde::{Deserialize, Serialize};

use crate::faults::{AnswerFault, FaultSettings};
use crate::server::{Running, Service, ServiceControls, json_reply, not_found, read_json, start};
use crate::switch_api;

/// Maximum number of revisions kept in the history.
const MAX_REVISIONS: usize = 256;
/// `POST` a [`Machine`] to add or replace it.
pub const SET_MACHINE_PATH: &str = "/emulator/machine";
/// `POST` a [`StateChange`] to set the state of a machine.
pub const SET_STATE_PATH: &str = "/emulator/machine/state";
/// `POST` a [`Removal`] to remove a machine.
pub const REMOVE_MACHINE_PATH: &str = "/emulator/machine/remove";
/// `POST` a [`Rewind`] to serve an earlier revision temporarily.
pub const REWIND_PATH: &str = "/emulator/rewind";

/// Request body that changes the state of a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StateChange {
    /// Machine.
    pub id: BackendId,
    /// New state.
    pub state: MachineState,
}

/// Request body that removes a machine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Removal {
    /// Machine.
    pub id: BackendId,
}

/// Request body that makes the list return to an earlier revision for a limited
/// time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rewind {
    /// Number of revisions to go back.
    pub revisions: u64,
    /// Duration of the rewind, in milliseconds.
    pub for_ms: u64,
}

/// The machine list and its history, without a clock.
#[derive(Clone, Debug)]
pub struct PlatformCore {
    lag: Duration,
    history: VecDeque<(Timestamp, MachineList)>,
    rewind: Option<(Timestamp, u64)>,
}

impl PlatformCore {
    /// Creates a list in which each change becomes visible after `lag`.
    /// `machines` are visible from the start.
    #[must_use]
    pub fn new(lag: Duration, machines: Vec<Machine>) -> Self {
        let list = MachineList {
            revision: 1,
            machines,
        };
        Self {
            lag,
            history: VecDeque::from([(Timestamp::ZERO, list)]),
            rewind: None,
        }
    }

    /// Returns the newest revision of the list, without lag.
    #[must_use]
    pub fn current(&self) -> MachineList {
        let newest = self.history.back();
        newest.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Returns the list as served at `now`, with the lag and any rewind applied.
    #[must_use]
    pub fn served(&self, now: Timestamp) -> MachineList {
        let visible = self
            .history
            .iter()
            .rposition(|(at, _)| *at == Timestamp::ZERO || *at + self.lag <= now)
            .unwrap_or(0);
        let back = match self.rewind {
            Some((until, revisions)) if now < until => revisions as usize,
            _ => 0,
        };
        let position = visible.saturating_sub(back);
        let entry = self.history.get(position);
        entry.map(|(_, list)| list.clone()).unwrap_or_default()
    }

    /// Adds or replaces a machine.
    pub fn set_machine(&mut self, now: Timestamp, machine: Machine) {
        self.change(now, |machines| {
            machines.retain(|other| other.id != machine.id);
            machines.push(machine);
            machines.sort_by_key(|machine| machine.id);
        });
    }

    /// Changes the state of a machine.
    pub fn set_state(&mut self, now: Timestamp, id: BackendId, state: MachineState) {
        self.change(now, |machines| {
            for machine in machines.iter_mut().filter(|machine| machine.id == id) {
                machine.state = state;
            }
        });
    }

    /// Removes a machine.
    pub fn remove(&mut self, now: Timestamp, id: BackendId) {
        self.change(now, |machines| machines.retain(|machine| machine.id != id));
    }

    /// Serves an earlier list, by `revisions` revisions, until `until`.
    pub fn rewind(&mut self, until: Timestamp, revisions: u64) {
        self.rewind = Some((until, revisions));
    }

    fn change(&mut self, now: Timestamp, edit: impl FnOnce(&mut Vec<Machine>)) {
        let mut list = self.current();
        edit(&mut list.machines);
        list.revision += 1;
        self.history.push_back((now, list));
        if self.history.len() > MAX_REVISIONS {
            self.history.pop_front();
        }
    }
}

/// Settings of an emulated platform list.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Listen address.
    pub listen: SocketAddr,
    /// Delay before a change becomes visible.
    pub lag: Duration,
    /// Initial machines.
    pub machines: Vec<Machine>,
}

/// A running platform list.
pub struct Platform {
    core: Mutex<PlatformCore>,
    controls: Arc<ServiceControls>,
    clock_start: Instant,
}

impl Platform {
    /// Starts a platform list on `executor`.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn start(
        executor: &Arc<Executor<'static>>,
        settings: PlatformSettings,
    ) -> io::Result<(Arc<Self>, Running)> {
        let controls = Arc::new(ServiceControls::new(0, Duration::ZERO));
        let platform = Arc::new(Self {
            core: Mutex::new(PlatformCore::new(settings.lag, settings.machines)),
            controls: controls.clone(),
            clock_start: Instant::now(),
        });
        let running = start(executor, settings.listen, controls, platform.clone())?;
        Ok((platform, running))
    }

    /// Calls the core with the current time.
    pub fn with_core<T>(&self, call: impl FnOnce(&mut PlatformCore, Timestamp) -> T) -> T {
        let now = Timestamp(self.clock_start.elapsed().as_micros() as u64);
        let mut core = self.core.lock().unwrap_or_else(PoisonError::into_inner);
        call(&mut core, now)
    }

    /// Replaces the active faults; only `frozen` affects the list.
    pub fn set_faults(&self, faults: FaultSettings) {
        self.controls.set(faults);
    }

    async fn route(self: Arc<Self>, mut request: Request) -> http_types::Result<Response> {
        let path = request.url().path().to_owned();
        match (request.method(), path.as_str()) {
            (Method::Get, MACHINES_PATH) => {
                let list = self.with_core(|core, now| core.served(now));
                Ok(json_reply(200, &list))
            }
            (Method::Get, HEALTH_PATH) => Ok(json_reply(200, &"ok")),
            (Method::Post, SET_MACHINE_PATH) => {
                self.edit(request, |core, now, machine: Machine| {
                    core.set_machine(now, machine);
                })
                .await
            }
            (Method::Post, SET_STATE_PATH) => {
                self.edit(request, |core, now, change: StateChange| {
                    core.set_state(now, change.id, change.state);
                })
                .await
            }
            (Method::Post, REMOVE_MACHINE_PATH) => {
                self.edit(request, |core, now, removal: Removal| {
                    core.remove(now, removal.id);
                })
                .await
            }
            (Method::Post, REWIND_PATH) => {
                self.edit(request, |core, now, rewind: Rewind| {
                    let until = now + Duration::from_millis(rewind.for_ms);
                    core.rewind(until, rewind.revisions);
                })
                .await
            }
            (Method::Post, switch_api::FAULTS_PATH) => {
                let faults: FaultSettings = match read_json(&mut request).await? {
                    Ok(faults) => faults,
                    Err(reply) => return Ok(reply),
                };
                self.set_faults(faults.clone());
                Ok(json_reply(200, &faults))
            }
            _ => Ok(not_found()),
        }
    }

    /// Changes the list and responds with its newest revision, without lag.
    async fn edit<T: serde::de::DeserializeOwned>(
        &self,
        mut request: Request,
        edit: impl FnOnce(&mut PlatformCore, Timestamp, T),
    ) -> http_types::Result<Response> {
        let change: T = match read_json(&mut request).await? {
            Ok(change) => change,
            Err(reply) => return Ok(reply),
        };
        let list = self.with_core(|core, now| {
            edit(core, now, change);
            core.current()
        });
        Ok(json_reply(200, &list))
    }
}

impl Service for Platform {
    fn accepts_answer_faults(&self, _path: &str) -> bool {
        false
    }

    fn call(
        self: Arc<Self>,
        request: Request,
        _fault: Option<AnswerFault>,
    ) -> Boxed<http_types::Result<Response>> {
        self.route(request).boxed()
    }
}
