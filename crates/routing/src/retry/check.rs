//! Checks that a response is whole and belongs to the attempt.

use derive_more::{Display, Error};
use molespan_engine_api::CompletionChunk;
use molespan_types::AttemptId;
use molespan_types::mechanism::{Mechanism, enabled};

/// Why a response is not taken.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ResponseError {
    /// It does not name its attempt.
    #[display("the response names no attempt")]
    NoAttempt,
    /// It belongs to another attempt.
    #[display("the response belongs to attempt {echoed}")]
    CrossedAttempt {
        /// The attempt that it names.
        echoed: String,
    },
    /// It is shorter or longer than it declared.
    #[display("the response has {received} of {declared} bytes")]
    WrongLength {
        /// Bytes that it declared.
        declared: u64,
        /// Bytes that came.
        received: u64,
    },
    /// A chunk is missing, doubled or out of order.
    #[display("the stream goes on at token {offset} instead of {expected}")]
    WrongOffset {
        /// Offset that was due.
        expected: u32,
        /// Offset that came.
        offset: u32,
    },
    /// Something follows the end of the stream.
    #[display("the stream goes on after its end")]
    AfterEnd,
    /// The stream broke off before its end.
    #[display("the stream broke off after {tokens} tokens")]
    NoEnd {
        /// Tokens that came.
        tokens: u32,
    },
}

/// Whether the attempt that a response echoes is the expected one.
///
/// # Errors
/// When it is another one or missing.
pub fn check_attempt(expected: AttemptId, echoed: Option<&str>) -> Result<(), ResponseError> {
    if !enabled(Mechanism::AttemptCheck) {
        return Ok(());
    }
    let echoed = echoed.ok_or(ResponseError::NoAttempt)?;
    if echoed == expected.to_string() {
        return Ok(());
    }
    Err(ResponseError::CrossedAttempt {
        echoed: echoed.to_owned(),
    })
}

/// Whether a body has the length that was declared for it. One without a
/// declared length is whole when `terminated` says that its end was marked.
///
/// # Errors
/// When it was cut off.
pub fn check_length(
    declared: Option<u64>,
    received: u64,
    terminated: bool,
) -> Result<(), ResponseError> {
    if !enabled(Mechanism::CompletenessCheck) {
        return Ok(());
    }
    match declared {
        Some(declared) if declared != received => {
            Err(ResponseError::WrongLength { declared, received })
        }
        None if !terminated => Err(ResponseError::NoEnd { tokens: 0 }),
        _ => Ok(()),
    }
}

/// Follows one stream of chunks, from its first offset to its end.
#[derive(Clone, Debug)]
pub struct StreamCheck {
    attempt: AttemptId,
    next_offset: u32,
    finished: bool,
    terminated: bool,
}

impl StreamCheck {
    /// A stream of `attempt` that starts at `offset`, 0 unless it is resumed.
    #[must_use]
    pub fn new(attempt: AttemptId, offset: u32) -> Self {
        Self {
            attempt,
            next_offset: offset,
            finished: false,
            terminated: false,
        }
    }

    /// Checks the next chunk. It may be passed on only when this succeeds.
    ///
    /// # Errors
    /// When it belongs to another attempt, or is not the next one.
    pub fn chunk(&mut self, chunk: &CompletionChunk) -> Result<(), ResponseError> {
        check_attempt(self.attempt, Some(&chunk.id))?;
        if enabled(Mechanism::CompletenessCheck) {
            self.check_order(chunk)?;
        }
        self.next_offset = chunk.offset.saturating_add(1);
        self.finished = chunk.finish_reason.is_some();
        Ok(())
    }

    fn check_order(&self, chunk: &CompletionChunk) -> Result<(), ResponseError> {
        if self.finished || self.terminated {
            return Err(ResponseError::AfterEnd);
        }
        if chunk.offset != self.next_offset {
            return Err(ResponseError::WrongOffset {
                expected: self.next_offset,
                offset: chunk.offset,
            });
        }
        Ok(())
    }

    /// The line that ends the stream came.
    pub fn terminator(&mut self) {
        self.terminated = true;
    }

    /// Checks that the stream came to its end.
    ///
    /// # Errors
    /// When the last chunk or the terminator is missing.
    pub fn end(&self) -> Result<(), ResponseError> {
        let whole = self.finished && self.terminated;
        if whole || !enabled(Mechanism::CompletenessCheck) {
            return Ok(());
        }
        Err(ResponseError::NoEnd {
            tokens: self.next_offset,
        })
    }

    /// Offset of the next token; where a resumed stream starts.
    #[must_use]
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }
}
