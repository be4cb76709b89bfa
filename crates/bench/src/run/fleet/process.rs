//! Child processes of the benchmark.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use crate::BenchError;

/// Timeout for a process to report that it is listening.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval between checks whether a process has ended.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A signal sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Signal {
    /// SIGTERM: stops gracefully.
    Terminate,
    /// SIGSTOP: suspends.
    Stop,
    /// SIGCONT: resumes.
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

/// A running process, killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    ready_line: String,
}

impl Process {
    /// Starts `command`, with its log in `folder`, and waits for its first line of
    /// output.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be started, or exits or times out before that line.
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

    /// Returns the name of the process.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the line that the process printed once it was listening.
    #[must_use]
    pub fn ready_line(&self) -> &str {
        &self.ready_line
    }

    /// Returns the process id.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Fails if the `kill` program cannot be run.
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

    /// Returns the exit status, or `None` while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits at most `timeout` for the process to end and returns its exit status.
    pub fn wait(&mut self, timeout: Duration) -> Option<ExitStatus> {
        let deadline = Instant::now() + timeout;
        loop {
            let status = self.exit_status();
            if status.is_some() || Instant::now() >= deadline {
                return status;
            }
            std::thread::sleep(EXIT_POLL_INTERVAL);
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if self.exit_status().is_none() {
            // The process may have ended meanwhile, in which case errors are expected.
            let _ = self.child.kill();
            let _ = self.child.wait();
        }
    }
}

/// Returns the first line of output. Later lines are read and discarded, so that the
/// process never blocks on a full pipe.
fn first_line(output: ChildStdout) -> Option<String> {
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        for line in BufReader::new(output).lines() {
            let Ok(line) = line else { return };
            // The receiver is dropped after the first line.
            let _ = sender.send(line);
        }
    });
    receiver.recv_timeout(READY_TIMEOUT).ok()
}
