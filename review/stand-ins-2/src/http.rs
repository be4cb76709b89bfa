//! A plain HTTP/1.1 client and reader of requests.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// An answer, read to its end.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// Makes one call on a connection of its own; `None` if no whole answer comes in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    within: Duration,
) -> Option<Answer> {
    let ends = Instant::now() + within;
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1).min(within)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_write_timeout(Some(within)).ok()?;
    stream
        .write_all(&request(method, target, headers, body))
        .ok()?;
    stream
        .set_read_timeout(Some(
            ends.saturating_duration_since(Instant::now())
                .max(Duration::from_millis(1)),
        ))
        .ok()?;
    let mut reader = BufReader::new(stream);
    let (line, headers) = head(&mut reader)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let length: usize = find(&headers, "content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(Answer { status, body })
}

/// Encodes a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text += &format!("{name}: {value}\r\n");
    }
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Reads a start line and the headers behind it.
pub fn head(reader: &mut impl BufRead) -> Option<(String, Vec<(String, String)>)> {
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut header = String::new();
        if reader.read_line(&mut header).ok()? == 0 {
            return None;
        }
        match header.trim_end().split_once(':') {
            Some((name, value)) => {
                headers.push((name.to_ascii_lowercase(), value.trim().to_owned()))
            }
            None => return Some((line.trim_end().to_owned(), headers)),
        }
    }
}

pub fn find<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers
        .iter()
        .find(|(known, _)| known == name)
        .map(|(_, value)| value.as_str())
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::with_capacity(bytes.len().div_ceil(3) * 4);
    for piece in bytes.chunks(3) {
        let mut number = 0u32;
        for place in 0..3 {
            number = number << 8 | u32::from(piece.get(place).copied().unwrap_or(0));
        }
        for place in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char;
            text.push(if place <= piece.len() { digit } else { '=' });
        }
    }
    text
}

/// Sends a request on a connection of its own and returns all that comes back.
pub fn stream(
    address: SocketAddr,
    target: &str,
    headers: &[(&str, &str)],
    within: Duration,
) -> String {
    let mut bytes = Vec::new();
    let ends = Instant::now() + within;
    if let Ok(mut stream) = TcpStream::connect(address) {
        let _unset = stream.set_read_timeout(Some(within));
        let _gone = stream.write_all(&request("POST", target, headers, b"{}"));
        let mut piece = [0; 4096];
        while let Ok(count) = stream.read(&mut piece) {
            bytes.extend_from_slice(&piece[..count]);
            if count == 0 || Instant::now() > ends || bytes.ends_with(b"0\r\n\r\n") {
                break;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
