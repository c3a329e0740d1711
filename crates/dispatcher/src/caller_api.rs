//! Handles callers' requests, each in a task that is dropped with the caller's connection.
//!
//! [`PlatformClient`] decodes requests and encodes answers; the task that owns the
//! dispatcher answers them.

use gannetridge_dispatcher_core::{Answer, Event, RequestId};
use gannetridge_net::{
    out_of_memory, HttpReply, HttpRequest, MemoryPermit, MemoryQuota, Refusal, ServerRefusals,
    UNCOUNTED_BODY_BYTES,
};
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

/// What the requests of all callers share.
#[derive(Clone)]
pub struct Context {
    /// Sends requests to the task that owns the dispatcher.
    pub tx: Sender,
    /// Generates the ids of requests.
    pub request_ids: RequestIds,
    /// Set while the host is stopping.
    pub stopping: StopFlag,
    /// Decodes requests and encodes answers.
    pub platform_client: PlatformClient,
    /// The memory of requests that the dispatcher hasn't handled yet.
    pub memory: MemoryQuota,
    /// Counts the requests for which there is no memory.
    pub refusals: ServerRefusals,
}

/// Handles one request. If the future is dropped before the answer, the dispatcher is
/// informed that the caller has disconnected.
///
/// While the host is stopping, each reply closes its connection, so that the caller
/// reconnects to another host.
pub async fn handle(cx: Context, req: HttpRequest) -> HttpReply {
    let decoded = (cx.platform_client.decode_request)(&req);
    // The decoded request holds nothing of the body, which may be long.
    drop(req);
    let mut reply = match decoded {
        Ok(request) => answer_if_memory(&cx, request).await,
        Err(reply) => *reply,
    };
    reply.close |= cx.stopping.is_set();
    reply
}

async fn answer_if_memory(cx: &Context, request: CallerRequest) -> HttpReply {
    let bytes = request.bytes();
    let counted = if bytes > UNCOUNTED_BODY_BYTES {
        bytes
    } else {
        0
    };
    match cx.memory.reserve(counted) {
        Some(memory) => answer(cx, request, memory).await,
        None => {
            cx.refusals.add(Refusal::OutOfMemory);
            out_of_memory()
        }
    }
}

async fn answer(cx: &Context, request: CallerRequest, memory: MemoryPermit) -> HttpReply {
    let request_id = cx.request_ids.next();
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
        tx: cx.tx.clone(),
        pending: Some(request_id),
    };
    let answer = ask(&cx.tx, |tx| Message::Caller {
        request_id,
        event,
        memory,
        tx,
    });
    // Only an ending process gives no answer; a retry then reaches another host.
    let answer = answer.await.unwrap_or(Answer::NotReady);
    guard.pending = None;
    (cx.platform_client.encode_answer)(&answer)
}
