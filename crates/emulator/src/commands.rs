//! Implementation of the commands of `molespan-emulator`.

use std::io::{self, Write};
use std::net::{AddrParseError, SocketAddr};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use async_signal::{Signal, Signals};
use derive_more::{Display, Error, From};
use futures_lite::{StreamExt, future};
use molespan_emulator::application::{Application, ApplicationSettings};
use molespan_emulator::engine::EngineSettings;
use molespan_emulator::engine_server::{EngineServer, EngineServerSettings};
use molespan_emulator::faults::FaultSettings;
use molespan_emulator::fleet::{Fleet, FleetSettings};
use molespan_emulator::platform::{Platform, PlatformSettings};
use molespan_emulator::weight_store::{WeightStore, WeightStoreSettings};
use molespan_engine_api::Machine;
use molespan_types::{BackendId, Incarnation};
use serde::Serialize;

use crate::flags::{self, MolespanEmulator, MolespanEmulatorCmd};

/// Default listen address: a free port on loopback.
const ANY_PORT: &str = "127.0.0.1:0";
/// Default profile.
const DEFAULT_PROFILE: &str = "archive";
/// Default number of threads that serve a fleet.
const FLEET_THREADS: usize = 2;
/// Default propagation delay of the machine list, in milliseconds.
const PLATFORM_LAG_MS: u64 = 1_500;

/// Reasons why an emulated service cannot start.
#[derive(Debug, Display, Error, From)]
pub enum CommandError {
    /// A socket or file operation failed.
    #[display("{_0}")]
    Io(io::Error),
    /// An address flag is not `IP:PORT`.
    #[display("invalid socket address: {_0}")]
    Address(AddrParseError),
    /// JSON from a flag or a file is invalid.
    #[display("invalid JSON: {_0}")]
    Json(serde_json::Error),
    /// The settings file is invalid.
    #[display("invalid settings file: {_0}")]
    Settings(toml::de::Error),
    /// No profile has the given name.
    #[display("there is no profile {name}; use archive or lab")]
    #[from(skip)]
    UnknownProfile {
        /// Name from the command line.
        name: String,
    },
}

/// Line printed once a single emulated service listens.
#[derive(Serialize)]
struct Ready {
    address: SocketAddr,
}

/// Line printed once a fleet listens.
#[derive(Serialize)]
struct FleetReady {
    platform: SocketAddr,
    weights: SocketAddr,
    machines: Vec<Machine>,
}

/// Runs a command until SIGTERM or SIGINT.
///
/// # Errors
/// If the emulated service cannot start.
pub fn run(flags: MolespanEmulator) -> Result<(), CommandError> {
    let executor = Arc::new(Executor::new());
    match flags.subcommand {
        MolespanEmulatorCmd::Engine(flags) => {
            let (_, running) = EngineServer::start(&executor, engine_settings(flags)?)?;
            print_ready(&Ready {
                address: running.address,
            })?;
            serve(&executor, 1)
        }
        MolespanEmulatorCmd::Application(flags) => {
            let (_, running) = Application::start(&executor, application_settings(flags)?)?;
            print_ready(&Ready {
                address: running.address,
            })?;
            serve(&executor, 1)
        }
        MolespanEmulatorCmd::Platform(flags) => {
            let (_, running) = Platform::start(&executor, platform_settings(&flags)?)?;
            print_ready(&Ready {
                address: running.address,
            })?;
            serve(&executor, 1)
        }
        MolespanEmulatorCmd::Weights(flags) => {
            let (_, running) = WeightStore::start(&executor, store_settings(&flags)?)?;
            print_ready(&Ready {
                address: running.address,
            })?;
            serve(&executor, 1)
        }
        MolespanEmulatorCmd::Fleet(flags) => run_fleet(&executor, &flags),
    }
}

fn run_fleet(executor: &Arc<Executor<'static>>, flags: &flags::Fleet) -> Result<(), CommandError> {
    let fleet = Fleet::start(executor, &fleet_settings(flags)?)?;
    print_ready(&FleetReady {
        platform: fleet.platform_address,
        weights: fleet.weights_address,
        machines: fleet.machines(),
    })?;
    serve(executor, flags.threads.unwrap_or(FLEET_THREADS))
}

fn print_ready(ready: &impl Serialize) -> Result<(), CommandError> {
    let line = serde_json::to_string(ready)?;
    let mut output = io::stdout().lock();
    writeln!(output, "{line}")?;
    output.flush()?;
    Ok(())
}

/// Serves on `threads` threads until SIGTERM or SIGINT.
fn serve(executor: &Arc<Executor<'static>>, threads: usize) -> Result<(), CommandError> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    for _ in 1..threads {
        let executor = executor.clone();
        std::thread::spawn(move || {
            async_io::block_on(executor.run(future::pending::<()>()));
        });
    }
    async_io::block_on(executor.run(signals.next()));
    Ok(())
}

fn engine_settings(flags: flags::Engine) -> Result<EngineServerSettings, CommandError> {
    let profile = profile(flags.profile)?;
    let models = match flags.model.is_empty() {
        true => vec![profile.model],
        false => flags.model,
    };
    let weights = match flags.weights {
        Some(address) => Some(address.parse()?),
        None => None,
    };
    Ok(EngineServerSettings {
        engine: EngineSettings {
            backend: BackendId(flags.backend.unwrap_or(1)),
            incarnation: Incarnation(flags.incarnation.unwrap_or(1)),
            model: profile.engine,
            models,
        },
        listen: listen(flags.listen)?,
        weights,
        load_bytes_per_second: profile.load_bytes_per_second,
        seed: flags.seed.unwrap_or(1),
        round_trip: round_trip(flags.one_way_micros),
        faults: faults(flags.faults)?,
    })
}

fn application_settings(flags: flags::Application) -> Result<ApplicationSettings, CommandError> {
    let profile = profile(flags.profile)?;
    Ok(ApplicationSettings {
        backend: BackendId(flags.backend.unwrap_or(1)),
        incarnation: Incarnation(flags.incarnation.unwrap_or(1)),
        listen: listen(flags.listen)?,
        capacity: profile.application_capacity,
        service_time: Duration::from_micros(profile.application_micros),
        load_interval: Duration::from_micros(profile.engine.load_interval_micros),
        load_delay: Duration::from_micros(profile.engine.load_delay_micros),
        seed: flags.seed.unwrap_or(1),
        round_trip: round_trip(flags.one_way_micros),
        faults: faults(flags.faults)?,
    })
}

fn platform_settings(flags: &flags::Platform) -> Result<PlatformSettings, CommandError> {
    let machines = match &flags.machines {
        Some(path) => serde_json::from_slice(&std::fs::read(path)?)?,
        None => Vec::new(),
    };
    Ok(PlatformSettings {
        listen: listen(flags.listen.clone())?,
        lag: Duration::from_millis(flags.lag_ms.unwrap_or(PLATFORM_LAG_MS)),
        machines,
    })
}

fn store_settings(flags: &flags::Weights) -> Result<WeightStoreSettings, CommandError> {
    let profile = profile(flags.profile.clone())?;
    Ok(WeightStoreSettings {
        listen: listen(flags.listen.clone())?,
        weights: profile.weights,
        bytes_per_second: profile.store_bytes_per_second,
        burst_bytes: profile.store_burst_bytes,
    })
}

fn fleet_settings(flags: &flags::Fleet) -> Result<FleetSettings, CommandError> {
    let mut settings = match &flags.settings {
        Some(path) => read_settings(path)?,
        None => profile(flags.profile.clone())?,
    };
    if let Some(port) = flags.first_port {
        settings.first_port = port;
    }
    Ok(settings)
}

fn read_settings(path: &Path) -> Result<FleetSettings, CommandError> {
    Ok(toml::from_str(&std::fs::read_to_string(path)?)?)
}

fn profile(name: Option<String>) -> Result<FleetSettings, CommandError> {
    let name = name.unwrap_or_else(|| DEFAULT_PROFILE.to_owned());
    FleetSettings::named(&name).ok_or(CommandError::UnknownProfile { name })
}

fn listen(address: Option<String>) -> Result<SocketAddr, CommandError> {
    Ok(address.as_deref().unwrap_or(ANY_PORT).parse()?)
}

fn round_trip(one_way_micros: Option<u64>) -> Duration {
    Duration::from_micros(2 * one_way_micros.unwrap_or(0))
}

fn faults(json: Option<String>) -> Result<FaultSettings, CommandError> {
    match json {
        Some(json) => Ok(serde_json::from_str(&json)?),
        None => Ok(FaultSettings::default()),
    }
}
