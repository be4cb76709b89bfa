//! Planned stops: one gateway under load, then the whole fleet.

use std::time::{Duration, Instant};

use async_io::Timer;

use super::fleet::{DemoFleet, DemoNode};
use super::guide::Guide;
use super::online::{Form, send_with_retries};
use super::report::DemoReport;
use crate::client::Client;
use crate::error::CliError;

/// Number of streams in flight when the gateway is stopped.
const STREAMS: u32 = 8;
/// Tokens per stream, which take about one second.
const TOKENS: u32 = 200;
/// Delay for the streams to start.
const STREAM_START_DELAY: Duration = Duration::from_millis(200);

/// Stops one gateway gracefully while it serves streams.
pub(super) async fn stop_gateway_under_load(
    fleet: &mut DemoFleet,
    guide: &mut Guide<'_>,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    let Some(gateway) = fleet.gateways.pop() else {
        return Ok(());
    };
    guide.chapter("A gateway stops as planned");
    let client = Client::new(vec![gateway.node.http_address()]);
    let mut streams = Vec::new();
    for number in 0..STREAMS {
        let prompt = format!("A long walk through album {number}");
        let stream = send_with_retries(client.clone(), Form::Streamed, prompt, TOKENS);
        streams.push(fleet.executor.spawn(stream));
    }
    Timer::after(STREAM_START_DELAY).await;
    let name = gateway.name.clone();
    guide.print(format!(
        "{name} is told to stop with {STREAMS} streams in flight"
    ));
    let started = Instant::now();
    stop_node(fleet, gateway).await;
    guide.print(format!(
        "{name} stopped after {} ms",
        started.elapsed().as_millis()
    ));
    for stream in streams {
        report.online_requests += 1;
        match stream.await {
            Ok(outcome) if outcome.is_correct() => {
                report.online_completed += 1;
                report.online_streamed += 1;
            }
            _ => report.cut_off_by_stop += 1,
        }
    }
    guide.print(format!(
        "{} of {STREAMS} streams were cut off",
        report.cut_off_by_stop
    ));
    Ok(())
}

/// Stops the other gateways, then the replicas, then the back ends.
pub(super) async fn stop_all(
    mut fleet: DemoFleet,
    guide: &mut Guide<'_>,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    guide.chapter("Everything stops");
    let gateways = std::mem::take(&mut fleet.gateways);
    stop_together(&fleet, gateways).await;
    let replicas = std::mem::take(&mut fleet.replicas);
    for replica in replicas {
        stop_node(&fleet, replica).await;
    }
    fleet.back_ends.stop();
    report.elapsed_ms = fleet.started.elapsed().as_millis() as u64;
    guide.print("all nodes have stopped and their files are removed");
    Ok(())
}

async fn stop_together(fleet: &DemoFleet, nodes: Vec<DemoNode>) {
    let stopping: Vec<_> = nodes
        .into_iter()
        .map(|node| {
            fleet
                .executor
                .spawn(async move { drop(node.node.stop().await) })
        })
        .collect();
    for stopped in stopping {
        stopped.await;
    }
}

async fn stop_node(fleet: &DemoFleet, node: DemoNode) {
    stop_together(fleet, vec![node]).await;
}
