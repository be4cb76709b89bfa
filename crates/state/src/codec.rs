//! Encoding of commands, replies, queries and answers.

use derive_more::{Display, Error, From};
use minicbor::{Decode, Encode};

/// Bytes that are not the expected message.
#[derive(Debug, Display, Error, From)]
#[display("malformed message: {_0}")]
pub struct DecodeError(minicbor::decode::Error);

/// The binary form of `message`.
///
/// # Panics
/// Never: writing to a vector cannot fail.
#[must_use]
pub fn encode<M: Encode<()>>(message: &M) -> Vec<u8> {
    minicbor::to_vec(message).expect("writing to a vector cannot fail")
}

/// Reads a message back.
///
/// # Errors
/// When the bytes are not a message of type `M`.
pub fn decode<'b, M: Decode<'b, ()>>(bytes: &'b [u8]) -> Result<M, DecodeError> {
    Ok(minicbor::decode(bytes)?)
}
