//! The configuration document of an operator.

use std::fmt;
use std::ops::Deref;

use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// The original document, byte for byte. It contains the API keys of tenants.
#[derive(Clone, PartialEq, Eq, Encode, Decode)]
#[cbor(transparent)]
pub struct Document(#[n(0)] ByteVec);

impl From<Vec<u8>> for Document {
    fn from(bytes: Vec<u8>) -> Self {
        Self(bytes.into())
    }
}

impl Deref for Document {
    type Target = [u8];

    fn deref(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Document {
    /// Prints only the length, since the content is secret.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "Document({} bytes)", self.0.len())
    }
}
