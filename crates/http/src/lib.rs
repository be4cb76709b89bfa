//! HTTP/1.1 server, connection pool and event streams over async-h1.
