//! Handles peers' requests over HTTP, and sends this host's requests to peers.

use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_dispatcher_core::message::{Envelope, Reply};
use gannetridge_dispatcher_core::{Millis, SendFailure};
use gannetridge_net::{CallError, Client, HttpReply, HttpRequest};
use gannetridge_process::mailbox::ask;
use gannetridge_wire::codec;
use http::{HeaderMap, Method, StatusCode};
use tracing::warn;

use crate::mailbox::{Message, RequestIds, Sender};

/// The path of requests between hosts.
const PATH: &str = "/dispatch/v1";
/// Messages between hosts carry no media type: both sides know it, and short messages stay
/// small.
const MEDIA_TYPE: &str = "";

/// Passes a peer's request to the dispatcher and returns the encoded reply.
pub async fn handle(tx: Sender, request_ids: RequestIds, req: HttpRequest) -> HttpReply {
    let envelope: Envelope = match codec::decode(&req.body) {
        Ok(envelope) if req.path == PATH => envelope,
        Ok(_) => return HttpReply::problem(StatusCode::NOT_FOUND, "no-such-path", "No such path"),
        Err(error) => {
            warn!(event = "unreadable-peer", %error);
            let status = StatusCode::BAD_REQUEST;
            return HttpReply::problem(status, "unreadable", "The body is no message");
        }
    };
    let reply = ask(&tx, |tx| Message::Peer {
        request_id: request_ids.next(),
        envelope: Box::new(envelope),
        tx,
    });
    match reply.await {
        Ok(reply) => encode(&reply),
        Err(_) => stopped_reply(),
    }
}

fn encode(reply: &Reply) -> HttpReply {
    match codec::encode(reply) {
        Ok(body) => HttpReply::new(StatusCode::OK, MEDIA_TYPE, body),
        Err(error) => {
            warn!(event = "unencodable-message", %error);
            stopped_reply()
        }
    }
}

fn stopped_reply() -> HttpReply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    HttpReply::problem(status, "stopping", "The host has stopped")
}

/// Sends a request to a peer and waits up to `wait_ms` for its reply.
///
/// # Errors
///
/// Fails if there is no readable reply; the error shows whether the peer may have received the
/// request.
pub async fn call(
    client: &Client,
    address: SocketAddr,
    envelope: &Envelope,
    wait_ms: Millis,
) -> Result<Box<Reply>, SendFailure> {
    let body = codec::encode(envelope).map_err(|error| {
        warn!(event = "unencodable-message", %error);
        SendFailure::NotSent
    })?;
    let wait = Duration::from_millis(wait_ms);
    let headers = HeaderMap::new();
    let sent = client.call_with(address, Method::POST, PATH, headers, body.into(), wait);
    let reply = sent.await.map_err(|error| send_failure(&error))?;
    codec::decode(&reply.body).map(Box::new).map_err(|error| {
        warn!(event = "unreadable-peer", %address, %error);
        SendFailure::Unknown
    })
}

/// Classifies a failed call by whether the request may have been received.
#[must_use]
pub fn send_failure(error: &CallError) -> SendFailure {
    match error {
        CallError::NotSent(cause) if cause.is_connection_refused() => SendFailure::Refused,
        CallError::NotSent(_) | CallError::InvalidRequest(_) => SendFailure::NotSent,
        CallError::OutcomeUnknown(_) => SendFailure::Unknown,
    }
}
