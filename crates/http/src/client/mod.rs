//! The client: a keep-alive pool that tells the truth about what was sent.

mod connection;
mod error;
mod pool;
mod response;

use std::net::SocketAddr;

use http_types::{Method, Request, Url};

pub use error::{BodyError, FailureCause, SendError};
pub use pool::{Pool, PoolLimits};
pub use response::ClientResponse;

/// A request for `path`, which may carry a query, at `address`.
///
/// # Errors
/// When the path does not fit into a URL.
pub fn new_request(method: Method, address: SocketAddr, path: &str) -> Result<Request, SendError> {
    let url = Url::parse(&format!("http://{address}{path}"));
    match url {
        Ok(url) => Ok(Request::new(method, url)),
        Err(error) => Err(SendError::NotSent(FailureCause::Invalid(error.to_string()))),
    }
}
