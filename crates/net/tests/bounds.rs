//! Tests of the server's limits over real sockets.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use gannetridge_net::{bind, runtime, serve, HttpReply, ServerLimits};
use http::StatusCode;

/// Starts a server that echoes bodies, with tight limits.
fn start() -> SocketAddr {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let server = async move {
            let listener = bind(([127, 0, 0, 1], 0).into()).expect("a free port");
            tx.send(listener.local_addr().expect("a bound address"))
                .expect("a receiver");
            let limits = ServerLimits {
                head_bytes: 512,
                body_bytes: 64,
                idle_timeout: Duration::from_millis(300),
                head_timeout: Duration::from_millis(300),
                body_timeout: Duration::from_millis(300),
                connections_per_address: 8,
                ..ServerLimits::default()
            };
            serve(listener, limits, |req| async move {
                HttpReply::new(StatusCode::OK, "text/plain", req.body)
            })
            .await;
        };
        runtime::run(server).expect("a runtime");
    });
    rx.recv().expect("an address")
}

/// Sends bytes, closes the sending side if `half_close` is set, and reads to the end.
fn exchange(addr: SocketAddr, bytes: &[u8], half_close: bool) -> String {
    let mut stream = TcpStream::connect(addr).expect("a connection");
    stream.write_all(bytes).expect("sent");
    if half_close {
        stream.shutdown(Shutdown::Write).expect("closed");
    }
    let mut text = Vec::new();
    // A reset after the reply counts as its end.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Declares tests, each with a name, the bytes sent and the start of the expected reply.
macro_rules! exchanges {
    ($($name:ident: $bytes:expr => $status:expr;)+) => {
        $(#[test]
        fn $name() {
            let reply = exchange(start(), $bytes.as_ref(), false);
            assert!(reply.starts_with($status), "{reply:?}");
        })+
    };
}

exchanges! {
    a_valid_request_is_answered: b"POST / HTTP/1.1\r\nconnection: close\r\ncontent-length: 2\r\n\r\nhi"
        => "HTTP/1.1 200";
    a_slow_head_times_out: b"POST / HTT" => "HTTP/1.1 408";
    a_slow_body_times_out: b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhi" => "HTTP/1.1 408";
    a_long_body_is_refused: b"POST / HTTP/1.1\r\ncontent-length: 65\r\n\r\n" => "HTTP/1.1 413";
    a_signed_length_is_refused: b"POST / HTTP/1.1\r\ncontent-length: +2\r\n\r\nhi" => "HTTP/1.1 411";
    a_long_head_is_refused: format!("GET / HTTP/1.1\r\nx: {}\r\n\r\n", "y".repeat(600))
        => "HTTP/1.1 431";
    a_malformed_head_is_refused: b"\x01\x02 / HTTP/1.1\r\n\r\n" => "HTTP/1.1 400";
}

#[test]
fn a_half_closed_body_gets_no_reply() {
    let bytes = b"POST / HTTP/1.1\r\ncontent-length: 10\r\n\r\nhi";
    assert_eq!(exchange(start(), bytes, true), "");
}

#[test]
fn an_address_can_be_bound_once() {
    let addr = start();
    let second = runtime::run(async move { bind(addr).is_err() });
    assert!(second.expect("a runtime"));
}

#[test]
fn connections_over_the_limit_are_closed() {
    let addr = start();
    let open: Vec<_> = (0..8)
        .map(|_| TcpStream::connect(addr).expect("open"))
        .collect();
    std::thread::sleep(Duration::from_millis(50));
    assert_eq!(exchange(addr, b"", false), "");
    drop(open);
}

/// Sends a message when it is dropped.
struct DropNotifier(mpsc::Sender<()>);

impl Drop for DropNotifier {
    fn drop(&mut self) {
        // The test may have ended.
        let _ = self.0.send(());
    }
}

#[test]
fn a_handler_is_dropped_when_its_caller_disconnects() {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (dropped_tx, dropped_rx) = mpsc::channel();
    std::thread::spawn(move || {
        let server = async move {
            let listener = bind(([127, 0, 0, 1], 0).into()).expect("a free port");
            let addr = listener.local_addr().expect("a bound address");
            addr_tx.send(addr).expect("a receiver");
            serve(listener, ServerLimits::default(), move |_| {
                let notifier = DropNotifier(dropped_tx.clone());
                async move {
                    let _notifier = notifier;
                    std::future::pending::<HttpReply>().await
                }
            })
            .await;
        };
        runtime::run(server).expect("a runtime");
    });
    let mut stream = TcpStream::connect(addr_rx.recv().expect("an address")).expect("open");
    stream
        .write_all(b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi")
        .expect("sent");
    let early = dropped_rx.recv_timeout(Duration::from_millis(100));
    assert!(early.is_err(), "dropped while the caller waits");
    drop(stream);
    let dropped = dropped_rx.recv_timeout(Duration::from_secs(20));
    assert!(dropped.is_ok(), "not dropped after the caller disconnected");
}

#[test]
fn a_handler_never_starts_if_its_caller_has_disconnected() {
    let (addr_tx, addr_rx) = mpsc::channel();
    let (start_tx, start_rx) = mpsc::channel();
    let (path_tx, path_rx) = mpsc::channel();
    std::thread::spawn(move || {
        let server = async move {
            let listener = bind(([127, 0, 0, 1], 0).into()).expect("a free port");
            let addr = listener.local_addr().expect("a bound address");
            addr_tx.send(addr).expect("a receiver");
            start_rx.recv().expect("a sender");
            serve(listener, ServerLimits::default(), move |req| {
                let path_tx = path_tx.clone();
                async move {
                    path_tx.send(req.path).expect("a receiver");
                    HttpReply::new(StatusCode::OK, "text/plain", &b"done"[..])
                }
            })
            .await;
        };
        runtime::run(server).expect("a runtime");
    });
    let addr = addr_rx.recv().expect("an address");
    for _ in 0..20 {
        let mut stream = TcpStream::connect(addr).expect("open");
        let request = b"POST /gone HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi";
        stream.write_all(request).expect("sent");
    }
    let mut stream = TcpStream::connect(addr).expect("open");
    let request = b"POST /waits HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi";
    stream.write_all(request).expect("sent");
    start_tx.send(()).expect("a receiver");
    let started = path_rx.recv_timeout(Duration::from_secs(20));
    assert_eq!(started.expect("a request of a caller that waits"), "/waits");
    let started = path_rx.recv_timeout(Duration::from_millis(200));
    assert!(started.is_err(), "{started:?}");
}

#[test]
fn a_reply_may_close_its_connection() {
    let (tx, rx) = mpsc::channel();
    std::thread::spawn(move || {
        let server = async move {
            let listener = bind(([127, 0, 0, 1], 0).into()).expect("a free port");
            tx.send(listener.local_addr().expect("a bound address"))
                .expect("a receiver");
            serve(listener, ServerLimits::default(), |req| async move {
                let mut reply = HttpReply::new(StatusCode::OK, "text/plain", req.body);
                reply.close = true;
                reply
            })
            .await;
        };
        runtime::run(server).expect("a runtime");
    });
    let bytes = b"POST / HTTP/1.1\r\ncontent-length: 2\r\n\r\nhi";
    let reply = exchange(rx.recv().expect("an address"), bytes, false);
    assert!(reply.contains("connection: close"), "{reply}");
}
