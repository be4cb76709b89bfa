//! The snapshot envelope: a format number followed by the machine.

use std::convert::Infallible;

use minicbor::encode::Write;
use minicbor::{Decode, Encode};

use crate::codec::decode;
use crate::error::StateError;

/// Format of the snapshots that this build writes and reads.
const FORMAT: u32 = 1;

/// Decodes only the format, without the machine.
#[derive(Decode)]
struct Header {
    #[n(0)]
    format: u32,
}

/// A machine and its snapshot format.
#[derive(Encode, Decode)]
struct Envelope<M> {
    #[n(0)]
    format: u32,
    #[n(1)]
    machine: M,
}

/// Encodes a snapshot of `machine`.
pub(crate) fn write<M: Encode<()>>(machine: &M) -> Vec<u8> {
    let envelope = Envelope {
        format: FORMAT,
        machine,
    };
    // A vector that grows while a large machine is encoded briefly takes up to three times
    // the final size. Counting the bytes first costs only time.
    let mut length = Length(0);
    minicbor::encode(&envelope, &mut length).expect("counting cannot fail");
    let mut bytes = Vec::with_capacity(length.0);
    minicbor::encode(&envelope, &mut bytes).expect("writing to a vector cannot fail");
    bytes
}

/// A writer that counts bytes.
struct Length(usize);

impl Write for Length {
    type Error = Infallible;

    fn write_all(&mut self, bytes: &[u8]) -> Result<(), Infallible> {
        self.0 += bytes.len();
        Ok(())
    }
}

/// Decodes a machine from a snapshot.
///
/// # Errors
/// Fails if the bytes are damaged or have another format.
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
