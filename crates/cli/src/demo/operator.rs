//! Operator step of the demo: creates the services by intent, plan and confirmation.

use std::time::{Duration, Instant};

use async_io::Timer;
use http_types::StatusCode;
use molespan_state::control::{Configuration, ConfirmIntent, ConfirmReply};
use molespan_types::ConfigVersion;
use serde::Deserialize;

use super::fleet::DemoFleet;
use super::guide::Guide;
use crate::client::{Call, Client};
use crate::commands::{apply, plan};
use crate::error::CliError;
use crate::intent::{Edit, Intent, apply_edits};

/// Service run by the engines.
pub(super) const CAPTION_SERVICE: &str = "caption";
/// Service run by the application back ends.
pub(super) const ALBUM_SERVICE: &str = "albums";
/// Timeout for every gateway to be ready or to apply a version.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Edits made by the operator.
const EDITS: [&str; 5] = [
    "model.caption.version=1",
    "service.caption.model=caption",
    "service.caption.replicas=8",
    "service.albums.kind=application",
    "tenant.hall-1.batch_weight=2",
];

/// Response of `GET /ready`.
#[derive(Clone, Debug, Deserialize)]
struct Ready {
    ready: bool,
    reason: String,
    version: ConfigVersion,
}

/// Creates the services and waits until they are in force everywhere.
pub(super) async fn create_services(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
) -> Result<(), CliError> {
    wait_for_configuration(fleet).await?;
    guide.print("the replicas have met, and every gateway reaches their leader");
    guide.chapter("An operator states an intent, reads the plan and confirms it");
    let client = fleet.client();
    let before: Configuration = client.json(&Call::get("/admin/configuration")).await?;
    let intent = intent(&before, "ana")?;
    let plan = plan::request_plan(&client, &intent).await?;
    guide.print(plan::plan_text(&plan));
    if !plan.problems.is_empty() {
        return Err(CliError::Failed("the plan has problems".to_owned()));
    }
    check_unchanged(&client, &before).await?;
    guide.print("so far nothing has changed");
    let version = confirm_twice(fleet, guide, &intent).await?;
    show_number_conflict(fleet, guide, &before, &intent).await?;
    let confirmed = Instant::now();
    wait_until_in_force(fleet, version).await?;
    guide.print(format!(
        "version {version} is in force at every gateway, seen {} ms after the confirmation",
        confirmed.elapsed().as_millis()
    ));
    Ok(())
}

fn intent(configuration: &Configuration, operator: &str) -> Result<ConfirmIntent, CliError> {
    let edits = EDITS.map(|edit| Edit::Set(edit.to_owned()));
    let intent = Intent {
        operator: Some(operator.to_owned()),
        changes: apply_edits(configuration, &edits)?,
        ..Intent::default()
    };
    Ok(plan::complete(configuration, intent))
}

async fn check_unchanged(client: &Client, before: &Configuration) -> Result<(), CliError> {
    let now: Configuration = client.json(&Call::get("/admin/configuration")).await?;
    if now == *before {
        return Ok(());
    }
    Err(CliError::Failed(
        "a plan changed the configuration".to_owned(),
    ))
}

/// Confirms the intent twice, the second time through another gateway, as a client
/// does whose first response was lost.
async fn confirm_twice(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
    intent: &ConfirmIntent,
) -> Result<ConfigVersion, CliError> {
    let first = apply::confirm(&fleet.client_of(0), intent).await?;
    guide.print(apply::reply_text(intent.number, &first));
    let again = apply::confirm(&fleet.client_of(1), intent).await?;
    guide.print("confirmed again at another gateway, as after a lost answer: the same reply");
    match (first, again) {
        (ConfirmReply::Confirmed { version }, ConfirmReply::Confirmed { version: second })
            if version == second =>
        {
            Ok(version)
        }
        (first, again) => Err(CliError::Failed(format!(
            "a confirmation gave {first:?}, and sent again {again:?}"
        ))),
    }
}

/// Shows that an intent of another operator with the same number is rejected.
async fn show_number_conflict(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
    before: &Configuration,
    winner: &ConfirmIntent,
) -> Result<(), CliError> {
    let edits = [Edit::Set("policy.tail_protection=90".to_owned())];
    let rival = ConfirmIntent {
        operator: "berhane".to_owned(),
        changes: apply_edits(before, &edits)?,
        ..winner.clone()
    };
    let reply = apply::confirm(&fleet.client_of(2), &rival).await?;
    if !matches!(reply, ConfirmReply::NumberTaken { .. }) {
        return Err(CliError::Failed(format!("a rival's intent gave {reply:?}")));
    }
    guide.print("a rival with the same number:");
    guide.print(apply::reply_text(rival.number, &reply));
    Ok(())
}

/// Waits until every gateway returns the configuration of the new cluster. Doesn't
/// wait for readiness: there is nothing to serve before the first change.
async fn wait_for_configuration(fleet: &DemoFleet) -> Result<(), CliError> {
    let started = Instant::now();
    let call = Call::get("/admin/configuration");
    for gateway in fleet.gateway_addresses() {
        let client = Client::new(vec![gateway]);
        while let Err(error) = client.json::<Configuration>(&call).await {
            if started.elapsed() > READY_TIMEOUT {
                return Err(error);
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
    Ok(())
}

/// Waits until every gateway is ready with at least `version`.
async fn wait_until_in_force(fleet: &DemoFleet, version: ConfigVersion) -> Result<(), CliError> {
    let started = Instant::now();
    let call = Call::get("/ready").accept_statuses(&[StatusCode::ServiceUnavailable]);
    for gateway in fleet.gateway_addresses() {
        let client = Client::new(vec![gateway]);
        loop {
            let ready: Ready = client.json(&call).await?;
            if ready.ready && ready.version >= version {
                break;
            }
            if started.elapsed() > READY_TIMEOUT {
                let message = format!(
                    "gateway {gateway} is at version {} and not ready for {version}: {}",
                    ready.version, ready.reason
                );
                return Err(CliError::Failed(message));
            }
            Timer::after(POLL_INTERVAL).await;
        }
    }
    Ok(())
}
