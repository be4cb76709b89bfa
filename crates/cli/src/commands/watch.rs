//! `molespan watch`.

use std::net::SocketAddr;
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use molespan_http::ServerEvent;
use molespan_telemetry::{Event, EventKind, Watched};
use serde_json::json;

use crate::client::{Call, Client};
use crate::console::Console;
use crate::error::{CliError, ExitStatus};
use crate::flags::Watch;

/// URL path of the event stream.
pub(crate) const EVENTS_PATH: &str = "/admin/events";
/// Initial backoff before a broken stream is reopened.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Maximum backoff before a broken stream is reopened.
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// Capacity of the event queue for the output. If the output is too slow, the
/// stream is read more slowly than events occur, which shows as a gap.
const QUEUE_CAPACITY: usize = 256;

/// Update from the stream of one gateway.
#[derive(Debug)]
enum StreamUpdate {
    /// An event or a gap.
    Watched(SocketAddr, Watched),
    /// The stream broke and is being reopened. Events may be missing.
    Lost(SocketAddr, String),
    /// The stream is open.
    Following(SocketAddr),
}

/// Prints the events of all given gateways as they occur.
pub(crate) async fn run(
    client: &Client,
    flags: Watch,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let call = subscription(&flags)?;
    let (sender, receiver) = async_channel::bounded(QUEUE_CAPACITY);
    let executor = LocalExecutor::new();
    for gateway in client.gateways() {
        let follower = follow(client.clone(), *gateway, call.clone(), sender.clone());
        executor.spawn(follower).detach();
    }
    drop(sender);
    executor.run(print(receiver, flags.count, console)).await
}

/// Builds the request that opens the stream.
fn subscription(flags: &Watch) -> Result<Call, CliError> {
    let unknown: Vec<&str> = flags
        .kind
        .iter()
        .map(String::as_str)
        .filter(|kind| kind.parse::<EventKind>().is_err())
        .collect();
    if !unknown.is_empty() {
        let known: Vec<String> = EventKind::ALL.iter().map(EventKind::to_string).collect();
        let message = format!(
            "there is no kind {}; kinds are {}",
            unknown.join(", "),
            known.join(", ")
        );
        return Err(CliError::Usage(message));
    }
    let mut call = Call::get(EVENTS_PATH);
    if !flags.kind.is_empty() {
        call = call.query("kind", flags.kind.join(","));
    }
    if let Some(subject) = &flags.subject {
        call = call.query("subject", subject);
    }
    if let Some(history) = flags.history {
        call = call.query("history", history);
    }
    Ok(call)
}

/// Keeps the stream of one gateway open until the receiver is dropped.
async fn follow(client: Client, gateway: SocketAddr, call: Call, updates: Sender<StreamUpdate>) {
    let mut backoff = INITIAL_BACKOFF;
    while !updates.is_closed() {
        let reason = match read_stream(&client, gateway, &call, &updates, &mut backoff).await {
            Ok(()) => "the gateway ended the stream".to_owned(),
            Err(error) => error.to_string(),
        };
        if updates
            .send(StreamUpdate::Lost(gateway, reason))
            .await
            .is_err()
        {
            return;
        }
        Timer::after(backoff).await;
        backoff = (backoff * 2).min(MAX_BACKOFF);
    }
}

/// Forwards the events of one stream until it ends.
async fn read_stream(
    client: &Client,
    gateway: SocketAddr,
    call: &Call,
    updates: &Sender<StreamUpdate>,
    backoff: &mut Duration,
) -> Result<(), CliError> {
    let mut stream = client.send_to(gateway, call).await?.events();
    *backoff = INITIAL_BACKOFF;
    if updates
        .send(StreamUpdate::Following(gateway))
        .await
        .is_err()
    {
        return Ok(());
    }
    let broken = |what: String| CliError::Unexpected {
        gateway: gateway.to_string(),
        what,
    };
    loop {
        let event = stream.next_raw().await;
        let Some(event) = event.map_err(|error| broken(error.to_string()))? else {
            return Ok(());
        };
        let watched = read_event(&event).map_err(|error| broken(error.to_string()))?;
        if updates
            .send(StreamUpdate::Watched(gateway, watched))
            .await
            .is_err()
        {
            return Ok(());
        }
    }
}

/// Parses an event or a gap from a server-sent event.
pub(crate) fn read_event(event: &ServerEvent) -> Result<Watched, serde_json::Error> {
    serde_json::from_str(&event.data)
}

/// Prints updates until `count` events were printed.
async fn print(
    updates: Receiver<StreamUpdate>,
    count: Option<u64>,
    console: &mut Console,
) -> Result<ExitStatus, CliError> {
    let mut seen = 0;
    while let Ok(update) = updates.recv().await {
        if matches!(update, StreamUpdate::Watched(_, Watched::Event(_))) {
            seen += 1;
        }
        if console.is_json() {
            print_json(update, console)?;
        } else {
            print_text(update, console)?;
        }
        if count.is_some_and(|count| seen >= count) {
            break;
        }
    }
    Ok(ExitStatus::Success)
}

fn print_json(update: StreamUpdate, console: &mut Console) -> Result<(), CliError> {
    match update {
        StreamUpdate::Watched(gateway, Watched::Event(event)) => {
            console.json_line(&json!({ "gateway": gateway, "event": event }))
        }
        StreamUpdate::Watched(gateway, Watched::Gap(gap)) => {
            console.json_line(&json!({ "gateway": gateway, "gap": gap, "lost": gap.lost() }))
        }
        StreamUpdate::Lost(gateway, reason) => {
            console.json_line(&json!({ "gateway": gateway, "disconnected": reason }))
        }
        StreamUpdate::Following(gateway) => {
            console.json_line(&json!({ "gateway": gateway, "connected": true }))
        }
    }
}

fn print_text(update: StreamUpdate, console: &mut Console) -> Result<(), CliError> {
    match update {
        StreamUpdate::Watched(_, Watched::Event(event)) => console.line(event_text(&event)),
        StreamUpdate::Watched(gateway, Watched::Gap(gap)) => console.line(format!(
            "---- gap: {} events of {gateway} were lost ----",
            gap.lost()
        )),
        StreamUpdate::Lost(gateway, reason) => {
            console.progress(format!(
                "---- {gateway}: {reason}; events may be missing, connecting again ----"
            ));
            Ok(())
        }
        StreamUpdate::Following(gateway) => {
            console.progress(format!("---- following {gateway} ----"));
            Ok(())
        }
    }
}

/// Formats an event on one line.
pub(crate) fn event_text(event: &Event) -> String {
    let inputs: Vec<String> = event
        .inputs
        .iter()
        .map(|input| format!("{}={}", input.name, input.value))
        .collect();
    let mut text = format!(
        "{} node {} {:<13} {}: {}",
        clock_text(event.at_unix_ms),
        event.node,
        event.kind.to_string(),
        event.subject,
        event.reason
    );
    if !inputs.is_empty() {
        text.push_str(&format!(" [{}]", inputs.join(" ")));
    }
    text
}

/// Formats the time of day in UTC.
fn clock_text(at_unix_ms: u64) -> String {
    const DAY: u64 = 86_400_000;
    let millis = at_unix_ms % DAY;
    let (seconds, rest) = (millis / 1000, millis % 1000);
    let (hours, minutes) = (seconds / 3600, seconds / 60 % 60);
    format!("{hours:02}:{minutes:02}:{:02}.{rest:03}", seconds % 60)
}
