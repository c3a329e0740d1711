//! The task that owns the dispatcher: gives it events, and carries its actions out.
//!
//! It owns the dispatcher's time, the requests that wait for answers and the counts of
//! messages. Each call runs in a task of its own, which sends its outcome here. It ends
//! when the dispatcher has stopped, or all senders are gone.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::message::{Envelope, Reply};
use gannetridge_dispatcher_core::{
    Action, Answer, CallId, Decision, Dispatcher, Event, Millis, RequestId, SendFailure, StoreTable,
};
use gannetridge_net::Client;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::timeout;
use tracing::{info, warn};
use tracing_appender::non_blocking::ErrorCounter;

use crate::decision_log;
use crate::grace_period;
use crate::mailbox::{Message, Sender, StopFlag, StoreState};
use crate::metrics::Metrics;
use crate::peer_api;
use crate::platform_client::{PlatformClient, TargetOrder};
use crate::reload::Reloader;
use crate::signals::Signals;
use crate::traffic::{Direction, Traffic};

/// Shorter suspensions aren't logged: both clocks are adjusted now and then.
const LEAST_SUSPENSION: Duration = Duration::from_millis(10);

/// What the task is made of.
pub struct Parts {
    /// The decisions.
    pub dispatcher: Dispatcher,
    /// The dispatcher's clock.
    pub clock: Clock,
    /// Messages to this task.
    pub rx: unbounded::Rx<Message>,
    /// Sends messages to this task.
    pub tx: Sender,
    /// How long the process may take to stop.
    pub grace: Duration,
    /// Calls peers.
    pub peers: Client,
    /// Calls targets.
    pub platform_client: PlatformClient,
    /// The metrics.
    pub metrics: Metrics,
    /// Tells other tasks that the host is stopping.
    pub stopping: StopFlag,
    /// The signals that the process gets.
    pub signals: Signals,
    /// Reads the settings file again.
    pub reloader: Reloader,
    /// Counts log lines that were dropped.
    pub log_dropped: ErrorCounter,
}

/// Owns the dispatcher and carries its actions out.
pub struct CoreTask {
    parts: Parts,
    traffic: Traffic,
    /// Requests of callers that wait.
    callers: HashMap<RequestId, oneshot::Sender<Answer>>,
    /// Requests of peers that wait.
    waiting_peers: HashMap<RequestId, oneshot::Sender<Box<Reply>>>,
    /// How long the host had been suspended when it was last looked at.
    suspended: Duration,
    /// When signals were last looked at.
    looked_at_signals: Duration,
    /// Whether the dispatcher has nothing left to do.
    stopped: bool,
}

impl CoreTask {
    /// Creates the task's state.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        Self {
            traffic: Traffic::new(&parts.metrics.meter()),
            parts,
            callers: HashMap::new(),
            waiting_peers: HashMap::new(),
            suspended: Duration::ZERO,
            looked_at_signals: Duration::ZERO,
            stopped: false,
        }
    }

    fn now(&self) -> Millis {
        as_millis(self.parts.clock.now())
    }

    /// Runs until the dispatcher has stopped, or every sender is gone.
    pub async fn run(mut self) {
        while !self.stopped {
            let next_timer = self.parts.dispatcher.next_timer();
            let wait = Duration::from_millis(next_timer.saturating_sub(self.now()));
            match timeout(wait, self.parts.rx.recv()).await {
                Err(_) => self.on_timer(),
                Ok(None) => return,
                Ok(Some(message)) => self.on_message(message),
            }
            self.look_at_signals();
            self.traffic.log_if_due(self.now());
        }
    }

    fn on_timer(&mut self) {
        let due = self.parts.dispatcher.next_timer();
        self.traffic.timer_fired(self.now().saturating_sub(due));
        self.handle(Event::Tick);
    }

    fn look_at_signals(&mut self) {
        let now = self.parts.clock.now();
        // A signal that shows now came after the last look: while the process stood still, or
        // waited.
        let since = std::mem::replace(&mut self.looked_at_signals, now);
        if self.parts.signals.take_stop() {
            self.stop(since, now);
        }
        let now = self.now();
        let asked = self.parts.signals.take_reload();
        if let Some(settings) = self.parts.reloader.reload(now, asked) {
            self.parts.dispatcher.set_seeds(&settings.seeds);
        }
    }

    /// Begins to stop, as it was asked to at `since` at the earliest.
    fn stop(&mut self, since: Duration, now: Duration) {
        info!(event = "stopping");
        self.parts.stopping.set();
        let enforced = grace_period::enforce(self.parts.clock.clone(), since, self.parts.grace);
        if let Err(error) = enforced {
            warn!(event = "grace-period-not-enforced", %error);
        }
        let age_ms = as_millis(now.saturating_sub(since));
        self.handle(Event::Stop { age_ms });
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Caller {
                request_id,
                event,
                tx,
            } => {
                self.traffic.count(Direction::FromCaller, event.kind());
                self.callers.insert(request_id, tx);
                self.handle(event);
            }
            Message::Peer {
                request_id,
                envelope,
                tx,
            } => {
                let kind = envelope.request.kind();
                self.traffic.count(Direction::FromPeer, kind);
                self.waiting_peers.insert(request_id, tx);
                self.handle(Event::Peer {
                    request_id,
                    envelope,
                });
                // A request that the dispatcher ignores has no reply.
                self.waiting_peers.remove(&request_id);
            }
            Message::Event(event) => {
                if let Event::CallerGone { request_id } = &event {
                    self.callers.remove(request_id);
                }
                self.handle(event);
            }
            Message::StoreAnswered {
                table,
                version,
                asked,
            } => {
                let age_ms = self.now().saturating_sub(as_millis(asked));
                self.handle(Event::StoreAnswered {
                    table,
                    version,
                    age_ms,
                });
            }
            Message::FaultyRows { fault, count } => {
                self.parts.metrics.faulty_rows(fault, count);
            }
            Message::StoreState(tx) => {
                let dispatcher = &self.parts.dispatcher;
                // The task that follows a table is gone only when the process ends.
                let _ = tx.send(StoreState {
                    reading: dispatcher.store_reading(self.now()),
                    configuration_version: dispatcher.store_version(StoreTable::Configuration),
                    targets_version: dispatcher.store_version(StoreTable::Targets),
                });
            }
            Message::Inspect(inspect) => {
                let counts = self.parts.dispatcher.counts(self.now());
                let dropped = self.parts.log_dropped.dropped_lines() as u64;
                self.traffic.publish();
                self.parts.metrics.observe(&counts, dropped);
                let halls = self.parts.dispatcher.hall_loads(self.now());
                self.parts.metrics.observe_halls(&halls);
                inspect(&self.parts.dispatcher, &self.parts.metrics);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        for action in self.parts.dispatcher.handle(now, event) {
            self.perform(action);
        }
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Answer { request_id, answer } => {
                if let Some(tx) = self.callers.remove(&request_id) {
                    // A caller that is gone has no use for its answer.
                    let _ = tx.send(answer);
                }
            }
            Action::Reply { request_id, reply } => {
                if let Some(tx) = self.waiting_peers.remove(&request_id) {
                    // A peer that is gone has no use for its reply.
                    let _ = tx.send(reply);
                }
            }
            Action::Call {
                call,
                address,
                envelope,
                wait_ms,
            } => self.call_peer(call, address, envelope, wait_ms),
            Action::Target {
                call,
                id,
                address,
                token,
                order,
                wait_ms,
            } => {
                self.traffic.count(Direction::ToTarget, order.kind());
                let order = |address| TargetOrder {
                    id,
                    address,
                    token,
                    call: order,
                    wait_ms,
                };
                self.call_target(call, address.parse().ok().map(order));
            }
            Action::Record(decision) => {
                decision_log::write(&decision);
                if let Decision::StoodStill { .. } = &decision {
                    self.look_at_suspension();
                }
                self.parts.metrics.record(&decision);
            }
            Action::Stopped => self.stopped = true,
        }
    }

    /// Logs that the host was suspended, if it was since it was last looked at: a process that
    /// stood still may also have been frozen alone, or had no processor time.
    fn look_at_suspension(&mut self) {
        let suspended = self.parts.clock.suspended();
        let since = suspended.saturating_sub(self.suspended);
        if since >= LEAST_SUSPENSION {
            self.suspended = suspended;
            info!(event = "suspended", gap_ms = as_millis(since));
        }
    }

    fn call_peer(
        &mut self,
        call: CallId,
        address: SocketAddr,
        envelope: Box<Envelope>,
        wait_ms: Millis,
    ) {
        let kind = envelope.request.kind();
        self.traffic.count(Direction::ToPeer, kind);
        let client = self.parts.peers.clone();
        self.spawn(async move {
            let reply = peer_api::call(&client, address, &envelope, wait_ms).await;
            Event::PeerReply { call, reply }
        });
    }

    /// Calls a target; one whose address in the list is none isn't called.
    fn call_target(&self, call: CallId, order: Option<TargetOrder>) {
        let calling = order.map(|order| (self.parts.platform_client.call_target)(order));
        self.spawn(async move {
            let reply = match calling {
                Some(calling) => calling.await,
                None => Err(SendFailure::NotSent),
            };
            Event::TargetReply { call, reply }
        });
    }

    /// Lets a call run in a task of its own, which sends its outcome to this one.
    fn spawn(&self, call: impl Future<Output = Event> + 'static) {
        let tx = self.parts.tx.clone();
        monoio::spawn(async move {
            let event = call.await;
            // This task is gone only when the process ends.
            let _ = tx.send(Message::Event(event));
        });
    }
}

fn as_millis(time: Duration) -> Millis {
    time.as_millis() as Millis
}
