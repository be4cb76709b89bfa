//! Parsing of requests, and validation as far as it needs no state.

use http_types::headers::HeaderName;
use molespan_engine_api::{
    CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, ChatMessage, IDEMPOTENCY_KEY_HEADER,
    REPEATABLE_HEADER, TENANT_HEADER, block_hashes, token_ends,
};
use molespan_http::Request;
use molespan_types::{Digest, ServiceName, TenantId, digest_of};
use serde_json::{Map, Value};

use super::error::ApiError;

/// Tenant of a request without a tenant header.
const DEFAULT_TENANT: &str = "default";
/// Maximum length of a tenant name or idempotency key in bytes.
const MAX_NAME_BYTES: usize = 256;
/// Maximum number of tokens a request may ask for.
const MAX_TOKENS: u64 = 1_000_000;
/// Default number of generated tokens, the same as the engines' default.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Form of a completion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CompletionForm {
    /// Text completion.
    Text,
    /// Chat completion.
    Chat,
}

impl CompletionForm {
    /// Path of the form, both at engines and for callers.
    pub(super) fn path(self) -> &'static str {
        match self {
            Self::Text => COMPLETIONS_PATH,
            Self::Chat => CHAT_COMPLETIONS_PATH,
        }
    }
}

/// Whether a request may run more than once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Repeatability {
    /// The request may run repeatedly.
    Repeatable,
    /// The request runs at most once under this key, whoever sends it.
    Once {
        /// The caller's key.
        key: String,
    },
    /// This submission runs at most once; other submissions are not recognized.
    OnceUnkeyed,
}

/// A parsed completion request.
#[derive(Clone, Debug)]
pub(super) struct CompletionRequest {
    pub(super) form: CompletionForm,
    pub(super) service: ServiceName,
    pub(super) tenant: TenantId,
    pub(super) repeatability: Repeatability,
    /// Whether the caller wants server-sent events.
    pub(super) stream: bool,
    /// Hashes of the prompt's prefix blocks, computed as engines do.
    pub(super) prefix_hashes: Vec<u64>,
    /// Estimated number of prompt tokens.
    pub(super) prompt_tokens: u32,
    /// Digest of the body as received.
    pub(super) digest: Digest,
    body: Map<String, Value>,
}

impl CompletionRequest {
    /// Parses and validates the headers and body of a completion.
    pub(super) fn read(
        form: CompletionForm,
        request: &Request,
        body: &[u8],
    ) -> Result<Self, ApiError> {
        let tenant = tenant_of(request)?;
        let repeatability = repeatability_of(request, true)?;
        let fields = parse_fields(body)?;
        let service = text_field(&fields, "model")?.to_owned();
        let stream = flag_field(&fields, "stream")?;
        check_max_tokens(&fields)?;
        let prompt = match form {
            CompletionForm::Text => text_field(&fields, "prompt")?.to_owned(),
            CompletionForm::Chat => chat_prompt(&fields)?,
        };
        let ends = token_ends(&prompt);
        Ok(Self {
            form,
            service: ServiceName(service),
            tenant,
            repeatability,
            stream,
            prefix_hashes: block_hashes(&prompt, &ends),
            prompt_tokens: ends.len().max(1) as u32,
            digest: digest_of(body),
            body: fields,
        })
    }

    /// Returns the body for an engine that runs `model`. The answer between engine and
    /// gateway is always streamed, so that an interrupted one can be resumed.
    pub(super) fn engine_body(&self, model: &str) -> Vec<u8> {
        engine_body(self.body.clone(), model)
    }
}

/// Returns the body of a request to an engine.
pub(super) fn engine_body(mut fields: Map<String, Value>, model: &str) -> Vec<u8> {
    fields.insert("model".to_owned(), Value::from(model));
    fields.insert("stream".to_owned(), Value::Bool(true));
    // Serializing a map with text keys cannot fail.
    serde_json::to_vec(&fields).unwrap_or_default()
}

/// Parses the fields of a JSON object.
pub(super) fn parse_fields(body: &[u8]) -> Result<Map<String, Value>, ApiError> {
    serde_json::from_slice(body).map_err(|error| {
        ApiError::bad_request(
            "malformed_body",
            format!("the body is no JSON object: {error}"),
        )
    })
}

/// Validates the fields of one batch item.
pub(super) fn check_item(line: &[u8]) -> Result<(), String> {
    let fields = parse_fields(line).map_err(|error| error.message)?;
    text_field(&fields, "prompt").map_err(|error| error.message)?;
    check_max_tokens(&fields).map_err(|error| error.message)
}

fn check_max_tokens(fields: &Map<String, Value>) -> Result<(), ApiError> {
    let max_tokens = match fields.get("max_tokens") {
        None => return Ok(()),
        Some(max_tokens) => max_tokens.as_u64(),
    };
    match max_tokens {
        Some(1..=MAX_TOKENS) => Ok(()),
        _ => Err(ApiError::bad_request(
            "bad_max_tokens",
            format!("`max_tokens` must be a whole number from 1 to {MAX_TOKENS}"),
        )),
    }
}

/// Returns the number of tokens that an item asks for.
pub(super) fn max_tokens_of(fields: &Map<String, Value>) -> u64 {
    let max_tokens = fields.get("max_tokens").and_then(Value::as_u64);
    max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
}

fn text_field<'a>(fields: &'a Map<String, Value>, name: &str) -> Result<&'a str, ApiError> {
    fields.get(name).and_then(Value::as_str).ok_or_else(|| {
        ApiError::bad_request("missing_field", format!("the field `{name}` must be text"))
    })
}

fn flag_field(fields: &Map<String, Value>, name: &str) -> Result<bool, ApiError> {
    match fields.get(name) {
        None => Ok(false),
        Some(Value::Bool(flag)) => Ok(*flag),
        Some(_) => Err(ApiError::bad_request(
            "malformed_body",
            format!("the field `{name}` must be true or false"),
        )),
    }
}

/// Returns the prompt that an engine derives from a conversation.
fn chat_prompt(fields: &Map<String, Value>) -> Result<String, ApiError> {
    let messages = fields.get("messages").cloned().unwrap_or_default();
    let messages: Vec<ChatMessage> = serde_json::from_value(messages).map_err(|error| {
        ApiError::bad_request(
            "missing_field",
            format!("the field `messages` must be a list of messages: {error}"),
        )
    })?;
    if messages.is_empty() {
        let message = "the field `messages` must not be empty";
        return Err(ApiError::bad_request("missing_field", message));
    }
    let mut prompt = String::new();
    for message in &messages {
        prompt.push_str(&message.role);
        prompt.push_str(": ");
        prompt.push_str(&message.content);
        prompt.push('\n');
    }
    Ok(prompt)
}

/// Returns the tenant of a request.
pub(super) fn tenant_of(request: &Request) -> Result<TenantId, ApiError> {
    let named = header(request, TENANT_HEADER).unwrap_or_else(|| DEFAULT_TENANT.to_owned());
    if named.is_empty() || named.len() > MAX_NAME_BYTES {
        let message = format!("the header {TENANT_HEADER} must have 1 to {MAX_NAME_BYTES} bytes");
        return Err(ApiError::bad_request("bad_tenant", message));
    }
    Ok(TenantId(named))
}

/// Returns whether a request may run more than once; `repeatable_by_default` applies
/// without a header.
pub(super) fn repeatability_of(
    request: &Request,
    repeatable_by_default: bool,
) -> Result<Repeatability, ApiError> {
    let repeatable = match header(request, REPEATABLE_HEADER).as_deref() {
        None if repeatable_by_default => return Ok(Repeatability::Repeatable),
        None => return Ok(Repeatability::OnceUnkeyed),
        Some("true") => true,
        Some("false") => false,
        Some(_) => {
            let message = format!("the header {REPEATABLE_HEADER} must be true or false");
            return Err(ApiError::bad_request("bad_repeatable", message));
        }
    };
    if repeatable {
        return Ok(Repeatability::Repeatable);
    }
    match header(request, IDEMPOTENCY_KEY_HEADER) {
        Some(key) if !key.is_empty() && key.len() <= MAX_NAME_BYTES => {
            Ok(Repeatability::Once { key })
        }
        _ => Err(ApiError::bad_request(
            "missing_idempotency_key",
            format!(
                "a request that may not be repeated needs the header {IDEMPOTENCY_KEY_HEADER} \
                 of 1 to {MAX_NAME_BYTES} bytes"
            ),
        )),
    }
}

/// Returns the last value of a header.
pub(super) fn header(request: &Request, name: &str) -> Option<String> {
    let name: HeaderName = name.parse().ok()?;
    let values = request.header(name)?;
    Some(values.last().as_str().to_owned())
}

/// Returns the value of a query parameter.
pub(super) fn query_text(request: &Request, name: &str) -> Option<String> {
    let mut pairs = request.url().query_pairs();
    let found = pairs.find(|(key, _)| key == name);
    found.map(|(_, value)| value.into_owned())
}

/// Returns the value of a numeric query parameter.
pub(super) fn query_number(request: &Request, name: &str) -> Result<Option<u64>, ApiError> {
    let Some(text) = query_text(request, name) else {
        return Ok(None);
    };
    text.parse().map(Some).map_err(|_| {
        let message = format!("the query parameter `{name}` must be a whole number");
        ApiError::bad_request("bad_query", message)
    })
}
