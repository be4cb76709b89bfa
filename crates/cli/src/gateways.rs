//! Addresses of the gateways that a command contacts.

use std::net::SocketAddr;

use crate::error::CliError;

/// Environment variable with the gateways to use if the flag is not given.
pub const GATEWAY_VARIABLE: &str = "MOLESPAN_GATEWAY";
/// Gateway used if neither the flag nor the variable is set.
const DEFAULT_GATEWAY: &str = "127.0.0.1:7780";

/// Returns the gateways from the flag, else from the environment, else the default.
///
/// # Errors
/// Lists every entry that is not an IP address with a port.
pub fn gateway_addresses(
    flag: Option<&str>,
    variable: Option<&str>,
) -> Result<Vec<SocketAddr>, CliError> {
    addresses("gateway", flag.or(variable).unwrap_or(DEFAULT_GATEWAY))
}

/// Parses a comma-separated list of addresses.
///
/// # Errors
/// Lists every entry that is not an IP address with a port.
pub(crate) fn addresses(what: &str, list: &str) -> Result<Vec<SocketAddr>, CliError> {
    let mut addresses = Vec::new();
    let mut errors = Vec::new();
    for text in list.split(',').map(str::trim) {
        match text.parse() {
            Ok(address) => addresses.push(address),
            Err(_) => errors.push(format!("{what} {text:?} is no IP:PORT")),
        }
    }
    if errors.is_empty() {
        Ok(addresses)
    } else {
        Err(CliError::Usage(errors.join("\n")))
    }
}
