//! Client with a keep-alive pool, which reports whether failed requests may have
//! been sent.

mod connection;
mod error;
mod pool;
mod response;

use std::net::SocketAddr;

use http_types::{Method, Request, Url};

pub use error::{BodyError, FailureCause, SendError};
pub use pool::{Pool, PoolLimits};
pub use response::ClientResponse;

/// Creates a request to `address` for `path`, which may include a query.
///
/// # Errors
/// When the path is not valid in a URL.
pub fn new_request(method: Method, address: SocketAddr, path: &str) -> Result<Request, SendError> {
    let url = Url::parse(&format!("http://{address}{path}"));
    match url {
        Ok(url) => Ok(Request::new(method, url)),
        Err(error) => Err(SendError::NotSent(FailureCause::Invalid(error.to_string()))),
    }
}
