//! Tests of long replies on slow links, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gannetridge_net::client::ClientReply;
use gannetridge_net::{runtime, BodyRate, CallError, Client, ClientLimits};
use http::Method;

/// Longest time until the next part of a reply is received.
const WAIT: Duration = Duration::from_millis(300);
/// Pause between two parts of the body.
const PAUSE: Duration = Duration::from_millis(60);
const PART_BYTES: usize = 1_000;
const PARTS: usize = 20;

/// Answers one request with a body in parts, and stops sending after `parts` of them.
fn serve(parts: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        let (stream, _) = listener.accept().expect("a connection");
        answer(stream, parts);
    });
    addr
}

fn answer(mut stream: TcpStream, parts: usize) {
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).expect("a request");
    let head = format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n",
        PART_BYTES * PARTS
    );
    stream.write_all(head.as_bytes()).expect("sent");
    for _ in 0..parts {
        std::thread::sleep(PAUSE);
        // The client may have given up.
        if stream.write_all(&[b'x'; PART_BYTES]).is_err() {
            return;
        }
    }
    std::thread::sleep(3 * WAIT);
}

fn call(addr: SocketAddr, limits: ClientLimits) -> Result<ClientReply, CallError> {
    let called = async move {
        let client = Client::new(limits);
        let body = Bytes::new();
        let reply = client.call(addr, Method::GET, "/", "text/plain", body, WAIT);
        reply.await
    };
    runtime::run(called).expect("a runtime")
}

#[test]
fn a_reply_that_makes_progress_may_take_longer_than_the_wait() {
    let reply = call(serve(PARTS), ClientLimits::default()).expect("a reply");
    assert_eq!(reply.body.len(), PART_BYTES * PARTS);
}

#[test]
fn a_reply_that_stops_midway_times_out() {
    let reply = call(serve(PARTS / 2), ClientLimits::default());
    assert!(
        matches!(reply, Err(CallError::OutcomeUnknown(_))),
        "{reply:?}"
    );
}

/// Answers one request with a long body, sent without pauses.
fn serve_fast(length: usize) -> SocketAddr {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
    let addr = listener.local_addr().expect("a bound address");
    std::thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).expect("a request");
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        stream.write_all(&vec![b'x'; length]).expect("sent");
        let _ = stream.read(&mut request);
    });
    addr
}

#[test]
fn a_long_body_is_read_no_faster_than_its_rate() {
    let length = 400_000;
    let limits = ClientLimits {
        body_rate: Some(BodyRate {
            bytes_per_s: 1_000_000,
        }),
        ..ClientLimits::default()
    };
    let started = Instant::now();
    let reply = call(serve_fast(length), limits).expect("a reply");
    assert_eq!(reply.body.len(), length);
    // The first bytes are read without a limit; a busy machine only adds to the time.
    assert!(started.elapsed() > Duration::from_millis(300));
}
