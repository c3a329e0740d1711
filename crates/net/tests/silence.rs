//! Tests of connections that stop delivering data without being closed, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gannetridge_net::client::ClientReply;
use gannetridge_net::{runtime, CallError, Client, ClientLimits};
use http::Method;

/// How long calls wait for their reply: far longer than the server takes.
const WAIT: Duration = Duration::from_millis(400);
/// How long the server takes, so that concurrent calls need connections of their own.
const REPLY_DELAY: Duration = Duration::from_millis(40);

/// A server whose open connections can be made to go silent.
#[derive(Clone)]
struct TestServer {
    addr: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// The number of connections, the first accepted ones, that send no replies.
    silent: Arc<AtomicUsize>,
}

impl TestServer {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let server = Self {
            addr: listener.local_addr().expect("a bound address"),
            accepted: Arc::default(),
            silent: Arc::default(),
        };
        let shared = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let number = shared.accepted.fetch_add(1, Ordering::SeqCst);
                let silent = shared.silent.clone();
                let stream = stream.expect("a connection");
                std::thread::spawn(move || answer(stream, number, &silent));
            }
        });
        server
    }

    /// Stops replies on all connections accepted so far.
    fn silence_connections(&self) {
        let open = self.accepted.load(Ordering::SeqCst);
        self.silent.store(open, Ordering::SeqCst);
    }

    fn connections(&self) -> usize {
        self.accepted.load(Ordering::SeqCst)
    }
}

fn answer(mut stream: TcpStream, number: usize, silent: &AtomicUsize) {
    let mut head = Vec::new();
    let mut byte = [0];
    while matches!(stream.read(&mut byte), Ok(1)) {
        head.push(byte[0]);
        if !head.ends_with(b"\r\n\r\n") {
            continue;
        }
        head.clear();
        std::thread::sleep(REPLY_DELAY);
        while number < silent.load(Ordering::SeqCst) {
            std::thread::sleep(REPLY_DELAY);
        }
        let reply = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nhi";
        if stream.write_all(reply).is_err() {
            return;
        }
    }
}

async fn call(client: &Client, addr: SocketAddr) -> Result<ClientReply, CallError> {
    let body = Bytes::new();
    client
        .call(addr, Method::GET, "/", "text/plain", body, WAIT)
        .await
}

/// Makes concurrent calls; returns how many had a reply.
async fn concurrent_calls(client: &Client, addr: SocketAddr, calls: usize) -> usize {
    let calls = (0..calls).map(|_| {
        let client = client.clone();
        monoio::spawn(async move { call(&client, addr).await.is_ok() })
    });
    let mut replies = 0;
    for call in calls.collect::<Vec<_>>() {
        replies += usize::from(call.await);
    }
    replies
}

fn client(suspect_after: Option<Duration>) -> Client {
    Client::new(ClientLimits {
        suspect_after,
        ..ClientLimits::default()
    })
}

/// Declares tests, each with a server of its own.
macro_rules! cases {
    ($($name:ident($server:ident) $body:block)+) => {
        $(#[test]
        fn $name() {
            let $server = TestServer::start();
            runtime::run(async move { $body }).expect("a runtime");
        })+
    };
}

cases! {
    after_one_timeout_calls_use_new_connections(server) {
        let client = client(None);
        assert_eq!(concurrent_calls(&client, server.addr, 8).await, 8);
        server.silence_connections();
        let mut failed = 0;
        while call(&client, server.addr).await.is_err() {
            failed += 1;
        }
        // Each dead idle connection would cost a timeout of its own.
        assert_eq!(failed, 1);
    }

    while_a_call_is_overdue_others_use_new_connections(server) {
        let client = client(Some(REPLY_DELAY * 3));
        assert_eq!(concurrent_calls(&client, server.addr, 8).await, 8);
        server.silence_connections();
        let overdue = {
            let (client, addr) = (client.clone(), server.addr);
            monoio::spawn(async move { call(&client, addr).await })
        };
        monoio::time::sleep(REPLY_DELAY * 4).await;
        // Calls on dead idle connections would time out.
        assert_eq!(concurrent_calls(&client, server.addr, 6).await, 6);
        assert!(overdue.await.is_err());
    }

    a_connection_that_replied_after_the_timed_out_call_is_reused(server) {
        let client = client(None);
        assert_eq!(concurrent_calls(&client, server.addr, 1).await, 1);
        server.silence_connections();
        let lost = {
            let (client, addr) = (client.clone(), server.addr);
            monoio::spawn(async move { call(&client, addr).await })
        };
        // While the first call waits, a new connection answers.
        monoio::time::sleep(REPLY_DELAY).await;
        assert!(call(&client, server.addr).await.is_ok());
        assert!(lost.await.is_err());
        assert!(call(&client, server.addr).await.is_ok());
        assert_eq!(server.connections(), 2);
    }

    a_timeout_on_a_new_connection_makes_no_other_suspect(server) {
        let client = client(None);
        let first = {
            let (client, addr) = (client.clone(), server.addr);
            monoio::spawn(async move { call(&client, addr).await })
        };
        monoio::time::sleep(REPLY_DELAY / 2).await;
        // The first connection stops before its first reply.
        server.silence_connections();
        assert!(call(&client, server.addr).await.is_ok());
        assert!(first.await.is_err());
        assert!(call(&client, server.addr).await.is_ok());
        assert_eq!(server.connections(), 2);
    }
}
