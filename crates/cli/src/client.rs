//! HTTP client for gateways.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, StatusCode, Url};
use molespan_engine_api::{ErrorBody, TENANT_HEADER};
use molespan_http::{BodyError, ClientResponse, FailureCause, Pool, PoolLimits, SendError};
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// Maximum size of a response body that is buffered, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 * 1024 * 1024;
/// Timeout for connecting to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for uploading a job's items.
const WRITE_TIMEOUT: Duration = Duration::from_secs(120);
/// Timeout for the start of a response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A request that is safe to retry.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    query: Vec<(&'static str, String)>,
    body: Vec<u8>,
    content_type: &'static str,
    headers: Vec<(&'static str, String)>,
    accepted_statuses: &'static [StatusCode],
}

impl Call {
    /// Creates a GET request for `path`.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            query: Vec::new(),
            body: Vec::new(),
            content_type: "application/json",
            headers: Vec::new(),
            accepted_statuses: &[],
        }
    }

    /// Creates a POST request of `body` to `path`.
    #[must_use]
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method: Method::Post,
            body,
            ..Self::get(path)
        }
    }

    /// Adds a query parameter.
    #[must_use]
    pub fn query(mut self, name: &'static str, value: impl ToString) -> Self {
        self.query.push((name, value.to_string()));
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl ToString) -> Self {
        self.headers.push((name, value.to_string()));
        self
    }

    /// Sets the content type of the body.
    #[must_use]
    pub fn content_type(mut self, content_type: &'static str) -> Self {
        self.content_type = content_type;
        self
    }

    /// Sets the status codes besides 2xx that count as a regular response.
    #[must_use]
    pub fn accept_statuses(mut self, accepted_statuses: &'static [StatusCode]) -> Self {
        self.accepted_statuses = accepted_statuses;
        self
    }

    /// Builds the HTTP request to `gateway`.
    fn request(&self, gateway: SocketAddr) -> Result<Request, SendError> {
        let invalid = |what: String| SendError::NotSent(FailureCause::Invalid(what));
        let url = Url::parse(&format!("http://{gateway}{}", self.path));
        let mut url = url.map_err(|error| invalid(error.to_string()))?;
        if !self.query.is_empty() {
            url.query_pairs_mut().extend_pairs(&self.query);
        }
        let mut request = Request::new(self.method, url);
        for (name, value) in &self.headers {
            if value.parse::<http_types::headers::HeaderValue>().is_err() {
                return Err(invalid(format!("{name} has characters outside of ASCII")));
            }
            request.insert_header(*name, value.as_str());
        }
        if self.method == Method::Post {
            request.set_body(self.body.clone());
            request.insert_header("content-type", self.content_type);
        }
        Ok(request)
    }
}

/// HTTP client with a list of interchangeable gateways.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    gateways: Vec<SocketAddr>,
    tenant: Option<String>,
}

impl Client {
    /// Creates a client that tries `gateways` in the given order.
    #[must_use]
    pub fn new(gateways: Vec<SocketAddr>) -> Self {
        let limits = PoolLimits {
            connect_timeout: CONNECT_TIMEOUT,
            write_timeout: WRITE_TIMEOUT,
            response_timeout: RESPONSE_TIMEOUT,
            body_timeout: RESPONSE_TIMEOUT,
            ..PoolLimits::default()
        };
        Self {
            pool: Pool::new(limits),
            gateways,
            tenant: None,
        }
    }

    /// Returns the client with requests attributed to `tenant`.
    #[must_use]
    pub fn with_tenant(mut self, tenant: Option<String>) -> Self {
        self.tenant = tenant;
        self
    }

    /// Returns a copy of the client that uses only `gateway`.
    #[must_use]
    pub fn only(&self, gateway: SocketAddr) -> Self {
        Self {
            gateways: vec![gateway],
            ..self.clone()
        }
    }

    /// Returns the gateways in the order in which they are tried.
    #[must_use]
    pub fn gateways(&self) -> &[SocketAddr] {
        &self.gateways
    }

    /// Sends `call` to the gateways in order until one responds.
    ///
    /// # Errors
    /// Fails if no gateway responds or the responding gateway returns an error.
    pub async fn send(&self, call: &Call) -> Result<ClientResponse, CliError> {
        let mut last = SendError::NotSent(FailureCause::Invalid("no gateway given".to_owned()));
        for gateway in &self.gateways {
            match self.send_to(*gateway, call).await {
                Err(CliError::Unanswered(error)) => last = prefer_ambiguous(last, error),
                answer => return answer,
            }
        }
        Err(CliError::Unanswered(last))
    }

    /// Sends `call` to one gateway.
    ///
    /// # Errors
    /// Fails if the gateway does not respond or returns an error.
    pub async fn send_to(
        &self,
        gateway: SocketAddr,
        call: &Call,
    ) -> Result<ClientResponse, CliError> {
        let mut request = call.request(gateway).map_err(CliError::Unanswered)?;
        if let Some(tenant) = &self.tenant {
            request.insert_header(TENANT_HEADER, tenant.as_str());
        }
        let response = self.pool.send(gateway, request).await;
        let response = response.map_err(CliError::Unanswered)?;
        let status = response.status();
        if status.is_success() || call.accepted_statuses.contains(&status) {
            return Ok(response);
        }
        Err(error_of_response(gateway, response).await)
    }

    /// Sends `call` and parses the response body as JSON.
    ///
    /// # Errors
    /// Fails as [`Client::send`] does, or if the body does not match the API.
    pub async fn json<T: DeserializeOwned>(&self, call: &Call) -> Result<T, CliError> {
        let response = self.send(call).await?;
        let answer = response.json(MAX_RESPONSE_BYTES).await;
        answer.map_err(|error| unexpected("the gateway", &error))
    }

    /// Sends `call` and returns the response body as text.
    ///
    /// # Errors
    /// Fails as [`Client::send`] does, or if the body is truncated or not UTF-8.
    pub async fn text(&self, call: &Call) -> Result<String, CliError> {
        let response = self.send(call).await?;
        let bytes = response.bytes(MAX_RESPONSE_BYTES).await;
        let bytes = bytes.map_err(|error| unexpected("the gateway", &error))?;
        String::from_utf8(bytes).map_err(|error| unexpected("the gateway", &error))
    }
}

/// Returns the ambiguous error if there is one: the request may have run.
fn prefer_ambiguous(first: SendError, second: SendError) -> SendError {
    match first {
        SendError::Ambiguous(_) => first,
        SendError::NotSent(_) => second,
    }
}

fn unexpected(gateway: &str, what: &impl ToString) -> CliError {
    CliError::Unexpected {
        gateway: gateway.to_owned(),
        what: what.to_string(),
    }
}

/// Converts an error response to a `CliError`.
async fn error_of_response(gateway: SocketAddr, response: ClientResponse) -> CliError {
    let status = response.status();
    let body: Result<ErrorBody, BodyError> = response.json(MAX_RESPONSE_BYTES).await;
    match body {
        Ok(body) => CliError::Refused(body.error),
        Err(error) => unexpected(
            &gateway.to_string(),
            &format!("status {status} without a readable reason: {error}"),
        ),
    }
}
