//! Execution of one arm on its fleet.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use async_executor::Task;
use async_io::Timer;
use molespan_settings::Role;

use super::account::{Account, Executions};
use super::arm_figures::{finished_calls, latency_figures, progress_points, write_calls};
use super::arms::Arm;
use super::direct::{self, DirectContext};
use super::experiment::{Experiment, PreparedLoad, WARM_UP};
use super::faults::{FaultDriver, FaultFigures};
use super::figures::ArmFigures;
use super::fleet::Fleet;
use super::load::batch::{BatchLoad, BatchReport, PreparedJob, items_per_second};
use super::load::job_client::JobClient;
use super::load::online::{
    LoadContext, LoadRecord, PreparedApplication, PreparedCompletion, drive_application,
    drive_online,
};
use super::load::prompts::Prompts;
use super::measure::engines::{EngineSampler, batch_sequences, execution_log};
use super::measure::machine::{LatenessProbe, processor_seconds_of};

/// Time for jobs to end after the load before they are cancelled.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);
/// Like `DRAIN_TIMEOUT`, for the arm with faults, whose jobs are smaller.
const FAULTS_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for cancelled jobs to end.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(20);
/// Timeout for engines to hold no batch work once every job has ended.
const STOP_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval between checks for remaining batch work.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(200);

/// A running arm.
pub(super) struct ArmRun<'a> {
    /// Configuration and resources shared by all arms.
    pub(super) experiment: &'a Experiment,
    /// Arm that is run.
    pub(super) arm: Arm,
    /// Fleet, shared with the fault driver.
    pub(super) fleet: Arc<Mutex<Fleet>>,
    /// State shared by the calls.
    pub(super) context: Arc<LoadContext>,
    /// Prompt generator for direct calls.
    pub(super) prompts: Prompts,
    /// Duration of the measurement.
    pub(super) length: Duration,
    /// Folder for the files of the arm.
    pub(super) folder: PathBuf,
}

impl ArmRun<'_> {
    /// Runs the arm `direct`.
    pub(super) async fn direct(&self) -> ArmFigures {
        let probe = LatenessProbe::default();
        let probing = self.spawn_probe(&probe);
        let context = DirectContext {
            executor: self.experiment.executor.clone(),
            caller: self.context.caller.clone(),
            prompts: self.prompts.clone(),
            profile: self.experiment.profile.clone(),
            next_number: Arc::default(),
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

    /// Runs any other arm.
    pub(super) async fn load(&self, load: PreparedLoad) -> ArmFigures {
        let whole = WARM_UP + self.length;
        let probe = LatenessProbe::default();
        let sampler = EngineSampler::default();
        let mut watchers = vec![self.spawn_probe(&probe), self.spawn_readiness_probes()];
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

    fn spawn_readiness_probes(&self) -> Task<()> {
        let selector = self.context.selector.clone();
        let pool = self.experiment.pool.clone();
        self.spawn(async move { selector.keep_probing(&pool).await })
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
        self.spawn(async move { batch.poll_forever().await })
    }

    fn spawn_faults(&self) -> Task<Option<FaultFigures>> {
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

    /// Waits for the end of the measured time and returns the processor time used
    /// within it.
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
            Arm::Faults => FAULTS_DRAIN_TIMEOUT,
            _ => DRAIN_TIMEOUT,
        };
        let deadline = Instant::now() + drain;
        batch.finish(deadline, deadline + CANCEL_TIMEOUT).await
    }

    async fn account(
        &self,
        online: &[LoadRecord],
        application: &[LoadRecord],
        batch: &BatchReport,
    ) -> Account {
        let executions = self.executions().await;
        let mut account = Account::default();
        account.add_online(&finished_calls(online), &executions);
        account.add_application(&finished_calls(application), &executions);
        for job in &batch.jobs {
            account.add_job(job, &executions);
        }
        for incident in &batch.incidents {
            account.record_incident(incident.clone());
        }
        account.forgotten_runs = executions.forgotten();
        account
    }

    /// Records an incident if engines still hold batch work after every job has ended.
    async fn check_batch_stopped(&self, account: &mut Account) {
        let engines = self.engine_addresses();
        let deadline = Instant::now() + STOP_TIMEOUT;
        loop {
            let left = batch_sequences(&self.experiment.pool, &engines).await;
            if left == Some(0) {
                return;
            }
            if Instant::now() >= deadline {
                return account.record_incident("batch work runs on after every job has ended");
            }
            Timer::after(STOP_POLL_INTERVAL).await;
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

/// Processor time by role, in seconds.
struct ProcessorSeconds {
    gateways: f64,
    replicas: f64,
}
