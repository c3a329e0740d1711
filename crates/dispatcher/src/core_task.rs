//! The task that owns the dispatcher.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use gannetridge_dispatcher_core::message::{Envelope, Reply};
use gannetridge_dispatcher_core::{
    Action, Answer, Dispatcher, Event, Millis, RequestId, SendFailure,
};
use gannetridge_net::Client;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::timeout;
use tracing::info;
use tracing_appender::non_blocking::ErrorCounter;

use crate::caller_api::Stopping;
use crate::decision_log;
use crate::metrics::Metrics;
use crate::peer_api;
use crate::platform_client::{PlatformClient, TargetOrder};
use crate::process::Reloader;
use crate::signals::Signals;
use crate::traffic::{Direction, Traffic};

/// A look at the dispatcher.
pub type Inspection = Box<dyn FnOnce(&Dispatcher, &Metrics)>;

/// What other tasks send to the task that owns the dispatcher.
pub enum Message {
    /// A caller's request.
    Caller(Event, RequestId, oneshot::Sender<Answer>),
    /// A peer's request.
    Peer(Box<Envelope>, RequestId, oneshot::Sender<Box<Reply>>),
    /// Something else that happened.
    Event(Event),
    /// A look at the dispatcher.
    Inspection(Inspection),
}

/// Sends messages to the task that owns the dispatcher.
pub type Sender = unbounded::Tx<Message>;

/// Owns the dispatcher and carries its actions out.
pub struct CoreTask {
    /// The decisions.
    pub dispatcher: Dispatcher,
    /// When the steady clock was 0.
    pub started: Instant,
    /// What happens.
    pub rx: unbounded::Rx<Message>,
    /// To tell this task what came back.
    pub tx: Sender,
    /// Calls peers.
    pub peers: Client,
    /// The platform.
    pub platform_client: PlatformClient,
    /// The metrics.
    pub metrics: Metrics,
    /// Counts messages.
    pub traffic: Traffic,
    /// Tells other tasks that the host is stopping.
    pub stopping: Stopping,
    /// Signals.
    pub signals: Signals,
    /// Reads the settings file again.
    pub reloader: Reloader,
    /// Counts log lines that were dropped.
    pub log_dropped: ErrorCounter,
    /// Requests of callers that wait.
    pub callers: HashMap<RequestId, oneshot::Sender<Answer>>,
    /// Requests of peers that wait.
    pub waiting_peers: HashMap<RequestId, oneshot::Sender<Box<Reply>>>,
    /// Whether the dispatcher has nothing left to do.
    pub stopped: bool,
}

impl CoreTask {
    fn now(&self) -> Millis {
        self.started.elapsed().as_millis() as Millis
    }

    /// Runs until the dispatcher has stopped, or every sender is gone.
    pub async fn run(mut self) {
        while !self.stopped {
            let wait = self.dispatcher.next_timer().saturating_sub(self.now());
            match timeout(Duration::from_millis(wait), self.rx.recv()).await {
                Err(_) => self.on_timer(),
                Ok(None) => return,
                Ok(Some(message)) => self.on_message(message),
            }
            self.look_at_signals();
            self.traffic.tell(self.now());
        }
    }

    fn on_timer(&mut self) {
        let due = self.dispatcher.next_timer();
        self.traffic.timer(self.now().saturating_sub(due));
        self.handle(Event::Tick);
    }

    fn look_at_signals(&mut self) {
        if self.signals.take_stop() {
            info!(event = "stopping");
            self.stopping.set();
            self.handle(Event::Stop);
        }
        let now = self.now();
        let asked = self.signals.take_reload();
        if let Some(settings) = self.reloader.reload(now, asked) {
            self.dispatcher.set_seeds(&settings.seeds);
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Caller(event, request_id, tx) => {
                self.traffic.count(Direction::FromCaller, event.kind());
                self.callers.insert(request_id, tx);
                self.handle(event);
            }
            Message::Peer(envelope, request_id, tx) => {
                let kind = envelope.request.kind();
                self.traffic.count(Direction::FromPeer, kind);
                self.waiting_peers.insert(request_id, tx);
                self.handle(Event::Peer {
                    request_id,
                    envelope,
                });
                // A request that is passed over has no reply.
                self.waiting_peers.remove(&request_id);
            }
            Message::Event(event) => {
                if let Event::CallerGone { request_id } = &event {
                    self.callers.remove(request_id);
                }
                self.handle(event);
            }
            Message::Inspection(look) => {
                let now = self.now();
                let dropped = self.log_dropped.dropped_lines() as u64;
                self.traffic.publish();
                self.metrics.observe(now, &self.dispatcher, dropped);
                look(&self.dispatcher, &self.metrics);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        for action in self.dispatcher.handle(now, event) {
            self.perform(action);
        }
    }

    // A receiver that is gone has no use for its answer: sends that fail are
    // passed over below.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Answer { request_id, answer } => {
                if let Some(tx) = self.callers.remove(&request_id) {
                    let _ = tx.send(answer);
                }
            }
            Action::Reply { request_id, reply } => {
                if let Some(tx) = self.waiting_peers.remove(&request_id) {
                    let _ = tx.send(reply);
                }
            }
            Action::Call {
                call,
                address,
                envelope,
                wait_ms,
            } => {
                self.traffic
                    .count(Direction::ToPeer, envelope.request.kind());
                let (client, tx) = (self.peers.clone(), self.tx.clone());
                monoio::spawn(async move {
                    let reply = peer_api::call(&client, address, &envelope, wait_ms).await;
                    let _ = tx.send(Message::Event(Event::PeerReply { call, reply }));
                });
            }
            Action::Target {
                call,
                id,
                address,
                token,
                order,
                wait_ms,
            } => {
                self.traffic.count(Direction::ToTarget, order.kind());
                let tx = self.tx.clone();
                let calling = address.parse().ok().map(|address| {
                    (self.platform_client.call_target)(TargetOrder {
                        id,
                        address,
                        token,
                        call: order,
                        wait_ms,
                    })
                });
                monoio::spawn(async move {
                    let reply = match calling {
                        Some(calling) => calling.await,
                        None => Err(SendFailure::NotSent),
                    };
                    let _ = tx.send(Message::Event(Event::TargetReply { call, reply }));
                });
            }
            Action::Record(note) => {
                decision_log::write(&note);
                self.metrics.note(&note);
            }
            Action::Stopped => self.stopped = true,
        }
    }
}
