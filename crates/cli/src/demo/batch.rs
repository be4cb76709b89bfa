//! Batch step of the demo: submission, resubmission, concurrent online requests, results.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use async_io::Timer;
use molespan_emulator::expected_answer;
use serde::Deserialize;
use serde_json::json;

use super::fleet::DemoFleet;
use super::guide::Guide;
use super::online::{Form, count, send_all};
use super::operator::CAPTION_SERVICE;
use super::report::DemoReport;
use crate::client::{Call, Client};
use crate::commands::jobs::{JOBS_PATH, JobView, follow};
use crate::error::CliError;

/// Number of items in the job.
const ITEMS: u32 = 200;
/// Number of tokens generated per item.
const TOKENS: u32 = 128;
/// Idempotency key of the job.
const KEY: &str = "memorial-display";
/// Tenant that submits the job.
const TENANT: &str = "hall-1";
/// Error code: the key belongs to a different job.
const KEY_CONFLICT: &str = "key_conflict";
/// Timeout for engines to start running items.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Polling interval.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of online requests sent while the job runs.
const ONLINE_REQUESTS: u32 = 20;

/// One line of the results.
#[derive(Clone, Debug, Deserialize)]
struct ResultLine {
    item: u32,
    outcome: String,
    text: String,
}

/// Runs a job and reads its results from another gateway.
pub(super) async fn run_job(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    guide.chapter("A clerk submits a batch job, and callers keep coming");
    let started = Instant::now();
    let job = submit(fleet, guide, report).await?;
    wait_until_running(&tenant_client(fleet, 0), &job.id).await?;
    let tasks = send_all(
        fleet,
        Form::Streamed,
        ONLINE_REQUESTS,
        "the counter's picture",
    );
    report.online_during_batch = count(tasks, report).await?;
    guide.print(format!(
        "{} online requests completed, sent while engines ran items of the job",
        report.online_during_batch
    ));
    let ended = follow(&tenant_client(fleet, 2), &job.id, guide.console()).await?;
    report.batch_completed = ended.completed;
    guide.print(format!(
        "{} after {} ms, as a third gateway tells",
        ended.summary(),
        started.elapsed().as_millis()
    ));
    read_results(fleet, &job.id, report).await?;
    guide.print(format!(
        "{} results read at another gateway, {} duplicates; each text is the one it must be",
        report.results_readable, report.batch_duplicates
    ));
    Ok(())
}

/// Waits until engines run items of the job.
async fn wait_until_running(client: &Client, job: &str) -> Result<(), CliError> {
    let started = Instant::now();
    let call = Call::get(format!("{JOBS_PATH}/{job}"));
    loop {
        let view: JobView = client.json(&call).await?;
        if view.leased > 0 || view.ended_items() > 0 {
            return Ok(());
        }
        if started.elapsed() > START_TIMEOUT {
            return Err(CliError::Failed(format!("no engine ran an item of {job}")));
        }
        Timer::after(POLL_INTERVAL).await;
    }
}

fn tenant_client(fleet: &DemoFleet, gateway: usize) -> Client {
    fleet
        .client_of(gateway)
        .with_tenant(Some(TENANT.to_owned()))
}

fn prompt(item: u32) -> String {
    format!("Caption photograph {item} of the memorial display")
}

fn submission(items: u32) -> Call {
    let lines: Vec<String> = (0..items)
        .map(|item| json!({ "prompt": prompt(item), "max_tokens": TOKENS }).to_string())
        .collect();
    Call::post(JOBS_PATH, lines.join("\n").into_bytes())
        .content_type("application/x-ndjson")
        .query("service", CAPTION_SERVICE)
        .query("key", KEY)
}

/// Submits the job, resubmits it at another gateway, and submits a different job
/// under the same key.
async fn submit(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
    report: &mut DemoReport,
) -> Result<JobView, CliError> {
    let job: JobView = tenant_client(fleet, 0).json(&submission(ITEMS)).await?;
    report.batch_items = job.items;
    guide.print(format!("{} with {} items was accepted", job.id, job.items));
    let replay: JobView = tenant_client(fleet, 1).json(&submission(ITEMS)).await?;
    if replay.id != job.id || replay.items != job.items {
        report.batch_duplicates += 1;
    }
    guide.print("submitted again at another gateway, as after a lost answer: the same job");
    match tenant_client(fleet, 1)
        .json::<JobView>(&submission(ITEMS - 1))
        .await
    {
        Err(CliError::Refused(detail)) if detail.code == KEY_CONFLICT => {
            guide.print("other items under the same key: refused, nothing was run");
        }
        other => {
            let message = format!("other items under the same key gave {other:?}");
            return Err(CliError::Failed(message));
        }
    }
    Ok(job)
}

/// Reads the results from the second gateway and checks every line.
async fn read_results(
    fleet: &DemoFleet,
    job: &str,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    let call = Call::get(format!("{JOBS_PATH}/{job}/results"));
    let text = tenant_client(fleet, 1).text(&call).await?;
    let mut lines_of_item: BTreeMap<u32, u32> = BTreeMap::new();
    for line in text.lines() {
        let line: ResultLine = serde_json::from_str(line)
            .map_err(|error| CliError::Failed(format!("a result cannot be read: {error}")))?;
        *lines_of_item.entry(line.item).or_default() += 1;
        let expected = expected_answer(&prompt(line.item), TOKENS);
        if line.outcome == "completed" && line.text == expected {
            report.results_readable += 1;
        }
    }
    let surplus: u32 = lines_of_item.values().map(|lines| lines - 1).sum();
    report.batch_duplicates += surplus;
    Ok(())
}
