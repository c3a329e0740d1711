//! What callers ask.

use std::cell::Cell;
use std::rc::Rc;

use gannetridge_dispatcher_core::{Answer, Event, RequestId};
use gannetridge_net::{HttpReply, HttpRequest};
use local_sync::oneshot;

use crate::core_task::{Message, Sender};
use crate::platform_client::{CallerRequest, PlatformClient};

/// Gives each request a token of its own.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<Cell<u64>>);

impl RequestIds {
    /// Returns a token that was never returned before.
    #[must_use]
    pub fn next(&self) -> RequestId {
        self.0.set(self.0.get() + 1);
        RequestId(self.0.get())
    }
}

/// Tells the core when a request is dropped before its answer.
struct Gone {
    tx: Sender,
    request_id: Option<RequestId>,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(request_id) = self.request_id {
            // The core is gone only when the process ends.
            let _ = self
                .tx
                .send(Message::Event(Event::CallerGone { request_id }));
        }
    }
}

/// Tells tasks that the host is stopping in order.
#[derive(Clone, Default)]
pub struct Stopping(Rc<Cell<bool>>);

impl Stopping {
    /// Takes note that the host is stopping.
    pub fn set(&self) {
        self.0.set(true);
    }
}

/// Handles one request. Dropped before its end, the caller is gone.
///
/// While the host is stopping each answer ends its connection, so that callers
/// find other hosts: an open connection stays with its host.
pub async fn handle(
    tx: Sender,
    request_ids: RequestIds,
    stopping: Stopping,
    platform_client: PlatformClient,
    req: HttpRequest,
) -> HttpReply {
    let mut reply = match (platform_client.read_caller)(&req) {
        Ok(request) => ask(tx, request_ids.next(), &platform_client, request).await,
        Err(reply) => *reply,
    };
    reply.close = stopping.0.get();
    reply
}

async fn ask(
    tx: Sender,
    request_id: RequestId,
    platform_client: &PlatformClient,
    request: CallerRequest,
) -> HttpReply {
    let event = match request {
        CallerRequest::Submit(submit) => Event::Submit { request_id, submit },
        CallerRequest::Ask { host, path } => Event::Ask {
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
    let (answer_tx, answer_rx) = oneshot::channel();
    let mut gone = Gone {
        tx: tx.clone(),
        request_id: Some(request_id),
    };
    let sent = tx.send(Message::Caller(event, request_id, answer_tx));
    let answer = match (sent, answer_rx.await) {
        (Ok(()), Ok(answer)) => answer,
        // The process ends; whoever asks elsewhere finds others.
        _ => Answer::NotReady,
    };
    gone.request_id = None;
    (platform_client.answer)(&answer)
}
