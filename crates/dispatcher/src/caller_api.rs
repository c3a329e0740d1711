//! What callers ask.

use std::cell::Cell;
use std::rc::Rc;

use gannetridge_dispatcher_core::{Answer, Event, Token};
use gannetridge_net::{HttpReply, HttpRequest};
use local_sync::oneshot;

use crate::core_task::{Message, Sender};
use crate::outside::{CallerRequest, Outside};

/// Gives each request a token of its own.
#[derive(Clone, Default)]
pub struct Tokens(Rc<Cell<u64>>);

impl Tokens {
    /// Returns a token that was never returned before.
    #[must_use]
    pub fn next(&self) -> Token {
        self.0.set(self.0.get() + 1);
        Token(self.0.get())
    }
}

/// Tells the core when a request is dropped before its answer.
struct Gone {
    tx: Sender,
    token: Option<Token>,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if let Some(token) = self.token {
            // The core is gone only when the process ends.
            let _ = self.tx.send(Message::Event(Event::CallerGone { token }));
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
    tokens: Tokens,
    stopping: Stopping,
    outside: Outside,
    req: HttpRequest,
) -> HttpReply {
    let mut reply = match (outside.read_caller)(&req) {
        Ok(request) => ask(tx, tokens.next(), &outside, request).await,
        Err(reply) => *reply,
    };
    reply.close = stopping.0.get();
    reply
}

async fn ask(tx: Sender, token: Token, outside: &Outside, request: CallerRequest) -> HttpReply {
    let event = match request {
        CallerRequest::Submit(submit) => Event::Submit { token, submit },
        CallerRequest::Ask { host, path } => Event::Ask { token, host, path },
        CallerRequest::Cancel { host, path } => Event::Cancel { token, host, path },
    };
    let (answer_tx, answer_rx) = oneshot::channel();
    let mut gone = Gone {
        tx: tx.clone(),
        token: Some(token),
    };
    let sent = tx.send(Message::Caller(event, token, answer_tx));
    let answer = match (sent, answer_rx.await) {
        (Ok(()), Ok(answer)) => answer,
        // The process ends; whoever asks elsewhere finds others.
        _ => Answer::NotReady,
    };
    gone.token = None;
    (outside.answer)(&answer)
}
