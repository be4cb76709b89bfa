//! Finds the programs of the fleet.

use std::path::{Path, PathBuf};
use std::process::Command;

use crate::BenchError;

/// File name of the daemon.
pub const DAEMON: &str = "molespand";
/// File name of the emulator of back ends.
pub const EMULATOR: &str = "molespan-emulator";
/// Environment variable with cargo's path, set for programs that cargo runs.
const CARGO_VARIABLE: &str = "CARGO";
/// Arguments for cargo to build missing programs.
const BUILD_ARGUMENTS: [&str; 10] = [
    "build",
    "--release",
    "-p",
    "molespan-daemon",
    "-p",
    "molespan-emulator",
    "--bin",
    DAEMON,
    "--bin",
    EMULATOR,
];

/// Paths of the programs.
#[derive(Clone, Debug)]
pub struct Programs {
    /// Path of the daemon.
    pub daemon: PathBuf,
    /// Path of the emulator.
    pub emulator: PathBuf,
}

impl Programs {
    /// Finds the programs in the folder of the running program. Missing programs are
    /// built first if the benchmark runs under cargo.
    ///
    /// # Errors
    ///
    /// Fails if a program is missing and cannot be built.
    pub fn find() -> Result<Self, BenchError> {
        let folder = own_folder()?;
        let programs = Self::beside(&folder);
        if programs.missing().is_some() {
            build()?;
        }
        match programs.missing() {
            Some(missing) => Err(BenchError::ProgramMissing {
                path: missing.to_owned(),
                command: build_command(),
            }),
            None => Ok(programs),
        }
    }

    fn beside(folder: &Path) -> Self {
        let suffix = std::env::consts::EXE_SUFFIX;
        Self {
            daemon: folder.join(format!("{DAEMON}{suffix}")),
            emulator: folder.join(format!("{EMULATOR}{suffix}")),
        }
    }

    fn missing(&self) -> Option<&Path> {
        let mut programs = [&self.daemon, &self.emulator].into_iter();
        programs.find(|path| !path.is_file()).map(PathBuf::as_path)
    }
}

fn own_folder() -> Result<PathBuf, BenchError> {
    let program = std::env::current_exe().map_err(|source| BenchError::File {
        path: PathBuf::from("the running program"),
        source,
    })?;
    Ok(program.parent().map(Path::to_owned).unwrap_or_default())
}

fn build_command() -> String {
    format!("cargo {}", BUILD_ARGUMENTS.join(" "))
}

/// Builds both programs if the benchmark runs under cargo.
fn build() -> Result<(), BenchError> {
    let Some(cargo) = std::env::var_os(CARGO_VARIABLE) else {
        return Ok(());
    };
    eprintln!("bench: building {DAEMON} and {EMULATOR}");
    let status = Command::new(cargo).args(BUILD_ARGUMENTS).status();
    let status = status.map_err(|source| BenchError::Start {
        program: build_command(),
        source,
    })?;
    if status.success() {
        return Ok(());
    }
    Err(BenchError::BuildFailed {
        command: build_command(),
    })
}
