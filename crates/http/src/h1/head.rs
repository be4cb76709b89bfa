//! Heads of requests and responses.

use std::ops::RangeInclusive;

/// Maximum number of header lines of a message.
const MAX_HEADERS: usize = 96;
/// Status codes that HTTP defines (RFC 9110, section 15). Others are no answer: they must be
/// neither passed on nor counted as one.
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// Header lines in their original order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers {
    lines: Vec<(String, Vec<u8>)>,
}

impl Headers {
    /// Creates an empty list of headers.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a line.
    pub fn push(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.lines.push((name.to_owned(), value.into()));
    }

    /// Replaces all lines with this name by one.
    pub fn set(&mut self, name: &str, value: impl Into<Vec<u8>>) {
        self.remove(name);
        self.push(name, value);
    }

    /// Removes all lines with this name.
    pub fn remove(&mut self, name: &str) {
        self.lines
            .retain(|(known, _)| !known.eq_ignore_ascii_case(name));
    }

    /// Returns the value of the first line with this name.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&[u8]> {
        let mut lines = self.lines.iter();
        let line = lines.find(|(known, _)| known.eq_ignore_ascii_case(name));
        line.map(|(_, value)| value.as_slice())
    }

    /// Returns the trimmed value of the first line with this name, if it is valid UTF-8.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        let value = std::str::from_utf8(self.get(name)?).ok()?;
        Some(value.trim())
    }

    /// Returns the value of the first line with this name, if it is a number.
    #[must_use]
    pub fn number<N: std::str::FromStr>(&self, name: &str) -> Option<N> {
        self.text(name)?.parse().ok()
    }

    /// Iterates over all lines.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &[u8])> {
        let lines = self.lines.iter();
        lines.map(|(name, value)| (name.as_str(), value.as_slice()))
    }

    /// Whether the comma-separated values of the lines with this name include `token`,
    /// ignoring case.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let lines = self
            .iter()
            .filter(|(known, _)| known.eq_ignore_ascii_case(name));
        lines
            .flat_map(|(_, value)| value.split(|byte| *byte == b','))
            .any(|part| part.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
    }

    /// Adds the end-to-end headers of `other`, that is, all except hop-by-hop headers
    /// and `Content-Length`.
    pub fn extend_end_to_end(&mut self, other: &Headers) {
        for (name, value) in &other.lines {
            if !other.is_hop_by_hop(name) {
                self.lines.push((name.clone(), value.clone()));
            }
        }
    }

    fn is_hop_by_hop(&self, name: &str) -> bool {
        const NAMES: [&str; 8] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
        ];
        NAMES.iter().any(|known| known.eq_ignore_ascii_case(name))
            || self.has_token("connection", name)
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query, as sent.
    pub target: String,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header lines.
    pub headers: Headers,
}

impl RequestHead {
    /// Returns the path without the query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a field of the query, as sent.
    #[must_use]
    pub fn query(&self, field: &str) -> Option<&str> {
        let (_, query) = self.target.split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(name, _)| *name == field)
            .map(|(_, value)| value)
    }

    /// Returns the host without the port, in lower case.
    #[must_use]
    pub fn host(&self) -> String {
        let host = self.headers.text("host").unwrap_or_default();
        let name = host.split(':').next().unwrap_or_default();
        name.to_ascii_lowercase()
    }

    /// Whether the connection stays open for another request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        match self.minor {
            0 => self.headers.has_token("connection", "keep-alive"),
            _ => !self.headers.has_token("connection", "close"),
        }
    }
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status.
    pub status: u16,
    /// Reason phrase.
    pub reason: String,
    /// Minor version of HTTP/1.
    pub minor: u8,
    /// Header lines.
    pub headers: Headers,
}

impl ResponseHead {
    /// Whether the connection stays open for another request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        match self.minor {
            0 => self.headers.has_token("connection", "keep-alive"),
            _ => !self.headers.has_token("connection", "close"),
        }
    }
}

/// A head parsed from the start of a buffer with its length, or `None` when it is
/// incomplete.
pub(super) type Parsed<H> = Option<(H, usize)>;

/// Parses the head of a request at the start of `bytes`; returns `None` when more
/// bytes are needed.
pub(super) fn parse_request(bytes: &[u8]) -> Result<Parsed<RequestHead>, httparse::Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut lines);
    let httparse::Status::Complete(length) = request.parse(bytes)? else {
        return Ok(None);
    };
    let head = RequestHead {
        method: request.method.unwrap_or_default().to_owned(),
        target: request.path.unwrap_or_default().to_owned(),
        minor: request.version.unwrap_or(1),
        headers: collect(request.headers),
    };
    Ok(Some((head, length)))
}

/// Parses the head of a response at the start of `bytes`; returns `None` when more
/// bytes are needed.
pub(super) fn parse_response(bytes: &[u8]) -> Result<Parsed<ResponseHead>, httparse::Error> {
    let mut lines = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut lines);
    let httparse::Status::Complete(length) = response.parse(bytes)? else {
        return Ok(None);
    };
    let status = response.code.unwrap_or_default();
    if !STATUS_CODES.contains(&status) {
        return Err(httparse::Error::Status);
    }
    let head = ResponseHead {
        status,
        reason: response.reason.unwrap_or_default().to_owned(),
        minor: response.version.unwrap_or(1),
        headers: collect(response.headers),
    };
    Ok(Some((head, length)))
}

fn collect(lines: &[httparse::Header<'_>]) -> Headers {
    let lines = lines
        .iter()
        .map(|line| (line.name.to_owned(), line.value.to_vec()));
    Headers {
        lines: lines.collect(),
    }
}

/// Encodes the head of a request.
#[must_use]
pub fn encode_request(method: &str, target: &str, headers: &Headers) -> Vec<u8> {
    let mut bytes = format!("{method} {target} HTTP/1.1\r\n").into_bytes();
    encode_headers(headers, &mut bytes);
    bytes
}

/// Encodes the head of a response.
#[must_use]
pub fn encode_response(status: u16, reason: &str, headers: &Headers) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    encode_headers(headers, &mut bytes);
    bytes
}

fn encode_headers(headers: &Headers, bytes: &mut Vec<u8>) {
    for (name, value) in headers.iter() {
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(value);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
}
