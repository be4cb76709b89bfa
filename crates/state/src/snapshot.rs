//! The envelope of a snapshot: a format number before the machine itself.

use std::convert::Infallible;

use minicbor::encode::Write;
use minicbor::{Decode, Encode};

use crate::codec::decode;
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
    let envelope = Envelope {
        format: FORMAT,
        machine,
    };
    // A vector that grows while a large machine is written takes up to three
    // times its bytes for a moment; counting first costs only time.
    let mut length = Length(0);
    minicbor::encode(&envelope, &mut length).expect("counting cannot fail");
    let mut bytes = Vec::with_capacity(length.0);
    minicbor::encode(&envelope, &mut bytes).expect("writing to a vector cannot fail");
    bytes
}

/// Counts the bytes that are written to it.
struct Length(usize);

impl Write for Length {
    type Error = Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
        self.0 += bytes.len();
        Ok(())
    }
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
