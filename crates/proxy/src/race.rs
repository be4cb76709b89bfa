//! Connects to an engine, and to a second one in parallel if the first is slow.
//!
//! Connecting writes no data, so the request runs at only one of them.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;
use molespan_http::h1::{self, Connection, SocketOptions};
use molespan_routing::dispatch::{EngineFacts, Failure, Picked, SuspectReason, WorkClass};
use molespan_routing::reach::ReturnEvidence;
use molespan_types::Timestamp;

use crate::attempt::{AttemptLimits, Outbound};
use crate::batch::preempt_batch_runs;
use crate::first::first_deciding;
use crate::pool::EngineConnection;
use crate::state::{GatewayState, InFlightGuard};

/// Timeout for a new connection to an engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// A connection to an engine at which the request is counted.
pub(crate) struct CountedConnection {
    pub connection: EngineConnection,
    pub in_flight: InFlightGuard,
}

/// Returns a connection to the picked engine for a request with this identifier, or to one
/// picked by `another` if that connects first; `picked` is then replaced. Returns `None` if no engine could be reached.
pub(crate) async fn connect_engine(
    state: &Rc<GatewayState>,
    picked: &mut Picked,
    another: impl FnOnce(&Picked) -> Option<Picked>,
    outbound: &Outbound,
    limits: AttemptLimits,
) -> Option<CountedConnection> {
    let (class, request) = (outbound.class, outbound.id.as_str());
    let in_flight = count_in_flight(state, picked, class);
    let engine = picked.facts.clone();
    let mut first = Box::pin(open(state, engine.clone(), request, limits.deadline));
    if let Some(opened) = connect_unless_slow(&mut first, limits.slow_after).await {
        let connection = opened?;
        return Some(CountedConnection {
            connection,
            in_flight,
        });
    }
    state.check_reach(&engine.id, SuspectReason::Slow);
    let Some(beside) = another(picked) else {
        let connection = first.await?;
        return Some(CountedConnection {
            connection,
            in_flight,
        });
    };
    let in_flight_beside = count_in_flight(state, &beside, class);
    let second = Box::pin(open(state, beside.facts.clone(), request, limits.deadline));
    let up = first_deciding(vec![first, second], |place, connected| {
        connected.map(|connection| (place, connection))
    })
    .await;
    state
        .metrics
        .reach
        .count_race(up.as_ref().map(|(place, _)| *place));
    let (place, connection) = up?;
    if place == 0 {
        return Some(CountedConnection {
            connection,
            in_flight,
        });
    }
    *picked = beside;
    Some(CountedConnection {
        connection,
        in_flight: in_flight_beside,
    })
}

fn count_in_flight(state: &Rc<GatewayState>, picked: &Picked, class: WorkClass) -> InFlightGuard {
    let in_flight = state.count_in_flight(picked, class);
    if class == WorkClass::Online {
        // This request is already counted, so that preemption frees a slot for it.
        preempt_batch_runs(state);
    }
    in_flight
}

/// Returns the result of a connect, or `None` if it takes longer than `slow_after`.
async fn connect_unless_slow<F: Future + Unpin>(
    connect: &mut F,
    slow_after: Option<Duration>,
) -> Option<F::Output> {
    let connected = async { Some(connect.await) };
    let Some(slow_after) = slow_after else {
        return connected.await;
    };
    let late = async {
        Timer::after(slow_after).await;
        None
    };
    future::or(connected, late).await
}

/// Returns a pooled or new connection to an engine, and records a failed connect.
async fn open(
    state: &Rc<GatewayState>,
    engine: EngineFacts,
    request: &str,
    deadline: Timestamp,
) -> Option<EngineConnection> {
    if let Some(connection) = state.pool.take(&engine.id, request, &state.clock).await {
        return Some(connection);
    }
    let began = state.now();
    let timeout = CONNECT_TIMEOUT.min(deadline.since(began));
    let connect = async {
        let connecting = h1::connect(engine.address, timeout, SocketOptions::default());
        Some(connecting.await)
    };
    let given_up = async {
        state.wait_until_unreachable(&engine.id).await;
        None
    };
    let given_up = pin!(given_up);
    match future::or(connect, given_up).await? {
        Ok(stream) => {
            let took = state.now().since(began);
            state.engines.borrow_mut().connected(&engine.id, took);
            state.note_reached(&engine.id, began, ReturnEvidence::Connect);
            Some(Connection::new(stream).into())
        }
        Err(_) => {
            let now = state.now();
            let mut engines = state.engines.borrow_mut();
            engines.failed(&engine.id, Failure::Unreachable, now);
            drop(engines);
            state.note_unreached(&engine.id, began);
            None
        }
    }
}
