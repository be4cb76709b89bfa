//! A fleet of real processes on one machine.

pub mod backends;
pub mod layout;
pub mod network;
pub mod operator;
pub mod process;
pub mod programs;
pub mod relay;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Command;

use molespan_engine_api::{Machine, MachineKind};
use molespan_settings::Role;

use self::backends::{Backend, BackendStarter};
use self::layout::{NodePlacement, ReservedAddresses, SettingsContext, node_places, node_settings};
use self::network::ZoneNetwork;
use self::process::{Process, Signal};
use self::programs::Programs;
use super::arms::Variant;
use super::profile::Profile;
use crate::BenchError;

/// Number of nodes per zone: a replica and a gateway.
const NODES_PER_ZONE: usize = 2;
/// Number of addresses per node: one for callers and one for other nodes.
const ADDRESSES_PER_NODE: usize = 2;

/// A running node.
pub struct RunningNode {
    /// Placement of the node.
    pub place: NodePlacement,
    /// Path of the settings file.
    pub settings: PathBuf,
    /// Process of the node.
    pub process: Process,
}

/// A running fleet, stopped on drop.
pub struct Fleet {
    /// Engines, then application back ends, ordered by id.
    pub backends: Vec<Backend>,
    /// Replicas, then gateways, by zone.
    pub nodes: Vec<RunningNode>,
    /// Network between the zones.
    pub network: ZoneNetwork,
    /// Address of the platform list of each zone.
    pub platforms: Vec<SocketAddr>,
    programs: Programs,
    folder: PathBuf,
    /// Kept so that these processes end with the fleet.
    _stores: Vec<Process>,
}

impl Fleet {
    /// Starts all processes of `profile`, with files and logs in `folder`. Existing
    /// contents of the folder are removed.
    ///
    /// # Errors
    ///
    /// Fails if a process cannot be started.
    pub fn start(
        programs: &Programs,
        profile: &Profile,
        variant: Variant,
        seed: u64,
        folder: &Path,
    ) -> Result<Self, BenchError> {
        clear_folder(folder)?;
        let zones = profile.fleet.zones.len();
        let starter = BackendStarter {
            program: &programs.emulator,
            folder,
            profile,
            seed,
        };
        let (weight_store, weights) = starter.weight_store()?;
        let backends = starter.backends(weights)?;
        let mut network = ZoneNetwork::new(zones, profile.one_way);
        for backend in &backends {
            network.expose(backend.address, backend.zone)?;
        }
        let mut stores = vec![weight_store];
        let mut platforms = Vec::with_capacity(zones);
        for zone in 0..zones {
            let machines = machines_seen_from(zone, &backends, &network);
            let (process, address) = starter.platform(zone, &machines)?;
            stores.push(process);
            platforms.push(address);
        }
        let mut fleet = Self {
            backends,
            nodes: Vec::new(),
            network,
            platforms,
            programs: programs.clone(),
            folder: folder.to_owned(),
            _stores: stores,
        };
        fleet.start_nodes(profile, variant, weights)?;
        Ok(fleet)
    }

    /// Returns the HTTP address of each zone's gateway.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let gateways = self.nodes_of(Role::Gateway);
        gateways.map(|node| node.place.http).collect()
    }

    /// Returns the nodes with `role`, by zone.
    pub fn nodes_of(&self, role: Role) -> impl Iterator<Item = &RunningNode> {
        self.nodes
            .iter()
            .filter(move |node| node.place.role == role)
    }

    /// Returns the engines, ordered by id.
    pub fn engines(&self) -> impl Iterator<Item = &Backend> {
        let engine = |backend: &&Backend| backend.machine.kind == MachineKind::Engine;
        self.backends.iter().filter(engine)
    }

    /// Returns the back ends with their addresses as seen from `zone`.
    #[must_use]
    pub fn machines_seen_from(&self, zone: usize) -> Vec<Machine> {
        machines_seen_from(zone, &self.backends, &self.network)
    }

    /// Sends SIGTERM to the gateway of `zone`.
    ///
    /// # Errors
    ///
    /// Fails if the signal cannot be sent.
    pub fn terminate_gateway(&self, zone: usize) -> Result<(), BenchError> {
        let mut gateways = self.nodes_of(Role::Gateway);
        match gateways.find(|node| node.place.zone == zone) {
            Some(node) => node.process.signal(Signal::Terminate),
            None => Ok(()),
        }
    }

    /// Returns whether the gateway of `zone` exited successfully, or `None` while it runs.
    pub fn gateway_exit(&mut self, zone: usize) -> Option<bool> {
        let is_gateway =
            |node: &&mut RunningNode| node.place.role == Role::Gateway && node.place.zone == zone;
        let node = self.nodes.iter_mut().find(is_gateway)?;
        let status = node.process.exit_status()?;
        Some(status.success())
    }

    /// Restarts the gateway of `zone` with the same settings and data.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started.
    pub fn restart_gateway(&mut self, zone: usize) -> Result<(), BenchError> {
        for node in &mut self.nodes {
            if node.place.role == Role::Gateway && node.place.zone == zone {
                let name = format!("{}-again", node.place.name);
                let command = daemon_command(&self.programs, &node.settings);
                node.process = Process::start(&name, command, &self.folder)?;
            }
        }
        Ok(())
    }

    fn start_nodes(
        &mut self,
        profile: &Profile,
        variant: Variant,
        weights: SocketAddr,
    ) -> Result<(), BenchError> {
        let zones = profile.fleet.zones.len();
        let no_address = |source| BenchError::Address { source };
        let count = zones * NODES_PER_ZONE * ADDRESSES_PER_NODE;
        let reserved = ReservedAddresses::new(count).map_err(no_address)?;
        let places = node_places(zones, &reserved.addresses().map_err(no_address)?);
        for place in &places {
            self.network.expose(place.internal, place.zone)?;
        }
        drop(reserved);
        let folder = self.folder.clone();
        let platforms = self.platforms.clone();
        let context = SettingsContext {
            profile,
            variant,
            folder: &folder,
            platforms: &platforms,
            weights,
        };
        for place in &places {
            let seen =
                |other: &NodePlacement| self.network.address_from(place.zone, other.internal);
            let settings = node_settings(&context, place, &places, seen);
            let path = folder.join(format!("{}.toml", place.name));
            write_file(&path, &settings.to_toml())?;
            let command = daemon_command(&self.programs, &path);
            let process = Process::start(&place.name, command, &folder)?;
            self.nodes.push(RunningNode {
                place: place.clone(),
                settings: path,
                process,
            });
        }
        Ok(())
    }
}

/// Returns the back ends as seen from `zone`: those of other zones through relays.
fn machines_seen_from(zone: usize, backends: &[Backend], network: &ZoneNetwork) -> Vec<Machine> {
    let seen = |backend: &Backend| Machine {
        address: network.address_from(zone, backend.address).to_string(),
        ..backend.machine.clone()
    };
    backends.iter().map(seen).collect()
}

fn daemon_command(programs: &Programs, settings: &Path) -> Command {
    let mut command = Command::new(&programs.daemon);
    command.arg("--settings").arg(settings);
    command
}

/// Empties a folder, so that nodes start without data of an earlier run.
fn clear_folder(path: &Path) -> Result<(), BenchError> {
    match std::fs::remove_dir_all(path) {
        Ok(()) => {}
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {}
        Err(source) => {
            return Err(BenchError::File {
                path: path.to_owned(),
                source,
            });
        }
    }
    create_folder(path)
}

/// Creates a folder and its parents.
///
/// # Errors
///
/// Fails if the folder cannot be created.
pub fn create_folder(path: &Path) -> Result<(), BenchError> {
    std::fs::create_dir_all(path).map_err(|source| BenchError::File {
        path: path.to_owned(),
        source,
    })
}

/// Writes a text file.
///
/// # Errors
///
/// Fails if the file cannot be written.
pub fn write_file(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|source| BenchError::File {
        path: path.to_owned(),
        source,
    })
}
