//! The demo: runs a small fleet in one process and shows the main features.
//!
//! Replicas, gateways and emulated back ends run on the loopback interface, with
//! synced writes to a temporary folder. Every step uses the same HTTP API as
//! callers and operators.

mod batch;
mod fleet;
mod guide;
mod online;
mod operator;
mod ports;
mod report;
mod stop;
mod watching;

use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

use crate::console::Console;
use crate::error::{CliError, ExitStatus};
pub use fleet::DemoFleet;
use guide::Guide;
pub use ports::free_addresses;
use report::DemoReport;

/// Timeout for the whole demo.
const DEMO_TIMEOUT: Duration = Duration::from_secs(55);

/// Runs the demo. The last line of the output is its report.
pub(crate) async fn run(console: &mut Console) -> Result<ExitStatus, CliError> {
    let tour = tour(console);
    let limit = async {
        Timer::after(DEMO_TIMEOUT).await;
        let seconds = DEMO_TIMEOUT.as_secs();
        Err(CliError::Failed(format!(
            "the demo took longer than {seconds} s"
        )))
    };
    future::or(tour, limit).await
}

async fn tour(console: &mut Console) -> Result<ExitStatus, CliError> {
    let mut guide = Guide::new(console);
    let mut report = DemoReport::default();
    guide.chapter("A fleet starts");
    let mut fleet = DemoFleet::start()?;
    fleet.describe(&mut guide);
    operator::create_services(&fleet, &mut guide).await?;
    online::serve(&fleet, &mut guide, &mut report).await?;
    batch::run_job(&fleet, &mut guide, &mut report).await?;
    watching::show_decisions(&fleet, &mut guide, &mut report).await?;
    stop::stop_gateway_under_load(&mut fleet, &mut guide, &mut report).await?;
    stop::stop_all(fleet, &mut guide, &mut report).await?;
    report.show(console)?;
    Ok(report.exit_status())
}
