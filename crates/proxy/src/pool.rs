//! Pool of idle connections to engines.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use molespan_daemon::boot_clock::BootClock;
use molespan_http::h1::{Connection, PeerState};
use molespan_types::{EngineIncarnation, Timestamp};

/// How long an idle connection is kept if the engine does not state its own keep-alive
/// time.
const DEFAULT_IDLE: Duration = Duration::from_secs(3);
/// Share of the engine's keep-alive time during which a connection is reused; a request
/// that crosses the engine's close may be lost.
const REUSE_SHARE: f64 = 0.6;
/// Maximum number of idle connections to one engine.
const MAX_IDLE: usize = 32;
/// Interval between sweeps for expired connections: an engine that gets no other request
/// from this gateway would otherwise hold a descriptor here forever.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Number of requests that a connection remembers: an engine may send the answer to one of the
/// last once more.
const REMEMBERED_REQUESTS: usize = 8;

/// A connection to an engine, and the requests that it carried last.
#[derive(Debug)]
pub(crate) struct EngineConnection {
    pub connection: Connection,
    carried: Vec<String>,
}

impl EngineConnection {
    /// Whether it carried a request with this identifier. An extra answer to that one could not
    /// be told from the answer to this one.
    fn has_carried(&self, request: &str) -> bool {
        self.carried.iter().any(|carried| carried == request)
    }

    /// Records a request that is sent on the connection.
    pub fn note_carried(&mut self, request: &str) {
        if self.carried.len() >= REMEMBERED_REQUESTS {
            self.carried.remove(0);
        }
        self.carried.push(request.to_owned());
    }
}

impl From<Connection> for EngineConnection {
    fn from(connection: Connection) -> Self {
        Self {
            connection,
            carried: Vec::new(),
        }
    }
}

#[derive(Debug)]
struct Idle {
    connection: EngineConnection,
    until: Timestamp,
}

/// Idle connections by engine.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    swept: Cell<Timestamp>,
}

impl Pool {
    /// Returns a usable idle connection to an engine for a request with this identifier: one
    /// without waiting bytes, that did not carry a request of that identifier before.
    pub async fn take(
        &self,
        engine: &str,
        request: &str,
        clock: &BootClock,
    ) -> Option<EngineConnection> {
        loop {
            let idle = self.take_newest(engine, request)?;
            let usable = clock.now() < idle.until;
            if usable && idle.connection.connection.presence().await == PeerState::Idle {
                return Some(idle.connection);
            }
        }
    }

    fn take_newest(&self, engine: &str, request: &str) -> Option<Idle> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(engine)?;
        let place = connections
            .iter()
            .rposition(|idle| !idle.connection.has_carried(request))?;
        Some(connections.remove(place))
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(
        &self,
        engine: &str,
        connection: EngineConnection,
        keep_alive: Option<Duration>,
        now: Timestamp,
    ) {
        let lifetime = keep_alive.map_or(DEFAULT_IDLE, |lifetime| lifetime.mul_f64(REUSE_SHARE));
        if !connection.connection.buffered().is_empty() || lifetime.is_zero() {
            return;
        }
        let mut idle = self.idle.borrow_mut();
        if now.since(self.swept.get()) >= SWEEP_INTERVAL {
            self.swept.set(now);
            idle.retain(|_, connections| {
                connections.retain(|idle| idle.until > now);
                !connections.is_empty()
            });
        }
        let connections = idle.entry(engine.to_owned()).or_default();
        if connections.len() < MAX_IDLE {
            let until = now + lifetime;
            connections.push(Idle { connection, until });
        }
    }

    /// Closes the idle connections to an engine that left, in this and earlier
    /// incarnations.
    pub fn forget_departed(&self, departed: &str) {
        let departed = EngineIncarnation::of(departed);
        let mut idle = self.idle.borrow_mut();
        idle.retain(|engine, _| !EngineIncarnation::of(engine).departure_applies(&departed));
    }

    /// Closes the idle connections to an engine.
    pub fn forget(&self, engine: &str) {
        self.idle.borrow_mut().remove(engine);
    }
}
