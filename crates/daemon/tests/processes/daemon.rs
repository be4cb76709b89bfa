//! One `molespand` process.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Output, Stdio};
use std::sync::mpsc;
use std::thread;

use molespan_settings::Settings;
use molespan_types::NodeId;

use super::{LIMIT, eventually};

/// A signal sent with `kill`.
#[derive(Clone, Copy, Debug)]
pub enum Signal {
    /// Requests a graceful stop.
    Terminate,
    /// Ends the process immediately.
    Kill,
    /// Suspends the process.
    Stop,
    /// Resumes the process.
    Continue,
}

impl Signal {
    fn flag(self) -> &'static str {
        match self {
            Self::Terminate => "-TERM",
            Self::Kill => "-KILL",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A running process, killed when dropped.
pub struct Daemon {
    child: Child,
    /// Its address for callers.
    pub http: SocketAddr,
    log: PathBuf,
}

impl Daemon {
    /// Starts a node and waits until it listens.
    pub fn start(settings: &Settings, folder: &Path) -> Self {
        let name = settings.node.id;
        let log = log_file(folder, name);
        let output = File::options().create(true).append(true).open(&log);
        let mut command = command(settings, folder);
        command.stdout(Stdio::piped()).stderr(output.unwrap());
        let mut child = command.spawn().unwrap();
        let http = ready_line(&mut child);
        let mut daemon = Self {
            child,
            http: settings.node.http_address,
            log,
        };
        match http {
            Some(http) => daemon.http = http,
            None => panic!(
                "node {name} is not ready in time; its log: {}",
                daemon.log()
            ),
        }
        daemon
    }

    /// Runs a process that is expected to exit by itself.
    pub fn run(settings: &Settings, folder: &Path) -> Output {
        command(settings, folder).output().unwrap()
    }

    fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) {
        let mut kill = Command::new("kill");
        kill.arg(signal.flag()).arg(self.child.id().to_string());
        assert!(kill.status().unwrap().success());
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Stops the process gracefully and waits until it has exited.
    pub async fn stop(mut self) -> ExitStatus {
        self.signal(Signal::Terminate);
        let child = &mut self.child;
        eventually("the process ends", || {
            let status = child.try_wait().unwrap();
            async move { status }
        })
        .await
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // The process may have exited already.
        let _gone = self.child.kill();
        let _gone = self.child.wait();
        if thread::panicking() {
            eprintln!("--- {}\n{}", self.log.display(), self.log());
        }
    }
}

/// Returns the path of a node's log.
pub fn log_file(folder: &Path, node: NodeId) -> PathBuf {
    folder.join(format!("node-{node}.log"))
}

/// Creates a command for a process with `settings`, written to a file in `folder`.
fn command(settings: &Settings, folder: &Path) -> Command {
    let file = folder.join(format!("node-{}.toml", settings.node.id));
    std::fs::write(&file, settings.to_toml()).unwrap();
    let mut command = Command::new(env!("CARGO_BIN_EXE_molespand"));
    command.arg("--settings").arg(&file);
    command
}

/// Reads the HTTP address from the line that a node prints once it listens.
fn ready_line(child: &mut Child) -> Option<SocketAddr> {
    let output = child.stdout.take()?;
    let (sender, line) = mpsc::channel();
    // The thread ends with the process, which closes its stdout.
    thread::spawn(move || {
        let mut first = String::new();
        if BufReader::new(output).read_line(&mut first).is_ok() {
            let _late = sender.send(first);
        }
    });
    let line = line.recv_timeout(LIMIT).ok()?;
    let http = line
        .split_whitespace()
        .find_map(|word| word.strip_prefix("http="));
    http?.parse().ok()
}
