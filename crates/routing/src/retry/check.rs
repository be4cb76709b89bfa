//! Checks that a response is complete and belongs to its attempt.

use derive_more::{Display, Error};
use molespan_engine_api::CompletionChunk;
use molespan_types::AttemptId;
use molespan_types::mechanism::{Mechanism, enabled};

/// Why a response is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ResponseError {
    /// The response does not name its attempt.
    #[display("the response names no attempt")]
    NoAttempt,
    /// The response belongs to another attempt.
    #[display("the response belongs to attempt {echoed}")]
    CrossedAttempt {
        /// Attempt that the response names.
        echoed: String,
    },
    /// The response is shorter or longer than declared.
    #[display("the response has {received} of {declared} bytes")]
    WrongLength {
        /// Declared number of bytes.
        declared: u64,
        /// Received number of bytes.
        received: u64,
    },
    /// A chunk is missing, duplicated or out of order.
    #[display("the stream goes on at token {offset} instead of {expected}")]
    WrongOffset {
        /// Expected offset.
        expected: u32,
        /// Received offset.
        offset: u32,
    },
    /// Data follows the end of the stream.
    #[display("the stream goes on after its end")]
    AfterEnd,
    /// The stream ended before its final chunk.
    #[display("the stream broke off after {tokens} tokens")]
    NoEnd {
        /// Received number of tokens.
        tokens: u32,
    },
}

/// Checks that the attempt echoed by a response is the expected one.
///
/// # Errors
/// Returns an error if it is a different one or missing.
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

/// Checks that a body has its declared length. A body without one is complete if
/// `terminated` indicates that its end was marked.
///
/// # Errors
/// Returns an error if the length differs or the end was not marked.
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

/// Checks one stream of chunks, from its first offset to its end.
#[derive(Clone, Debug)]
pub struct StreamCheck {
    attempt: AttemptId,
    next_offset: u32,
    finished: bool,
    terminated: bool,
}

impl StreamCheck {
    /// Returns the check of a stream of `attempt` that starts at `offset`, which is 0
    /// unless the stream is resumed.
    #[must_use]
    pub fn new(attempt: AttemptId, offset: u32) -> Self {
        Self {
            attempt,
            next_offset: offset,
            finished: false,
            terminated: false,
        }
    }

    /// Checks the next chunk, which may be passed on only if this succeeds.
    ///
    /// # Errors
    /// Returns an error if the chunk belongs to another attempt or is not the next one.
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

    /// Records that the line that terminates the stream was received.
    pub fn terminator(&mut self) {
        self.terminated = true;
    }

    /// Checks that the stream is complete.
    ///
    /// # Errors
    /// Returns an error if the last chunk or the terminator is missing.
    pub fn end(&self) -> Result<(), ResponseError> {
        let whole = self.finished && self.terminated;
        if whole || !enabled(Mechanism::CompletenessCheck) {
            return Ok(());
        }
        Err(ResponseError::NoEnd {
            tokens: self.next_offset,
        })
    }

    /// Returns the offset of the next token, at which a resumed stream starts.
    #[must_use]
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }
}
