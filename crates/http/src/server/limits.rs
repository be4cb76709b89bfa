//! Limits of a server.

use std::time::Duration;

/// A path that accepts larger bodies than other paths.
#[derive(Clone, Debug)]
pub struct LargeBody {
    /// The path without the query; compared as a whole, not as a prefix.
    pub path: String,
    /// Maximum length of a body in bytes.
    pub max_body_bytes: usize,
}

/// Limits of a server, which cover all its waits and buffers.
#[derive(Clone, Debug)]
pub struct ServerLimits {
    /// Maximum number of connections; further ones are refused with status 503.
    pub max_connections: usize,
    /// Maximum length of a request body in bytes.
    pub max_body_bytes: usize,
    /// A path with its own body limit.
    pub large_body: Option<LargeBody>,
    /// Maximum total size of the request bodies in memory, in bytes.
    pub max_buffered_bytes: usize,
    /// Timeout from the first byte of a request to the end of its head.
    pub head_timeout: Duration,
    /// Timeout from the end of the head to the end of the body.
    pub body_timeout: Duration,
    /// How long a connection may be idle between two requests.
    pub idle_timeout: Duration,
    /// Timeout for a write to a client that does not read its response.
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
    /// Returns the maximum length of a body for `path`, in bytes.
    pub(crate) fn max_body_of(&self, path: &str) -> usize {
        match &self.large_body {
            Some(large) if large.path == path => large.max_body_bytes,
            _ => self.max_body_bytes,
        }
    }
}
