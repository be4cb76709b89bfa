//! Whether the client of a request is still there.

use async_channel::{Receiver, Sender};
use http_types::Request;

/// Lies in the extensions of every request that a server hands out; see
/// [`ClientPresence::of`].
///
/// A client that closes its sending side counts as gone, as with most servers.
#[derive(Clone, Debug)]
pub struct ClientPresence(Receiver<()>);

impl ClientPresence {
    /// The presence of the client behind `request`; `None` for a request that
    /// came from no server.
    #[must_use]
    pub fn of(request: &Request) -> Option<Self> {
        request.ext().get::<Self>().cloned()
    }

    /// Resolves once the client is gone, or its response has been sent whole.
    pub async fn gone(&self) {
        // Nothing is ever sent; the channel closes.
        let _closed = self.0.recv().await;
    }

    /// Whether the client is gone, or its response has been sent whole.
    #[must_use]
    pub fn is_gone(&self) -> bool {
        self.0.is_closed()
    }

    /// A presence and the guard that ends it when dropped.
    pub(crate) fn new() -> (Sender<()>, Self) {
        let (guard, receiver) = async_channel::bounded(1);
        (guard, Self(receiver))
    }
}
