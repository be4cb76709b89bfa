//! Runs one arm on a fleet of its own.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::{Executor, Task};
use async_io::Timer;
use futures_lite::future;
use molespan_http::Pool;
use molespan_settings::Role;

use super::account::{Account, EndedCall, Executions};
use super::arms::Arm;
use super::direct::{self, DirectContext};
use super::faults::FaultDriver;
use super::figures::{ArmFigures, ProgressPoint};
use super::fleet::programs::Programs;
use super::fleet::{Fleet, operator, write_file};
use super::load::batch::{BatchLoad, BatchReport, PreparedJob, items_per_second, prepare_jobs};
use super::load::caller::Caller;
use super::load::job_client::JobClient;
use super::load::online::{
    LoadContext, LoadRecord, PreparedApplication, PreparedCompletion, drive_application,
    drive_online, prepare_application, prepare_online,
};
use super::load::prompts::Prompts;
use super::load::schedule::{application_arrivals, job_arrivals, online_arrivals};
use super::load::steering::Steering;
use super::measure::engines::{EngineSampler, batch_sequences, execution_log};
use super::measure::latency::Durations;
use super::measure::machine::{LatenessProbe, processor_seconds_of};
use super::profile::Profile;
use crate::BenchError;

/// Load before the measured time, which fills caches and learns step costs.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// Time for the load to start after its drivers.
const LEAD: Duration = Duration::from_millis(200);
/// Time for every gateway to become ready.
const READY_PATIENCE: Duration = Duration::from_secs(30);
/// Time for each gateway to answer its first requests.
const FIRST_ANSWER_PATIENCE: Duration = Duration::from_secs(20);
/// Pause before a first request is made again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Time for jobs to end after the load, before they are cancelled.
const DRAIN: Duration = Duration::from_secs(2);
/// The same in the arm with faults, whose jobs are smaller.
const FAULTS_DRAIN: Duration = Duration::from_secs(30);
/// Time for cancelled jobs to stop.
const CANCEL_PATIENCE: Duration = Duration::from_secs(20);
/// Time for engines to hold no batch work once every job has ended.
const STOP_PATIENCE: Duration = Duration::from_secs(5);
/// Share of a usual job's items in the arm with faults.
const FAULTS_JOB_SHARE: f64 = 0.3;
/// Measured time of the arm with faults, as a multiple of the others'.
const FAULTS_LENGTH: f64 = 1.6;
/// Points of a plotted distribution.
const CURVE_POINTS: u32 = 200;

/// What every arm of a run shares.
pub struct Experiment {
    /// Programs of the fleet.
    pub programs: Programs,
    /// Sizes.
    pub profile: Profile,
    /// Measured time of an arm.
    pub length: Duration,
    /// Seed.
    pub seed: u64,
    /// Runs the load.
    pub executor: Arc<Executor<'static>>,
    /// Connections of the load.
    pub pool: Pool,
}

/// The load of one arm.
#[derive(Default)]
struct PreparedLoad {
    online: Vec<PreparedCompletion>,
    application: Vec<PreparedApplication>,
    jobs: Vec<PreparedJob>,
}

/// One arm that runs.
struct ArmRun<'a> {
    experiment: &'a Experiment,
    arm: Arm,
    fleet: Arc<Mutex<Fleet>>,
    context: Arc<LoadContext>,
    prompts: Prompts,
    length: Duration,
    folder: PathBuf,
}

impl Experiment {
    /// Runs one arm; files and logs of its fleet go to `folder`.
    ///
    /// # Errors
    ///
    /// When the fleet cannot be started or set up.
    pub async fn run_arm(&self, arm: Arm, folder: &Path) -> Result<ArmFigures, BenchError> {
        let variant = arm.variant();
        let fleet = Fleet::start(&self.programs, &self.profile, variant, self.seed, folder)?;
        let gateways = fleet.gateways();
        operator::set_up(&self.pool, gateways[0], &self.profile).await?;
        let steering = Arc::new(Steering::new(&gateways));
        self.wait_until_ready(&steering, &gateways).await?;
        let length = match arm {
            Arm::Faults => self.length.mul_f64(FAULTS_LENGTH),
            _ => self.length,
        };
        let prompts = Prompts::new(&format!("{}-{}", self.seed, arm.name()));
        let load = self.prepare(arm, &prompts, WARM_UP + length);
        let context = Arc::new(LoadContext {
            executor: self.executor.clone(),
            caller: Caller::new(self.pool.clone()),
            steering,
            start: Instant::now() + LEAD,
        });
        let run = ArmRun {
            experiment: self,
            arm,
            fleet: Arc::new(Mutex::new(fleet)),
            context,
            prompts,
            length,
            folder: folder.to_owned(),
        };
        Ok(match arm {
            Arm::Direct => run.direct().await,
            _ => run.load(load).await,
        })
    }

    /// The load of an arm that lasts for `whole`, made up before it starts.
    fn prepare(&self, arm: Arm, prompts: &Prompts, whole: Duration) -> PreparedLoad {
        let profile = &self.profile;
        let zones = profile.fleet.zones.len();
        let mut load = PreparedLoad::default();
        if arm.has_online() {
            let arrivals = online_arrivals(&profile.online, zones, whole, self.seed);
            load.online = prepare_online(profile, prompts, &arrivals);
            let arrivals = application_arrivals(&profile.application, zones, whole, self.seed);
            load.application = prepare_application(profile, prompts, &arrivals);
        }
        if arm.has_batch() {
            let items = match arm {
                Arm::Faults => f64::from(profile.items_per_job()) * FAULTS_JOB_SHARE,
                _ => f64::from(profile.items_per_job()),
            };
            let arrivals = job_arrivals(&profile.batch, items as u32, zones, whole, self.seed);
            load.jobs = prepare_jobs(profile, prompts, &arrivals);
        }
        load
    }

    /// Waits until every gateway says that it is ready and answers.
    async fn wait_until_ready(
        &self,
        steering: &Steering,
        gateways: &[SocketAddr],
    ) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY_PATIENCE;
        loop {
            steering.probe(&self.pool).await;
            if steering.all_ready() {
                break;
            }
            if Instant::now() >= deadline {
                return Err(BenchError::SetUp {
                    reason: "a gateway does not become ready".to_owned(),
                });
            }
            Timer::after(RETRY_PAUSE).await;
        }
        for gateway in gateways {
            self.wait_for_first_answer(*gateway).await?;
        }
        Ok(())
    }

    /// Waits until a gateway answers a completion and an application call.
    async fn wait_for_first_answer(&self, gateway: SocketAddr) -> Result<(), BenchError> {
        let deadline = Instant::now() + FIRST_ANSWER_PATIENCE;
        let caller = Caller::new(self.pool.clone());
        let mut number = 0;
        loop {
            let prompts = Prompts::new(&format!("first-{gateway}"));
            let outcomes = direct::first_calls(&caller, gateway, &prompts, &self.profile, number);
            let missing = outcomes.await;
            let Some(missing) = missing else {
                return Ok(());
            };
            if Instant::now() >= deadline {
                return Err(BenchError::SetUp {
                    reason: format!("gateway {gateway} does not answer: {missing}"),
                });
            }
            number += 1;
            Timer::after(RETRY_PAUSE).await;
        }
    }
}

impl ArmRun<'_> {
    /// The arm of direct calls.
    async fn direct(&self) -> ArmFigures {
        let probe = LatenessProbe::default();
        let probing = self.spawn_probe(&probe);
        let context = DirectContext {
            executor: self.experiment.executor.clone(),
            caller: self.context.caller.clone(),
            prompts: self.prompts.clone(),
            profile: self.experiment.profile.clone(),
            numbers: Arc::default(),
        };
        let targets = direct::targets(&self.lock());
        let report = direct::measure(&context, targets, self.length).await;
        drop(probing);
        let executions = self.executions().await;
        let mut account = Account::default();
        account.add_online(&report.completions, &executions);
        account.add_application(&report.applications, &executions);
        ArmFigures {
            measured_s: self.length.as_secs_f64(),
            machine: probe.machine_load(),
            account,
            direct: Some(report.figures),
            ..ArmFigures::default()
        }
    }

    /// Any other arm.
    async fn load(&self, load: PreparedLoad) -> ArmFigures {
        let whole = WARM_UP + self.length;
        let probe = LatenessProbe::default();
        let sampler = EngineSampler::default();
        let mut watchers = vec![self.spawn_probe(&probe), self.spawn_steering()];
        watchers.extend(self.spawn_samplers(&sampler));
        let batch = Arc::new(BatchLoad::new(
            self.context.clone(),
            JobClient::new(self.experiment.pool.clone()),
        ));
        let online = self.spawn_online(load.online);
        let application = self.spawn_application(load.application);
        let submitting = self.spawn_batch(&batch, load.jobs);
        let progress = self.spawn_progress(&batch);
        let faults = self.spawn_faults();
        let processors = self.processors_in_window(whole).await;
        let online = online.await;
        let application = application.await;
        let faults = faults.await;
        submitting.await;
        drop(progress);
        let end_of_use = self.context.start + whole;
        let engines = sampler.mean(self.context.start + WARM_UP, end_of_use);
        let batch = self.finish_batch(batch).await;
        drop(watchers);
        write_calls(&self.folder.join("online.csv"), &online);
        write_calls(&self.folder.join("application.csv"), &application);
        let mut account = self.account(&online, &application, &batch).await;
        self.check_batch_stopped(&mut account).await;
        let mut figures = latency_figures(&online, &application);
        figures.measured_s = self.length.as_secs_f64();
        figures.batch_items_per_second = items_per_second(&batch.samples, WARM_UP, whole);
        figures.batch_progress = progress_points(&batch);
        figures.engines = engines;
        figures.gateway_cores = processors.gateways / self.length.as_secs_f64();
        figures.replica_cores = processors.replicas / self.length.as_secs_f64();
        figures.machine = probe.machine_load();
        figures.account = account;
        figures.faults = faults;
        figures
    }

    fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) -> Task<()> {
        self.experiment.executor.spawn(task)
    }

    fn spawn_probe(&self, probe: &LatenessProbe) -> Task<()> {
        let probe = probe.clone();
        self.spawn(async move { probe.run().await })
    }

    fn spawn_steering(&self) -> Task<()> {
        let steering = self.context.steering.clone();
        let pool = self.experiment.pool.clone();
        self.spawn(async move { steering.keep_probing(&pool).await })
    }

    fn spawn_samplers(&self, sampler: &EngineSampler) -> Vec<Task<()>> {
        let engines = self.engine_addresses();
        let spawn_one = |engine| {
            let sampler = sampler.clone();
            let pool = self.experiment.pool.clone();
            self.spawn(async move { sampler.watch(&pool, engine).await })
        };
        engines.into_iter().map(spawn_one).collect()
    }

    fn spawn_online(&self, prepared: Vec<PreparedCompletion>) -> Task<Vec<LoadRecord>> {
        let context = self.context.clone();
        let driving = async move { drive_online(&context, prepared).await };
        self.experiment.executor.spawn(driving)
    }

    fn spawn_application(&self, prepared: Vec<PreparedApplication>) -> Task<Vec<LoadRecord>> {
        let context = self.context.clone();
        let driving = async move { drive_application(&context, prepared).await };
        self.experiment.executor.spawn(driving)
    }

    fn spawn_batch(&self, batch: &Arc<BatchLoad>, jobs: Vec<PreparedJob>) -> Task<()> {
        let batch = batch.clone();
        self.spawn(async move { batch.submit_all(jobs).await })
    }

    fn spawn_progress(&self, batch: &Arc<BatchLoad>) -> Task<()> {
        let batch = batch.clone();
        self.spawn(async move { batch.keep_watching().await })
    }

    fn spawn_faults(&self) -> Task<Option<super::faults::FaultFigures>> {
        let with_faults = self.arm == Arm::Faults;
        let driver = FaultDriver::new(
            self.fleet.clone(),
            self.experiment.pool.clone(),
            self.context.start + WARM_UP,
            self.length,
        );
        let driving = async move {
            match with_faults {
                true => Some(driver.run().await),
                false => None,
            }
        };
        self.experiment.executor.spawn(driving)
    }

    /// Waits for the end of the measured time and returns the processor time
    /// that was used within it.
    async fn processors_in_window(&self, whole: Duration) -> ProcessorSeconds {
        Timer::at(self.context.start + WARM_UP).await;
        let before = self.processors();
        Timer::at(self.context.start + whole).await;
        let after = self.processors();
        ProcessorSeconds {
            gateways: (after.gateways - before.gateways).max(0.0),
            replicas: (after.replicas - before.replicas).max(0.0),
        }
    }

    fn processors(&self) -> ProcessorSeconds {
        let fleet = self.lock();
        let used = |role| {
            let nodes = fleet.nodes_of(role);
            let processes: Vec<u32> = nodes.map(|node| node.process.id()).collect();
            processor_seconds_of(&processes)
        };
        ProcessorSeconds {
            gateways: used(Role::Gateway),
            replicas: used(Role::Replica),
        }
    }

    async fn finish_batch(&self, batch: Arc<BatchLoad>) -> BatchReport {
        let drain = match self.arm {
            Arm::Faults => FAULTS_DRAIN,
            _ => DRAIN,
        };
        let deadline = Instant::now() + drain;
        batch.finish(deadline, deadline + CANCEL_PATIENCE).await
    }

    async fn account(
        &self,
        online: &[LoadRecord],
        application: &[LoadRecord],
        batch: &BatchReport,
    ) -> Account {
        let executions = self.executions().await;
        let mut account = Account::default();
        account.add_online(&ended(online), &executions);
        account.add_application(&ended(application), &executions);
        for job in &batch.jobs {
            account.add_job(job, &executions);
        }
        for incident in &batch.incidents {
            account.note(incident.clone());
        }
        account.forgotten_runs = executions.forgotten();
        account
    }

    /// Notes when engines still hold batch work although every job has ended.
    async fn check_batch_stopped(&self, account: &mut Account) {
        let engines = self.engine_addresses();
        let deadline = Instant::now() + STOP_PATIENCE;
        loop {
            let left = batch_sequences(&self.experiment.pool, &engines).await;
            if left == Some(0) {
                return;
            }
            if Instant::now() >= deadline {
                return account.note("batch work runs on after every job has ended");
            }
            Timer::after(RETRY_PAUSE).await;
        }
    }

    async fn executions(&self) -> Executions {
        let backends: Vec<SocketAddr> = {
            let fleet = self.lock();
            let backends = fleet.backends.iter();
            backends.map(|backend| backend.address).collect()
        };
        let mut executions = Executions::default();
        for backend in backends {
            if let Some(log) = execution_log(&self.experiment.pool, backend).await {
                executions.add(&log);
            }
        }
        executions
    }

    fn engine_addresses(&self) -> Vec<SocketAddr> {
        let fleet = self.lock();
        fleet.engines().map(|engine| engine.address).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Processor time by role.
struct ProcessorSeconds {
    gateways: f64,
    replicas: f64,
}

fn ended(records: &[LoadRecord]) -> Vec<EndedCall> {
    let ended = records.iter().map(|record| EndedCall {
        prompt: record.call.prompt,
        repeatable: record.repeatable,
        outcome: record.call.outcome.clone(),
    });
    ended.collect()
}

/// Times of the calls that were due within the measured time.
fn latency_figures(online: &[LoadRecord], application: &[LoadRecord]) -> ArmFigures {
    let measured = |record: &&LoadRecord| record.at >= WARM_UP;
    let online: Vec<&LoadRecord> = online.iter().filter(measured).collect();
    let first = Durations::of(online.iter().filter_map(|record| record.call.first_token));
    let shares: Vec<f64> = (1..=CURVE_POINTS)
        .map(|point| f64::from(point) / f64::from(CURVE_POINTS))
        .collect();
    let gaps = online.iter().flat_map(|record| &record.call.token_gaps);
    let application = application.iter().filter(measured);
    ArmFigures {
        first_token: first.quantiles(),
        first_token_curve_ms: first.curve(&shares),
        online_whole: Durations::of(online.iter().map(|record| record.call.whole)).quantiles(),
        token_gap: Durations::of(gaps.copied()).quantiles(),
        application_whole: Durations::of(application.map(|record| record.call.whole)).quantiles(),
        ..ArmFigures::default()
    }
}

/// Writes every call with its intended time, for a closer look.
fn write_calls(path: &Path, records: &[LoadRecord]) {
    let mut text = "intended_ms,first_token_ms,whole_ms,outcome\n".to_owned();
    for record in records {
        let millis = |time: Duration| time.as_secs_f64() * 1e3;
        let first = record.call.first_token.map_or(0.0, millis);
        // Writing to a string cannot fail.
        let _ = writeln!(
            text,
            "{:.1},{first:.2},{:.2},{}",
            millis(record.at),
            millis(record.call.whole),
            record.call.outcome.label()
        );
    }
    if let Err(error) = write_file(path, &text) {
        eprintln!("bench: {error}");
    }
}

fn progress_points(batch: &BatchReport) -> Vec<ProgressPoint> {
    let points = batch.samples.iter().map(|sample| ProgressPoint {
        at_s: sample.at.as_secs_f64(),
        completed: sample.completed,
    });
    points.collect()
}

/// Runs `task` on `executor` with threads of its own until it ends.
pub fn run_on_threads<T>(
    executor: &Arc<Executor<'static>>,
    threads: usize,
    task: impl Future<Output = T>,
) -> T {
    let (running, ended) = async_channel::bounded::<()>(1);
    for _ in 0..threads {
        let executor = executor.clone();
        let ended = ended.clone();
        std::thread::spawn(move || {
            // The channel closes with the run.
            let _ = future::block_on(executor.run(ended.recv()));
        });
    }
    let output = async_io::block_on(executor.run(task));
    drop(running);
    output
}
