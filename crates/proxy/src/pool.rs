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

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Timestamp,
}

/// Idle connections by engine.
#[derive(Debug, Default)]
pub(crate) struct Pool {
    idle: RefCell<HashMap<String, Vec<Idle>>>,
    swept: Cell<Timestamp>,
}

impl Pool {
    /// Returns a usable idle connection to an engine.
    pub async fn take(&self, engine: &str, clock: &BootClock) -> Option<Connection> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(engine)?.pop()?;
            let usable = clock.now() < idle.until;
            if usable && idle.connection.presence().await == PeerState::Idle {
                return Some(idle.connection);
            }
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(
        &self,
        engine: &str,
        connection: Connection,
        keep_alive: Option<Duration>,
        now: Timestamp,
    ) {
        let lifetime = keep_alive.map_or(DEFAULT_IDLE, |lifetime| lifetime.mul_f64(REUSE_SHARE));
        if !connection.buffered().is_empty() || lifetime.is_zero() {
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
