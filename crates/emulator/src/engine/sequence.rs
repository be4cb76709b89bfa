//! State of an attempt that is waiting, running or paused.

use molespan_engine_api::{BLOCK_TOKENS, RequestState, Usage, block_hashes, token_ends};
use molespan_types::Priority;

use super::{AnswerText, AttemptKey, KvMemory, Submission};

/// Sequence identifier; assigned in order of arrival.
pub type SequenceId = u64;

/// Returns the number of blocks needed for `tokens` tokens.
#[must_use]
pub fn blocks_for(tokens: u32) -> u32 {
    tokens.div_ceil(BLOCK_TOKENS)
}

/// State of a sequence and the KV memory it holds.
#[derive(Clone, Debug)]
pub struct Sequence {
    /// Attempt identifier.
    pub attempt: AttemptKey,
    /// Priority class.
    pub priority: Priority,
    /// Generator of the answer's text.
    pub text: AnswerText,
    /// Whether each token is reported.
    pub stream: bool,
    /// `Waiting`, `Running` or `Paused`.
    pub state: RequestState,
    /// Whether the sequence ever entered the running batch.
    pub started: bool,
    /// Number of tokens generated.
    pub generated: u32,
    max_tokens: u32,
    prompt_tokens: u32,
    hashes: Vec<u64>,
    cached_tokens: u32,
    computed: u32,
    shared_blocks: u32,
    private_blocks: u32,
}

impl Sequence {
    /// Creates a waiting sequence.
    #[must_use]
    pub fn new(submission: Submission) -> Self {
        let ends = token_ends(&submission.prompt);
        Self {
            text: AnswerText::of_prompt(&submission.prompt),
            hashes: block_hashes(&submission.prompt, &ends),
            prompt_tokens: (ends.len() as u32).max(1),
            max_tokens: submission.max_tokens.max(1),
            attempt: submission.attempt,
            priority: submission.priority,
            stream: submission.stream,
            state: RequestState::Waiting,
            started: false,
            generated: 0,
            cached_tokens: 0,
            computed: 0,
            shared_blocks: 0,
            private_blocks: 0,
        }
    }

    /// Returns the number of tokens to generate.
    #[must_use]
    pub fn max_tokens(&self) -> u32 {
        self.max_tokens
    }

    /// Returns the number of blocks needed for the prompt and the whole answer.
    #[must_use]
    pub fn max_blocks(&self) -> u32 {
        blocks_for(self.prompt_tokens.saturating_add(self.max_tokens))
    }

    /// Returns the number of tokens to process before the next token can be
    /// generated.
    #[must_use]
    pub fn prefill_left(&self) -> u32 {
        (self.prompt_tokens + self.generated).saturating_sub(self.computed)
    }

    /// Whether the sequence holds KV memory.
    #[must_use]
    pub fn holds_memory(&self) -> bool {
        self.shared_blocks + self.private_blocks > 0
    }

    /// Whether all tokens are generated.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.generated >= self.max_tokens
    }

    /// Returns the token counts so far.
    #[must_use]
    pub fn usage(&self) -> Usage {
        Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: self.generated,
            cached_tokens: self.cached_tokens,
        }
    }

    /// Allocates memory for the prompt, the tokens generated so far and the next
    /// token, sharing the cached prefix. On failure, the sequence holds no
    /// memory.
    ///
    /// # Errors
    /// The number of private blocks that the sequence needs.
    pub fn reserve(&mut self, memory: &mut KvMemory) -> Result<(), u32> {
        let context = self.prompt_tokens + self.generated;
        let shared = memory.acquire_prefix(&self.hashes);
        let private = blocks_for(context + 1).saturating_sub(shared);
        if !memory.allocate(private) {
            memory.release(&self.hashes[..shared as usize]);
            return Err(private);
        }
        self.shared_blocks = shared;
        self.private_blocks = private;
        // At least one token must be processed to generate the next.
        self.computed = (shared * BLOCK_TOKENS).min(context - 1);
        if !self.started {
            self.cached_tokens = self.computed;
        }
        Ok(())
    }

    /// Releases all memory. All tokens must be processed again afterwards.
    pub fn release(&mut self, memory: &mut KvMemory) {
        memory.release(&self.hashes[..self.shared_blocks as usize]);
        memory.free(self.private_blocks);
        self.shared_blocks = 0;
        self.private_blocks = 0;
        self.computed = 0;
    }

    /// Counts `tokens` as processed.
    pub fn advance_prefill(&mut self, tokens: u32) {
        self.computed += tokens;
    }

    /// Publishes the complete blocks of the prompt to the cache. Returns the
    /// blocks that were not cached before.
    pub fn publish_prompt(&mut self, memory: &mut KvMemory) -> Vec<u64> {
        let mut stored = Vec::new();
        while (self.shared_blocks as usize) < self.hashes.len() {
            let position = self.shared_blocks as usize;
            let hash = self.hashes[position];
            let parent = position.checked_sub(1).map(|before| self.hashes[before]);
            if memory.publish(hash, parent) {
                stored.push(hash);
            }
            self.private_blocks = self.private_blocks.saturating_sub(1);
            self.shared_blocks += 1;
        }
        stored
    }

    /// Counts one generated token.
    pub fn advance_generation(&mut self) {
        self.computed = self.prompt_tokens + self.generated;
        self.generated += 1;
    }

    /// Allocates memory for the next token if it does not fit into the blocks
    /// held. Returns `false` if there is not enough memory.
    pub fn grow(&mut self, memory: &mut KvMemory) -> bool {
        let needed = blocks_for(self.prompt_tokens + self.generated + 1);
        let held = self.shared_blocks + self.private_blocks;
        if needed <= held {
            return true;
        }
        if !memory.allocate(needed - held) {
            return false;
        }
        self.private_blocks += needed - held;
        true
    }
}
