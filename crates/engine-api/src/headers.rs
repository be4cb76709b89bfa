//! HTTP header names, in lower case.

/// Attempt identifier, which a back end echoes in every response.
pub const ATTEMPT_HEADER: &str = "x-request-id";
/// Priority of the request: `online` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Tenant of a caller's request.
pub const TENANT_HEADER: &str = "x-tenant";
/// Idempotency key that a caller reuses when it resends a non-repeatable request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// `false` marks a request that may run at most once.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// Outcome of the request on every error response: `completed`, `not-run` or `unknown`.
pub const OUTCOME_HEADER: &str = "x-run-outcome";
/// Load of an application back end, from 0.0 to 1.0, on its responses.
pub const LOAD_HEADER: &str = "x-load";
/// Incarnation of the back end that answered.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// Token offset of the first chunk of a resumed stream.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
