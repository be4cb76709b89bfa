//! `molespan bars`: lists and lifts bars on requests that crashed engines.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use molespan_daemon::cluster::Cluster;
use molespan_daemon::wall_clock::unix_millis;
use molespan_fleet::ClusterAddresses;
use molespan_fleet::membership::cluster;
use molespan_state::declared::{Bar, DeclaredCommand, RequestDigest};
use molespan_types::NodeId;
use serde_json::json;

use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags::{Bars, BarsCmd};
use crate::gateways::addresses;
use crate::table::Table;

/// Timeout for the control group; longer than a leader election takes.
const DEADLINE: Duration = Duration::from_secs(5);

/// Runs a subcommand of `bars`.
pub(crate) async fn run(flags: &Bars, console: &mut Console) -> Result<ExitStatus, CliError> {
    let nodes = addresses("control node", &flags.control)?;
    let executor = Arc::new(Executor::new());
    let control = control(&nodes, &executor)?;
    let work = async {
        match &flags.subcommand {
            BarsCmd::Show(_) => list(&control, console).await,
            BarsCmd::Lift(lift) => self::lift(&control, &lift.digest, console).await,
        }
    };
    executor.run(work).await
}

/// Creates a client of the control group on these nodes, which must share a port.
fn control(
    nodes: &[SocketAddr],
    executor: &Arc<Executor<'static>>,
) -> Result<Arc<Cluster>, CliError> {
    let mut seeds = Vec::new();
    for node in nodes {
        match node {
            SocketAddr::V4(address) => seeds.push(NodeId::of_address(*address.ip())),
            SocketAddr::V6(_) => {
                let message = format!("control node {node} does not have an IPv4 address");
                return Err(CliError::Usage(message));
            }
        }
    }
    let port = nodes.first().map_or(0, SocketAddr::port);
    if let Some(other) = nodes.iter().find(|node| node.port() != port) {
        let message = format!("control node {other} has a different port than the first");
        return Err(CliError::Usage(message));
    }
    let own = seeds.first().copied().unwrap_or(NodeId(0));
    let addresses = ClusterAddresses {
        own,
        port,
        store_port: port,
        seeds: seeds.clone(),
    };
    Ok(cluster(addresses.transport(executor), seeds))
}

async fn list(control: &Cluster, console: &mut Console) -> Result<ExitStatus, CliError> {
    let declared = control.declared(DEADLINE).await;
    let declared = declared.map_err(CliError::Control)?;
    let now_ms = unix_millis();
    let mut bars: Vec<(&RequestDigest, &Bar)> = declared.bars().iter().collect();
    bars.sort_by_key(|(_, bar)| std::cmp::Reverse(bar.change));
    if console.is_json() {
        for (digest, bar) in bars {
            let holds_s = bar.remaining(now_ms).map(|left| left.as_secs());
            let row = json!({
                "digest": digest.to_string(), "crashes": bar.crashes, "lifted": bar.lifted,
                "since_ms": bar.since_ms, "holds_s": holds_s,
            });
            console.json_line(&row)?;
        }
        return Ok(ExitStatus::Success);
    }
    let titles = ["DIGEST", "CRASHES", "SINCE", "STATE"];
    let mut table = Table::new(titles.map(str::to_owned).to_vec());
    for (digest, bar) in bars {
        let since_s = now_ms.saturating_sub(bar.since_ms) / 1_000;
        let state = match bar.remaining(now_ms) {
            Some(left) => format!("holds for {} s", left.as_secs()),
            None if bar.lifted => "lifted".to_owned(),
            None => "over".to_owned(),
        };
        table.push(vec![
            digest.to_string(),
            bar.crashes.to_string(),
            format!("{since_s} s ago"),
            state,
        ]);
    }
    console.line(table)?;
    Ok(ExitStatus::Success)
}

async fn lift(
    control: &Cluster,
    digest: &str,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let Some(request) = RequestDigest::parse(digest) else {
        let message = format!("{digest:?} is not a digest of 32 hexadecimal digits");
        return Err(CliError::Usage(message));
    };
    let command = DeclaredCommand::LiftBar { request };
    let lifted = control.change_declared(command, DEADLINE).await;
    lifted.map_err(CliError::Control)?;
    console.line(format!("no bar holds on {request}"))?;
    Ok(ExitStatus::Success)
}
