//! Low-level HTTP/1.1 for forwarding messages unchanged: heads are parsed with
//! `httparse`, and bodies are read incrementally according to their framing.
//!
//! `async-h1` controls a connection for a whole exchange, which does not suit a
//! proxy: a response may begin before the request is sent completely, bodies may
//! have no length, bytes may follow a response, and a client may disconnect during
//! an exchange.

mod body;
mod connection;
mod head;
mod net;
mod serve;

pub use body::{BodyError, BodyReader, Framing, LAST_CHUNK, chunk};
pub use connection::{Connection, HeadError, PeerState, write};
pub use head::{Headers, RequestHead, ResponseHead, encode_request, encode_response};
pub use net::{SocketOptions, connect, listen, prepare};
pub use serve::{Answer, Service, serve_listener};
