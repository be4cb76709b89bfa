//! Generates prompts with a known token count and shared prefix.

use molespan_types::digest_of;
use std::fmt::Write;

/// Appends `tokens` words of four hexadecimal digits that depend only on `name`.
/// Each word counts as one token.
fn push_tokens(text: &mut String, name: &str, tokens: u32) {
    for position in 0..tokens {
        let word = digest_of(format!("{name} {position}").as_bytes());
        // Writing to a string cannot fail.
        let _ = write!(text, " {:04x}", word.0 & 0xffff);
    }
}

/// Generates the prompts of one arm, all of which are distinct.
#[derive(Clone, Debug)]
pub struct Prompts {
    /// Identifies the run and arm, so that their prompts differ in the engines' records.
    label: String,
}

impl Prompts {
    /// Creates a generator of prompts that start with `label`, a single word.
    #[must_use]
    pub fn new(label: &str) -> Self {
        Self {
            label: label.to_owned(),
        }
    }

    /// Returns a prompt without a shared prefix.
    #[must_use]
    pub fn single(&self, kind: &str, number: u64, tokens: u32) -> String {
        let name = format!("{} {kind} {number}", self.label);
        let mut prompt = name.clone();
        push_tokens(&mut prompt, &name, tokens);
        prompt
    }

    /// Returns an idempotency key for a request or job, a single word.
    #[must_use]
    pub fn key(&self, kind: &str, number: u64) -> String {
        format!("{}-{kind}-{number}", self.label)
    }

    /// Returns a prompt that starts with the prefix of an album.
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
