//! A raw HTTP client that exposes every byte of a response.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};

use serde_json::Value;

use super::PATIENCE;

/// A response as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Status code, or 0 if the head was incomplete.
    pub status: u16,
    /// Head in lower case.
    pub head: String,
    /// Body without chunk framing.
    pub body: String,
    /// Whether the body was complete.
    pub whole: bool,
}

impl Answer {
    fn parse(bytes: &[u8]) -> Self {
        let text = String::from_utf8_lossy(bytes).into_owned();
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            return Self {
                status: 0,
                head: String::new(),
                body: text,
                whole: false,
            };
        };
        let status = head.split(' ').nth(1).unwrap_or_default();
        let head = head.to_lowercase();
        let chunked = head.contains("transfer-encoding: chunked");
        let (body, whole) = if chunked {
            join_chunks(body)
        } else {
            let declared = head_value(&head, "content-length");
            let declared = declared.and_then(|length| length.parse::<usize>().ok());
            (body.to_owned(), declared == Some(body.len()))
        };
        Self {
            status: status.parse().unwrap_or(0),
            head,
            body,
            whole,
        }
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        head_value(&self.head, name)
    }

    /// Returns the body as JSON; null if it is not JSON.
    pub fn json_value(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the code of a typed error.
    pub fn code(&self) -> String {
        let value = self.json_value();
        value["error"]["code"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the outcome of a typed error.
    pub fn outcome(&self) -> String {
        let value = self.json_value();
        value["error"]["outcome"]
            .as_str()
            .unwrap_or_default()
            .to_owned()
    }

    /// Returns the text of a plain completion.
    pub fn text(&self) -> String {
        let value = self.json_value();
        let choice = &value["choices"][0];
        let text = choice["text"].as_str();
        let text = text.or(choice["message"]["content"].as_str());
        text.unwrap_or_default().to_owned()
    }

    /// Returns the data of the events in a streamed body.
    pub fn events(&self) -> Vec<&str> {
        let lines = self.body.lines();
        lines
            .filter_map(|line| line.strip_prefix("data: "))
            .collect()
    }

    /// Returns the text of a streamed completion, and whether the stream was complete.
    pub fn streamed_text(&self) -> (String, bool) {
        let mut text = String::new();
        let mut done = false;
        for event in self.events() {
            if event == "[DONE]" {
                done = true;
                continue;
            }
            let chunk: Value = serde_json::from_str(event).unwrap_or_default();
            text.push_str(chunk["text"].as_str().unwrap_or_default());
        }
        (text, done && self.whole)
    }
}

fn head_value<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let prefix = format!("{name}: ");
    head.lines().find_map(|line| line.strip_prefix(&prefix))
}

fn join_chunks(mut rest: &str) -> (String, bool) {
    let mut joined = String::new();
    while let Some((size, tail)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return (joined, false);
        };
        if size == 0 {
            return (joined, true);
        }
        let Some(chunk) = tail.get(..size) else {
            joined.push_str(tail);
            return (joined, false);
        };
        joined.push_str(chunk);
        rest = tail.get(size + 2..).unwrap_or_default();
    }
    (joined, false)
}

/// Returns the text of a request that asks the server to close the connection afterwards.
pub fn request_text(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut text = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    text
}

/// Sends a request and reads until the connection ends, also by an error.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Answer {
    let text = request_text(method, path, headers, body);
    exchange(address, text.as_bytes()).unwrap_or_else(|_| Answer::parse(b""))
}

/// Sends a GET request.
pub fn get(address: SocketAddr, path: &str) -> Answer {
    call(address, "GET", path, &[], "")
}

/// Sends a POST request.
pub fn post(address: SocketAddr, path: &str, body: &str) -> Answer {
    call(address, "POST", path, &[], body)
}

/// Opens a connection and sends bytes.
pub fn open(address: SocketAddr, bytes: &[u8]) -> io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    stream.write_all(bytes)?;
    Ok(stream)
}

/// Sends bytes and reads until the connection ends.
pub fn exchange(address: SocketAddr, bytes: &[u8]) -> io::Result<Answer> {
    Ok(read_to_end(open(address, bytes)?))
}

/// Reads until the connection is closed or reset.
pub fn read_to_end(mut stream: TcpStream) -> Answer {
    let mut bytes = Vec::new();
    let mut buffer = [0; 16_384];
    while let Ok(count) = stream.read(&mut buffer) {
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
    Answer::parse(&bytes)
}

/// Returns the body of a completion for the service `caption`.
pub fn completion(prompt: &str, max_tokens: u32, stream: bool) -> String {
    format!(
        r#"{{"model":"caption","prompt":"{prompt}","max_tokens":{max_tokens},"stream":{stream}}}"#
    )
}

/// Requests a plain completion of a prompt.
pub fn complete(address: SocketAddr, prompt: &str, max_tokens: u32) -> Answer {
    let body = completion(prompt, max_tokens, false);
    post(address, "/v1/completions", &body)
}

/// Requests a streamed completion of a prompt.
pub fn stream(address: SocketAddr, prompt: &str, max_tokens: u32) -> Answer {
    let body = completion(prompt, max_tokens, true);
    post(address, "/v1/completions", &body)
}
