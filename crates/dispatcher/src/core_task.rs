//! The task that owns the dispatcher: passes events to it and performs its actions.
//!
//! It owns the dispatcher's timers, the pending requests and the message counts. Each call
//! to a peer or a target runs in a task of its own, which sends its result back here.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::message::{Envelope, Reply};
use gannetridge_dispatcher_core::{
    Action, Answer, CallId, Decision, Dispatcher, Event, Millis, RequestId, SendFailure, StoreTable,
};
use gannetridge_net::{Client, RefusalCounts, SharedLimits};
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
use crate::refusal_log::RefusalLog;
use crate::reload::Reloader;
use crate::servers::request_limits;
use crate::signals::Signals;
use crate::traffic::{Direction, Traffic};

/// Shorter suspensions aren't logged: adjustments of the clocks look the same.
const MIN_LOGGED_SUSPENSION: Duration = Duration::from_millis(10);

/// The components that a [`CoreTask`] owns.
pub struct Parts {
    /// Makes the decisions.
    pub dispatcher: Dispatcher,
    /// The clock of all times that the dispatcher is given.
    pub clock: Clock,
    /// Receives messages from other tasks.
    pub rx: unbounded::Rx<Message>,
    /// Sends messages to this task; cloned for the tasks that it spawns.
    pub tx: Sender,
    /// The longest time that the process may take to stop.
    pub grace_period: Duration,
    /// Calls peers.
    pub peer_client: Client,
    /// Calls targets.
    pub platform_client: PlatformClient,
    /// Records decisions and load.
    pub metrics: Metrics,
    /// Set once the host is stopping, for other tasks to read.
    pub stopping: StopFlag,
    /// The limits of callers' requests, set when a configuration comes into force.
    pub caller_limits: SharedLimits,
    /// Counts what the servers refuse.
    pub refusals: RefusalCounts,
    /// The signals that the process has received.
    pub signals: Signals,
    /// Reads the settings file again.
    pub reloader: Reloader,
    /// Counts dropped log lines.
    pub log_dropped: ErrorCounter,
}

/// Owns the dispatcher and performs its actions.
pub struct CoreTask {
    parts: Parts,
    traffic: Traffic,
    refusal_log: RefusalLog,
    /// Callers' requests without an answer so far.
    pending_callers: HashMap<RequestId, oneshot::Sender<Answer>>,
    /// Peers' requests without a reply so far.
    pending_peers: HashMap<RequestId, oneshot::Sender<Box<Reply>>>,
    /// The host's total suspension up to the last one that was logged.
    logged_suspension: Duration,
    /// When signals were last checked.
    signals_checked_at: Duration,
    /// Set once the dispatcher has finished its shutdown.
    stopped: bool,
}

impl CoreTask {
    /// Creates the task with no pending requests.
    #[must_use]
    pub fn new(parts: Parts) -> Self {
        Self {
            traffic: Traffic::new(&parts.metrics.meter()),
            refusal_log: RefusalLog::new(&parts.metrics.meter(), parts.refusals.clone()),
            parts,
            pending_callers: HashMap::new(),
            pending_peers: HashMap::new(),
            logged_suspension: Duration::ZERO,
            signals_checked_at: Duration::ZERO,
            stopped: false,
        }
    }

    fn now(&self) -> Millis {
        as_millis(self.parts.clock.now())
    }

    /// Runs until the dispatcher has stopped or every sender is dropped.
    pub async fn run(mut self) {
        while !self.stopped {
            let next_timer = self.parts.dispatcher.next_timer();
            let wait = Duration::from_millis(next_timer.saturating_sub(self.now()));
            match timeout(wait, self.parts.rx.recv()).await {
                Err(_) => self.on_timer(),
                Ok(None) => return,
                Ok(Some(message)) => self.on_message(message),
            }
            self.check_signals();
            let now = self.now();
            self.traffic.log_if_due(now);
            self.refusal_log.log_if_due(now);
        }
    }

    fn on_timer(&mut self) {
        let due = self.parts.dispatcher.next_timer();
        self.traffic.record_timer(self.now().saturating_sub(due));
        self.handle(Event::Tick);
    }

    fn check_signals(&mut self) {
        let now = self.parts.clock.now();
        // The signal may have come at any time since the last check, also while the process was
        // suspended.
        let since = std::mem::replace(&mut self.signals_checked_at, now);
        if self.parts.signals.take_stop() {
            self.stop(since, now);
        }
        let now = self.now();
        let requested = self.parts.signals.take_reload();
        if let Some(settings) = self.parts.reloader.reload(now, requested) {
            self.parts.dispatcher.set_seeds(&settings.seeds);
        }
    }

    /// Starts the shutdown. `since` is the earliest time at which it can have been requested;
    /// the grace period counts from there.
    fn stop(&mut self, since: Duration, now: Duration) {
        info!(event = "stopping");
        self.parts.stopping.set();
        let enforced =
            grace_period::enforce(self.parts.clock.clone(), since, self.parts.grace_period);
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
                memory,
                tx,
            } => {
                self.traffic.count(Direction::FromCaller, event.kind());
                self.pending_callers.insert(request_id, tx);
                self.handle(event);
                drop(memory);
            }
            Message::Peer {
                request_id,
                envelope,
                tx,
            } => {
                let kind = envelope.request.kind();
                self.traffic.count(Direction::FromPeer, kind);
                self.pending_peers.insert(request_id, tx);
                self.handle(Event::Peer {
                    request_id,
                    envelope,
                });
                // The dispatcher replies at once or ignores the request.
                self.pending_peers.remove(&request_id);
            }
            Message::Event(event) => {
                if let Event::CallerGone { request_id } = &event {
                    self.pending_callers.remove(request_id);
                }
                self.handle(event);
            }
            Message::StoreAnswered {
                table,
                version,
                requested_at,
            } => {
                let age_ms = self.now().saturating_sub(as_millis(requested_at));
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
                // Sending fails only while the process ends.
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
                self.refusal_log.publish();
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
                if let Some(tx) = self.pending_callers.remove(&request_id) {
                    // Fails if the caller has disconnected.
                    let _ = tx.send(answer);
                }
            }
            Action::Reply { request_id, reply } => {
                if let Some(tx) = self.pending_peers.remove(&request_id) {
                    // Fails if the peer has disconnected.
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
                match &decision {
                    Decision::ProcessStalled { .. } => self.log_suspension(),
                    Decision::Configuration { .. } => self.apply_request_limits(),
                    _ => {}
                }
                self.parts.metrics.record(&decision);
            }
            Action::Stopped => self.stopped = true,
        }
    }

    /// Puts the limits of the configuration in force for callers' further requests.
    fn apply_request_limits(&self) {
        let limits = self.parts.dispatcher.request_limits();
        let limits = request_limits(&limits);
        self.parts.caller_limits.set_request_limits(limits);
    }

    /// Logs a suspension of the whole host, if there was one. Without this line, a stalled
    /// process was frozen alone or had no processor time.
    fn log_suspension(&mut self) {
        let total = self.parts.clock.suspended_time();
        let gap = total.saturating_sub(self.logged_suspension);
        if gap >= MIN_LOGGED_SUSPENSION {
            self.logged_suspension = total;
            info!(event = "suspended", gap_ms = as_millis(gap));
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
        let client = self.parts.peer_client.clone();
        self.spawn(async move {
            let reply = peer_api::call(&client, address, &envelope, wait_ms).await;
            Event::PeerReply { call, reply }
        });
    }

    /// Calls a target. Without an order, since its address in the list can't be parsed, the
    /// call counts as not sent.
    fn call_target(&self, call: CallId, order: Option<TargetOrder>) {
        let reply = order.map(|order| (self.parts.platform_client.call_target)(order));
        self.spawn(async move {
            let reply = match reply {
                Some(reply) => reply.await,
                None => Err(SendFailure::NotSent),
            };
            Event::TargetReply { call, reply }
        });
    }

    /// Runs a call in a task of its own, which sends the result to this task.
    fn spawn(&self, call: impl Future<Output = Event> + 'static) {
        let tx = self.parts.tx.clone();
        monoio::spawn(async move {
            let event = call.await;
            // Sending fails only while the process ends.
            let _ = tx.send(Message::Event(event));
        });
    }
}

fn as_millis(time: Duration) -> Millis {
    time.as_millis() as Millis
}
