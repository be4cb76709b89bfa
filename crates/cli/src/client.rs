//! Calls to a gateway.

use std::net::SocketAddr;
use std::time::Duration;

use http_types::{Method, Request, StatusCode, Url};
use molespan_engine_api::{ErrorBody, TENANT_HEADER};
use molespan_http::{BodyError, ClientResponse, FailureCause, Pool, PoolLimits, SendError};
use serde::de::DeserializeOwned;

use crate::error::CliError;

/// Longest answer that is read at once, in bytes.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;
/// Longest time to connect to a gateway.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest time to hand over a job's items.
const WRITE_TIMEOUT: Duration = Duration::from_secs(120);
/// Longest time until an answer begins.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// One call, which may be sent again.
#[derive(Clone, Debug)]
pub struct Call {
    method: Method,
    path: String,
    query: Vec<(&'static str, String)>,
    body: Vec<u8>,
    content_type: &'static str,
    headers: Vec<(&'static str, String)>,
    answers: &'static [StatusCode],
}

impl Call {
    /// Reads `path`.
    #[must_use]
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::Get,
            path: path.into(),
            query: Vec::new(),
            body: Vec::new(),
            content_type: "application/json",
            headers: Vec::new(),
            answers: &[],
        }
    }

    /// Posts `body` to `path`.
    #[must_use]
    pub fn post(path: impl Into<String>, body: Vec<u8>) -> Self {
        Self {
            method: Method::Post,
            body,
            ..Self::get(path)
        }
    }

    /// Adds a parameter to the query.
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

    /// Sets the type of the body.
    #[must_use]
    pub fn content_type(mut self, content_type: &'static str) -> Self {
        self.content_type = content_type;
        self
    }

    /// Statuses besides success that come with a whole answer.
    #[must_use]
    pub fn answered_with(mut self, answers: &'static [StatusCode]) -> Self {
        self.answers = answers;
        self
    }

    /// The request of this call at `gateway`.
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

/// A client of several gateways, any of which will do.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Pool,
    gateways: Vec<SocketAddr>,
    tenant: Option<String>,
}

impl Client {
    /// A client of `gateways`, tried in this order.
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

    /// The same client in the name of `tenant`.
    #[must_use]
    pub fn with_tenant(mut self, tenant: Option<String>) -> Self {
        self.tenant = tenant;
        self
    }

    /// The same client of one gateway only.
    #[must_use]
    pub fn only(&self, gateway: SocketAddr) -> Self {
        Self {
            gateways: vec![gateway],
            ..self.clone()
        }
    }

    /// The gateways in the order in which they are tried.
    #[must_use]
    pub fn gateways(&self) -> &[SocketAddr] {
        &self.gateways
    }

    /// Sends `call` to the gateways in turn until one answers.
    ///
    /// # Errors
    /// When none answers, or the one that does refuses.
    pub async fn send(&self, call: &Call) -> Result<ClientResponse, CliError> {
        let mut worst = SendError::NotSent(FailureCause::Invalid("no gateway given".to_owned()));
        for gateway in &self.gateways {
            match self.send_to(*gateway, call).await {
                Err(CliError::Unanswered(error)) => worst = worse(worst, error),
                answer => return answer,
            }
        }
        Err(CliError::Unanswered(worst))
    }

    /// Sends `call` to one gateway.
    ///
    /// # Errors
    /// When it does not answer, or refuses.
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
        if status.is_success() || call.answers.contains(&status) {
            return Ok(response);
        }
        Err(refusal(gateway, response).await)
    }

    /// Sends `call` and reads the answer as JSON.
    ///
    /// # Errors
    /// As [`Client::send`], and when the answer is not what the interface says.
    pub async fn json<T: DeserializeOwned>(&self, call: &Call) -> Result<T, CliError> {
        let response = self.send(call).await?;
        let answer = response.json(MAX_ANSWER_BYTES).await;
        answer.map_err(|error| unexpected("the gateway", &error))
    }

    /// Sends `call` and reads the answer as text.
    ///
    /// # Errors
    /// As [`Client::send`], and when the answer is cut short or no text.
    pub async fn text(&self, call: &Call) -> Result<String, CliError> {
        let response = self.send(call).await?;
        let bytes = response.bytes(MAX_ANSWER_BYTES).await;
        let bytes = bytes.map_err(|error| unexpected("the gateway", &error))?;
        String::from_utf8(bytes).map_err(|error| unexpected("the gateway", &error))
    }
}

/// The error that leaves more in doubt.
fn worse(first: SendError, second: SendError) -> SendError {
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

/// The error that a refusal carries.
async fn refusal(gateway: SocketAddr, response: ClientResponse) -> CliError {
    let status = response.status();
    let body: Result<ErrorBody, BodyError> = response.json(MAX_ANSWER_BYTES).await;
    match body {
        Ok(body) => CliError::Refused(body.error),
        Err(error) => unexpected(
            &gateway.to_string(),
            &format!("status {status} without a readable reason: {error}"),
        ),
    }
}
