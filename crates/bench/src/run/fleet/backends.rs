//! Starts engines, application back ends, platform lists and the weight store.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use molespan_engine_api::{Machine, MachineKind, MachineState};
use molespan_types::{BackendId, Incarnation};
use serde::Deserialize;

use super::process::Process;
use crate::BenchError;
use crate::run::profile::Profile;

/// Initial incarnation of every back end.
const FIRST_INCARNATION: u64 = 1;

/// A running back end.
#[derive(Debug)]
pub struct Backend {
    /// Machine entry as listed in its own zone.
    pub machine: Machine,
    /// Index of the zone.
    pub zone: usize,
    /// Listening address.
    pub address: SocketAddr,
    /// Process of the back end.
    pub process: Process,
}

/// Line that the emulator prints once it is listening.
#[derive(Deserialize)]
struct Ready {
    address: SocketAddr,
}

/// Starts emulator processes.
pub struct BackendStarter<'a> {
    /// Path of the emulator.
    pub program: &'a Path,
    /// Folder for logs.
    pub folder: &'a Path,
    /// Fleet and load profile.
    pub profile: &'a Profile,
    /// Seed for random choices of the back ends.
    pub seed: u64,
}

impl BackendStarter<'_> {
    /// Starts the weight store.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn weight_store(&self) -> Result<(Process, SocketAddr), BenchError> {
        let mut command = self.command("weights");
        command.args(["--profile", self.profile.name]);
        self.start("weights", command)
    }

    /// Starts all engines and application back ends, distributed over the zones in turn.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn backends(&self, weights: SocketAddr) -> Result<Vec<Backend>, BenchError> {
        let fleet = &self.profile.fleet;
        let engines = (0..fleet.engines).map(|position| (MachineKind::Engine, position));
        let applications =
            (0..fleet.applications).map(|position| (MachineKind::Application, position));
        engines
            .chain(applications)
            .zip(1..)
            .map(|((kind, position), id)| self.backend(kind, position, BackendId(id), weights))
            .collect()
    }

    /// Starts the platform list of a zone, with the machine addresses as seen from there.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn platform(
        &self,
        zone: usize,
        machines: &[Machine],
    ) -> Result<(Process, SocketAddr), BenchError> {
        let name = format!("platform-{}", zone + 1);
        let list = self.folder.join(format!("{name}.json"));
        write_json(&list, machines)?;
        let mut command = self.command("platform");
        let lag = self.profile.fleet.platform_lag_ms.to_string();
        command.args(["--lag-ms", &lag]);
        command.arg("--machines").arg(&list);
        self.start(&name, command)
    }

    fn backend(
        &self,
        kind: MachineKind,
        position: u32,
        id: BackendId,
        weights: SocketAddr,
    ) -> Result<Backend, BenchError> {
        let fleet = &self.profile.fleet;
        let (what, service) = match kind {
            MachineKind::Engine => ("engine", &fleet.service),
            MachineKind::Application => ("application", &fleet.application_service),
        };
        let mut command = self.command(what);
        command.args(["--backend", &id.to_string()]);
        command.args(["--incarnation", &FIRST_INCARNATION.to_string()]);
        command.args(["--profile", self.profile.name]);
        command.args(["--seed", &(self.seed + u64::from(id.0)).to_string()]);
        if kind == MachineKind::Engine {
            command.args(["--weights", &weights.to_string()]);
        }
        let (process, address) = self.start(&format!("{what}-{id}"), command)?;
        let zone = position as usize % fleet.zones.len();
        let machine = Machine {
            id,
            incarnation: Incarnation(FIRST_INCARNATION),
            kind,
            address: address.to_string(),
            zone: fleet.zones[zone].clone(),
            service: service.clone(),
            state: MachineState::Live,
        };
        Ok(Backend {
            machine,
            zone,
            address,
            process,
        })
    }

    fn command(&self, what: &str) -> Command {
        let mut command = Command::new(self.program);
        command.arg(what);
        command
    }

    fn start(&self, name: &str, command: Command) -> Result<(Process, SocketAddr), BenchError> {
        let process = Process::start(name, command, self.folder)?;
        let ready = serde_json::from_str::<Ready>(process.ready_line());
        let ready = ready.map_err(|_| BenchError::NotReady {
            name: name.to_owned(),
            log: self.folder.join(format!("{name}.log")),
        })?;
        Ok((process, ready.address))
    }
}

fn write_json(path: &PathBuf, machines: &[Machine]) -> Result<(), BenchError> {
    let json = serde_json::to_vec_pretty(machines).unwrap_or_default();
    std::fs::write(path, json).map_err(|source| BenchError::File {
        path: path.clone(),
        source,
    })
}
