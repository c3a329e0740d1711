//! Tests of what all clients of a server may take together, over real sockets.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc};
use std::time::Duration;

use gannetridge_net::{
    bind_for_clients, runtime, serve, HttpReply, MemoryQuota, RefusalCounts, RequestLimits, Server,
    ServerLimits, SharedLimits,
};
use http::StatusCode;

/// A limit for any step of these tests, also on a busy machine.
const TIMEOUT: Duration = Duration::from_secs(20);
/// A time in which nothing is expected to happen.
const QUIET_TIME: Duration = Duration::from_millis(100);

/// Starts a server. It answers all requests at once, but for `/takes-a-moment` and for `/waits`,
/// which it never answers.
fn start(limits: ServerLimits) -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let server = async move {
            let listener = bind_for_clients(([127, 0, 0, 1], 0).into()).expect("a free port");
            tx.send(listener.local_addr().expect("a bound address"))
                .expect("a receiver");
            serve(listener, limits, |req| async move {
                match req.path.as_str() {
                    "/waits" => std::future::pending().await,
                    "/takes-a-moment" => monoio::time::sleep(Duration::from_millis(10)).await,
                    _ => {}
                }
                HttpReply::new(StatusCode::OK, "text/plain", &b"done"[..])
            })
            .await;
        };
        runtime::run(server).expect("a runtime");
    });
    rx.recv().expect("an address")
}

fn connect(addr: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(addr).expect("a connection");
    stream.set_read_timeout(Some(TIMEOUT)).expect("a time");
    stream
}

fn send(stream: &mut TcpStream, bytes: &[u8]) {
    stream.write_all(bytes).expect("sent");
}

/// Reads the reply of a server that answers `done`.
fn assert_done(stream: &mut TcpStream) {
    let mut text = Vec::new();
    while !text.ends_with(b"done") {
        let mut byte = [0];
        let read = stream.read(&mut byte).expect("a reply");
        assert_eq!(
            read,
            1,
            "the reply ends: {}",
            String::from_utf8_lossy(&text)
        );
        text.push(byte[0]);
    }
}

/// Reads until the server closes the connection. A reset counts as its end.
fn read_to_end(stream: &mut TcpStream) -> String {
    let mut text = Vec::new();
    match stream.read_to_end(&mut text) {
        Ok(_) => {}
        Err(error) => assert_eq!(error.kind(), ErrorKind::ConnectionReset, "{error}"),
    }
    String::from_utf8_lossy(&text).into_owned()
}

fn assert_refused(reply: &str, kind: &str) {
    assert!(reply.starts_with("HTTP/1.1 503"), "{reply:?}");
    assert!(reply.contains("retry-after: 1"), "{reply:?}");
    assert!(reply.contains(kind), "{reply:?}");
}

const GET: &[u8] = b"GET / HTTP/1.1\r\n\r\n";
const GET_AND_WAIT: &[u8] = b"GET /waits HTTP/1.1\r\n\r\n";

/// Returns the head of a request with a body of this length.
fn head(length: usize) -> Vec<u8> {
    format!("POST / HTTP/1.1\r\ncontent-length: {length}\r\n\r\n").into_bytes()
}

fn with_connections(connections: usize) -> ServerLimits {
    ServerLimits {
        connections,
        ..ServerLimits::default()
    }
}

fn with_memory(memory_bytes: usize) -> ServerLimits {
    ServerLimits {
        memory_bytes,
        ..ServerLimits::default()
    }
}

#[test]
fn a_new_connection_takes_the_slot_of_the_longest_waiting() {
    let addr = start(with_connections(3));
    let mut waiting: Vec<_> = (0..3).map(|_| connect(addr)).collect();
    for stream in &mut waiting {
        send(stream, GET);
        assert_done(stream);
    }
    let mut new = connect(addr);
    send(&mut new, GET);
    assert_done(&mut new);
    // The client of an idle connection gets at most a refusal before the end.
    let rest = read_to_end(&mut waiting[0]);
    assert!(
        rest.is_empty() || rest.starts_with("HTTP/1.1 503"),
        "{rest:?}"
    );
    for stream in &mut waiting[1..] {
        send(stream, GET);
        assert_done(stream);
    }
}

#[test]
fn a_connection_in_use_outlasts_a_crowd_of_idle_ones() {
    let addr = start(with_connections(8));
    let mut used = connect(addr);
    let mut crowd = Vec::new();
    for _ in 0..50 {
        send(&mut used, GET);
        assert_done(&mut used);
        crowd.push(connect(addr));
    }
    send(&mut used, GET);
    assert_done(&mut used);
}

#[test]
fn a_started_body_gives_way_to_a_new_connection() {
    let addr = start(with_connections(1));
    let mut slow = connect(addr);
    send(&mut slow, &head(10));
    std::thread::sleep(QUIET_TIME);
    let mut new = connect(addr);
    send(&mut new, GET);
    assert_done(&mut new);
    assert_refused(&read_to_end(&mut slow), "too-many-connections");
}

#[test]
fn while_all_requests_are_handled_a_new_connection_is_refused() {
    let addr = start(with_connections(2));
    let mut handled: Vec<_> = (0..2).map(|_| connect(addr)).collect();
    for stream in &mut handled {
        send(stream, GET_AND_WAIT);
    }
    std::thread::sleep(QUIET_TIME);
    let mut new = connect(addr);
    send(&mut new, GET);
    assert_refused(&read_to_end(&mut new), "too-many-connections");
    drop(handled);
    std::thread::sleep(QUIET_TIME);
    let mut new = connect(addr);
    send(&mut new, GET);
    assert_done(&mut new);
}

#[test]
fn a_body_without_memory_is_refused_before_it_is_sent() {
    let addr = start(with_memory(100_000));
    let mut holder = connect(addr);
    send(&mut holder, &head(60_000));
    std::thread::sleep(QUIET_TIME);
    let mut refused = connect(addr);
    send(&mut refused, &head(60_000));
    assert_refused(&read_to_end(&mut refused), "no-memory");
    // A short body needs none of that memory.
    let mut short = connect(addr);
    send(&mut short, &[&head(1_000)[..], &[b'x'; 1_000]].concat());
    assert_done(&mut short);
    // The memory is free again after the first request.
    send(&mut holder, &[b'x'; 60_000]);
    assert_done(&mut holder);
    let mut next = connect(addr);
    send(&mut next, &[&head(60_000)[..], &[b'x'; 60_000]].concat());
    assert_done(&mut next);
}

#[test]
fn a_client_that_sends_all_of_a_refused_body_reads_the_refusal() {
    let addr = start(with_memory(100_000));
    let mut stream = connect(addr);
    send(&mut stream, &head(300_000));
    send(&mut stream, &[b'x'; 300_000]);
    stream.shutdown(Shutdown::Write).expect("closed");
    assert_refused(&read_to_end(&mut stream), "no-memory");
}

#[test]
fn memory_of_a_body_is_returned_if_its_client_leaves() {
    let addr = start(with_memory(100_000));
    for _ in 0..5 {
        let mut leaving = connect(addr);
        send(&mut leaving, &[&head(60_000)[..], &[b'x'; 50_000]].concat());
        drop(leaving);
        std::thread::sleep(QUIET_TIME);
    }
    let mut next = connect(addr);
    send(&mut next, &[&head(60_000)[..], &[b'x'; 60_000]].concat());
    assert_done(&mut next);
}

#[test]
fn a_client_that_reads_no_replies_is_disconnected() {
    let addr = start(ServerLimits {
        reply_timeout: Duration::from_millis(200),
        ..ServerLimits::default()
    });
    let mut stream = connect(addr);
    stream.set_write_timeout(Some(TIMEOUT)).expect("a time");
    let requests = GET.repeat(1_000);
    // Ends once the server has closed the connection.
    while stream.write_all(&requests).is_ok() {}
}

#[test]
fn an_idle_connection_is_closed_without_a_reply() {
    let addr = start(ServerLimits {
        idle_timeout: QUIET_TIME,
        ..ServerLimits::default()
    });
    assert_eq!(read_to_end(&mut connect(addr)), "");
}

#[test]
fn a_started_head_times_out_before_an_idle_connection() {
    let addr = start(ServerLimits {
        head_timeout: QUIET_TIME,
        ..ServerLimits::default()
    });
    let mut slow = connect(addr);
    let mut idle = connect(addr);
    send(&mut slow, b"GET / HT");
    let reply = read_to_end(&mut slow);
    assert!(reply.starts_with("HTTP/1.1 408"), "{reply:?}");
    send(&mut idle, GET);
    assert_done(&mut idle);
}

/// Starts a server whose handler sets tighter limits before it answers.
fn start_tightening() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let server = async move {
            let listener = bind_for_clients(([127, 0, 0, 1], 0).into()).expect("a free port");
            tx.send(listener.local_addr().expect("a bound address"))
                .expect("a receiver");
            let limits = SharedLimits::from(ServerLimits::default());
            let server = Server::new(limits.clone(), RefusalCounts::default().of_server("test"));
            let handler = move |_| {
                limits.set_request_limits(RequestLimits {
                    head_bytes: 100,
                    body_bytes: 10,
                    idle_timeout: TIMEOUT,
                    head_timeout: TIMEOUT,
                });
                async { HttpReply::new(StatusCode::OK, "text/plain", &b"done"[..]) }
            };
            server.serve(listener, handler).await;
        };
        runtime::run(server).expect("a runtime");
    });
    rx.recv().expect("an address")
}

/// Clients that always have a next request leave no connection waiting, yet a new one gets its turn.
#[test]
fn a_new_connection_is_served_beside_clients_with_requests_in_a_row() {
    let addr = start(with_connections(4));
    let stop = Arc::new(AtomicBool::new(false));
    let crowd = (0..4).map(|_| {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let next = b"GET /takes-a-moment HTTP/1.1\r\n\r\n";
            let last = b"GET / HTTP/1.1\r\nconnection: close\r\n\r\n";
            let requests = [&next.repeat(50)[..], last].concat();
            while !stop.load(Ordering::Relaxed) {
                let mut stream = connect(addr);
                // The server may close the connection for another one.
                let _ = stream.write_all(&requests);
                let _ = stream.read_to_end(&mut Vec::new());
            }
        })
    });
    let crowd: Vec<_> = crowd.collect();
    std::thread::sleep(QUIET_TIME);
    for _ in 0..5 {
        let mut new = connect(addr);
        new.write_all(GET).expect("sent");
        assert_done(&mut new);
    }
    stop.store(true, Ordering::Relaxed);
    for client in crowd {
        client.join().expect("no panic");
    }
}

/// Declares tests, each with a name, a request that is within the first limits only, and the start
/// of the reply once they are tighter.
macro_rules! tightened {
    ($($name:ident: $request:expr => $status:expr;)+) => {
        $(#[test]
        fn $name() {
            let mut stream = connect(start_tightening());
            send(&mut stream, &$request);
            assert_done(&mut stream);
            send(&mut stream, &$request);
            let reply = read_to_end(&mut stream);
            assert!(reply.starts_with($status), "{reply:?}");
        })+
    };
}

tightened! {
    a_changed_limit_on_bodies_holds_on_open_connections:
        [&head(11)[..], &[b'x'; 11]].concat() => "HTTP/1.1 413";
    a_changed_limit_on_heads_holds_on_open_connections:
        format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(100)).into_bytes() => "HTTP/1.1 431";
}

#[test]
fn a_quota_is_returned_with_its_permits() {
    let quota = MemoryQuota::new(10);
    let first = quota.reserve(6).expect("there is room");
    assert!(quota.reserve(5).is_none());
    assert!(quota.reserve(usize::MAX).is_none());
    let second = quota.reserve(4);
    assert_eq!(quota.used(), 10);
    let body = first.hold_for(vec![0; 6].into());
    let part = body.slice(1..2);
    drop(body);
    assert_eq!(quota.used(), 10, "a part of the body is in use");
    drop((part, second));
    assert_eq!(quota.used(), 0);
}
