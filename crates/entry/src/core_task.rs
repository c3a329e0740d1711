//! The task that owns the host: it handles one message at a time and performs the
//! actions that the host returns.

use std::collections::{HashMap, HashSet};

use gannetridge_entry_core::{
    Action, ChangeAnswer, ChangeRequest, Event, Host, RequestToken, TelemetryEvent,
};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::{Answer, Submission};
use gannetridge_net::MemoryPermit;
use gannetridge_wire::Name;
use local_sync::{mpsc::unbounded, oneshot};
use monoio::time::timeout;
use tracing::{debug, info, warn};

use crate::calls::RequestSender;
use crate::clock::Clock;
use crate::metrics::Metrics;
use crate::target_list::FaultyEntry;

/// The most entries that are remembered as logged. Further ones are only counted.
const MAX_LOGGED_FAULTS: usize = 4_096;

/// Reads the state of the host and its metrics.
pub type Inspect = Box<dyn FnOnce(&Host, &Metrics)>;

/// A message to the core task.
pub enum Message {
    /// A caller's submission.
    Submit {
        /// The submission as decoded.
        submission: Box<Submission>,
        /// Its memory, reserved until it is answered.
        memory: MemoryPermit,
        /// Receives the answer.
        tx: oneshot::Sender<Answer>,
    },
    /// A peer's request.
    Peer(Box<PeerRequest>, oneshot::Sender<PeerReply>),
    /// An operator's change.
    Change(ChangeRequest, oneshot::Sender<ChangeAnswer>),
    /// Any event without a request to answer, such as the reply to a call.
    Event(Box<Event>),
    /// Entries of the platform's list of targets that can't be used.
    FaultyEntries(Vec<FaultyEntry>),
    /// Runs a function on the host's current state.
    Inspect(Inspect),
}

/// Sends messages to the core task.
pub type MessageSender = unbounded::Tx<Message>;

/// The channel for the reply to an open request.
enum ReplyChannel {
    Caller {
        tx: oneshot::Sender<Answer>,
        /// Held until the answer, even if the caller disconnects: the job goes on.
        _memory: MemoryPermit,
    },
    Peer(oneshot::Sender<PeerReply>),
    Operator(oneshot::Sender<ChangeAnswer>),
}

/// Owns the host and performs its actions.
pub struct CoreTask {
    host: Host,
    clock: Clock,
    rx: unbounded::Rx<Message>,
    requests: RequestSender,
    metrics: Metrics,
    open_requests: HashMap<RequestToken, ReplyChannel>,
    last_token: u64,
    stopped: bool,
    /// The entries in the list of targets that were logged as unusable, with the reason.
    logged_faults: HashSet<(Name, String)>,
}

impl CoreTask {
    /// Creates the task's state; [`CoreTask::run`] runs it.
    #[must_use]
    pub fn new(
        host: Host,
        clock: Clock,
        rx: unbounded::Rx<Message>,
        requests: RequestSender,
        metrics: Metrics,
    ) -> Self {
        Self {
            host,
            clock,
            rx,
            requests,
            metrics,
            open_requests: HashMap::new(),
            last_token: 0,
            stopped: false,
            logged_faults: HashSet::new(),
        }
    }

    /// Runs until the host has shut down gracefully, or all senders were dropped.
    pub async fn run(mut self) {
        while !self.stopped {
            let wait = match self.host.next_timer() {
                Some(at) => self.clock.duration_until(at),
                None => std::time::Duration::from_secs(1),
            };
            match timeout(wait, self.rx.recv()).await {
                Err(_) => self.handle(Event::Tick),
                Ok(None) => return,
                Ok(Some(message)) => self.on_message(message),
            }
        }
        self.decline_queued_peer_requests();
    }

    /// Declines the peers' requests left in the channel, so that the peers know that they
    /// had no effect. Other requests fail when the channel closes.
    fn decline_queued_peer_requests(&mut self) {
        while let Ok(message) = self.rx.try_recv() {
            if let Message::Peer(_, tx) = message {
                let _ = tx.send(PeerReply::Declined);
            }
        }
    }

    fn on_message(&mut self, message: Message) {
        match message {
            Message::Submit {
                submission,
                memory,
                tx,
            } => {
                let token = self.register_request(ReplyChannel::Caller {
                    tx,
                    _memory: memory,
                });
                let submission = *submission;
                self.handle(Event::Submit { token, submission });
            }
            Message::Peer(request, tx) => {
                let token = self.register_request(ReplyChannel::Peer(tx));
                let request = *request;
                self.handle(Event::Peer { token, request });
            }
            Message::Change(change, tx) => {
                let token = self.register_request(ReplyChannel::Operator(tx));
                self.handle(Event::Change { token, change });
            }
            Message::Event(event) => self.handle(*event),
            Message::FaultyEntries(entries) => self.report_faulty_entries(&entries),
            Message::Inspect(inspect) => {
                self.metrics.record_gauges(&self.host);
                inspect(&self.host, &self.metrics);
            }
        }
    }

    /// Counts entries that can't be used, and logs those that weren't logged for the same reason.
    fn report_faulty_entries(&mut self, entries: &[FaultyEntry]) {
        self.metrics.count_faulty_entries(entries.len());
        for FaultyEntry { name, fault } in entries {
            let line = (name.clone(), fault.to_string());
            let is_full = self.logged_faults.len() >= MAX_LOGGED_FAULTS;
            if !is_full && self.logged_faults.insert(line) {
                warn!(%name, %fault, "an entry in the list of targets can't be used");
            }
        }
    }

    fn register_request(&mut self, reply_channel: ReplyChannel) -> RequestToken {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.open_requests.insert(token, reply_channel);
        token
    }

    fn handle(&mut self, event: Event) {
        let now = self.clock.now();
        for action in self.host.handle(now, event) {
            self.perform(action);
        }
    }

    // A send fails only if the receiver was dropped and needs no answer, so the result is
    // ignored.
    fn perform(&mut self, action: Action) {
        match action {
            Action::Answer { token, answer } => {
                if let Some(ReplyChannel::Caller { tx, .. }) = self.open_requests.remove(&token) {
                    let _ = tx.send(answer);
                }
            }
            Action::Reply { token, reply } => {
                if let Some(ReplyChannel::Peer(tx)) = self.open_requests.remove(&token) {
                    let _ = tx.send(reply);
                }
            }
            Action::ChangeAnswer { token, answer } => {
                info!(?answer, "operator's change answered");
                if let Some(ReplyChannel::Operator(tx)) = self.open_requests.remove(&token) {
                    let _ = tx.send(answer);
                }
            }
            Action::Call {
                call,
                address,
                request,
                wait_ms,
            } => self.requests.call_peer(call, &address, request, wait_ms),
            Action::Start {
                call,
                target,
                address,
                start,
                wait_ms,
            } => {
                debug!(task = %start.task, %target, epoch = start.epoch.0, "sending task start");
                self.metrics.count_start();
                self.requests.start_task(call, &address, &start, wait_ms);
            }
            Action::Query {
                call,
                address,
                query,
                wait_ms,
            } => self.requests.query_task(call, &address, &query, wait_ms),
            Action::Table { call, op } => self.requests.call_table(call, &op),
            Action::ReadList { after } => self.requests.read_list(after),
            Action::Telemetry(event) => {
                log_telemetry(&event);
                self.metrics.record_telemetry(&event);
            }
            Action::Stopped => self.stopped = true,
        }
    }
}

fn log_telemetry(event: &TelemetryEvent) {
    match event {
        TelemetryEvent::Finished {
            account,
            urgency,
            complete,
            response_us,
            ideal_us,
        } => {
            let class = urgency.as_str();
            debug!(%account, class, complete, response_us, ideal_us, "job ended");
        }
        TelemetryEvent::Refused { account } => info!(%account, "request refused as not run"),
        TelemetryEvent::Wasted(waste) => debug!(kind = waste.as_str(), "message wasted"),
        TelemetryEvent::ShardAcquired { shard, epoch } => info!(shard, epoch, "shard acquired"),
        TelemetryEvent::ShardReleased { shard } => info!(shard, "shard released"),
        TelemetryEvent::FaultyDocument { key } => warn!(%key, "a document can't be decoded"),
        TelemetryEvent::ConfigInForce { version } => info!(version, "configuration took effect"),
    }
}
