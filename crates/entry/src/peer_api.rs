//! The HTTP API for peers: MessagePack requests of other entry hosts.

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::{ask, MailboxError};
use gannetridge_wire::codec;
use http::{Method, StatusCode};
use tracing::warn;

use crate::calls::{PEER_PATH, PEER_TYPE};
use crate::core_task::{Message, MessageSender};
use crate::problem;

/// Handles a peer's request.
pub async fn handle(tx: MessageSender, req: HttpRequest) -> HttpReply {
    if req.path != PEER_PATH {
        return problem::simple(StatusCode::NOT_FOUND, "no-such-path", "No such path");
    }
    if req.method != Method::POST {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return problem::simple(status, "no-such-method", "The path takes POST");
    }
    let request: PeerRequest = match codec::decode(&req.body) {
        Ok(request) => request,
        Err(error) => {
            warn!(%error, "failed to decode a request from a peer");
            return encode_reply(StatusCode::BAD_REQUEST, &PeerReply::Unreadable);
        }
    };
    let asked = ask(&tx, |tx| Message::Peer(Box::new(request), tx));
    match asked.await {
        Ok(reply) => encode_reply(StatusCode::OK, &reply),
        // The core task has ended, so the request has no effect.
        Err(MailboxError::NotAccepted) => encode_reply(StatusCode::OK, &PeerReply::Declined),
        Err(MailboxError::Dropped) => problem::simple(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "The host is stopping",
        ),
    }
}

fn encode_reply(status: StatusCode, reply: &PeerReply) -> HttpReply {
    match codec::encode(reply) {
        Ok(body) => HttpReply::new(status, PEER_TYPE, body),
        Err(error) => {
            warn!(%error, "failed to encode a reply to a peer");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            problem::simple(status, "unencodable", "The reply can't be encoded")
        }
    }
}
