//! Tokenization and block hashes of the protocol.
//!
//! A client computes the same hashes as an engine from the prompt text alone, so
//! that it can match cache events and KV exports with prompts.

use xxhash_rust::xxh3::Xxh3;

/// Number of tokens in one block of the prefix cache.
pub const BLOCK_TOKENS: u32 = 16;
/// Maximum number of characters in one token.
const MAX_TOKEN_CHARACTERS: u32 = 4;

/// Returns the byte offsets at which the tokens of `text` end. Words longer than
/// four characters are split into tokens of four characters; white space belongs to
/// the token that follows it.
#[must_use]
pub fn token_ends(text: &str) -> Vec<usize> {
    let mut ends = Vec::with_capacity(text.len() / MAX_TOKEN_CHARACTERS as usize + 1);
    let mut characters = 0;
    for (position, character) in text.char_indices() {
        if character.is_whitespace() {
            if characters > 0 {
                ends.push(position);
                characters = 0;
            }
            continue;
        }
        characters += 1;
        if characters == MAX_TOKEN_CHARACTERS {
            ends.push(position + character.len_utf8());
            characters = 0;
        }
    }
    if characters > 0 {
        ends.push(text.len());
    }
    ends
}

/// Returns, for each complete block of `text`, the xxh3 hash of the text up to the
/// end of the block.
#[must_use]
pub fn block_hashes(text: &str, ends: &[usize]) -> Vec<u64> {
    let mut hasher = Xxh3::new();
    let mut start = 0;
    let mut hashes = Vec::with_capacity(ends.len() / BLOCK_TOKENS as usize);
    for block in ends.chunks_exact(BLOCK_TOKENS as usize) {
        let Some(&end) = block.last() else { break };
        hasher.update(&text.as_bytes()[start..end]);
        hashes.push(hasher.digest());
        start = end;
    }
    hashes
}
