//! Configures a new fleet: plans and confirms one intent, as an operator does.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use async_io::Timer;
use molespan_http::{Method, Pool, json_body, new_request};
use molespan_state::control::{
    Change, ConfirmIntent, ConfirmReply, IntentNumber, Model, Policy, Service, ServiceKind,
    TenantLimits,
};
use molespan_types::{ConfigVersion, ModelName, TenantId};

use crate::BenchError;
use crate::run::profile::Profile;

/// URL path of plans.
const PLANS_PATH: &str = "/admin/plans";
/// Number of the intent that configures the fleet.
const SET_UP_INTENT: u64 = 1;
/// Timeout for a new fleet to elect its leaders and accept the intent.
const SET_UP_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Maximum number of in-flight requests of a service per gateway.
const MAX_CONCURRENCY: u32 = 4_096;
/// Maximum number of queued requests of a service per gateway.
const MAX_QUEUE: u32 = 4_096;
/// Maximum time in the queue, in milliseconds.
const QUEUE_TIMEOUT_MS: u32 = 10_000;
/// Rate in requests per second, and burst, of the load's tenants.
const TENANT_RATE: u32 = 100_000;
/// Names of the load's tenants.
const TENANTS: [&str; 2] = ["residents", "clerks"];
/// Maximum size of a response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// Returns the intent that creates the services of `profile`.
#[must_use]
pub fn set_up_intent(profile: &Profile) -> ConfirmIntent {
    let fleet = &profile.fleet;
    let model = ModelName::from(fleet.model.as_str());
    let mut changes = vec![
        Change::PutModel {
            name: model.clone(),
            model: Model { version: 1 },
        },
        Change::PutService {
            name: fleet.service.clone(),
            service: service(ServiceKind::Completion, Some(model)),
        },
        Change::PutService {
            name: fleet.application_service.clone(),
            service: service(ServiceKind::Application, None),
        },
        Change::PutPolicy {
            policy: Policy {
                tail_protection: profile.tail_protection,
            },
        },
    ];
    changes.extend(TENANTS.map(|tenant| Change::PutTenant {
        name: TenantId::from(tenant),
        limits: TenantLimits {
            requests_per_second: TENANT_RATE,
            burst: TENANT_RATE,
            batch_weight: 1,
        },
    }));
    ConfirmIntent {
        number: IntentNumber(SET_UP_INTENT),
        operator: "bench".to_owned(),
        base_version: ConfigVersion(0),
        changes,
    }
}

fn service(kind: ServiceKind, model: Option<ModelName>) -> Service {
    Service {
        kind,
        batch: kind == ServiceKind::Completion,
        model,
        adapters: Vec::new(),
        max_concurrency: MAX_CONCURRENCY,
        max_queue: MAX_QUEUE,
        queue_timeout_ms: QUEUE_TIMEOUT_MS,
        replicas: 0,
    }
}

/// Plans and confirms the intent at a gateway. Both calls are retried until they
/// succeed.
///
/// # Errors
///
/// Fails on a timeout or if the intent is rejected.
pub async fn set_up(pool: &Pool, gateway: SocketAddr, profile: &Profile) -> Result<(), BenchError> {
    let intent = set_up_intent(profile);
    let deadline = Instant::now() + SET_UP_TIMEOUT;
    loop {
        match plan_and_confirm(pool, gateway, &intent).await {
            Ok(ConfirmReply::Confirmed { .. }) => return Ok(()),
            Ok(other) => {
                return Err(BenchError::SetUp {
                    reason: format!("the intent was answered with {other:?}"),
                });
            }
            Err(reason) if Instant::now() >= deadline => {
                return Err(BenchError::SetUp { reason });
            }
            Err(_) => {
                Timer::after(RETRY_DELAY).await;
            }
        }
    }
}

async fn plan_and_confirm(
    pool: &Pool,
    gateway: SocketAddr,
    intent: &ConfirmIntent,
) -> Result<ConfirmReply, String> {
    post(pool, gateway, PLANS_PATH, Some(intent)).await?;
    let path = format!("{PLANS_PATH}/{}/confirm", intent.number);
    let answer = post(pool, gateway, &path, None).await?;
    serde_json::from_slice(&answer).map_err(|error| format!("{path}: {error}"))
}

/// Sends a POST request and returns the body of a successful response.
async fn post(
    pool: &Pool,
    gateway: SocketAddr,
    path: &str,
    body: Option<&ConfirmIntent>,
) -> Result<Vec<u8>, String> {
    let request = new_request(Method::Post, gateway, path);
    let mut request = request.map_err(|error| error.to_string())?;
    if let Some(body) = body {
        request.set_body(json_body(body));
    }
    let response = pool.send(gateway, request).await;
    let response = response.map_err(|error| error.to_string())?;
    let status = response.status();
    let answer = response.bytes(MAX_RESPONSE_BYTES).await;
    let answer = answer.map_err(|error| error.to_string())?;
    if status.is_success() {
        return Ok(answer);
    }
    let answer = String::from_utf8_lossy(&answer);
    Err(format!("{path} answered {status}: {answer}"))
}
