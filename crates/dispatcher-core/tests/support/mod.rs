//! One host with scripted surroundings.
#![allow(dead_code)]

use gannetridge_dispatcher_core::event::{ListedEnd, ListedHow, Submit, TargetEntry};
use gannetridge_dispatcher_core::message::{
    BeatReply, Envelope, FreeRoom, HostInfo, Reply, ReplyBody, Request, RunKey,
};
use gannetridge_dispatcher_core::queues::{Queue, Queues};
use gannetridge_dispatcher_core::spec::{JobSpec, Room, StepSpec};
use gannetridge_dispatcher_core::{
    Action, Answer, Bounds, CallId, Dispatcher, Event, Millis, Settings, TargetCall, TargetReply,
    Token,
};

pub const BOUNDS: Bounds = Bounds {
    retransmit_ms: 1_300,
    max_hold_ms: 1_000,
    stop_grace_ms: 50,
    grace_period_ms: 6_000,
    drain_ms: 2_000,
};

/// A call that a host made.
#[derive(Clone, Debug)]
pub struct Called {
    pub call: CallId,
    pub target: String,
    pub order: TargetCall,
}

/// One host whose calls to targets and peers are kept for the test to answer.
pub struct Rig {
    pub host: Dispatcher,
    pub now: Millis,
    pub answers: Vec<(Token, Answer)>,
    pub calls: Vec<Called>,
    pub requests: Vec<(CallId, Envelope)>,
    /// Where requests to peers were sent.
    pub addresses: std::collections::HashMap<CallId, std::net::SocketAddr>,
    pub replies: Vec<(Token, Reply)>,
    pub stopped: bool,
}

pub fn room(cpu: u32) -> Room {
    Room {
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
        capacity: Room {
            cpu: cores * 1_000,
            memory_mb: 32_768,
            gpus: 0,
        },
        labels: vec!["a".into(), "r1".into()],
        leaving: false,
    }
}

pub fn queues(version: u64) -> Queues {
    Queues {
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
    }
}

pub fn step(count: u32, cpu: u32, estimate_ms: Millis) -> StepSpec {
    StepSpec {
        count,
        room: room(cpu),
        estimate_ms,
        ..StepSpec::default()
    }
}

pub fn peer_info() -> HostInfo {
    HostInfo {
        name: "peer".into(),
        address: "127.0.0.1:3".parse().unwrap(),
        hall: "north".into(),
        incarnation: 7,
        power: 1_000,
    }
}

impl Rig {
    /// A host with a configuration and no targets.
    pub fn new() -> Self {
        let settings = Settings {
            name: "host".into(),
            address: "127.0.0.1:2".parse().unwrap(),
            hall: "north".into(),
            incarnation: 5,
            power: 1_000,
            seeds: Vec::new(),
            bounds: BOUNDS,
            epoch_ms: 1_760_000_000_000,
            safeguards: gannetridge_dispatcher_core::Safeguards::default(),
        };
        let mut rig = Self {
            host: Dispatcher::new(settings).unwrap(),
            now: 1_000,
            answers: Vec::new(),
            calls: Vec::new(),
            requests: Vec::new(),
            addresses: std::collections::HashMap::new(),
            replies: Vec::new(),
            stopped: false,
        };
        rig.event(Event::QueuesRead(queues(1)));
        rig
    }

    /// A host that keeps the given targets.
    pub fn keeping(targets: &[TargetEntry]) -> Self {
        let mut rig = Self::new();
        rig.event(Event::TargetsRead(targets.to_vec()));
        rig.pass(1_000);
        for called in std::mem::take(&mut rig.calls) {
            assert!(matches!(called.order, TargetCall::Hold { .. }));
            rig.listing(called.call, &[], &[]);
        }
        rig
    }

    pub fn event(&mut self, event: Event) {
        for action in self.host.handle(self.now, event) {
            match action {
                Action::Answer { token, answer } => self.answers.push((token, answer)),
                Action::Target {
                    call, id, order, ..
                } => self.calls.push(Called {
                    call,
                    target: id.to_string(),
                    order,
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
                Action::Reply { token, reply } => self.replies.push((token, *reply)),
                Action::Stopped => self.stopped = true,
                Action::Note(_) => {}
            }
        }
    }

    /// Lets time pass in steps of 10 ms.
    pub fn pass(&mut self, ms: Millis) {
        let end = self.now + ms;
        while self.now < end {
            self.now = (self.now + 10).min(end);
            self.event(Event::Tick);
        }
    }

    pub fn submit(&mut self, token: u64, id: &str, steps: Vec<StepSpec>, deadline_ms: Millis) {
        self.submit_to("/turns/", token, id, steps, deadline_ms);
    }

    /// Submits a job to the queue with a prefix.
    pub fn submit_to(
        &mut self,
        prefix: &str,
        token: u64,
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
                kept: false,
                steps,
            },
        };
        self.event(Event::Submit {
            token: Token(token),
            submit: Box::new(submit),
        });
    }

    pub fn target_reply(&mut self, call: CallId, reply: TargetReply) {
        self.event(Event::TargetReply {
            call,
            reply: Ok(reply),
        });
    }

    pub fn listing(&mut self, call: CallId, running: &[RunKey], ended: &[ListedEnd]) {
        let reply = TargetReply::Listing {
            clock: self.now + 500_000,
            running: running.to_vec(),
            ended: ended.to_vec(),
        };
        self.target_reply(call, reply);
    }

    /// Takes the starts that were sent, with the calls that carry them.
    pub fn starts(&mut self) -> Vec<(CallId, String, RunKey)> {
        let mut starts = Vec::new();
        self.calls.retain(|called| match &called.order {
            TargetCall::Start(order) => {
                starts.push((called.call, called.target.clone(), order.key.clone()));
                false
            }
            _ => true,
        });
        starts
    }

    /// Takes the stops that were sent.
    pub fn stops(&mut self) -> Vec<RunKey> {
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

    /// Takes the holds that were sent.
    pub fn holds(&mut self) -> Vec<(CallId, Option<Millis>)> {
        let mut holds = Vec::new();
        self.calls.retain(|called| match &called.order {
            TargetCall::Hold { until, .. } => {
                holds.push((called.call, *until));
                false
            }
            _ => true,
        });
        holds
    }

    /// Takes the requests to peers that a test looks for.
    pub fn requests(&mut self, wanted: impl Fn(&Request) -> bool) -> Vec<(CallId, Envelope)> {
        let (found, rest) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|(_, envelope)| wanted(&envelope.request));
        self.requests = rest;
        found
    }

    /// A peer's reply that offers room.
    pub fn reply(&self, body: ReplyBody, free_cpu: u32) -> Box<Reply> {
        let free = FreeRoom {
            pool: "pool".into(),
            room: Room {
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

    /// Answers all heartbeats in the peer's name.
    pub fn answer_beats(&mut self, free_cpu: u32) {
        let beats = self.requests(|request| matches!(request, Request::Beat(_)));
        for (call, _) in beats {
            let body = ReplyBody::Beat(BeatReply {
                leaving: false,
                version: 1,
                kept: vec!["far".into()],
                hosts: Vec::new(),
            });
            let reply = Ok(self.reply(body, free_cpu));
            self.event(Event::PeerReply { call, reply });
        }
    }

    /// A request in the peer's name.
    pub fn peer_asks(&mut self, token: u64, request: Request) {
        self.peer_asks_as(token, peer_info().incarnation, 1, request);
    }

    /// A request in the name of one life of the peer, in a session of it.
    pub fn peer_asks_as(&mut self, token: u64, incarnation: u64, session: u64, request: Request) {
        let envelope = Envelope {
            from: HostInfo {
                incarnation,
                ..peer_info()
            },
            session,
            echo: Some(gannetridge_dispatcher_core::message::Echo {
                incarnation: 5,
                clock: self.now,
            }),
            clock: 0,
            request,
        };
        self.event(Event::Peer {
            token: Token(token),
            envelope: Box::new(envelope),
        });
    }

    pub fn answer_to(&self, token: u64) -> Option<&Answer> {
        let found = self.answers.iter().find(|(t, _)| *t == Token(token));
        found.map(|(_, answer)| answer)
    }
}

pub fn ended(number: u64, key: &RunKey, how: ListedHow) -> ListedEnd {
    ListedEnd {
        number,
        key: key.clone(),
        how,
    }
}

/// Names a test after the case that it shows.
macro_rules! case {
    ($name:ident, $body:block) => {
        #[test]
        fn $name() $body
    };
}
pub(crate) use case;
