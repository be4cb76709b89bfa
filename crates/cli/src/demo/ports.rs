//! Free ports for the processes of a fleet, which bind them later.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

/// Range of ports, below the ephemeral ports of common systems: an outgoing
/// connection of any process could take an ephemeral port before it is bound.
const PORTS: Range<u16> = 15_000..31_000;
/// Distance between the first ports that processes with successive ids try.
const STRIDE: u32 = 97;

/// Returns `count` loopback addresses without a listener.
///
/// # Errors
/// Fails if there are fewer than `count`.
pub fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let start = std::process::id().wrapping_mul(STRIDE) as usize % PORTS.len();
    let ports = PORTS.cycle().skip(start).take(PORTS.len());
    let addresses = ports.map(|port| SocketAddr::from((Ipv4Addr::LOCALHOST, port)));
    // After the probe closes its listener, the port stays free unless a process
    // binds it explicitly.
    let free = addresses.filter(|address| TcpListener::bind(address).is_ok());
    let free: Vec<SocketAddr> = free.take(count).collect();
    match free.len() == count {
        true => Ok(free),
        false => Err(io::ErrorKind::AddrNotAvailable.into()),
    }
}
