//! A test rig around one [`Dispatcher`]: the test plays its targets, peers and callers.
#![allow(dead_code)]

use gannetridge_dispatcher_core::configuration::{Configuration, Queue, RequestLimits};
use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, Submit, TargetEntry,
};
use gannetridge_dispatcher_core::message::{
    AttemptId, Envelope, FreeResources, HeartbeatReply, HostInfo, Reply, ReplyBody, Request,
    TaskOrder,
};
use gannetridge_dispatcher_core::spec::{JobSpec, Resources, StepSpec};
use gannetridge_dispatcher_core::{
    Action, Answer, Bounds, CallId, Decision, Dispatcher, Event, Millis, RequestId, Settings,
    TargetCall, TargetReply,
};

pub const BOUNDS: Bounds = Bounds {
    retransmit_ms: 1_300,
    max_target_lease_ms: 1_000,
    stop_grace_ms: 50,
    grace_period_ms: 6_000,
    drain_ms: 2_000,
};

/// A call that the host made to a target.
#[derive(Clone, Debug)]
pub struct Called {
    pub call: CallId,
    pub target: String,
    pub order: TargetCall,
    pub wait_ms: Millis,
}

/// One host whose outgoing calls are collected for the test to answer.
pub struct Rig {
    pub host: Dispatcher,
    pub now: Millis,
    pub answers: Vec<(RequestId, Answer)>,
    pub calls: Vec<Called>,
    pub requests: Vec<(CallId, Envelope)>,
    /// The addresses to which requests to peers were sent.
    pub addresses: std::collections::HashMap<CallId, std::net::SocketAddr>,
    pub replies: Vec<(RequestId, Reply)>,
    /// The decisions that the host logged.
    pub decisions: Vec<Decision>,
    pub stopped: bool,
}

pub fn resources(cpu: u32) -> Resources {
    Resources {
        cpu,
        memory_mb: 64,
        gpus: 0,
    }
}

pub fn target(id: &str, cores: u32) -> TargetEntry {
    TargetEntry {
        id: id.into(),
        address: "127.0.0.1:1".into(),
        hall: "north".into(),
        pool: "pool".into(),
        capacity: Resources {
            cpu: cores * 1_000,
            memory_mb: 32_768,
            gpus: 0,
        },
        labels: vec!["a".into(), "r1".into()],
        leaving: false,
        process_start: None,
    }
}

pub fn queues(version: u64) -> Configuration {
    Configuration {
        version,
        queues: vec![Queue {
            name: "turns".into(),
            host: "game.example".into(),
            prefix: "/turns/".into(),
            pool: "pool".into(),
            urgency: 0,
            max_attempts: 2,
            extension: 1.6,
            slack_ms: 60,
        }],
        unusable: Vec::new(),
        limits: RequestLimits::default(),
    }
}

pub fn step(count: u32, cpu: u32, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        count,
        resources: resources(cpu),
        estimate_ms,
        ..StepSpec::default()
    }
}

/// Returns an order that a peer may send, for a task of 7 cores.
pub fn order(task: &str, estimate_ms: Millis) -> TaskOrder {
    TaskOrder {
        id: AttemptId {
            task: task.into(),
            attempt: 1,
        },
        specification: "work".into(),
        pool: "pool".into(),
        resources: resources(7_000),
        estimate_ms,
        requirement: None,
        rack: None,
        spread: None,
        avoid: Vec::new(),
    }
}

pub fn peer_info() -> HostInfo {
    HostInfo {
        name: "peer".into(),
        address: "127.0.0.1:3".parse().unwrap(),
        hall: "north".into(),
        incarnation: 7,
        processor_weight: 1_000,
    }
}

/// Returns the settings of the host under test.
pub fn settings() -> Settings {
    Settings {
        name: "host".into(),
        address: "127.0.0.1:2".parse().unwrap(),
        hall: "north".into(),
        incarnation: 5,
        processor_weight: 1_000,
        seeds: Vec::new(),
        bounds: BOUNDS,
        epoch_ms: 1_760_000_000_000,
        far_slowdown: 1.5,
        scheduling: gannetridge_dispatcher_core::Scheduling::default(),
        safeguards: gannetridge_dispatcher_core::Safeguards::default(),
    }
}

impl Rig {
    /// Creates a host with a configuration and no targets.
    pub fn new() -> Self {
        Self::with(settings())
    }

    /// Creates a host with these settings, a configuration and no targets.
    pub fn with(settings: Settings) -> Self {
        let mut rig = Self {
            host: Dispatcher::new(settings).unwrap(),
            now: 1_000,
            answers: Vec::new(),
            calls: Vec::new(),
            requests: Vec::new(),
            addresses: std::collections::HashMap::new(),
            replies: Vec::new(),
            decisions: Vec::new(),
            stopped: false,
        };
        rig.event(Event::ConfigurationRead(queues(1)));
        rig
    }

    /// Creates a host that holds the leases of these targets.
    pub fn holding_targets(targets: &[TargetEntry]) -> Self {
        Self::holding_targets_with(settings(), targets)
    }

    /// Creates a host with these settings that holds the leases of these targets.
    pub fn holding_targets_with(settings: Settings, targets: &[TargetEntry]) -> Self {
        let mut rig = Self::with(settings);
        rig.event(Event::TargetsRead(targets.to_vec().into()));
        rig.advance(1_000);
        for called in std::mem::take(&mut rig.calls) {
            assert!(matches!(called.order, TargetCall::Renew { .. }));
            rig.listing(called.call, &[], &[]);
        }
        rig
    }

    pub fn event(&mut self, event: Event) {
        for action in self.host.handle(self.now, event) {
            match action {
                Action::Answer { request_id, answer } => self.answers.push((request_id, answer)),
                Action::Target {
                    call,
                    id,
                    order,
                    wait_ms,
                    ..
                } => self.calls.push(Called {
                    call,
                    target: id.to_string(),
                    order,
                    wait_ms,
                }),
                Action::Call {
                    call,
                    address,
                    envelope,
                    ..
                } => {
                    self.addresses.insert(call, address);
                    self.requests.push((call, *envelope));
                }
                Action::Reply { request_id, reply } => self.replies.push((request_id, *reply)),
                Action::Stopped => self.stopped = true,
                Action::Record(decision) => self.decisions.push(decision),
            }
        }
    }

    /// Advances the time in steps of at most 10 ms, with a tick after each.
    pub fn advance(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 10).min(end);
            self.event(Event::Tick);
        }
    }

    pub fn submit(&mut self, request_id: u64, id: &str, steps: Vec<StepSpec>, deadline_ms: Millis) {
        self.submit_to("/turns/", request_id, id, steps, deadline_ms);
    }

    /// Submits a job to the queue with this path prefix.
    pub fn submit_to(
        &mut self,
        prefix: &str,
        request_id: u64,
        id: &str,
        steps: Vec<StepSpec>,
        deadline_ms: Millis,
    ) {
        let submit = Submit {
            host: "game.example".into(),
            path: format!("{prefix}{id}").into(),
            deadline_ms: Some(deadline_ms),
            spec: JobSpec {
                specification: "work".into(),
                durable: false,
                steps,
            },
        };
        self.event(Event::Submit {
            request_id: RequestId(request_id),
            submit: Box::new(submit),
        });
    }

    pub fn target_reply(&mut self, call: CallId, reply: TargetReply) {
        self.event(Event::TargetReply {
            call,
            reply: Ok(reply),
        });
    }

    pub fn listing(&mut self, call: CallId, running: &[AttemptId], ended: &[ListedEnd]) {
        let reply = TargetReply::Listing {
            clock: self.now + 500_000,
            running: running.iter().map(without_progress).collect(),
            ended: ended.to_vec(),
            process_start: None,
            capacity: None,
        };
        self.target_reply(call, reply);
    }

    /// Removes and returns the starts sent to targets, each with its call and target.
    pub fn starts(&mut self) -> Vec<(CallId, String, AttemptId)> {
        let mut starts = Vec::new();
        self.calls.retain(|called| match &called.order {
            TargetCall::Start(order) => {
                starts.push((called.call, called.target.clone(), order.id.clone()));
                false
            }
            _ => true,
        });
        starts
    }

    /// Removes and returns the stops sent to targets.
    pub fn stops(&mut self) -> Vec<AttemptId> {
        let mut stops = Vec::new();
        self.calls.retain(|called| match &called.order {
            TargetCall::Stop(key) => {
                stops.push(key.clone());
                false
            }
            _ => true,
        });
        stops
    }

    /// Removes and returns the lease renewals sent to targets, each with the requested end.
    pub fn renewals(&mut self) -> Vec<(CallId, Option<Millis>)> {
        let mut renewals = Vec::new();
        self.calls.retain(|called| match &called.order {
            TargetCall::Renew { until, .. } => {
                renewals.push((called.call, *until));
                false
            }
            _ => true,
        });
        renewals
    }

    /// Answers all renewals as targets on which nothing runs.
    pub fn idle_targets_answer(&mut self) {
        for (call, _) in self.renewals() {
            self.listing(call, &[], &[]);
        }
    }

    /// Advances the time until any lease that another host may have had on the targets has
    /// expired; the targets report that nothing runs.
    pub fn pass_earlier_leases(&mut self) {
        self.advance(500);
        self.idle_targets_answer();
    }

    /// Removes and returns the requests to peers for which `wanted` holds.
    pub fn requests(&mut self, wanted: impl Fn(&Request) -> bool) -> Vec<(CallId, Envelope)> {
        let (found, rest) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|(_, envelope)| wanted(&envelope.request));
        self.requests = rest;
        found
    }

    /// Returns a peer's reply with the free resources that it advertises. The peer's clock is
    /// 90 s ahead of the host's.
    pub fn reply(&self, body: ReplyBody, free_cpu: u32) -> Box<Reply> {
        let free = FreeResources {
            pool: "pool".into(),
            resources: Resources {
                cpu: free_cpu,
                memory_mb: 32_768,
                gpus: 0,
            },
        };
        Box::new(Reply {
            incarnation: peer_info().incarnation,
            clock: self.now + 90_000,
            free: if free_cpu > 0 { vec![free] } else { Vec::new() },
            body,
        })
    }

    /// Answers all heartbeats as the peer.
    pub fn answer_heartbeats(&mut self, free_cpu: u32) {
        let heartbeats = self.requests(|request| matches!(request, Request::Heartbeat(_)));
        for (call, _) in heartbeats {
            let body = ReplyBody::Heartbeat(HeartbeatReply {
                leaving: false,
                version: 1,
                leased: vec!["far".into()],
                hosts: Vec::new(),
            });
            let reply = Ok(self.reply(body, free_cpu));
            self.event(Event::PeerReply { call, reply });
        }
    }

    /// Replies to a request as a peer without free resources.
    pub fn reply_to(&mut self, call: CallId, request: &Request) {
        let body = match request {
            Request::Heartbeat(_) => ReplyBody::Heartbeat(HeartbeatReply {
                leaving: false,
                version: 1,
                leased: vec!["far".into()],
                hosts: Vec::new(),
            }),
            _ => ReplyBody::Acknowledged,
        };
        let reply = Ok(self.reply(body, 0));
        self.event(Event::PeerReply { call, reply });
    }

    /// Delivers a request from the peer.
    pub fn send_peer_request(&mut self, request_id: u64, request: Request) {
        self.send_peer_request_as(request_id, peer_info().incarnation, 1, request);
    }

    /// Delivers a request from one incarnation and session of the peer.
    pub fn send_peer_request_as(
        &mut self,
        request_id: u64,
        incarnation: u64,
        session: u64,
        request: Request,
    ) {
        let envelope = Envelope {
            from: HostInfo {
                incarnation,
                ..peer_info()
            },
            session,
            echoed_clock: Some(gannetridge_dispatcher_core::message::EchoedClock {
                incarnation: 5,
                clock: self.now,
            }),
            clock: 0,
            request,
        };
        self.event(Event::Peer {
            request_id: RequestId(request_id),
            envelope: Box::new(envelope),
        });
    }

    pub fn answer_to(&self, request_id: u64) -> Option<&Answer> {
        let found = self
            .answers
            .iter()
            .find(|(t, _)| *t == RequestId(request_id));
        found.map(|(_, answer)| answer)
    }
}

fn without_progress(id: &AttemptId) -> ListedAttempt {
    ListedAttempt {
        id: id.clone(),
        percent: None,
    }
}

pub fn ended(number: u64, key: &AttemptId, outcome: ListedOutcome) -> ListedEnd {
    ListedEnd {
        number,
        id: key.clone(),
        outcome,
    }
}

/// Declares a test function.
macro_rules! case {
    ($name:ident, $body:block) => {
        #[test]
        fn $name() $body
    };
}
pub(crate) use case;
