//! Plain HTTP/1.1 calls, one per connection, and reading of requests.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'h>(headers: &'h [(String, String)], name: &str) -> Option<&'h str> {
    let found = headers
        .iter()
        .find(|(known, _)| known.eq_ignore_ascii_case(name));
    found.map(|(_, value)| value.as_str())
}

/// Makes a call on a new connection; `None` if no whole answer arrives in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &str,
    within: Duration,
) -> Option<Answer> {
    let mut stream =
        TcpStream::connect_timeout(&address, within.min(Duration::from_secs(1))).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.set_write_timeout(Some(within)).ok()?;
    stream.set_nodelay(true).ok()?;
    let mut message = format!("{method} {target} HTTP/1.1\r\nConnection: close\r\n");
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str(&format!("Content-Length: {}\r\n\r\n{body}", body.len()));
    stream.write_all(message.as_bytes()).ok()?;
    read_answer(&mut BufReader::new(stream))
}

fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let line = read_line(reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let headers = read_headers(reader)?;
    let mut answer = Answer {
        status,
        headers,
        body: Vec::new(),
    };
    if answer.header("transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(read_line(reader)?.trim(), 16).ok()?;
            let mut chunk = vec![0; size];
            reader.read_exact(&mut chunk).ok()?;
            read_line(reader)?;
            if size == 0 {
                return Some(answer);
            }
            answer.body.extend_from_slice(&chunk);
        }
    }
    if let Some(length) = answer.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        answer.body = body;
        return Some(answer);
    }
    reader.read_to_end(&mut answer.body).ok()?;
    Some(answer)
}

fn read_line(reader: &mut impl BufRead) -> Option<String> {
    let mut line = String::new();
    (reader.read_line(&mut line).ok()? > 0).then(|| line.trim_end().to_owned())
}

fn read_headers(reader: &mut impl BufRead) -> Option<Vec<(String, String)>> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        match line.split_once(':') {
            Some((name, value)) => headers.push((name.to_owned(), value.trim().to_owned())),
            None => return Some(headers),
        }
    }
}

/// A request as a server received it.
#[derive(Clone, Debug)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
}

impl Received {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

pub fn read_request(reader: &mut impl BufRead) -> Option<Received> {
    let line = read_line(reader)?;
    let mut words = line.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?.to_owned();
    let headers = read_headers(reader)?;
    let length = header(&headers, "content-length").and_then(|text| text.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut body).ok()?;
    Some(Received {
        method,
        target,
        headers,
    })
}
