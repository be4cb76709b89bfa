//! Frame encoding and decoding.
//!
//! A frame is the length of its body as a big-endian `u32`, the CRC-32 of the
//! body as a big-endian `u32`, and the body, one CBOR [`Envelope`].

use derive_more::{Display, Error, From};
use minicbor::Decoder;

use crate::message::Envelope;

/// Bytes before the body of a frame.
pub const FRAME_HEADER_BYTES: usize = 8;
/// Default limit for the body of a frame, in bytes.
pub const DEFAULT_MAX_FRAME_BYTES: usize = 16 * 1024 * 1024;
/// Buffer capacity in bytes that a decoder keeps between frames. A larger buffer
/// is freed once its frame was consumed.
const MAX_RETAINED_CAPACITY: usize = 32 * 1024;

/// Why a frame could not be encoded or decoded. After a decoding error the
/// connection must be closed, since the start of the next frame is unknown.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The body is longer than allowed.
    #[display("frame of {length} bytes where at most {limit} are allowed")]
    #[from(skip)]
    TooLong {
        /// Length of the body.
        length: usize,
        /// Maximum length of the body.
        limit: usize,
    },
    /// The body does not match its checksum.
    #[display("frame fails its checksum")]
    #[from(skip)]
    Checksum,
    /// The body cannot be decoded as a message.
    #[display("unknown message: {_0}")]
    Message(minicbor::decode::Error),
    /// Bytes follow the message within its frame.
    #[display("bytes follow the message within its frame")]
    #[from(skip)]
    TrailingBytes,
}

/// Encodes `envelope` as a frame and appends it to `target`.
///
/// # Errors
/// When the body is longer than `limit`; `target` is then left unchanged.
pub fn encode_frame(
    envelope: &Envelope,
    limit: usize,
    target: &mut Vec<u8>,
) -> Result<(), FrameError> {
    let start = target.len();
    target.extend_from_slice(&[0; FRAME_HEADER_BYTES]);
    let encoded = minicbor::encode(envelope, &mut *target);
    debug_assert!(encoded.is_ok(), "writing to a vector cannot fail");
    let body = &target[start + FRAME_HEADER_BYTES..];
    let length = body.len();
    let checksum = crc32fast::hash(body);
    let header_length = match u32::try_from(length) {
        Ok(header_length) if length <= limit => header_length,
        _ => {
            target.truncate(start);
            return Err(FrameError::TooLong { length, limit });
        }
    };
    target[start..start + 4].copy_from_slice(&header_length.to_be_bytes());
    target[start + 4..start + FRAME_HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
    Ok(())
}

/// Splits a byte stream into messages. Buffers at most one frame in addition to
/// the bytes of the last [`FrameDecoder::push`].
#[derive(Debug)]
pub struct FrameDecoder {
    buffer: Vec<u8>,
    consumed: usize,
    limit: usize,
}

impl FrameDecoder {
    /// Creates a decoder that accepts bodies of at most `limit` bytes.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: Vec::new(),
            consumed: 0,
            limit,
        }
    }

    /// Appends bytes read from the connection.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.drain(..self.consumed);
        self.consumed = 0;
        if self.buffer.is_empty() && self.buffer.capacity() > MAX_RETAINED_CAPACITY {
            self.buffer = Vec::new();
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// Whether the buffered bytes end in the middle of a frame.
    #[must_use]
    pub fn is_within_frame(&self) -> bool {
        self.consumed < self.buffer.len()
    }

    /// Returns the next message, or `None` when more bytes are needed.
    ///
    /// # Errors
    /// When the bytes are not a valid frame.
    pub fn next_message(&mut self) -> Result<Option<Envelope>, FrameError> {
        let pending = &self.buffer[self.consumed..];
        let Some((header, rest)) = pending.split_first_chunk::<FRAME_HEADER_BYTES>() else {
            return Ok(None);
        };
        let [a, b, c, d, e, f, g, h] = *header;
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        let checksum = u32::from_be_bytes([e, f, g, h]);
        if length > self.limit {
            let limit = self.limit;
            return Err(FrameError::TooLong { length, limit });
        }
        let Some(body) = rest.get(..length) else {
            return Ok(None);
        };
        if crc32fast::hash(body) != checksum {
            return Err(FrameError::Checksum);
        }
        let envelope = decode_body(body)?;
        self.consumed += FRAME_HEADER_BYTES + length;
        Ok(Some(envelope))
    }
}

/// Decodes a body, which must hold exactly one message.
fn decode_body(body: &[u8]) -> Result<Envelope, FrameError> {
    let mut decoder = Decoder::new(body);
    let envelope = decoder.decode()?;
    if decoder.position() != body.len() {
        return Err(FrameError::TrailingBytes);
    }
    Ok(envelope)
}
