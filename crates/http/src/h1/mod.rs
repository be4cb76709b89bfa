//! HTTP/1.1 message by message, for passing requests and answers on as they
//! are: heads by `httparse`, bodies piece by piece with their framing known.
//!
//! `async-h1` takes over a connection for a whole exchange. Passing on needs
//! less and more: an answer may begin before the request is through, bodies may
//! have no length, bytes may follow an answer, and a caller may leave meanwhile.

mod body;
mod connection;
mod head;
mod net;
mod serve;

pub use body::{BodyError, BodyReader, Framing, LAST_CHUNK, chunk};
pub use connection::{Connection, HeadError, Presence, write};
pub use head::{Headers, RequestHead, ResponseHead, encode_request, encode_response};
pub use net::{SocketOptions, connect, listen, prepare};
pub use serve::{Answer, Service, serve_listener};
