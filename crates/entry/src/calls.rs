//! Sends what the host wants sent, and tells it what came back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gannetridge_entry_core::{CallId, Event, SendFailure};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult, TargetList};
use gannetridge_entry_wire::target::{AskTask, StartTask, TaskReport};
use gannetridge_net::{CallError, Client};
use gannetridge_wire::codec;
use http::{Method, StatusCode};
use serde::Serialize;
use tracing::warn;

use crate::core_task::{Message, Sender};

/// The path on which entry hosts take each other's requests.
pub const PEER_PATH: &str = "/peer/v1";
/// The media type of messages between entry hosts.
pub const PEER_TYPE: &str = "application/msgpack";
const JSON: &str = "application/json";
/// How long the platform's reply is awaited.
const PLATFORM_WAIT: Duration = Duration::from_millis(1_500);

/// Sends requests in tasks of their own.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    platform: SocketAddr,
    tx: Sender,
}

fn failure(error: &CallError) -> SendFailure {
    match error {
        CallError::NotSent(_) => SendFailure::NotSent,
        CallError::Unknown(_) => SendFailure::Unknown,
    }
}

fn json(value: &impl Serialize) -> Bytes {
    let body = serde_json::to_vec(value).expect("plain data has a JSON form");
    body.into()
}

impl Caller {
    /// Creates a sender whose results go to `tx`.
    #[must_use]
    pub fn new(client: Client, platform: SocketAddr, tx: Sender) -> Self {
        Self {
            client,
            platform,
            tx,
        }
    }

    fn tell(&self, event: Event) {
        // The owner of the host is gone only when the process ends.
        let _ = self.tx.send(Message::Event(Box::new(event)));
    }

    /// Sends a request to a peer.
    pub fn call_peer(&self, call: CallId, address: &str, request: PeerRequest, wait_ms: u64) {
        let this = self.clone();
        let address: Result<SocketAddr, _> = address.parse();
        monoio::spawn(async move {
            let reply = match address {
                Ok(address) => this.exchange_with_peer(address, &request, wait_ms).await,
                Err(_) => Err(SendFailure::NotSent),
            };
            this.tell(Event::PeerReply { call, reply });
        });
    }

    async fn exchange_with_peer(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        wait_ms: u64,
    ) -> Result<PeerReply, SendFailure> {
        let body = codec::encode(request).map_err(|error| {
            warn!(%error, "unencodable request");
            SendFailure::NotSent
        })?;
        let wait = Duration::from_millis(wait_ms);
        let sent = self.client.call(
            address,
            Method::POST,
            PEER_PATH,
            PEER_TYPE,
            body.into(),
            wait,
        );
        let reply = sent.await.map_err(|error| failure(&error))?;
        codec::decode(&reply.body).map_err(|error| {
            warn!(%address, %error, "unreadable reply from a peer");
            SendFailure::Unknown
        })
    }

    /// Starts a task on a target and waits for its end.
    pub fn start_task(&self, call: CallId, address: &str, start: &StartTask, wait_ms: u64) {
        self.call_target(call, address, "/v1/tasks", json(start), wait_ms);
    }

    /// Asks a target about a task.
    pub fn ask_task(&self, call: CallId, address: &str, ask: &AskTask, wait_ms: u64) {
        self.call_target(call, address, "/v1/tasks/ask", json(ask), wait_ms);
    }

    fn call_target(
        &self,
        call: CallId,
        address: &str,
        path: &'static str,
        body: Bytes,
        wait_ms: u64,
    ) {
        let this = self.clone();
        let address: Result<SocketAddr, _> = address.parse();
        monoio::spawn(async move {
            let reply = match address {
                Ok(address) => {
                    this.exchange_with_target(address, path, body, wait_ms)
                        .await
                }
                Err(_) => Err(SendFailure::NotSent),
            };
            this.tell(Event::TaskReply { call, reply });
        });
    }

    async fn exchange_with_target(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
        wait_ms: u64,
    ) -> Result<TaskReport, SendFailure> {
        let wait = Duration::from_millis(wait_ms);
        let sent = self
            .client
            .call(address, Method::POST, path, JSON, body, wait);
        let reply = sent.await.map_err(|error| failure(&error))?;
        serde_json::from_slice(&reply.body).map_err(|error| {
            warn!(%address, %error, "unreadable reply from a target");
            SendFailure::Unknown
        })
    }

    /// Uses the platform's table.
    pub fn use_table(&self, call: CallId, op: &TableOp) {
        let this = self.clone();
        let body = json(op);
        monoio::spawn(async move {
            let reply = this.exchange_with_table(body).await;
            this.tell(Event::TableReply { call, reply });
        });
    }

    async fn exchange_with_table(&self, body: Bytes) -> Result<TableResult, TableFailure> {
        let sent = self.client.call(
            self.platform,
            Method::POST,
            "/v1/table",
            JSON,
            body,
            PLATFORM_WAIT,
        );
        let reply = sent.await.map_err(|error| match error {
            CallError::NotSent(_) => TableFailure::NotDone,
            CallError::Unknown(_) => TableFailure::Unclear,
        })?;
        if reply.status != StatusCode::OK {
            return Err(TableFailure::Unclear);
        }
        serde_json::from_slice(&reply.body).map_err(|error| {
            warn!(%error, "unreadable reply from the table");
            TableFailure::Unclear
        })
    }

    /// Reads what changed in the platform's list of targets since a version.
    pub fn read_list(&self, after: u64) {
        let this = self.clone();
        monoio::spawn(async move {
            let body = Bytes::new();
            let path = format!("/v1/hosts?after={after}");
            let sent =
                this.client
                    .call(this.platform, Method::GET, &path, JSON, body, PLATFORM_WAIT);
            // What fails is read again with the next poll.
            match sent.await {
                Ok(reply) => match serde_json::from_slice::<TargetList>(&reply.body) {
                    Ok(list) => this.tell(Event::Listed(list)),
                    Err(error) => warn!(%error, "unreadable list of targets"),
                },
                Err(error) => warn!(%error, "the list of targets wasn't read"),
            }
        });
    }
}
