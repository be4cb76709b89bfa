//! The envelope of a snapshot: a format number before the machine itself.

use minicbor::{Decode, Encode};

use crate::codec::{decode, encode};
use crate::error::StateError;

/// Format of the snapshots that this build writes and reads.
const FORMAT: u32 = 1;

/// Reads the format without the machine behind it.
#[derive(Decode)]
struct Header {
    #[n(0)]
    format: u32,
}

/// A machine and the format that it is written in.
#[derive(Encode, Decode)]
struct Envelope<M> {
    #[n(0)]
    format: u32,
    #[n(1)]
    machine: M,
}

/// Writes a snapshot of `machine`.
pub(crate) fn write<M: Encode<()>>(machine: &M) -> Vec<u8> {
    encode(&Envelope {
        format: FORMAT,
        machine,
    })
}

/// Reads a snapshot back.
///
/// # Errors
/// When the bytes are damaged or of another format.
pub(crate) fn read<'b, M: Decode<'b, ()>>(bytes: &'b [u8]) -> Result<M, StateError> {
    let header: Header = decode(bytes)?;
    if header.format != FORMAT {
        return Err(StateError::Format {
            found: header.format,
            expected: FORMAT,
        });
    }
    let envelope: Envelope<M> = decode(bytes)?;
    Ok(envelope.machine)
}
