//! Helpers for sockets and timers.

use std::future::Future;
use std::time::Duration;

use async_io::Timer;
use futures_lite::future;

/// Returns the output of `future`, or `None` when it takes longer than `limit`.
pub(crate) async fn with_timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    future::or(async { Some(future.await) }, timeout).await
}
