//! Tests of the low-level HTTP/1.1 implementation: the result does not depend on how
//! the bytes are split into reads, and truncated or malformed messages are never
//! accepted as complete.

use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use async_io::Async;
use futures_lite::future::{self, block_on};
use molespan_http::h1::{
    BodyError, BodyReader, Connection, Framing, HeadError, Headers, PeerState, RequestHead,
    encode_request, encode_response,
};
use proptest::prelude::*;

/// Creates a connection that receives `bytes` in pieces of `piece` bytes and then
/// ends.
fn connection_receiving(bytes: &[u8], piece: usize) -> Connection {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let bytes = bytes.to_vec();
    thread::spawn(move || {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_nodelay(true).expect("a socket");
        for part in bytes.chunks(piece.max(1)) {
            if stream.write_all(part).is_err() {
                return;
            }
        }
    });
    let (stream, _) = listener.accept().expect("a connection");
    Connection::new(Async::new(stream).expect("a socket"))
}

const LIMIT: usize = 4_096;

fn read_response(bytes: &[u8], piece: usize, method: &str) -> Result<(u16, Vec<u8>), String> {
    block_on(async {
        let mut connection = connection_receiving(bytes, piece);
        let head = connection.response_head(LIMIT).await;
        let head = head.map_err(|error| error.to_string())?;
        let framing = Framing::of_response(&head, method).ok_or("framing")?;
        let mut reader = BodyReader::new(framing);
        let body = reader.collect(&mut connection, 1 << 16).await;
        Ok((head.status, body.map_err(|error| error.to_string())?))
    })
}

// Guards against bytes that are lost with a read that is given up, as time limits do.
#[test]
fn a_read_that_is_given_up_loses_no_bytes() {
    const LENGTH: usize = 8 << 20;
    let body: Vec<u8> = (0..LENGTH).map(|place| (place % 251) as u8).collect();
    let received = block_on(async {
        let mut connection = connection_receiving(&body, LENGTH);
        let mut reader = BodyReader::new(Framing::Length(LENGTH as u64));
        let mut received = Vec::new();
        while !reader.has_ended() {
            match future::poll_once(reader.next(&mut connection)).await {
                Some(piece) => received.extend(piece.expect("bytes").unwrap_or_default()),
                None => future::yield_now().await,
            }
        }
        received
    });
    assert!(received == body, "{} of {LENGTH} bytes", received.len());
}

// Guards against taking bytes that are no answer, such as a status 000, for one.
#[test]
fn a_status_that_does_not_exist_is_malformed() {
    for status in 0..1_000_u16 {
        let bytes = format!("HTTP/1.1 {status:03} S\r\nContent-Length: 0\r\n\r\n");
        let read = read_response(bytes.as_bytes(), bytes.len(), "GET");
        assert_eq!(
            read.is_ok(),
            (100..600).contains(&status),
            "{status}: {read:?}"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    #[test]
    fn a_body_does_not_depend_on_how_its_bytes_are_split(
        body in prop::collection::vec(any::<u8>(), 0..300),
        chunk in 1..50_usize,
        piece in 1..40_usize,
        framing in 0..3_u8,
    ) {
        let mut bytes = b"HTTP/1.1 200 OK\r\n".to_vec();
        match framing {
            0 => {
                bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes());
                bytes.extend(&body);
            }
            1 => {
                bytes.extend(b"Transfer-Encoding: chunked\r\n\r\n");
                for part in body.chunks(chunk) {
                    bytes.extend(molespan_http::h1::chunk(part));
                }
                bytes.extend(molespan_http::h1::LAST_CHUNK);
            }
            _ => {
                bytes.extend(b"\r\n");
                bytes.extend(&body);
            }
        }
        prop_assert_eq!(read_response(&bytes, piece, "GET"), Ok((200, body)));
    }

    /// Arbitrary bytes never cause a panic.
    #[test]
    fn arbitrary_bytes_never_panic(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        block_on(async {
            let mut connection = connection_receiving(&bytes, 64);
            if let Ok(head) = connection.request_head(LIMIT).await
                && let Some(framing) = Framing::of_request(&head)
            {
                let _read = BodyReader::new(framing).collect(&mut connection, 1 << 16).await;
            }
        });
    }
}

#[test]
fn a_truncated_response_is_never_complete() {
    let answers: [&[u8]; 2] = [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ];
    for answer in answers {
        for end in 0..answer.len() {
            assert!(
                read_response(&answer[..end], 7, "GET").is_err(),
                "cut at {end}"
            );
        }
        assert_eq!(
            read_response(answer, 7, "GET"),
            Ok((200, b"hello".to_vec()))
        );
    }
}

/// Header lines and the framing that they declare.
type FramingCase<'a> = (&'a [(&'a str, &'a str)], Option<Framing>);

#[test]
fn contradictory_framing_is_rejected() {
    let head = |lines: &[(&str, &str)]| {
        let mut headers = Headers::new();
        for (name, value) in lines {
            headers.push(name, *value);
        }
        RequestHead {
            method: "POST".to_owned(),
            target: "/".to_owned(),
            minor: 1,
            headers,
        }
    };
    let cases: [FramingCase<'_>; 9] = [
        (&[], Some(Framing::Empty)),
        (&[("Content-Length", "3")], Some(Framing::Length(3))),
        (&[("Transfer-Encoding", "chunked")], Some(Framing::Chunked)),
        (&[("Content-Length", "3"), ("Content-Length", "3")], None),
        (
            &[("Content-Length", "3"), ("Transfer-Encoding", "chunked")],
            None,
        ),
        (&[("Content-Length", "-3")], None),
        (&[("Content-Length", "+3")], None),
        (&[("Content-Length", "")], None),
        (&[("Transfer-Encoding", "gzip")], None),
    ];
    for (lines, framing) in cases {
        assert_eq!(Framing::of_request(&head(lines)), framing, "{lines:?}");
    }
}

#[test]
fn responses_to_head_and_with_status_204_have_no_body() {
    let bytes = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n";
    assert_eq!(read_response(bytes, 9, "HEAD"), Ok((200, Vec::new())));
    let bytes = b"HTTP/1.1 204 No\r\n\r\n";
    assert_eq!(read_response(bytes, 9, "GET"), Ok((204, Vec::new())));
}

#[test]
fn heads_and_bodies_are_limited() {
    let long = format!("GET / HTTP/1.1\r\nA: {}\r\n\r\n", "a".repeat(5_000));
    block_on(async {
        let mut connection = connection_receiving(long.as_bytes(), 1_000);
        let head = connection.request_head(LIMIT).await;
        assert!(matches!(head, Err(HeadError::TooLong)), "{head:?}");
    });
    block_on(async {
        let mut connection = connection_receiving(b"12345", 2);
        let body = BodyReader::new(Framing::UntilClose)
            .collect(&mut connection, 4)
            .await;
        assert!(matches!(body, Err(BodyError::TooLong)), "{body:?}");
    });
}

#[test]
fn hop_by_hop_headers_are_not_forwarded() {
    let mut headers = Headers::new();
    for (name, value) in [
        ("Connection", "close, X-Hop"),
        ("X-Hop", "1"),
        ("Keep-Alive", "timeout=5"),
        ("Transfer-Encoding", "chunked"),
        ("X-End", "2"),
        ("x-end", "3"),
    ] {
        headers.push(name, value);
    }
    let mut passed = Headers::new();
    passed.extend_end_to_end(&headers);
    let names: Vec<&str> = passed.iter().map(|(name, _)| name).collect();
    assert_eq!(names, ["X-End", "x-end"]);
    let request = String::from_utf8(encode_request("GET", "/x?y", &passed)).expect("text");
    assert_eq!(request, "GET /x?y HTTP/1.1\r\nX-End: 2\r\nx-end: 3\r\n\r\n");
    let answer = String::from_utf8(encode_response(201, "Made", &Headers::new())).expect("text");
    assert_eq!(answer, "HTTP/1.1 201 Made\r\n\r\n");
}

#[test]
fn presence_reports_the_state_of_the_peer() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut client = TcpStream::connect(listener.local_addr().expect("an address")).expect("one");
    let (stream, _) = listener.accept().expect("a connection");
    let connection = Connection::new(Async::new(stream).expect("a socket"));
    assert_eq!(block_on(connection.presence()), PeerState::Idle);
    client.write_all(b"x").expect("a write");
    thread::sleep(Duration::from_millis(50));
    assert_eq!(block_on(connection.presence()), PeerState::HasSentBytes);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("an address")).expect("one");
    let (stream, _) = listener.accept().expect("a connection");
    let connection = Connection::new(Async::new(stream).expect("a socket"));
    drop(client);
    block_on(connection.gone());
    assert_eq!(block_on(connection.presence()), PeerState::Closed);
}
