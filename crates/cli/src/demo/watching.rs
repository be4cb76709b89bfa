//! Shows the decisions made so far, as `molespan watch` prints them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_telemetry::{Event, EventKind, Watched};

use super::fleet::DemoFleet;
use super::guide::Guide;
use super::report::DemoReport;
use crate::client::{Call, Client};
use crate::commands::watch::{EVENTS_PATH, event_text, read_event};
use crate::error::CliError;

/// Number of earlier events requested.
const HISTORY: u32 = 100_000;
/// Time without an event after which the history counts as fully read.
const IDLE_TIMEOUT: Duration = Duration::from_millis(300);
/// Timeout for reading, because new decisions keep arriving.
const READ_TIMEOUT: Duration = Duration::from_secs(3);

/// Counts the decisions of every node by kind, with an example of each.
pub(super) async fn show_decisions(
    fleet: &DemoFleet,
    guide: &mut Guide<'_>,
    report: &mut DemoReport,
) -> Result<(), CliError> {
    guide.chapter("Every decision could be watched");
    let mut by_kind: BTreeMap<EventKind, Vec<Event>> = BTreeMap::new();
    for node in fleet.node_addresses() {
        for event in read_history(&fleet.client(), node).await? {
            report.decisions_watched += 1;
            by_kind.entry(event.kind).or_default().push(event);
        }
    }
    for (kind, events) in &by_kind {
        guide.print(format!("{:>5} of kind {kind}, such as", events.len()));
        if let Some(event) = events.last() {
            guide.print(format!("      {}", event_text(event)));
        }
    }
    guide.print("molespan watch --kind route follows them as they are made");
    Ok(())
}

/// Returns the events that a node still holds.
async fn read_history(client: &Client, node: SocketAddr) -> Result<Vec<Event>, CliError> {
    let call = Call::get(EVENTS_PATH).query("history", HISTORY);
    let mut stream = client.send_to(node, &call).await?.events();
    let mut events = Vec::new();
    let mut limit = Timer::after(READ_TIMEOUT);
    loop {
        let next = async { stream.next_raw().await.ok().flatten() };
        let timeout = async {
            future::or(async { Timer::after(IDLE_TIMEOUT).await }, &mut limit).await;
            None
        };
        let Some(event) = future::or(next, timeout).await else {
            return Ok(events);
        };
        if let Ok(Watched::Event(event)) = read_event(&event) {
            events.push(event);
        }
    }
}
