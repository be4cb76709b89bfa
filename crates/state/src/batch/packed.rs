//! Output of items, kept packed: it is in memory on every replica, in the log
//! and on its way between zones.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// A text, packed.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct PackedText {
    /// Length of the text in bytes.
    #[n(0)]
    length: u64,
    /// The text, deflated.
    #[n(1)]
    deflated: ByteVec,
}

impl PackedText {
    /// Packs a text.
    #[must_use]
    pub fn pack(text: &str) -> Self {
        let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
        let written = encoder.write_all(text.as_bytes());
        debug_assert!(written.is_ok(), "writing to a vector cannot fail");
        let mut deflated = encoder.finish().unwrap_or_default();
        deflated.shrink_to_fit();
        Self {
            length: text.len() as u64,
            deflated: deflated.into(),
        }
    }

    /// The text; `None` when the bytes are damaged.
    #[must_use]
    pub fn unpack(&self) -> Option<String> {
        let mut text = String::new();
        // No more is read than the text has, whatever the bytes unpack to.
        let mut decoder = DeflateDecoder::new(self.deflated.as_slice()).take(self.length + 1);
        decoder.read_to_string(&mut text).ok()?;
        (text.len() as u64 == self.length).then_some(text)
    }

    /// Length of the text in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }
}
