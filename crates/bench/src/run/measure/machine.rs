//! Processor time of processes and load of the machine.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use serde::{Deserialize, Serialize};

use super::latency::{Durations, Quantiles};

/// Clock ticks per second in `/proc/PID/stat`, which Linux fixes for user space.
const TICKS_PER_SECOND: f64 = 100.0;
/// Index of the user time among the fields after the command name.
const USER_TIME_FIELD: usize = 11;
/// Length of the sleeps whose lateness measures how long a runnable thread waits.
const PROBE_SLEEP: Duration = Duration::from_millis(5);

/// Returns the processor time used by a process, in seconds, or 0 if it cannot be
/// read.
#[must_use]
pub fn processor_seconds(process: u32) -> f64 {
    let text = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    // The command name is in parentheses and may contain any character.
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks = |position| {
        let field = fields.split_whitespace().nth(position);
        field.and_then(|field| field.parse().ok()).unwrap_or(0.0)
    };
    let total: f64 = ticks(USER_TIME_FIELD) + ticks(USER_TIME_FIELD + 1);
    total / TICKS_PER_SECOND
}

/// Returns the processor time used by several processes, in seconds.
#[must_use]
pub fn processor_seconds_of(processes: &[u32]) -> f64 {
    processes.iter().copied().map(processor_seconds).sum()
}

/// Load of the machine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct MachineLoad {
    /// Number of available processors.
    pub processors: usize,
    /// One-minute load average at the end of the arm.
    pub load_average: f64,
    /// Lateness of the benchmark's timers.
    pub timer_lateness: Quantiles,
}

/// Records how late timers fire.
#[derive(Clone, Debug, Default)]
pub struct LatenessProbe {
    values: Arc<Mutex<Vec<Duration>>>,
}

impl LatenessProbe {
    /// Sleeps repeatedly, without end, and records how late each sleep ends.
    pub async fn run(&self) {
        loop {
            let due = Instant::now() + PROBE_SLEEP;
            Timer::at(due).await;
            let late = Instant::now() - due;
            let mut values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
            values.push(late);
        }
    }

    /// Returns the recorded lateness with the machine's load average.
    #[must_use]
    pub fn machine_load(&self) -> MachineLoad {
        let values = self.values.lock().unwrap_or_else(PoisonError::into_inner);
        let processors = std::thread::available_parallelism();
        MachineLoad {
            processors: processors.map_or(1, std::num::NonZero::get),
            load_average: load_average(),
            timer_lateness: Durations::of(values.iter().copied()).quantiles(),
        }
    }
}

fn load_average() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split_whitespace().next();
    first.and_then(|field| field.parse().ok()).unwrap_or(0.0)
}
