//! Two hosts and one target, call by call: orders of events in which both believe to hold it.

use gannetridge_dispatcher_core::configuration::{Configuration, Queue};
use gannetridge_dispatcher_core::event::{ProcessStartTime, Submit, TargetEntry};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::spec::{JobSpec, Resources, StepSpec};
use gannetridge_dispatcher_core::{
    Action, Bounds, CallId, Decision, Dispatcher, Event, Millis, RequestId, Safeguards, Scheduling,
    SendFailure, Settings, TargetCall, TargetReply,
};
use gannetridge_dispatcher_sim::target::{Attempt, RenewalOutcome, Target};

const BOUNDS: Bounds = Bounds {
    retransmit_ms: 1_300,
    max_target_lease_ms: 1_000,
    stop_grace_ms: 50,
    grace_period_ms: 6_000,
    drain_ms: 2_000,
};
const EPOCH_MS: u64 = 1_760_000_000_000;
const STEP_MS: Millis = 5;
/// The target's cores, and those of a task, in thousandths: two tasks fit.
const TARGET_CPU: u32 = 16_000;
const TASK_CPU: u32 = 7_000;
/// How long a task runs, in ms.
const WORK_MS: Millis = 900;

const FIRST: usize = 0;
const SECOND: usize = 1;

/// A call of a host to the target that has no reply yet.
struct Pending {
    host: usize,
    call: CallId,
    token: u64,
    order: TargetCall,
    /// The life of the target to which its connection leads.
    born: ProcessStartTime,
    /// When the host gives its reply up.
    given_up: Millis,
    /// Until when the target waits for an end, if it was carried out.
    waits_until: Option<Millis>,
}

/// Two hosts that don't know each other, and one target that doesn't guard its capacity.
struct TwoHolders {
    hosts: [Dispatcher; 2],
    /// Whether each host's calls come to the target.
    reaches: [bool; 2],
    /// Whether the target's replies come to each host.
    hears: [bool; 2],
    /// How long tasks run that start now, in ms.
    work_ms: f64,
    target: Target,
    now: Millis,
    pending: Vec<Pending>,
    /// Attempts that hosts took for over.
    over: Vec<AttemptId>,
    jobs: u64,
    most_cpu: u32,
}

fn entry() -> TargetEntry {
    TargetEntry {
        id: "target".into(),
        address: "127.0.0.1:1".into(),
        hall: "north".into(),
        pool: "pool".into(),
        capacity: Resources {
            cpu: TARGET_CPU,
            memory_mb: 32_768,
            gpus: 0,
        },
        labels: Vec::new(),
        leaving: false,
    }
}

fn task_resources() -> Resources {
    Resources {
        cpu: TASK_CPU,
        memory_mb: 64,
        gpus: 0,
    }
}

fn host(name: &str, safeguards: Safeguards) -> Dispatcher {
    let settings = Settings {
        name: name.into(),
        address: "127.0.0.1:2".parse().expect("an address"),
        hall: "north".into(),
        incarnation: 1,
        processor_weight: 1_000,
        seeds: Vec::new(),
        bounds: BOUNDS,
        epoch_ms: EPOCH_MS,
        far_slowdown: 1.5,
        scheduling: Scheduling::default(),
        safeguards,
    };
    let mut host = Dispatcher::new(settings).expect("the bounds leave room");
    let queue = Queue {
        name: "turns".into(),
        host: "game.example".into(),
        prefix: "/turns/".into(),
        pool: "pool".into(),
        urgency: 0,
        max_attempts: 2,
        extension: 1.6,
        slack_ms: 60,
    };
    host.handle(
        0,
        Event::ConfigurationRead(Configuration {
            version: 1,
            queues: vec![queue],
        }),
    );
    host
}

impl TwoHolders {
    fn new(safeguards: Safeguards) -> Self {
        let hosts = ["first", "second"].map(|name| host(name, safeguards));
        Self {
            hosts,
            reaches: [true, true],
            hears: [true, true],
            work_ms: WORK_MS as f64,
            target: Target::new(entry(), false, 1.0, BOUNDS.max_target_lease_ms),
            now: 0,
            pending: Vec::new(),
            over: Vec::new(),
            jobs: 0,
            most_cpu: 0,
        }
    }

    fn event(&mut self, host: usize, event: Event) {
        for action in self.hosts[host].handle(self.now, event) {
            match action {
                Action::Target {
                    call,
                    token,
                    order,
                    wait_ms,
                    ..
                } => self.pending.push(Pending {
                    host,
                    call,
                    token,
                    order,
                    born: self.target.born,
                    given_up: self.now + wait_ms,
                    waits_until: None,
                }),
                Action::Record(Decision::AttemptEnded { id, .. }) => self.over.push(id),
                _ => {}
            }
        }
    }

    fn learns_of_target(&mut self, host: usize) {
        self.event(host, Event::TargetsRead(vec![entry()].into()));
    }

    /// Submits a job of so many tasks.
    fn submit(&mut self, host: usize, count: u32) {
        self.jobs += 1;
        let submit = Submit {
            host: "game.example".into(),
            path: format!("/turns/{:016x}", self.jobs).into(),
            deadline_ms: Some(5_000),
            spec: JobSpec {
                specification: "work".into(),
                durable: false,
                steps: vec![StepSpec {
                    count,
                    resources: task_resources(),
                    estimate_ms: WORK_MS,
                    ..StepSpec::default()
                }],
            },
        };
        let event = Event::Submit {
            request_id: RequestId(self.jobs),
            submit: Box::new(submit),
        };
        self.event(host, event);
    }

    /// Carries out what hosts have sent, as far as it comes to the target, until no more does.
    fn deliver(&mut self) {
        while let Some(at) = self.pending.iter().position(|pending| self.is_due(pending)) {
            let mut pending = self.pending.remove(at);
            match self.carry_out(&pending) {
                Some(reply) if self.hears[pending.host] => {
                    let (call, reply) = (pending.call, Ok(reply));
                    self.event(pending.host, Event::TargetReply { call, reply });
                }
                Some(_) => {}
                None => {
                    pending.waits_until = Some(pending.given_up - REPLY_WAIT_MS);
                    self.pending.push(pending);
                }
            }
        }
    }

    /// Returns whether the target carries a call out now, or answers one for which it waited.
    fn is_due(&self, pending: &Pending) -> bool {
        let comes = self.reaches[pending.host] && pending.born == self.target.born;
        let waited = |until| until <= self.now || !self.target.unacknowledged_ends.is_empty();
        comes && pending.waits_until.is_none_or(waited)
    }

    /// Returns the target's reply; none while it waits for an end.
    fn carry_out(&mut self, pending: &Pending) -> Option<TargetReply> {
        let (now, token) = (self.now, pending.token);
        match &pending.order {
            TargetCall::Start(order) => {
                let attempt = Attempt {
                    resources: task_resources(),
                    work_ms: self.work_ms,
                    remaining_ms: self.work_ms,
                    will_fail: false,
                };
                let (reply, _) = self.target.start(now, token, order, attempt);
                self.most_cpu = self.most_cpu.max(self.target.used_cpu());
                Some(reply)
            }
            TargetCall::Stop(id) => Some(self.target.stop(now, token, id).0),
            TargetCall::Renew { .. } if pending.waits_until.is_some() => {
                Some(self.target.listing(now))
            }
            TargetCall::Renew {
                until,
                acknowledged,
                wait_ms,
            } => {
                if self.target.renew(now, token, *until, *acknowledged)
                    == RenewalOutcome::StaleToken
                {
                    let clock = self.target.clock(now) as Millis;
                    return Some(TargetReply::StaleToken { clock });
                }
                let answers = *wait_ms == 0 || !self.target.unacknowledged_ends.is_empty();
                answers.then(|| self.target.listing(now))
            }
        }
    }

    /// Tells hosts of calls whose replies they have waited for long enough.
    fn give_up_calls(&mut self) {
        let now = self.now;
        let given_up = |pending: &Pending| pending.given_up <= now;
        while let Some(at) = self.pending.iter().position(given_up) {
            let pending = self.pending.remove(at);
            let (call, reply) = (pending.call, Err(SendFailure::Unknown));
            self.event(pending.host, Event::TargetReply { call, reply });
        }
    }

    /// Lets time pass.
    fn pass(&mut self, ms: Millis) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.target.advance(self.now);
            self.deliver();
            self.give_up_calls();
            for host in [FIRST, SECOND] {
                self.event(host, Event::Tick);
            }
            self.deliver();
        }
    }

    /// Lets time pass until a host has just asked the target anew; returns when.
    fn pass_until_asked(&mut self, host: usize) -> Millis {
        self.pass(STEP_MS);
        while !self.has_just_asked(host) {
            self.pass(STEP_MS);
            assert!(self.now < 10_000, "it asks again");
        }
        self.now
    }

    /// Lets time pass until a task runs; returns its attempt.
    fn pass_until_runs(&mut self, task: &str) -> AttemptId {
        loop {
            let mut running = self.target.attempts.keys();
            if let Some(id) = running.find(|id| &*id.task == task) {
                return id.clone();
            }
            self.pass(STEP_MS);
            assert!(self.now < 10_000, "it is started");
        }
    }

    fn has_just_asked(&self, host: usize) -> bool {
        let sent = |pending: &Pending| pending.given_up - REPLY_WAIT_MS;
        let mut pending = self.pending.iter();
        pending.any(|pending| pending.host == host && sent(pending) == self.now)
    }

    /// The target crashes, and starts again at once under its id.
    fn restart(&mut self) {
        let born = ProcessStartTime(EPOCH_MS + self.now);
        self.target.restart(self.now, born);
    }
}

/// How long a reply is waited for beyond a renewal's own wait, in ms.
const REPLY_WAIT_MS: Millis = 100;

/// Both hosts believe to hold an idle target: the second has taken it, which the first doesn't
/// know yet. It starts again, and both have work for it. Returns the most that it ran.
fn idle_target_of_two(safeguards: Safeguards) -> u32 {
    let mut two = TwoHolders::new(safeguards);
    two.learns_of_target(FIRST);
    two.pass(1_500);
    two.learns_of_target(SECOND);
    two.pass(300);
    two.restart();
    two.pass(300);
    // Both send before either hears.
    two.submit(FIRST, 2);
    two.submit(SECOND, 2);
    two.deliver();
    two.pass(2_000);
    two.most_cpu
}

// Guards against more starts on a target than it has room for: it was idle, started again, and
// knew no fencing token of the two hosts that believed to hold it.
#[test]
fn an_idle_target_that_started_again_is_not_started_on_by_two_hosts() {
    let most_cpu = idle_target_of_two(Safeguards::default());
    assert_eq!(most_cpu, 2 * TASK_CPU, "two tasks fit, and two are run");
}

#[test]
fn starts_on_an_idle_target_that_is_not_asked_first_are_found() {
    let most_cpu = idle_target_of_two(Safeguards {
        idle_targets_are_asked: false,
        ..Safeguards::default()
    });
    assert!(most_cpu > TARGET_CPU, "{most_cpu}");
}

/// The second host tries to acquire a target from which it is cut off. The first holds it, and
/// runs a task there. The target starts again, and before the first hears of the new life the
/// second comes through. Returns the most that it ran.
fn acquired_by_an_old_call(safeguards: Safeguards) -> u32 {
    let mut two = TwoHolders::new(safeguards);
    two.reaches[SECOND] = false;
    two.learns_of_target(SECOND);
    two.pass(1_500);
    two.learns_of_target(FIRST);
    two.pass(200);
    let asked = two.pass_until_asked(SECOND);
    let asks_again = 2 * two.pass_until_asked(SECOND) - asked;
    two.submit(FIRST, 1);
    two.pass(asks_again - two.now - 2 * STEP_MS);
    two.restart();
    two.reaches[SECOND] = true;
    two.submit(SECOND, 2);
    two.pass(3 * STEP_MS);
    assert_eq!(two.target.attempts.len(), 2, "the second host's tasks run");
    two.submit(FIRST, 1);
    two.pass(1_000);
    two.most_cpu
}

// Guards against more starts on a target than it has room for: the token by which a host acquired
// its new life was older than that of the holder, whose starts it took as well.
#[test]
fn a_host_that_acquires_a_target_anew_has_a_later_token_than_its_holder() {
    let most_cpu = acquired_by_an_old_call(Safeguards::default());
    assert_eq!(most_cpu, 2 * TASK_CPU, "two tasks fit, and two are run");
}

#[test]
fn a_target_that_is_acquired_with_an_old_token_is_found() {
    let most_cpu = acquired_by_an_old_call(Safeguards {
        acquiring_tokens_are_fresh: false,
        ..Safeguards::default()
    });
    assert!(most_cpu > TARGET_CPU, "{most_cpu}");
}

/// A target starts again under its holder, whose next start comes to the new life with a time of
/// the old clock. Another host acquires it, starts a task there, and is cut off from it. Returns
/// whether the task still runs when that host takes it for over.
fn runs_when_taken_for_over(safeguards: Safeguards) -> bool {
    let mut two = TwoHolders::new(safeguards);
    two.learns_of_target(FIRST);
    two.pass(1_500);
    two.submit(FIRST, 1);
    two.pass(100);
    two.restart();
    two.hears[FIRST] = false;
    two.work_ms = 60.0;
    two.submit(FIRST, 1);
    two.deliver();
    assert_eq!(
        two.target.attempts.len(),
        1,
        "the start comes to the new life"
    );
    two.reaches[FIRST] = false;
    two.work_ms = WORK_MS as f64;
    two.learns_of_target(SECOND);
    two.submit(SECOND, 1);
    let task = two.pass_until_runs("0000000000000003.0.0.0");
    two.reaches[SECOND] = false;
    while !two.over.contains(&task) {
        two.pass(STEP_MS);
        assert!(two.now < 10_000, "it is taken for over");
    }
    two.target.attempts.contains_key(&task)
}

// Guards against a second run of a task that was lost with its target: the lease that another host
// had been granted there, by a time of an old clock, was longer than its holder reckoned.
#[test]
fn what_another_host_was_granted_is_reckoned_with() {
    assert!(!runs_when_taken_for_over(Safeguards::default()));
}

#[test]
fn a_lease_of_another_host_that_is_not_reckoned_with_is_found() {
    assert!(runs_when_taken_for_over(Safeguards {
        earlier_leases_are_respected: false,
        ..Safeguards::default()
    }));
}
