//! Ports for the processes of a fleet, which bind them only later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

/// Below the ports that systems give to connections: one of those may be taken by a
/// connection of any process before the one that it is meant for binds it.
const PORTS: Range<u16> = 15_000..31_000;
/// Ports apart that two processes begin to search.
const STRIDE: u32 = 97;

/// Addresses of the loopback interface that nobody listens on.
///
/// # Errors
/// When there are too few.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let start = std::process::id().wrapping_mul(STRIDE) as usize % PORTS.len();
    let ports = PORTS.cycle().skip(start).take(PORTS.len());
    let addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    // A port of which the listener closes at once stays free unless somebody asks
    // for it by its number.
    let free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    match free.len() == count {
        true => Ok(free),
        false => Err(io::ErrorKind::AddrNotAvailable.into()),
    }
}
