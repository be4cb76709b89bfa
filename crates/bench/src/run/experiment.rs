//! Runs each arm on a separate fleet.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use async_executor::Executor;
use async_io::Timer;
use molespan_http::Pool;

use super::arm_run::ArmRun;
use super::arms::Arm;
use super::direct;
use super::figures::ArmFigures;
use super::fleet::programs::Programs;
use super::fleet::{Fleet, operator};
use super::load::batch::{PreparedJob, prepare_jobs};
use super::load::caller::Caller;
use super::load::online::{
    LoadContext, PreparedApplication, PreparedCompletion, prepare_application, prepare_online,
};
use super::load::prompts::Prompts;
use super::load::schedule::{application_arrivals, job_arrivals, online_arrivals};
use super::load::steering::GatewaySelector;
use super::profile::Profile;
use crate::BenchError;

/// Warm-up before the measured time, which fills caches and step cost estimates.
pub const WARM_UP: Duration = Duration::from_secs(4);
/// Delay of the load's start, in which its drivers are started.
const START_DELAY: Duration = Duration::from_millis(200);
/// Timeout for every gateway to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for each gateway to complete its first requests.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);
/// Delay before readiness or a first request is checked again.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Size of a job in the arm with faults, as a share of the usual number of items.
const FAULTS_JOB_SHARE: f64 = 0.3;
/// Measured time of the arm with faults, as a multiple of the other arms'.
const FAULTS_LENGTH_FACTOR: f64 = 1.6;

/// Configuration and resources shared by all arms of a run.
pub struct Experiment {
    /// Paths of the fleet's programs.
    pub programs: Programs,
    /// Fleet and load profile.
    pub profile: Profile,
    /// Measured time per arm.
    pub length: Duration,
    /// Seed for arrival times, prompts and random choices.
    pub seed: u64,
    /// Executor that runs the load.
    pub executor: Arc<Executor<'static>>,
    /// Connection pool of the load.
    pub pool: Pool,
}

/// Load of one arm, generated before it starts.
#[derive(Default)]
pub(super) struct PreparedLoad {
    pub(super) online: Vec<PreparedCompletion>,
    pub(super) application: Vec<PreparedApplication>,
    pub(super) jobs: Vec<PreparedJob>,
}

impl Experiment {
    /// Runs one arm. Files and logs of its fleet are written to `folder`.
    ///
    /// # Errors
    ///
    /// Fails if the fleet cannot be started or configured.
    pub async fn run_arm(&self, arm: Arm, folder: &Path) -> Result<ArmFigures, BenchError> {
        let variant = arm.variant();
        let fleet = Fleet::start(&self.programs, &self.profile, variant, self.seed, folder)?;
        let gateways = fleet.gateways();
        operator::set_up(&self.pool, gateways[0], &self.profile).await?;
        let selector = Arc::new(GatewaySelector::new(&gateways));
        self.wait_until_ready(&selector, &gateways).await?;
        let length = match arm {
            Arm::Faults => self.length.mul_f64(FAULTS_LENGTH_FACTOR),
            _ => self.length,
        };
        let prompts = Prompts::new(&format!("{}-{}", self.seed, arm.name()));
        let load = self.prepare(arm, &prompts, WARM_UP + length);
        let context = Arc::new(LoadContext {
            executor: self.executor.clone(),
            caller: Caller::new(self.pool.clone()),
            selector,
            start: Instant::now() + START_DELAY,
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

    /// Generates the load of an arm that lasts for `whole`.
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

    /// Waits until every gateway reports that it is ready and serves requests.
    async fn wait_until_ready(
        &self,
        selector: &GatewaySelector,
        gateways: &[SocketAddr],
    ) -> Result<(), BenchError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        loop {
            selector.probe(&self.pool).await;
            if selector.all_ready() {
                break;
            }
            if Instant::now() >= deadline {
                return Err(BenchError::SetUp {
                    reason: "a gateway does not become ready".to_owned(),
                });
            }
            Timer::after(RETRY_DELAY).await;
        }
        for gateway in gateways {
            self.wait_for_first_response(*gateway).await?;
        }
        Ok(())
    }

    /// Waits until a gateway completes a completion and an application call.
    async fn wait_for_first_response(&self, gateway: SocketAddr) -> Result<(), BenchError> {
        let deadline = Instant::now() + FIRST_RESPONSE_TIMEOUT;
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
            Timer::after(RETRY_DELAY).await;
        }
    }
}
