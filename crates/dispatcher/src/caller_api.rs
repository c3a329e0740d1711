//! Handles callers' requests, each in a task that is dropped with the caller's connection.
//!
//! [`PlatformClient`] decodes requests and encodes answers; the task that owns the
//! dispatcher answers them.

use gannetridge_dispatcher_core::{Answer, Event, RequestId};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::ask;

use crate::mailbox::{Message, RequestIds, Sender, StopFlag};
use crate::platform_client::{CallerRequest, PlatformClient};

/// Informs the dispatcher if a request is dropped before its answer.
struct DisconnectGuard {
    tx: Sender,
    /// The request, until it is answered.
    pending: Option<RequestId>,
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if let Some(request_id) = self.pending {
            // Sending fails only while the process ends.
            let event = Event::CallerGone { request_id };
            let _ = self.tx.send(Message::Event(event));
        }
    }
}

/// Handles one request. If the future is dropped before the answer, the dispatcher is
/// informed that the caller has disconnected.
///
/// While the host is stopping, each reply closes its connection, so that the caller
/// reconnects to another host.
pub async fn handle(
    tx: Sender,
    request_ids: RequestIds,
    stopping: StopFlag,
    platform_client: PlatformClient,
    req: HttpRequest,
) -> HttpReply {
    let mut reply = match (platform_client.decode_request)(&req) {
        Ok(request) => answer(tx, request_ids.next(), &platform_client, request).await,
        Err(reply) => *reply,
    };
    reply.close = stopping.is_set();
    reply
}

async fn answer(
    tx: Sender,
    request_id: RequestId,
    platform_client: &PlatformClient,
    request: CallerRequest,
) -> HttpReply {
    let event = match request {
        CallerRequest::Submit(submit) => Event::Submit { request_id, submit },
        CallerRequest::Query { host, path } => Event::Query {
            request_id,
            host,
            path,
        },
        CallerRequest::Cancel { host, path } => Event::Cancel {
            request_id,
            host,
            path,
        },
    };
    let mut guard = DisconnectGuard {
        tx: tx.clone(),
        pending: Some(request_id),
    };
    let answer = ask(&tx, |tx| Message::Caller {
        request_id,
        event,
        tx,
    });
    // Only an ending process gives no answer; a retry then reaches another host.
    let answer = answer.await.unwrap_or(Answer::NotReady);
    guard.pending = None;
    (platform_client.encode_answer)(&answer)
}
