//! One process that the bench started.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::BenchError;

/// Time for a process to say that it listens.
const READY_PATIENCE: Duration = Duration::from_secs(30);
/// Time between two looks at whether a process has ended.
const EXIT_POLL: Duration = Duration::from_millis(20);

/// A signal that the bench sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// Planned stop.
    Terminate,
    /// Freeze.
    Stop,
    /// Thaw.
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Terminate => "TERM",
            Self::Stop => "STOP",
            Self::Continue => "CONT",
        }
    }
}

/// A running process; dropping it kills it.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready_line: String,
}

impl Process {
    /// Starts `command`, with its log in `folder`, and waits for its first
    /// line.
    ///
    /// # Errors
    ///
    /// When it cannot be started, or ends or stays silent before that line.
    pub fn start(name: &str, mut command: Command, folder: &Path) -> Result<Self, BenchError> {
        let log = folder.join(format!("{name}.log"));
        let file = File::create(&log).map_err(|source| BenchError::File {
            path: log.clone(),
            source,
        })?;
        command.stdin(Stdio::null());
        command.stdout(Stdio::piped());
        command.stderr(file);
        let mut child = command.spawn().map_err(|source| BenchError::Start {
            program: command.get_program().display().to_string(),
            source,
        })?;
        let output = child.stdout.take();
        let mut process = Self {
            name: name.to_owned(),
            child,
            ready_line: String::new(),
        };
        let first = output.and_then(first_line);
        process.ready_line = first.ok_or_else(|| BenchError::NotReady {
            name: name.to_owned(),
            log,
        })?;
        Ok(process)
    }

    /// Its name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// What it printed once it listened.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// Its number.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends it a signal by its number.
    ///
    /// # Errors
    ///
    /// When the system's `kill` cannot be run.
    pub fn signal(&self, signal: Signal) -> Result<(), BenchError> {
        let mut command = Command::new("kill");
        command.arg("-s").arg(signal.name());
        command.arg(self.child.id().to_string());
        let status = command.status();
        status.map(drop).map_err(|source| BenchError::Start {
            program: "kill".to_owned(),
            source,
        })
    }

    /// How it ended, or `None` while it runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end, at most for `patience`.
    pub fn wait(&mut self, patience: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + patience;
        loop {
            let status = self.exit_status();
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            std::thread::sleep(EXIT_POLL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_none() {
            // It may have ended meanwhile; there is nothing left to do then.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// The first line of a process; later ones are read and dropped, so that the
/// process never waits for its reader.
fn first_line(output: ChildStdout) -> Option<String> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            let Ok(line) = line else { return };
            // The receiver is gone after the first line.
            let _ = sender.send(line);
        }
    });
    receiver.recv_timeout(READY_PATIENCE).ok()
}
