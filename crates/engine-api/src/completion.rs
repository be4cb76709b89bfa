//! Completion requests and responses in the OpenAI format.

use serde::{Deserialize, Serialize};

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Model; in requests to a gateway, the name of the service.
    pub model: String,
    /// Text to complete.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
    /// Adapter to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
}

/// Default of `max_tokens`.
fn default_max_tokens() -> u32 {
    16
}

/// One message of a chat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ChatCompletionRequest {
    /// Model; in requests to a gateway, the name of the service.
    pub model: String,
    /// Messages of the conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the response is streamed as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

/// Why generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model emitted the end of the text.
    Stop,
    /// `max_tokens` was reached.
    Length,
}

/// One choice of a response that is not streamed. Chat completions set `message`,
/// text completions set `text`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionChoice {
    /// Index among the choices; always 0, since there is only one.
    pub index: u32,
    /// Generated text of a completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub text: Option<String>,
    /// Generated message of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<ChatMessage>,
    /// Why generation ended.
    pub finish_reason: Option<FinishReason>,
}

/// Token counts of a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens generated.
    pub completion_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u32,
}

/// A response that is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Attempt identifier, the same as in the echoed header.
    pub id: String,
    /// Model that generated the response.
    pub model: String,
    /// The choices.
    pub choices: Vec<CompletionChoice>,
    /// Token counts.
    pub usage: Usage,
}

/// One server-sent event of a streamed response. The stream ends with a chunk
/// that carries `finish_reason`, then the line `data: [DONE]`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionChunk {
    /// Attempt identifier.
    pub id: String,
    /// Position of this chunk's token, from 0. Contiguous within a response.
    pub offset: u32,
    /// Text of the token.
    pub text: String,
    /// Set on the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<FinishReason>,
    /// Set on the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub usage: Option<Usage>,
}
