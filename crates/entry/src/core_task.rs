//! The task that owns the host.

use std::collections::HashMap;

use gannetridge_entry_core::{Action, ChangeAnswer, ChangeRequest, Event, Host, Note, Token};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::{Answer, Submission};
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::timeout;
use tracing::{debug, info};

use crate::calls::Caller;
use crate::clock::Clock;
use crate::metrics::Metrics;

/// A look at the host.
pub type Look = Box<dyn FnOnce(&Host, &Metrics)>;

/// What other tasks send to the task that owns the host.
pub enum Message {
    /// A caller's submission.
    Submit(Box<Submission>, oneshot::Sender<Answer>),
    /// A peer's request.
    Peer(Box<PeerRequest>, oneshot::Sender<PeerReply>),
    /// An operator's change.
    Change(ChangeRequest, oneshot::Sender<ChangeAnswer>),
    /// Something that came back from outside.
    Event(Box<Event>),
    /// A look at the host.
    Look(Look),
}

/// Sends messages to the task that owns the host.
pub type Sender = unbounded::Tx<Message>;

/// A request that waits for the host.
enum Waiting {
    Caller(oneshot::Sender<Answer>),
    Peer(oneshot::Sender<PeerReply>),
    Operator(oneshot::Sender<ChangeAnswer>),
}

/// Owns the host and carries its actions out.
pub struct CoreTask {
    host: Host,
    clock: Clock,
    rx: unbounded::Rx<Message>,
    caller: Caller,
    metrics: Metrics,
    waiting: HashMap<Token, Waiting>,
    last_token: u64,
    stopped: bool,
}

impl CoreTask {
    /// Creates the task's state.
    #[must_use]
    pub fn new(
        host: Host,
        clock: Clock,
        rx: unbounded::Rx<Message>,
        caller: Caller,
        metrics: Metrics,
    ) -> Self {
        Self {
            host,
            clock,
            rx,
            caller,
            metrics,
            waiting: HashMap::new(),
            last_token: 0,
            stopped: false,
        }
    }

    /// Runs until the host has stopped in order, or every sender is gone.
    pub async fn run(mut self) {
        while !self.stopped {
            let wait = match self.host.next_timer() {
                Some(at) => self.clock.until(at),
                None => std::time::Duration::from_secs(1),
            };
            match timeout(wait, self.rx.recv()).await {
                Err(_) => self.handle(Event::Tick),
                Ok(None) => return,
                Ok(Some(message)) => self.on_message(message),
            }
        }
        self.turn_rest_away();
    }

    /// Tells peers that nothing was done with what the host hasn't taken.
    /// Others learn it from their closed channels.
    fn turn_rest_away(&mut self) {
        while let Ok(message) = self.rx.try_recv() {
            if let Message::Peer(_, tx) = message {
                let _ = tx.send(PeerReply::Declined);
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Submit(submission, tx) => {
                let token = self.wait_with(Waiting::Caller(tx));
                let submission = *submission;
                self.handle(Event::Submit { token, submission });
            }
            Message::Peer(request, tx) => {
                let token = self.wait_with(Waiting::Peer(tx));
                let request = *request;
                self.handle(Event::Peer { token, request });
            }
            Message::Change(change, tx) => {
                let token = self.wait_with(Waiting::Operator(tx));
                self.handle(Event::Change { token, change });
            }
            Message::Event(event) => self.handle(*event),
            Message::Look(look) => {
                self.metrics.observe(&self.host);
                look(&self.host, &self.metrics);
            }
        }
    }

    fn wait_with(&mut self, waiting: Waiting) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        self.waiting.insert(token, waiting);
        token
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.host.handle(now, event) {
            self.perform(action);
        }
    }

    // A receiver that is gone has no use for its answer: sends that fail are
    // passed over below.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Answer { token, answer } => {
                if let Some(Waiting::Caller(tx)) = self.waiting.remove(&token) {
                    let _ = tx.send(answer);
                }
            }
            Action::Reply { token, reply } => {
                if let Some(Waiting::Peer(tx)) = self.waiting.remove(&token) {
                    let _ = tx.send(reply);
                }
            }
            Action::ChangeAnswer { token, answer } => {
                info!(?answer, "operator's change answered");
                if let Some(Waiting::Operator(tx)) = self.waiting.remove(&token) {
                    let _ = tx.send(answer);
                }
            }
            Action::Call {
                call,
                address,
                request,
                wait_ms,
            } => self.caller.call_peer(call, &address, request, wait_ms),
            Action::Start {
                call,
                target,
                address,
                start,
                wait_ms,
            } => {
                debug!(task = %start.task, %target, epoch = start.epoch.0, "start");
                self.metrics.start();
                self.caller.start_task(call, &address, &start, wait_ms);
            }
            Action::Ask {
                call,
                address,
                ask,
                wait_ms,
            } => self.caller.ask_task(call, &address, &ask, wait_ms),
            Action::Table { call, op } => self.caller.use_table(call, &op),
            Action::ReadList { after } => self.caller.read_list(after),
            Action::Note(note) => {
                log(&note);
                self.metrics.note(&note);
            }
            Action::Stopped => self.stopped = true,
        }
    }
}

fn log(note: &Note) {
    match note {
        Note::Finished {
            account,
            urgency,
            complete,
            response_us,
            ideal_us,
        } => {
            let class = urgency.as_str();
            debug!(%account, class, complete, response_us, ideal_us, "job ended");
        }
        Note::Refused { account } => info!(%account, "request refused as not run"),
        Note::Wasted(waste) => debug!(kind = waste.as_str(), "message wasted"),
        Note::ShardAcquired { shard, epoch } => info!(shard, epoch, "shard acquired"),
        Note::ShardReleased { shard } => info!(shard, "shard released"),
        Note::ConfigInForce { version } => info!(version, "configuration in force"),
    }
}
