//! Long replies over slow links, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use bytes::Bytes;
use gannetridge_net::client::ClientReply;
use gannetridge_net::{runtime, BodyRate, CallError, Client, ClientLimits};
use http::Method;

/// How long each silence of a reply may last.
const WAIT: Duration = Duration::from_millis(300);
/// Between two parts of the body.
const PAUSE: Duration = Duration::from_millis(60);
const PART: usize = 1_000;
const PARTS: usize = 20;

/// Answers one request with a body in parts, and goes silent after so many of them.
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
        PART * PARTS
    );
    stream.write_all(head.as_bytes()).expect("sent");
    for _ in 0..parts {
        std::thread::sleep(PAUSE);
        // The client may have given up.
        if stream.write_all(&[b'x'; PART]).is_err() {
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
fn a_reply_that_makes_progress_may_take_longer_than_a_silence() {
    let reply = call(serve(PARTS), ClientLimits::default()).expect("a reply");
    assert_eq!(reply.body.len(), PART * PARTS);
}

#[test]
fn a_reply_that_falls_silent_midway_is_given_up() {
    let reply = call(serve(PARTS / 2), ClientLimits::default());
    assert!(
        matches!(reply, Err(CallError::OutcomeUnknown(_))),
        "{reply:?}"
    );
}

/// Sends a long body as fast as it is taken.
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
    let begun = Instant::now();
    let reply = call(serve_fast(length), limits).expect("a reply");
    assert_eq!(reply.body.len(), length);
    // Its first part comes at once; a busy machine only makes it later.
    assert!(begun.elapsed() > Duration::from_millis(300));
}
