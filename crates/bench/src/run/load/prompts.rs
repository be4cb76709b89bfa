//! Prompts whose length in tokens and shared prefix are known.

use molespan_types::digest_of;
use std::fmt::Write;

/// Appends `tokens` tokens that depend on `name` alone: words of four
/// hexadecimal digits, each of which counts as one token.
fn push_tokens(text: &mut String, name: &str, tokens: u32) {
    for position in 0..tokens {
        let word = digest_of(format!("{name} {position}").as_bytes());
        // Writing to a string cannot fail.
        let _ = write!(text, " {:04x}", word.0 & 0xffff);
    }
}

/// Makes prompts of one arm; no two of them are equal.
#[derive(Clone, Debug)]
pub struct Prompts {
    /// Names the run and arm, so that the engines' records tell them apart.
    label: String,
}

impl Prompts {
    /// Prompts that carry `label`, one word.
    #[must_use]
    pub fn new(label: &str) -> Self {
        Self {
            label: label.to_owned(),
        }
    }

    /// A prompt of its own.
    #[must_use]
    pub fn single(&self, kind: &str, number: u64, tokens: u32) -> String {
        let name = format!("{} {kind} {number}", self.label);
        let mut prompt = name.clone();
        push_tokens(&mut prompt, &name, tokens);
        prompt
    }

    /// A key, one word, for a request or job that is known by it.
    #[must_use]
    pub fn key(&self, kind: &str, number: u64) -> String {
        format!("{}-{kind}-{number}", self.label)
    }

    /// A prompt that begins with the prefix of an album.
    #[must_use]
    pub fn album(&self, album: u32, prefix_tokens: u32, number: u64, tokens: u32) -> String {
        let name = format!("{} album {album}", self.label);
        let mut prompt = name.clone();
        push_tokens(&mut prompt, &name, prefix_tokens);
        let question = format!("question {number}");
        prompt.push(' ');
        prompt.push_str(&question);
        push_tokens(&mut prompt, &format!("{name} {question}"), tokens);
        prompt
    }
}
