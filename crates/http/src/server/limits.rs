//! Bounds of a server.

use std::time::Duration;

/// A path that may take larger bodies than the rest.
#[derive(Clone, Debug)]
pub struct LargeBody {
    /// The whole path, without the query.
    pub path: String,
    /// Longest body in bytes.
    pub max_body_bytes: usize,
}

/// Bounds of a server. Every wait and every buffer has one.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Most connections; a further one is refused with status 503.
    pub max_connections: usize,
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// A path with a bound of its own.
    pub large_body: Option<LargeBody>,
    /// Bytes of all request bodies in memory together.
    pub max_buffered_bytes: usize,
    /// Longest time from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Longest time from there to the end of its body.
    pub body_timeout: Duration,
    /// Longest silence between two requests of a connection.
    pub idle_timeout: Duration,
    /// Longest wait for a client that does not take its response.
    pub write_timeout: Duration,
}

impl Default for ServerLimits {
    fn default() -> Self {
        const MEBIBYTE: usize = 1024 * 1024;
        Self {
            max_connections: 4096,
            max_body_bytes: 4 * MEBIBYTE,
            large_body: None,
            max_buffered_bytes: 64 * MEBIBYTE,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(60),
            idle_timeout: Duration::from_secs(60),
            write_timeout: Duration::from_secs(30),
        }
    }
}

impl ServerLimits {
    /// Longest body that `path` takes.
    pub(crate) fn max_body_of(&self, path: &str) -> usize {
        match &self.large_body {
            Some(large) if large.path == path => large.max_body_bytes,
            _ => self.max_body_bytes,
        }
    }
}
