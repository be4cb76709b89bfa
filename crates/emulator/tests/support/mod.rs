//! Test support: a fleet on loopback and a raw TCP client that exposes every byte
//! of a response.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_executor::Executor;
use molespan_emulator::fleet::{Fleet, FleetSettings};
use serde::de::DeserializeOwned;

/// Maximum wait for an expected event.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// A fleet that is served by a dedicated thread.
pub struct TestFleet {
    /// The fleet.
    pub fleet: Fleet,
    _stop: async_channel::Sender<()>,
}

/// Returns the settings of a fleet of one engine and one application back end.
pub fn small_settings() -> FleetSettings {
    FleetSettings {
        engines: 1,
        applications: 1,
        platform_lag_ms: 0,
        ..FleetSettings::archive()
    }
}

impl TestFleet {
    /// Starts a fleet.
    pub fn start(settings: &FleetSettings) -> Self {
        let executor = Arc::new(Executor::new());
        let fleet = Fleet::start(&executor, settings).unwrap();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        std::thread::spawn(move || async_io::block_on(executor.run(stopped.recv())));
        Self { fleet, _stop: stop }
    }

    /// Returns the address of the first engine.
    pub fn engine(&self) -> SocketAddr {
        self.fleet.members[0].address
    }

    /// Returns the address of the last application back end.
    pub fn application(&self) -> SocketAddr {
        self.fleet.members.last().unwrap().address
    }
}

/// A response as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RawResponse {
    /// Status, or 0 if no complete head was received.
    pub status: u16,
    /// Head, in lower case.
    pub head: String,
    /// All bytes after the head, including chunk framing.
    pub body: String,
}

impl RawResponse {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Self {
                status: 0,
                head: String::new(),
                body: text,
            };
        };
        let status = head.split(' ').nth(1).unwrap_or_default();
        Self {
            status: status.parse().unwrap_or(0),
            head: head.to_lowercase(),
            body: body.to_owned(),
        }
    }

    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let prefix = format!("{name}: ");
        let mut lines = self.head.lines();
        lines.find_map(|line| line.strip_prefix(&prefix))
    }

    /// Parses the body as JSON.
    pub fn json<T: DeserializeOwned>(&self) -> T {
        serde_json::from_str(&self.body).unwrap_or_else(|error| panic!("{error} in {self:?}"))
    }

    /// Returns the data of the events in a streamed body.
    pub fn events(&self) -> Vec<&str> {
        let lines = self.body.lines();
        lines
            .filter_map(|line| line.strip_prefix("data: "))
            .collect()
    }

    /// Whether the body has the length given in the head, or ends with the final
    /// chunk.
    pub fn is_whole(&self) -> bool {
        match self.header("content-length") {
            Some(length) => length.parse() == Ok(self.body.len()),
            None => self.body.ends_with("0\r\n\r\n"),
        }
    }
}

/// Returns the text of a request with `connection: close`.
pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Sends a request and reads until the connection is closed or fails.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> RawResponse {
    let text = request_text(method, path, headers, body);
    exchange(address, &text).unwrap_or_else(|_| RawResponse::parse(b""))
}

/// Sends `text` and reads until the connection is closed or fails.
///
/// # Errors
/// If connecting or writing fails.
pub fn exchange(address: SocketAddr, text: &str) -> io::Result<RawResponse> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(MAX_WAIT))?;
    stream.write_all(text.as_bytes())?;
    let mut bytes = Vec::new();
    let mut buffer = [0; 4_096];
    // A connection reset ends the response, as a regular close does.
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    Ok(RawResponse::parse(&bytes))
}

/// Returns the body of a completion request for the archive's model.
pub fn completion(prompt: &str, max_tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model":"caption","prompt":"{prompt}","max_tokens":{max_tokens},"stream":{stream}}}"#
    )
}

/// Repeats `check` until it returns a value; panics after the maximum wait.
pub fn wait_for<T>(what: &str, mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = std::time::Instant::now() + MAX_WAIT;
    loop {
        if let Some(value) = check() {
            return value;
        }
        assert!(
            std::time::Instant::now() < deadline,
            "timed out waiting for {what}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
}
