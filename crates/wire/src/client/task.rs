//! Background task of a client: connects, and backs off after failures.

use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;

use super::Shared;
use super::connection::run_connection;
use crate::backoff::Backoff;
use crate::net::with_timeout;

/// Runs until the client is dropped.
pub(crate) async fn run(shared: Arc<Shared>, ended: Receiver<()>, seed: u64) {
    let client_dropped = async {
        let _closed = ended.recv().await;
    };
    future::or(serve(&shared, seed), client_dropped).await;
    shared.calls.fail_written();
    shared.outgoing.close_unreachable();
}

/// Connects when there is something to send, and serves the connection.
async fn serve(shared: &Shared, seed: u64) {
    let limits = &shared.limits;
    let mut backoff = Backoff::new(limits.initial_backoff, limits.max_backoff, seed);
    loop {
        shared.outgoing.wait().await;
        let succeeded = match connect(shared).await {
            Some(stream) => {
                let succeeded = run_connection(shared, &stream).await;
                shared.calls.fail_written();
                shared.outgoing.clear_control();
                succeeded
            }
            None => {
                shared
                    .counters
                    .failed_connections
                    .fetch_add(1, Ordering::Relaxed);
                false
            }
        };
        if succeeded {
            backoff.reset();
        } else {
            back_off(shared, &mut backoff).await;
        }
    }
}

/// Rejects calls and messages during the backoff, so that no caller waits for an
/// unreachable peer.
async fn back_off(shared: &Shared, backoff: &mut Backoff) {
    let dropped = shared.outgoing.close_unreachable();
    shared
        .counters
        .dropped
        .fetch_add(dropped, Ordering::Relaxed);
    Timer::after(backoff.next_delay()).await;
    shared.outgoing.reopen();
}

/// Opens a connection; returns `None` when the peer cannot be reached.
async fn connect(shared: &Shared) -> Option<Async<TcpStream>> {
    let connecting = Async::<TcpStream>::connect(shared.address);
    let stream = with_timeout(shared.limits.connect_timeout, connecting)
        .await?
        .ok()?;
    stream.get_ref().set_nodelay(true).ok()?;
    shared.counters.connections.fetch_add(1, Ordering::Relaxed);
    Some(stream)
}
