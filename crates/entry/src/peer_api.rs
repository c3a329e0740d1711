//! What entry hosts ask each other, as HTTP.

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::{ask, NoAnswer};
use gannetridge_wire::codec;
use http::{Method, StatusCode};
use tracing::warn;

use crate::calls::{PEER_PATH, PEER_TYPE};
use crate::core_task::{Message, Sender};
use crate::problem;

/// Handles one request of a peer.
pub async fn handle(tx: Sender, req: HttpRequest) -> HttpReply {
    if req.path != PEER_PATH {
        return problem::plain(StatusCode::NOT_FOUND, "no-such-path", "No such path");
    }
    if req.method != Method::POST {
        let status = StatusCode::METHOD_NOT_ALLOWED;
        return problem::plain(status, "no-such-method", "The path takes POST");
    }
    let request: PeerRequest = match codec::decode(&req.body) {
        Ok(request) => request,
        Err(error) => {
            warn!(%error, "unreadable request from a peer");
            return encoded(StatusCode::BAD_REQUEST, &PeerReply::Unreadable);
        }
    };
    let asked = ask(&tx, |tx| Message::Peer(Box::new(request), tx));
    match asked.await {
        Ok(reply) => encoded(StatusCode::OK, &reply),
        // The host has stopped: nothing is done with the request.
        Err(NoAnswer::NotTaken) => encoded(StatusCode::OK, &PeerReply::Declined),
        Err(NoAnswer::Dropped) => problem::plain(
            StatusCode::SERVICE_UNAVAILABLE,
            "stopping",
            "The host is stopping",
        ),
    }
}

fn encoded(status: StatusCode, reply: &PeerReply) -> HttpReply {
    match codec::encode(reply) {
        Ok(body) => HttpReply::new(status, PEER_TYPE, body),
        Err(error) => {
            warn!(%error, "unencodable reply");
            let status = StatusCode::INTERNAL_SERVER_ERROR;
            problem::plain(status, "unencodable", "The reply can't be encoded")
        }
    }
}
