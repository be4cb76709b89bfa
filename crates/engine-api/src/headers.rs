//! Header names, in lower case as they are compared.

/// Identifier of the attempt. A back end echoes it in every response.
pub const ATTEMPT_HEADER: &str = "x-request-id";
/// `online` or `batch`.
pub const PRIORITY_HEADER: &str = "x-priority";
/// The tenant of a caller's request.
pub const TENANT_HEADER: &str = "x-tenant";
/// Key under which a caller resends one non-repeatable request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// `false` marks a request that may run at most once.
pub const REPEATABLE_HEADER: &str = "x-repeatable";
/// `completed`, `not-run` or `unknown`; on every error response.
pub const OUTCOME_HEADER: &str = "x-run-outcome";
/// Load of an application back end, 0.0 to 1.0, on its responses.
pub const LOAD_HEADER: &str = "x-load";
/// Incarnation of the back end that answered.
pub const INCARNATION_HEADER: &str = "x-incarnation";
/// Token offset of the first chunk of a resumed stream.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
