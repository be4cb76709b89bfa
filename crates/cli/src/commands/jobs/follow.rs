//! Waits for a job to end.

use std::time::{Duration, Instant};

use async_io::Timer;

use super::{JOBS_PATH, JobView};
use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::CliError;

/// Interval between polls of a job.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// Minimum interval between progress lines.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);
/// How long polling may fail before the command gives up.
const POLL_FAILURE_TIMEOUT: Duration = Duration::from_secs(60);

/// Waits until a job has ended and prints its progress.
///
/// # Errors
/// Fails on a permanent error, such as an unknown job, or if polling fails for too long.
pub(crate) async fn follow(
    client: &Client,
    id: &str,
    console: &mut Console,
) -> Result<JobView, CliError> {
    let call = Call::get(format!("{JOBS_PATH}/{id}"));
    let mut progress = Progress::start();
    let mut last_response = Instant::now();
    loop {
        match client.json::<JobView>(&call).await {
            Ok(job) => {
                last_response = Instant::now();
                progress.report(&job, console);
                if job.has_ended() {
                    return Ok(job);
                }
            }
            Err(error)
                if is_permanent(&error) || last_response.elapsed() > POLL_FAILURE_TIMEOUT =>
            {
                return Err(error);
            }
            Err(error) => progress.report_failure(&error, console),
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Whether a retry would return the same error.
fn is_permanent(error: &CliError) -> bool {
    match error {
        CliError::Unanswered(_) => false,
        CliError::Refused(detail) => detail.retry_after_ms.is_none(),
        _ => true,
    }
}

/// State of the progress output.
struct Progress {
    started: Instant,
    items_at_start: Option<u32>,
    last_line: Option<Instant>,
    last_ended: u32,
}

impl Progress {
    fn start() -> Self {
        Self {
            started: Instant::now(),
            items_at_start: None,
            last_line: None,
            last_ended: 0,
        }
    }

    /// Prints the progress of the job if it changed, at most once per interval.
    fn report(&mut self, job: &JobView, console: &mut Console) {
        let ended = job.ended_items();
        let at_start = *self.items_at_start.get_or_insert(ended);
        let recent = self
            .last_line
            .is_some_and(|line| line.elapsed() < PROGRESS_INTERVAL);
        let first = self.last_line.is_none();
        let changed = first || ended != self.last_ended || job.has_ended();
        if !changed || (recent && !job.has_ended()) {
            return;
        }
        self.last_line = Some(Instant::now());
        self.last_ended = ended;
        let mut text = job.summary();
        let seconds = self.started.elapsed().as_secs_f64();
        let rate = f64::from(ended - at_start) / seconds.max(f64::EPSILON);
        if !job.has_ended() && ended > at_start {
            let left = f64::from(job.items.saturating_sub(ended)) / rate;
            text.push_str(&format!(", {rate:.1} items/s, about {left:.0} s left"));
        }
        console.progress(text);
    }

    /// Prints why the poll failed, at most once per interval.
    fn report_failure(&mut self, error: &CliError, console: &mut Console) {
        let recent = self
            .last_line
            .is_some_and(|line| line.elapsed() < PROGRESS_INTERVAL);
        if !recent {
            self.last_line = Some(Instant::now());
            console.progress(format!("still waiting: {error}"));
        }
    }
}
