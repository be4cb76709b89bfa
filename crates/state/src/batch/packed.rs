//! Compressed output of items. It is compressed because it is held in memory on every
//! replica, written to the log and sent between zones.

use std::io::{Read, Write};

use flate2::Compression;
use flate2::read::DeflateDecoder;
use flate2::write::DeflateEncoder;
use minicbor::bytes::ByteVec;
use minicbor::{Decode, Encode};

/// A compressed text.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CompressedText {
    /// Length of the uncompressed text in bytes.
    #[n(0)]
    length: u64,
    /// The text, compressed with DEFLATE.
    #[n(1)]
    deflated: ByteVec,
}

impl CompressedText {
    /// Compresses a text.
    #[must_use]
    pub fn compress(text: &str) -> Self {
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

    /// Decompresses the text; `None` if the bytes are damaged.
    #[must_use]
    pub fn decompress(&self) -> Option<String> {
        let mut text = String::new();
        // Limits the decompressed size, even if damaged bytes decompress to more.
        let mut decoder = DeflateDecoder::new(self.deflated.as_slice()).take(self.length + 1);
        decoder.read_to_string(&mut text).ok()?;
        (text.len() as u64 == self.length).then_some(text)
    }

    /// Returns the length of the uncompressed text in bytes.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length
    }
}
