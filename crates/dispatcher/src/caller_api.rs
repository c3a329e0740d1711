//! Serves callers: one task a request, which ends with the caller's connection.
//!
//! The platform's words are decoded and encoded by [`PlatformClient`]; the dispatcher's
//! task answers.

use gannetridge_dispatcher_core::{Answer, Event, RequestId};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_process::mailbox::ask;

use crate::mailbox::{Message, RequestIds, Sender, StopFlag};
use crate::platform_client::{CallerRequest, PlatformClient};

/// Tells the dispatcher when a request is dropped before its answer.
struct GoneGuard {
    tx: Sender,
    waiting: Option<RequestId>,
}

impl Drop for GoneGuard {
    fn drop(&mut self) {
        if let Some(request_id) = self.waiting {
            // The dispatcher's task is gone only when the process ends.
            let gone = Event::CallerGone { request_id };
            let _ = self.tx.send(Message::Event(gone));
        }
    }
}

/// Handles one request. Dropped before its end, the caller is gone.
///
/// While the host is stopping each answer ends its connection, so that callers find
/// other hosts: an open connection stays with its host.
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
    let mut gone = GoneGuard {
        tx: tx.clone(),
        waiting: Some(request_id),
    };
    let asked = ask(&tx, |tx| Message::Caller {
        request_id,
        event,
        tx,
    });
    // Without an answer the process ends: whoever asks again finds other hosts.
    let answer = asked.await.unwrap_or(Answer::NotReady);
    gone.waiting = None;
    (platform_client.encode_answer)(&answer)
}
