//! Encoding of commands, replies, queries and answers.

use derive_more::{Display, Error, From};
use minicbor::{Decode, Encode};

/// Error for bytes that are not the expected message.
#[derive(Debug, Display, Error, From)]
#[display("malformed message: {_0}")]
pub struct DecodeError(minicbor::decode::Error);

/// Encodes `message` as CBOR.
///
/// # Panics
/// Never: writing to a vector cannot fail.
#[must_use]
pub fn encode<M: Encode<()>>(message: &M) -> Vec<u8> {
    minicbor::to_vec(message).expect("writing to a vector cannot fail")
}

/// Decodes a message of type `M`.
///
/// # Errors
/// Fails if the bytes are not a message of type `M`.
pub fn decode<'b, M: Decode<'b, ()>>(bytes: &'b [u8]) -> Result<M, DecodeError> {
    Ok(minicbor::decode(bytes)?)
}
