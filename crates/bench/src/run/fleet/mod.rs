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
use self::layout::{NodePlace, ReservedAddresses, SettingsContext, node_places, node_settings};
use self::network::ZoneNetwork;
use self::process::{Process, Signal};
use self::programs::Programs;
use super::arms::Variant;
use super::profile::Profile;
use crate::BenchError;

/// Nodes of one zone: a replica and a gateway.
const NODES_PER_ZONE: usize = 2;
/// Addresses of one node: for callers and for other nodes.
const ADDRESSES_PER_NODE: usize = 2;

/// A node that runs.
pub struct RunningNode {
    /// Where it stands.
    pub place: NodePlace,
    /// Its settings file.
    pub settings: PathBuf,
    /// The process.
    pub process: Process,
}

/// A fleet that runs until it is dropped.
pub struct Fleet {
    /// Engines, then application back ends, in the order of their numbers.
    pub backends: Vec<Backend>,
    /// Replicas, then gateways, by zone.
    pub nodes: Vec<RunningNode>,
    /// The links between the zones.
    pub network: ZoneNetwork,
    /// Platform list of each zone.
    pub platforms: Vec<SocketAddr>,
    programs: Programs,
    folder: PathBuf,
    /// Held to end them with the fleet.
    _stores: Vec<Process>,
}

impl Fleet {
    /// Starts every process of `profile`, with files and logs in `folder`,
    /// which is emptied first.
    ///
    /// # Errors
    ///
    /// When one cannot be started.
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

    /// Where callers reach the gateway of each zone.
    #[must_use]
    pub fn gateways(&self) -> Vec<SocketAddr> {
        let gateways = self.nodes_of(Role::Gateway);
        gateways.map(|node| node.place.http).collect()
    }

    /// The nodes of one role, by zone.
    pub fn nodes_of(&self, role: Role) -> impl Iterator<Item = &RunningNode> {
        self.nodes
            .iter()
            .filter(move |node| node.place.role == role)
    }

    /// Engines, in the order of their numbers.
    pub fn engines(&self) -> impl Iterator<Item = &Backend> {
        let engine = |backend: &&Backend| backend.machine.kind == MachineKind::Engine;
        self.backends.iter().filter(engine)
    }

    /// The back ends as `zone` sees them.
    #[must_use]
    pub fn machines_seen_from(&self, zone: usize) -> Vec<Machine> {
        machines_seen_from(zone, &self.backends, &self.network)
    }

    /// Asks the gateway of `zone` to stop.
    ///
    /// # Errors
    ///
    /// When the signal cannot be sent.
    pub fn ask_gateway_to_stop(&self, zone: usize) -> Result<(), BenchError> {
        let mut gateways = self.nodes_of(Role::Gateway);
        match gateways.find(|node| node.place.zone == zone) {
            Some(node) => node.process.signal(Signal::Terminate),
            None => Ok(()),
        }
    }

    /// Whether the gateway of `zone` has ended, and whether without an error.
    pub fn gateway_exit(&mut self, zone: usize) -> Option<bool> {
        let is_gateway =
            |node: &&mut RunningNode| node.place.role == Role::Gateway && node.place.zone == zone;
        let node = self.nodes.iter_mut().find(is_gateway)?;
        let status = node.process.exit_status()?;
        Some(status.success())
    }

    /// Starts the gateway of `zone` again, with the same settings and data.
    ///
    /// # Errors
    ///
    /// When it cannot be started.
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
            let seen = |other: &NodePlace| self.network.seen_from(place.zone, other.internal);
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

/// The back ends as `zone` sees them: those of other zones through relays.
fn machines_seen_from(zone: usize, backends: &[Backend], network: &ZoneNetwork) -> Vec<Machine> {
    let seen = |backend: &Backend| Machine {
        address: network.seen_from(zone, backend.address).to_string(),
        ..backend.machine.clone()
    };
    backends.iter().map(seen).collect()
}

fn daemon_command(programs: &Programs, settings: &Path) -> Command {
    let mut command = Command::new(&programs.daemon);
    command.arg("--settings").arg(settings);
    command
}

/// Removes what an earlier run left in a folder, so that nodes begin with
/// blank disks.
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

/// Creates a folder and those above it.
///
/// # Errors
///
/// When it cannot be created.
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
/// When it cannot be written.
pub fn write_file(path: &Path, text: &str) -> Result<(), BenchError> {
    std::fs::write(path, text).map_err(|source| BenchError::File {
        path: path.to_owned(),
        source,
    })
}
