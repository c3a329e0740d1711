//! Connections that go silent without an end, over real sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gannetridge_net::client::ClientReply;
use gannetridge_net::{runtime, CallError, Client, ClientLimits};
use http::Method;

/// How long calls wait for their reply: far longer than the stand-in takes.
const WAIT: Duration = Duration::from_millis(400);
/// How long the stand-in takes, so that calls at once need connections of their own.
const WORK: Duration = Duration::from_millis(40);

/// A server whose open connections can be made to go silent.
#[derive(Clone)]
struct StandIn {
    addr: SocketAddr,
    accepted: Arc<AtomicUsize>,
    /// The first so many connections neither read nor answer.
    silent: Arc<AtomicUsize>,
}

impl StandIn {
    fn start() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a free port");
        let stand_in = Self {
            addr: listener.local_addr().expect("a bound address"),
            accepted: Arc::default(),
            silent: Arc::default(),
        };
        let serving = stand_in.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let number = serving.accepted.fetch_add(1, Ordering::SeqCst);
                let silent = serving.silent.clone();
                let stream = stream.expect("a connection");
                std::thread::spawn(move || answer(stream, number, &silent));
            }
        });
        stand_in
    }

    /// All connections that are open now go silent.
    fn silence(&self) {
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
        std::thread::sleep(WORK);
        while number < silent.load(Ordering::SeqCst) {
            std::thread::sleep(WORK);
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

/// Makes so many calls at once; returns how many had a reply.
async fn calls_at_once(client: &Client, addr: SocketAddr, calls: usize) -> usize {
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

/// Names tests after what they show; each gets a stand-in of its own.
macro_rules! cases {
    ($($name:ident($stand_in:ident) $body:block)+) => {
        $(#[test]
        fn $name() {
            let $stand_in = StandIn::start();
            runtime::run(async move { $body }).expect("a runtime");
        })+
    };
}

cases! {
    after_one_time_out_calls_are_served(stand_in) {
        let client = client(None);
        assert_eq!(calls_at_once(&client, stand_in.addr, 8).await, 8);
        stand_in.silence();
        let mut failed = 0;
        while call(&client, stand_in.addr).await.is_err() {
            failed += 1;
        }
        // Before idle connections were doubted: 8.
        assert_eq!(failed, 1);
    }

    beside_an_overdue_call_others_are_served(stand_in) {
        let client = client(Some(WORK * 3));
        assert_eq!(calls_at_once(&client, stand_in.addr, 8).await, 8);
        stand_in.silence();
        let overdue = {
            let (client, addr) = (client.clone(), stand_in.addr);
            monoio::spawn(async move { call(&client, addr).await })
        };
        monoio::time::sleep(WORK * 4).await;
        // Before idle connections were doubted: 0 of 6.
        assert_eq!(calls_at_once(&client, stand_in.addr, 6).await, 6);
        assert!(overdue.await.is_err());
    }

    a_connection_that_answered_since_is_used_again(stand_in) {
        let client = client(None);
        assert_eq!(calls_at_once(&client, stand_in.addr, 1).await, 1);
        stand_in.silence();
        let lost = {
            let (client, addr) = (client.clone(), stand_in.addr);
            monoio::spawn(async move { call(&client, addr).await })
        };
        // While the first call waits, a new connection answers.
        monoio::time::sleep(WORK).await;
        assert!(call(&client, stand_in.addr).await.is_ok());
        assert!(lost.await.is_err());
        assert!(call(&client, stand_in.addr).await.is_ok());
        assert_eq!(stand_in.connections(), 2);
    }

    a_new_connection_without_reply_says_nothing_of_others(stand_in) {
        let client = client(None);
        let first = {
            let (client, addr) = (client.clone(), stand_in.addr);
            monoio::spawn(async move { call(&client, addr).await })
        };
        monoio::time::sleep(WORK / 2).await;
        // The first connection goes silent before its first reply.
        stand_in.silence();
        assert!(call(&client, stand_in.addr).await.is_ok());
        assert!(first.await.is_err());
        assert!(call(&client, stand_in.addr).await.is_ok());
        assert_eq!(stand_in.connections(), 2);
    }
}
