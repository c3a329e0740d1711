//! Sends the host's requests to peers, targets and the platform, and reports the replies
//! to the core task.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use gannetridge_entry_core::{CallId, Event, SendFailure};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult};
use gannetridge_entry_wire::target::{StartTask, TaskQuery, TaskReport};
use gannetridge_net::{CallError, Client};
use gannetridge_wire::codec;
use http::{Method, StatusCode};
use serde::Serialize;
use tracing::warn;

use crate::core_task::{Message, MessageSender};
use crate::target_list::{self, DecodedList};

/// The path on which entry hosts accept requests of peers.
pub const PEER_PATH: &str = "/peer/v1";
/// The media type of messages between entry hosts.
pub const PEER_TYPE: &str = "application/msgpack";
const JSON: &str = "application/json";
/// Timeout of requests to the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Sends each request in a task of its own, and the reply to the core task.
#[derive(Clone)]
pub struct RequestSender {
    client: Client,
    platform: SocketAddr,
    tx: MessageSender,
}

fn send_failure(error: &CallError) -> SendFailure {
    match error {
        CallError::NotSent(_) | CallError::InvalidRequest(_) => SendFailure::NotSent,
        CallError::OutcomeUnknown(_) => SendFailure::Unknown,
    }
}

fn to_json(value: &impl Serialize) -> Bytes {
    let body = serde_json::to_vec(value).expect("plain data has a JSON form");
    body.into()
}

impl RequestSender {
    /// Creates a sender that reports replies to `tx`.
    #[must_use]
    pub fn new(client: Client, platform: SocketAddr, tx: MessageSender) -> Self {
        Self {
            client,
            platform,
            tx,
        }
    }

    fn report(&self, event: Event) {
        // The core task ends only when the process does; the event is then not needed.
        let _ = self.tx.send(Message::Event(Box::new(event)));
    }

    fn report_list(&self, decoded: DecodedList) {
        if !decoded.faulty.is_empty() {
            // The core task ends only when the process does.
            let _ = self.tx.send(Message::FaultyEntries(decoded.faulty));
        }
        self.report(Event::Listed(decoded.list));
    }

    /// Sends a request to a peer. The reply becomes an [`Event::PeerReply`].
    pub fn call_peer(&self, call: CallId, address: &str, request: PeerRequest, wait_ms: u64) {
        let this = self.clone();
        let address: Result<SocketAddr, _> = address.parse();
        monoio::spawn(async move {
            let reply = match address {
                Ok(address) => this.exchange_with_peer(address, &request, wait_ms).await,
                Err(_) => Err(SendFailure::NotSent),
            };
            this.report(Event::PeerReply { call, reply });
        });
    }

    async fn exchange_with_peer(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
        wait_ms: u64,
    ) -> Result<PeerReply, SendFailure> {
        let body = codec::encode(request).map_err(|error| {
            warn!(%error, "failed to encode a request to a peer");
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
        let reply = sent.await.map_err(|error| send_failure(&error))?;
        codec::decode(&reply.body).map_err(|error| {
            warn!(%address, %error, "failed to decode a reply from a peer");
            SendFailure::Unknown
        })
    }

    /// Starts a task on a target. The target replies when the task has ended or was
    /// refused; the reply becomes an [`Event::TaskReply`].
    pub fn start_task(&self, call: CallId, address: &str, start: &StartTask, wait_ms: u64) {
        self.call_target(call, address, "/v1/tasks", to_json(start), wait_ms);
    }

    /// Asks a target for the state of a task. The reply becomes an [`Event::TaskReply`].
    pub fn query_task(&self, call: CallId, address: &str, query: &TaskQuery, wait_ms: u64) {
        self.call_target(call, address, "/v1/tasks/ask", to_json(query), wait_ms);
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
            this.report(Event::TaskReply { call, reply });
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
        let reply = sent.await.map_err(|error| send_failure(&error))?;
        serde_json::from_slice(&reply.body).map_err(|error| {
            warn!(%address, %error, "failed to decode a reply from a target");
            SendFailure::Unknown
        })
    }

    /// Sends an operation to the platform's table. The reply becomes an
    /// [`Event::TableReply`].
    pub fn call_table(&self, call: CallId, op: &TableOp) {
        let this = self.clone();
        let body = to_json(op);
        monoio::spawn(async move {
            let reply = this.exchange_with_table(body).await;
            this.report(Event::TableReply { call, reply });
        });
    }

    async fn exchange_with_table(&self, body: Bytes) -> Result<TableResult, TableFailure> {
        let sent = self.client.call(
            self.platform,
            Method::POST,
            "/v1/table",
            JSON,
            body,
            PLATFORM_TIMEOUT,
        );
        let reply = sent.await.map_err(|error| match error {
            CallError::NotSent(_) | CallError::InvalidRequest(_) => TableFailure::NotDone,
            CallError::OutcomeUnknown(_) => TableFailure::Unclear,
        })?;
        if reply.status != StatusCode::OK {
            return Err(TableFailure::Unclear);
        }
        serde_json::from_slice(&reply.body).map_err(|error| {
            warn!(%error, "failed to decode a reply from the platform's table");
            TableFailure::Unclear
        })
    }

    /// Reads the changes of the platform's list of targets since the version `after`. A
    /// list that was read becomes an [`Event::Listed`].
    pub fn read_list(&self, after: u64) {
        let this = self.clone();
        monoio::spawn(async move {
            let body = Bytes::new();
            let path = format!("/v1/hosts?after={after}");
            let sent = this.client.call(
                this.platform,
                Method::GET,
                &path,
                JSON,
                body,
                PLATFORM_TIMEOUT,
            );
            // After a failure the next poll reads the list again.
            match sent.await {
                Ok(reply) => match target_list::decode(&reply.body) {
                    Ok(decoded) => this.report_list(decoded),
                    Err(error) => warn!(%error, "failed to decode the list of targets"),
                },
                Err(error) => warn!(%error, "failed to read the list of targets"),
            }
        });
    }
}
