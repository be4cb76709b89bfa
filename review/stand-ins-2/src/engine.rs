//! A stand-in for an engine, as the users' pages describe one.

use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{call, find, head, request};
use crate::note;

/// A request that the engine worked on.
#[derive(Clone, Debug)]
pub struct Run {
    pub id: String,
    pub path: String,
}

/// What an engine is like.
#[derive(Clone, Debug)]
pub struct Kind {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub slots: u32,
    /// Version of its software, which stands in each event.
    pub software: &'static str,
    /// When it started, in Unix milliseconds, if it says so.
    pub born: Option<u64>,
    /// Version of its weights.
    pub weights: u64,
    /// Events of an answer to an item, and the pause before each.
    pub events: u32,
    pub pause: Duration,
}

struct State {
    kind: Kind,
    ended: AtomicBool,
    sequence: AtomicU64,
    active: AtomicU32,
    connections: Mutex<Vec<TcpStream>>,
    runs: Mutex<Vec<Run>>,
    beats_taken: AtomicU64,
}

pub struct Engine(Arc<State>);

impl Engine {
    /// Starts an engine; it calls these control nodes, or none if the list is empty.
    pub fn start(kind: Kind, controls: Vec<SocketAddr>) -> Self {
        let mut listener = TcpListener::bind(kind.address);
        for _ in 0..100 {
            if listener.is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(20));
            listener = TcpListener::bind(kind.address);
        }
        let listener = listener.expect("a free address");
        note!(
            "engine {} of {} starts at {}",
            kind.id,
            kind.service,
            kind.address
        );
        let state = Arc::new(State {
            kind,
            ended: AtomicBool::new(false),
            sequence: AtomicU64::new(1),
            active: AtomicU32::new(0),
            connections: Mutex::default(),
            runs: Mutex::default(),
            beats_taken: AtomicU64::new(0),
        });
        let serving = state.clone();
        thread::spawn(move || serve(listener, &serving));
        if !controls.is_empty() {
            let beating = state.clone();
            thread::spawn(move || beat(&beating, &controls));
        }
        Self(state)
    }

    pub fn runs(&self) -> Vec<Run> {
        self.0.runs.lock().unwrap().clone()
    }

    pub fn active(&self) -> u32 {
        self.0.active.load(Ordering::SeqCst)
    }

    /// Number of heartbeats that were acknowledged.
    pub fn beats_taken(&self) -> u64 {
        self.0.beats_taken.load(Ordering::SeqCst)
    }

    /// Returns the bytes of its next heartbeat.
    pub fn heartbeat(&self) -> Vec<u8> {
        let (target, body) = self.0.heartbeat();
        request(
            "PUT",
            &target,
            &[("Host", "control"), ("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    /// Ends it at once, as a crash does.
    pub fn crash(&self) {
        note!("engine {} crashes", self.0.kind.id);
        self.0.ended.store(true, Ordering::SeqCst);
        let _wakes = TcpStream::connect(self.0.kind.address);
        for connection in self.0.connections.lock().unwrap().drain(..) {
            let _closed = connection.shutdown(Shutdown::Both);
        }
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.0.ended.store(true, Ordering::SeqCst);
        let _wakes = TcpStream::connect(self.0.kind.address);
    }
}

impl State {
    fn heartbeat(&self) -> (String, String) {
        let Kind {
            id,
            service,
            address,
            slots,
            weights,
            software,
            born,
            ..
        } = &self.kind;
        let born = born.map_or(String::new(), |born| format!(r#","born":{born}"#));
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"zone-1","version":"{software}","slots":{slots},"state":"ready","coldLeftMs":0,"phase":"both","models":[{{"name":"m","version":{weights},"adapters":[]}}],"callSeq":{sequence}{born}}}"#
        );
        (format!("/api/instances/{id}"), body)
    }
}

/// Sends a heartbeat every 1.2 s, to the next node if one does not acknowledge it in a second.
fn beat(state: &State, controls: &[SocketAddr]) {
    let mut next = 0;
    while !state.ended.load(Ordering::SeqCst) {
        let (target, body) = state.heartbeat();
        let headers = [("Host", "control"), ("Content-Type", "application/json")];
        let control = controls[next % controls.len()];
        let answer = call(
            control,
            "PUT",
            &target,
            &headers,
            body.as_bytes(),
            Duration::from_secs(1),
        );
        if answer.is_some_and(|answer| (200..300).contains(&answer.status)) {
            state.beats_taken.fetch_add(1, Ordering::SeqCst);
            thread::sleep(Duration::from_millis(1_200));
        } else {
            next += 1;
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn serve(listener: TcpListener, state: &Arc<State>) {
    while let Ok((stream, _)) = listener.accept() {
        if state.ended.load(Ordering::SeqCst) {
            return;
        }
        let _unset = stream.set_nodelay(true);
        state.connections.lock().unwrap().extend(stream.try_clone());
        let state = state.clone();
        thread::spawn(move || {
            let closing = stream.try_clone();
            serve_connection(stream, &state);
            if let Ok(closing) = closing {
                let _closed = closing.shutdown(Shutdown::Both);
            }
        });
    }
}

fn serve_connection(stream: TcpStream, state: &State) {
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let kind = &state.kind;
    while let Some((line, headers)) = head(&mut reader) {
        let length: usize = find(&headers, "content-length")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        let mut body = vec![0; length];
        if reader.read_exact(&mut body).is_err() || state.ended.load(Ordering::SeqCst) {
            return;
        }
        let id = find(&headers, "x-request-id")
            .unwrap_or_default()
            .to_owned();
        let path = line.split(' ').nth(1).unwrap_or_default().to_owned();
        let load = state.active.load(Ordering::SeqCst);
        let mut common = format!(
            "X-Request-Id: {id}\r\nX-Instance-Load: {load},0,{}\r\n",
            kind.slots
        );
        if path.starts_with("/healthz") {
            common = format!("X-Instance-Id: {}\r\n", kind.id);
        }
        let expects = find(&headers, "x-expect-instance");
        let weights = find(&headers, "x-expect-version");
        let other = expects.is_some_and(|expects| expects != kind.id)
            || weights.is_some_and(|weights| weights != kind.weights.to_string());
        let refusal = match () {
            () if path.starts_with("/healthz") => Some("200 OK"),
            () if other => Some("421 Misdirected Request"),
            () if id.is_empty() => Some("400 Bad Request\r\nX-Not-Executed: 1"),
            () if load >= kind.slots => Some("503 Service Unavailable\r\nX-Not-Executed: 1"),
            () => None,
        };
        if let Some(status) = refusal {
            note!(
                "engine {} answers {id} {path}: {}",
                kind.id,
                status.split("\r\n").next().unwrap_or_default()
            );
            if writer
                .write_all(
                    format!("HTTP/1.1 {status}\r\n{common}Content-Length: 0\r\n\r\n").as_bytes(),
                )
                .is_err()
            {
                return;
            }
            continue;
        }
        let after: u32 = find(&headers, "last-event-id")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0);
        note!("engine {} runs {id} {path} after event {after}", kind.id);
        state.runs.lock().unwrap().push(Run {
            id: id.clone(),
            path: path.clone(),
        });
        state.active.fetch_add(1, Ordering::SeqCst);
        common += &format!(
            "X-Response-Stamp: stamp-{}-{id}\r\nX-Weight-Versions: {}\r\n",
            kind.id, kind.weights
        );
        let whole = match ["/jobs/", "/other/"]
            .iter()
            .any(|prefix| path.starts_with(prefix))
        {
            true => send_events(&mut writer, state, &common, after),
            false => {
                thread::sleep(Duration::from_millis(20));
                let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 2\r\n\r\nok");
                writer.write_all(text.as_bytes()).is_ok()
            }
        };
        state.active.fetch_sub(1, Ordering::SeqCst);
        if !whole {
            return;
        }
    }
}

fn send_events(writer: &mut TcpStream, state: &State, common: &str, after: u32) -> bool {
    let head = format!(
        "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    if writer.write_all(head.as_bytes()).is_err() {
        return false;
    }
    for number in after + 1..=state.kind.events {
        thread::sleep(state.kind.pause);
        let event = format!(
            "id: {number}\ndata: p{number} {software}\n\n",
            software = state.kind.software
        );
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        if state.ended.load(Ordering::SeqCst) || writer.write_all(chunk.as_bytes()).is_err() {
            return false;
        }
    }
    writer.write_all(b"0\r\n\r\n").is_ok()
}
