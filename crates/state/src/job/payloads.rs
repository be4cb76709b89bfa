//! Payload storage in which empty payloads take no space.

use crate::payload::{PayloadError, PayloadLocation, PayloadLog};

/// Location of every empty payload.
pub(crate) const EMPTY_PAYLOAD: PayloadLocation = PayloadLocation {
    offset: 0,
    length: 0,
};

/// Appends `payload` unless it is empty.
pub(crate) fn store(
    payload: &[u8],
    payloads: &mut dyn PayloadLog,
) -> Result<PayloadLocation, PayloadError> {
    if payload.is_empty() {
        return Ok(EMPTY_PAYLOAD);
    }
    payloads.append(payload)
}

/// Reads a payload that was written by [`store`].
pub(crate) fn read(
    location: PayloadLocation,
    payloads: &dyn PayloadLog,
) -> Result<Vec<u8>, PayloadError> {
    if location.length == 0 {
        return Ok(Vec::new());
    }
    payloads.read(location)
}
