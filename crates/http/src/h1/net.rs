//! Socket setup.

use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::future;
use socket2::{Domain, Protocol, SockRef, Socket, Type};

/// Options of a socket.
#[derive(Clone, Copy, Debug)]
pub struct SocketOptions {
    /// How long sent bytes may stay unacknowledged before the connection counts as
    /// broken.
    pub user_timeout: Duration,
}

impl Default for SocketOptions {
    fn default() -> Self {
        Self {
            user_timeout: Duration::from_secs(10),
        }
    }
}

/// Maximum number of connections waiting to be accepted.
const BACKLOG: i32 = 1024;

/// Listens on `address`.
///
/// # Errors
/// When the address cannot be bound.
pub fn listen(address: SocketAddr) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    Async::new(socket.into())
}

/// Sets the options of a connection: disables Nagle's algorithm, and limits how long
/// sent bytes may stay unacknowledged.
///
/// # Errors
/// When the connection has failed already.
pub fn prepare(stream: &Async<TcpStream>, options: SocketOptions) -> io::Result<()> {
    stream.get_ref().set_nodelay(true)?;
    let socket = SockRef::from(stream.get_ref());
    // Not every system supports this, and nothing depends on it alone.
    let _unsupported = socket.set_tcp_user_timeout(Some(options.user_timeout));
    Ok(())
}

/// Connects to `address` within `timeout`.
///
/// # Errors
/// When the connection is refused, fails or is not opened in time.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
    options: SocketOptions,
) -> io::Result<Async<TcpStream>> {
    let connecting = Async::<TcpStream>::connect(address);
    let timed_out = async {
        Timer::after(timeout).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    let stream = future::or(connecting, timed_out).await?;
    prepare(&stream, options)?;
    Ok(stream)
}
