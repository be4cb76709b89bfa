//! Detection of clients that disconnect during a request.

use async_channel::{Receiver, Sender};
use http_types::Request;

/// Whether the client of a request is still connected. Servers add it to the
/// extensions of each request; see [`ClientPresence::of`].
///
/// A client that closes its sending side counts as gone, as in most servers.
#[derive(Clone, Debug)]
pub struct ClientPresence(Receiver<()>);

impl ClientPresence {
    /// Returns the presence of the client that sent `request`, or `None` for a
    /// request that was not received by a server.
    #[must_use]
    pub fn of(request: &Request) -> Option<Self> {
        request.ext().get::<Self>().cloned()
    }

    /// Completes once the client is gone or its response has been sent completely.
    pub async fn gone(&self) {
        // Nothing is ever sent, so this returns when the channel is closed.
        let _closed = self.0.recv().await;
    }

    /// Whether the client is gone or its response has been sent completely.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.0.is_closed()
    }

    /// Creates a presence, and the guard that ends it when dropped.
    pub(crate) fn new() -> (Sender<()>, Self) {
        let (guard, receiver) = async_channel::bounded(1);
        (guard, Self(receiver))
    }
}
