//! Helpers for sockets and timers.

use std::future::Future;
use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;

/// A socket shared by the reading and the writing half of a connection.
pub(crate) type SharedStream = Arc<Async<TcpStream>>;

/// Disables Nagle's algorithm, which would make each small response wait for a
/// delayed acknowledgement of about 40 ms.
pub(crate) fn prepare(stream: Async<TcpStream>) -> io::Result<SharedStream> {
    stream.get_ref().set_nodelay(true)?;
    Ok(Arc::new(stream))
}

/// Returns the output of `future`, or `None` when it takes longer than `limit`.
pub(crate) async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}

/// Completes once the peer has closed its sending side or the connection broke.
/// Never completes when the peer sends further bytes instead.
pub(crate) async fn peer_closed(stream: &SharedStream) {
    let mut probe = [0u8; 1];
    match stream.peek(&mut probe).await {
        Ok(0) | Err(_) => {}
        Ok(_) => future::pending().await,
    }
}

/// Whether an idle connection can be reused: it is open and has no unread bytes.
/// Unsolicited bytes would be read as the response to the next request.
pub(crate) fn is_reusable(stream: &SharedStream) -> bool {
    let mut probe = [0u8; 1];
    match stream.get_ref().peek(&mut probe) {
        Ok(_) => false,
        Err(error) => error.kind() == io::ErrorKind::WouldBlock,
    }
}
