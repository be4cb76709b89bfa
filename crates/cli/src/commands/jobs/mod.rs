//! `molespan jobs`.

mod follow;
mod submit;
mod view;

use std::env;
use std::fs::File;
use std::io::{self, Write};

use futures_lite::io::AsyncReadExt;
use serde_json::Value;

use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags::{Jobs, JobsCmd, Results};
use crate::rows::table_of;

pub(crate) use follow::follow;
pub(crate) use view::JobView;

/// URL path of batch jobs.
pub(crate) const JOBS_PATH: &str = "/v1/batches";
/// Environment variable with the tenant to use if the flag is not given.
const TENANT_VARIABLE: &str = "MOLESPAN_TENANT";
/// Size of the buffer for reading results, in bytes.
const RESULT_CHUNK_BYTES: usize = 64 * 1024;

/// Runs a subcommand of `jobs`.
pub(crate) async fn run(
    client: Client,
    flags: Jobs,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let tenant = flags.tenant.or_else(|| env::var(TENANT_VARIABLE).ok());
    let client = client.with_tenant(tenant);
    match flags.subcommand {
        JobsCmd::Submit(flags) => submit::run(&client, &flags, console).await,
        JobsCmd::Status(flags) => status(&client, &flags.id, flags.wait, console).await,
        JobsCmd::Results(flags) => results(&client, &flags, console).await,
        JobsCmd::Cancel(flags) => cancel(&client, &flags.id, console).await,
        JobsCmd::List(_) => list(&client, console).await,
    }
}

/// Prints the state of a job, immediately or after it has ended.
async fn status(
    client: &Client,
    id: &str,
    wait: bool,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let call = Call::get(format!("{JOBS_PATH}/{id}"));
    if wait {
        let job = follow(client, id, console).await?;
        job.show(console)?;
        return Ok(job.exit_status());
    }
    let job: JobView = client.json(&call).await?;
    job.show(console)?;
    Ok(ExitStatus::Success)
}

/// Cancels a job. Idempotent.
async fn cancel(client: &Client, id: &str, console: &mut Console) -> Result<ExitStatus, CliError> {
    let call = Call::post(format!("{JOBS_PATH}/{id}/cancel"), Vec::new());
    let job: JobView = client.json(&call).await?;
    job.show(console)?;
    Ok(ExitStatus::Success)
}

/// Lists jobs.
async fn list(client: &Client, console: &mut Console) -> Result<ExitStatus, CliError> {
    let listing: Value = client.json(&Call::get(JOBS_PATH)).await?;
    if console.is_json() {
        console.json_line(&listing)?;
    } else {
        console.line(table_of("jobs", &listing))?;
    }
    Ok(ExitStatus::Success)
}

/// Streams the results of a job to a file or to standard output.
async fn results(
    client: &Client,
    flags: &Results,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let mut call = Call::get(format!("{JOBS_PATH}/{}/results", flags.id));
    if let Some(first) = flags.from {
        call = call.query("from", first);
    }
    let mut target: Box<dyn Write> = match &flags.output {
        Some(file) => Box::new(File::create(file)?),
        None => Box::new(io::stdout()),
    };
    let mut body = client.send(&call).await?.into_response().take_body();
    let mut chunk = vec![0; RESULT_CHUNK_BYTES];
    let mut lines = 0;
    loop {
        let read = body.read(&mut chunk).await;
        let read = read.map_err(|error| CliError::Unexpected {
            gateway: "the gateway".to_owned(),
            what: format!("the results were truncated after {lines} lines: {error}"),
        })?;
        if read == 0 {
            break;
        }
        lines += chunk[..read].iter().filter(|byte| **byte == b'\n').count();
        target.write_all(&chunk[..read])?;
    }
    target.flush()?;
    console.progress(format!("{lines} results"));
    Ok(ExitStatus::Success)
}
