//! Submits waves of batch jobs and tracks their progress.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;

use super::job_client::{JobClient, JobSubmission, JobSummary};
use super::online::LoadContext;
use super::prompts::Prompts;
use super::schedule::JobArrival;
use crate::run::account::{CallOutcome, JobItems, JobResults, ResultLine};
use crate::run::profile::Profile;

/// Interval between polls of the progress of all jobs.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Delay before a submission or read is retried.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Maximum number of attempts for a submission or read.
const MAX_ATTEMPTS: u32 = 40;

/// Total of completed items at a point in time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProgressSample {
    /// Time since the start of the load.
    pub at: Duration,
    /// Completed items of all jobs.
    pub completed: u64,
}

/// A job generated before the load starts.
#[derive(Clone, Debug)]
pub struct PreparedJob {
    /// Scheduled time since the start of the load.
    pub at: Duration,
    /// Index of the submitter's zone.
    pub zone: usize,
    /// Request that submits the job.
    pub submission: JobSubmission,
    /// Items of the job.
    pub items: Arc<JobItems>,
}

/// Generates the jobs of `arrivals`, before the load starts.
#[must_use]
pub fn prepare_jobs(
    profile: &Profile,
    prompts: &Prompts,
    arrivals: &[JobArrival],
) -> Vec<PreparedJob> {
    let numbered = arrivals.iter().zip(0..);
    let prepared = numbered.map(|(arrival, number)| {
        let items = Arc::new(job_items(profile, prompts, arrival, number));
        PreparedJob {
            at: arrival.at,
            zone: arrival.zone,
            submission: JobSubmission::new(
                profile.fleet.service.as_str(),
                &prompts.key("job", number),
                &items,
            ),
            items,
        }
    });
    prepared.collect()
}

fn job_items(profile: &Profile, prompts: &Prompts, arrival: &JobArrival, number: u64) -> JobItems {
    let load = &profile.batch;
    let kind = format!("job {number} item");
    let prompts =
        (0..arrival.items).map(|item| prompts.single(&kind, u64::from(item), load.prompt_tokens));
    JobItems {
        prompts: prompts.collect(),
        answer_tokens: load.answer_tokens,
        repeatable: arrival.repeatable,
    }
}

/// A job that a gateway accepted.
#[derive(Clone)]
struct SubmittedJob {
    id: String,
    zone: usize,
    items: Arc<JobItems>,
    completed: u64,
    ended: bool,
    cancelled: bool,
}

#[derive(Default)]
struct BatchState {
    jobs: Vec<SubmittedJob>,
    samples: Vec<ProgressSample>,
    incidents: Vec<String>,
}

/// Submits and tracks all batch jobs of an arm.
pub struct BatchLoad {
    context: Arc<LoadContext>,
    client: JobClient,
    state: Mutex<BatchState>,
}

/// Outcome of a batch load.
#[derive(Default)]
pub struct BatchReport {
    /// Checked results of each job.
    pub jobs: Vec<JobResults>,
    /// Progress samples over time.
    pub samples: Vec<ProgressSample>,
    /// Errors that concern no single item, such as retried submissions.
    pub incidents: Vec<String>,
}

impl BatchLoad {
    /// Creates a load without jobs.
    #[must_use]
    pub fn new(context: Arc<LoadContext>, client: JobClient) -> Self {
        Self {
            context,
            client,
            state: Mutex::default(),
        }
    }

    /// Submits jobs at their scheduled times, without waiting for earlier ones, and
    /// returns once every submission has succeeded or given up.
    pub async fn submit_all(self: Arc<Self>, jobs: Vec<PreparedJob>) {
        let mut submissions = Vec::with_capacity(jobs.len());
        for job in jobs {
            Timer::at(self.context.start + job.at).await;
            let load = self.clone();
            let submission = async move { load.submit(job).await };
            submissions.push(self.context.executor.spawn(submission));
        }
        for submission in submissions {
            submission.await;
        }
    }

    /// Polls the progress of all jobs, without end.
    pub async fn poll_forever(&self) {
        loop {
            self.poll().await;
            Timer::after(POLL_INTERVAL).await;
        }
    }

    /// Waits until every job has ended, at most until `deadline`, then cancels the
    /// remaining jobs and waits for the cancellations, at most until
    /// `cancel_deadline`. Reads and checks all results.
    pub async fn finish(&self, deadline: Instant, cancel_deadline: Instant) -> BatchReport {
        self.wait_for_end(deadline).await;
        for position in self.open_jobs() {
            self.cancel(position).await;
        }
        self.wait_for_end(cancel_deadline).await;
        let mut report = BatchReport::default();
        let jobs = self.lock().jobs.clone();
        for job in jobs {
            let lines = self.results(&job).await;
            let cancelled = job.cancelled;
            let items = JobItems::clone(&job.items);
            report
                .jobs
                .push(JobResults::check(items, &lines, cancelled));
        }
        let mut state = self.lock();
        report.samples = std::mem::take(&mut state.samples);
        report.incidents = std::mem::take(&mut state.incidents);
        report
    }

    /// Submits one job, with retries under the same key until a gateway accepts it.
    async fn submit(&self, job: PreparedJob) {
        for attempt in 0..MAX_ATTEMPTS {
            let gateway = self.context.selector.gateway(job.zone + attempt as usize);
            match self.client.submit(gateway, &job.submission).await {
                Ok(summary) => return self.accepted(summary, job.zone, job.items),
                Err(outcome) => self.incident("job submission", &outcome),
            }
            Timer::after(RETRY_DELAY).await;
        }
        self.lock()
            .incidents
            .push("job was never accepted".to_owned());
    }

    fn accepted(&self, summary: JobSummary, zone: usize, items: Arc<JobItems>) {
        self.lock().jobs.push(SubmittedJob {
            id: summary.id,
            zone,
            items,
            completed: 0,
            ended: false,
            cancelled: false,
        });
    }

    /// Polls the progress of every open job and records the total.
    async fn poll(&self) {
        for position in self.open_jobs() {
            let (id, zone) = self.job(position);
            let gateway = self.context.selector.gateway(zone);
            if let Ok(summary) = self.client.status(gateway, &id).await {
                let mut state = self.lock();
                let job = &mut state.jobs[position];
                job.completed = job.completed.max(summary.completed);
                job.ended = summary.has_ended();
            }
        }
        let mut state = self.lock();
        let completed = state.jobs.iter().map(|job| job.completed).sum();
        let at = self.context.start.elapsed();
        state.samples.push(ProgressSample { at, completed });
    }

    async fn wait_for_end(&self, deadline: Instant) {
        loop {
            self.poll().await;
            if self.open_jobs().is_empty() || Instant::now() >= deadline {
                return;
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }

    async fn cancel(&self, position: usize) {
        let (id, zone) = self.job(position);
        for attempt in 0..MAX_ATTEMPTS {
            let gateway = self.context.selector.gateway(zone + attempt as usize);
            match self.client.cancel(gateway, &id).await {
                Ok(_) => {
                    self.lock().jobs[position].cancelled = true;
                    return;
                }
                Err(outcome) => self.incident("job cancellation", &outcome),
            }
            Timer::after(RETRY_DELAY).await;
        }
    }

    /// Returns all results of a job, read first from the gateway of the zone after
    /// the submitter's.
    async fn results(&self, job: &SubmittedJob) -> Vec<ResultLine> {
        for attempt in 0..MAX_ATTEMPTS {
            let zone = job.zone + 1 + attempt as usize;
            let gateway = self.context.selector.gateway(zone);
            match self.client.results(gateway, &job.id).await {
                Ok(lines) => return lines,
                Err(outcome) => self.incident("job results", &outcome),
            }
            Timer::after(RETRY_DELAY).await;
        }
        Vec::new()
    }

    fn open_jobs(&self) -> Vec<usize> {
        let state = self.lock();
        let jobs = state.jobs.iter().enumerate();
        jobs.filter(|(_, job)| !job.ended)
            .map(|(position, _)| position)
            .collect()
    }

    fn job(&self, position: usize) -> (String, usize) {
        let state = self.lock();
        let job = &state.jobs[position];
        (job.id.clone(), job.zone)
    }

    fn incident(&self, what: &str, outcome: &CallOutcome) {
        let text = format!("{what} {}, made again", outcome.label());
        self.lock().incidents.push(text);
    }

    fn lock(&self) -> MutexGuard<'_, BatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the items completed per second between `from` and `until`, with linear
/// interpolation between samples.
#[must_use]
pub fn items_per_second(samples: &[ProgressSample], from: Duration, until: Duration) -> f64 {
    let length = until.saturating_sub(from).as_secs_f64();
    if length <= 0.0 {
        return 0.0;
    }
    (completed_at(samples, until) - completed_at(samples, from)) / length
}

fn completed_at(samples: &[ProgressSample], at: Duration) -> f64 {
    let position = samples.partition_point(|sample| sample.at <= at);
    let before = position.checked_sub(1).map(|before| samples[before]);
    match (before, samples.get(position)) {
        (None, _) => 0.0,
        (Some(last), None) => last.completed as f64,
        (Some(before), Some(after)) => {
            let span = (after.at - before.at).as_secs_f64();
            let share = (at - before.at).as_secs_f64() / span.max(f64::MIN_POSITIVE);
            before.completed as f64 + share * (after.completed - before.completed) as f64
        }
    }
}
