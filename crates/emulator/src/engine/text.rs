//! Generated text, derived from the prompt so that checkers can verify it.

use std::fmt::Write;

use molespan_engine_api::ChatMessage;
use molespan_types::{Digest, digest_of};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Length of a generated token in bytes: six hexadecimal digits and a space.
const TOKEN_BYTES: usize = 7;

/// Deterministic generator of the text that an engine answers to a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AnswerText(Digest);

impl AnswerText {
    /// Returns the generator of the answer to `prompt`.
    #[must_use]
    pub fn of_prompt(prompt: &str) -> Self {
        Self(digest_of(prompt.as_bytes()))
    }

    /// Returns the digest of the prompt.
    #[must_use]
    pub fn prompt_digest(self) -> Digest {
        self.0
    }

    /// Appends the token at `offset` to `text`.
    pub fn append_token(self, offset: u32, text: &mut String) {
        let hash = xxh3_64_with_seed(&self.0.0.to_le_bytes(), u64::from(offset));
        // Writing to a string cannot fail.
        let _ = write!(text, "{:06x} ", hash & 0xff_ffff);
    }

    /// Returns the token at `offset`.
    #[must_use]
    pub fn token(self, offset: u32) -> String {
        let mut text = String::with_capacity(TOKEN_BYTES);
        self.append_token(offset, &mut text);
        text
    }

    /// Returns the text of the first `tokens` tokens.
    #[must_use]
    pub fn first(self, tokens: u32) -> String {
        let mut text = String::with_capacity(TOKEN_BYTES * tokens as usize);
        for offset in 0..tokens {
            self.append_token(offset, &mut text);
        }
        text
    }
}

/// Returns the whole answer of any emulated engine to `prompt`.
#[must_use]
pub fn expected_answer(prompt: &str, max_tokens: u32) -> String {
    AnswerText::of_prompt(prompt).first(max_tokens.max(1))
}

/// Returns the prompt that an engine derives from chat messages.
#[must_use]
pub fn chat_prompt(messages: &[ChatMessage]) -> String {
    let mut prompt = String::new();
    for message in messages {
        // Writing to a string cannot fail.
        let _ = writeln!(prompt, "{}: {}", message.role, message.content);
    }
    prompt
}
