//! Two hosts and one target, call by call: orders of events in which both hosts act as the holder
//! of the target's lease.

use gannetridge_dispatcher_core::configuration::{Configuration, Queue, RequestLimits};
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
/// The target's capacity in thousandths of a core; two tasks fit.
const TARGET_CPU: u32 = 16_000;
/// The CPU that a task uses, in thousandths of a core.
const TASK_CPU: u32 = 7_000;
/// The estimate of a task and its usual running time.
const WORK_MS: Millis = 900;

const FIRST: usize = 0;
const SECOND: usize = 1;

/// A call of a host to the target that has no reply yet.
struct Pending {
    host: usize,
    call: CallId,
    token: u64,
    order: TargetCall,
    /// The incarnation of the target to which its connection was opened.
    process_start: ProcessStartTime,
    /// When the host stops waiting for the reply.
    timeout_at: Millis,
    /// Until when the target, which has the call, waits for an end before it replies.
    waits_until: Option<Millis>,
}

/// Two hosts that don't know each other, and one target that doesn't enforce its capacity.
struct TwoHolders {
    hosts: [Dispatcher; 2],
    /// For each host: its calls reach the target.
    reaches: [bool; 2],
    /// For each host: the target's replies reach it.
    receives: [bool; 2],
    /// The running time of tasks that start from now on.
    work_ms: f64,
    target: Target,
    now: Millis,
    pending: Vec<Pending>,
    /// Attempts that hosts have recorded as ended.
    ended: Vec<AttemptId>,
    jobs: u64,
    max_cpu: u32,
}

fn target_entry() -> TargetEntry {
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
        process_start: None,
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
    let mut host = Dispatcher::new(settings).expect("the bounds are valid");
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
            unusable: Vec::new(),
            limits: RequestLimits::default(),
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
            receives: [true, true],
            work_ms: WORK_MS as f64,
            target: Target::new(target_entry(), false, 1.0, BOUNDS.max_target_lease_ms),
            now: 0,
            pending: Vec::new(),
            ended: Vec::new(),
            jobs: 0,
            max_cpu: 0,
        }
    }

    fn handle_event(&mut self, host: usize, event: Event) {
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
                    process_start: self.target.process_start,
                    timeout_at: self.now + wait_ms,
                    waits_until: None,
                }),
                Action::Record(Decision::AttemptEnded { id, .. }) => self.ended.push(id),
                _ => {}
            }
        }
    }

    fn discover_target(&mut self, host: usize) {
        self.handle_event(host, Event::TargetsRead(vec![target_entry()].into()));
    }

    /// Submits a job of `count` tasks.
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
        self.handle_event(host, event);
    }

    /// Carries out calls that reach the target, and delivers its replies, until none is due.
    fn deliver(&mut self) {
        while let Some(at) = self.pending.iter().position(|pending| self.is_due(pending)) {
            let mut pending = self.pending.remove(at);
            match self.carry_out(&pending) {
                Some(reply) if self.receives[pending.host] => {
                    let (call, reply) = (pending.call, Ok(reply));
                    self.handle_event(pending.host, Event::TargetReply { call, reply });
                }
                Some(_) => {}
                None => {
                    pending.waits_until = Some(pending.timeout_at - REPLY_WAIT_MS);
                    self.pending.push(pending);
                }
            }
        }
    }

    /// Returns `true` if the target carries a call out now, or answers one that it held back.
    fn is_due(&self, pending: &Pending) -> bool {
        let reaches_target =
            self.reaches[pending.host] && pending.process_start == self.target.process_start;
        let has_waited = |until| until <= self.now || !self.target.unacknowledged_ends.is_empty();
        reaches_target && pending.waits_until.is_none_or(has_waited)
    }

    /// Returns the target's reply, or `None` while it waits for an end.
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
                self.max_cpu = self.max_cpu.max(self.target.used_cpu());
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
                let replies_now = *wait_ms == 0 || !self.target.unacknowledged_ends.is_empty();
                replies_now.then(|| self.target.listing(now))
            }
        }
    }

    /// Fails calls whose replies hosts have waited for until the timeout.
    fn time_out_calls(&mut self) {
        let now = self.now;
        let has_timed_out = |pending: &Pending| pending.timeout_at <= now;
        while let Some(at) = self.pending.iter().position(has_timed_out) {
            let pending = self.pending.remove(at);
            let (call, reply) = (pending.call, Err(SendFailure::Unknown));
            self.handle_event(pending.host, Event::TargetReply { call, reply });
        }
    }

    /// Advances the clock by `ms`, with all calls and timers that are due.
    fn advance(&mut self, ms: Millis) {
        for _ in 0..ms / STEP_MS {
            self.now += STEP_MS;
            self.target.advance(self.now);
            self.deliver();
            self.time_out_calls();
            for host in [FIRST, SECOND] {
                self.handle_event(host, Event::Tick);
            }
            self.deliver();
        }
    }

    /// Advances the clock until a host has just called the target; returns that time.
    fn advance_until_called(&mut self, host: usize) -> Millis {
        self.advance(STEP_MS);
        while !self.has_just_called(host) {
            self.advance(STEP_MS);
            assert!(self.now < 10_000, "the host calls again");
        }
        self.now
    }

    /// Advances the clock until a task runs; returns its attempt.
    fn advance_until_running(&mut self, task: &str) -> AttemptId {
        loop {
            let mut running = self.target.attempts.keys();
            if let Some(id) = running.find(|id| &*id.task == task) {
                return id.clone();
            }
            self.advance(STEP_MS);
            assert!(self.now < 10_000, "the task starts");
        }
    }

    fn has_just_called(&self, host: usize) -> bool {
        let sent = |pending: &Pending| pending.timeout_at - REPLY_WAIT_MS;
        let mut pending = self.pending.iter();
        pending.any(|pending| pending.host == host && sent(pending) == self.now)
    }

    /// Crashes the target, which restarts immediately under its id.
    fn restart_target(&mut self) {
        let process_start = ProcessStartTime(EPOCH_MS + self.now);
        self.target.restart(self.now, process_start);
    }
}

/// How much longer a host waits for a reply than a renewal waits at the target.
const REPLY_WAIT_MS: Millis = 100;

/// Both hosts act as the holder of an idle target: the second has acquired it, which the first
/// doesn't know yet. It restarts, and both hosts have tasks for it. Returns the most CPU that its
/// attempts used.
fn max_cpu_of_idle_restarted_target(safeguards: Safeguards) -> u32 {
    let mut two = TwoHolders::new(safeguards);
    two.discover_target(FIRST);
    two.advance(1_500);
    two.discover_target(SECOND);
    two.advance(300);
    two.restart_target();
    two.advance(300);
    // Both hosts send their starts before either receives a reply.
    two.submit(FIRST, 2);
    two.submit(SECOND, 2);
    two.deliver();
    two.advance(2_000);
    two.max_cpu
}

// Guards against exceeded capacity: a restarted target knows no fencing token of the two hosts that
// act as its holder.
#[test]
fn two_hosts_do_not_exceed_the_capacity_of_a_restarted_idle_target() {
    let max_cpu = max_cpu_of_idle_restarted_target(Safeguards::default());
    assert_eq!(max_cpu, 2 * TASK_CPU, "two tasks fit, and two are run");
}

#[test]
fn starts_on_an_idle_target_without_a_prior_call_are_detected() {
    let max_cpu = max_cpu_of_idle_restarted_target(Safeguards {
        idle_targets_are_asked: false,
        ..Safeguards::default()
    });
    assert!(max_cpu > TARGET_CPU, "{max_cpu}");
}

/// The second host tries to acquire a target from which it is cut off. The first holds its lease
/// and runs a task there. The target restarts, and a call of the second host reaches it before the
/// first host learns of the new incarnation. Returns the most CPU that its attempts used.
fn max_cpu_after_late_acquisition(safeguards: Safeguards) -> u32 {
    let mut two = TwoHolders::new(safeguards);
    two.reaches[SECOND] = false;
    two.discover_target(SECOND);
    two.advance(1_500);
    two.discover_target(FIRST);
    two.advance(200);
    let called_at = two.advance_until_called(SECOND);
    let next_call_at = 2 * two.advance_until_called(SECOND) - called_at;
    two.submit(FIRST, 1);
    two.advance(next_call_at - two.now - 2 * STEP_MS);
    two.restart_target();
    two.reaches[SECOND] = true;
    two.submit(SECOND, 2);
    two.advance(3 * STEP_MS);
    assert_eq!(two.target.attempts.len(), 2, "the second host's tasks run");
    two.submit(FIRST, 1);
    two.advance(1_000);
    two.max_cpu
}

// Guards against exceeded capacity: if the token that acquires the new incarnation is older than
// the holder's, the target accepts the starts of both hosts.
#[test]
fn a_host_acquires_a_new_incarnation_with_a_later_token_than_the_holder() {
    let max_cpu = max_cpu_after_late_acquisition(Safeguards::default());
    assert_eq!(max_cpu, 2 * TASK_CPU, "two tasks fit, and two are run");
}

#[test]
fn acquisition_with_an_old_token_is_detected() {
    let max_cpu = max_cpu_after_late_acquisition(Safeguards {
        acquiring_tokens_are_fresh: false,
        ..Safeguards::default()
    });
    assert!(max_cpu > TARGET_CPU, "{max_cpu}");
}

/// A target restarts, and its holder's next start reaches the new incarnation with a lease time of
/// the old clock. Another host acquires the target, starts a task there, and is cut off from it.
/// Returns `true` if the task still runs when that host records its end.
fn runs_after_recorded_end(safeguards: Safeguards) -> bool {
    let mut two = TwoHolders::new(safeguards);
    two.discover_target(FIRST);
    two.advance(1_500);
    two.submit(FIRST, 1);
    two.advance(100);
    two.restart_target();
    two.receives[FIRST] = false;
    two.work_ms = 60.0;
    two.submit(FIRST, 1);
    two.deliver();
    assert_eq!(
        two.target.attempts.len(),
        1,
        "the start reaches the new incarnation"
    );
    two.reaches[FIRST] = false;
    two.work_ms = WORK_MS as f64;
    two.discover_target(SECOND);
    two.submit(SECOND, 1);
    let task = two.advance_until_running("0000000000000003.0.0.0");
    two.reaches[SECOND] = false;
    while !two.ended.contains(&task) {
        two.advance(STEP_MS);
        assert!(two.now < 10_000, "the host records the end");
    }
    two.target.attempts.contains_key(&task)
}

// Guards against a concurrent second run of a task on an unreachable target: a lease that another
// host was granted there by the old clock may last longer than the new holder's own.
#[test]
fn a_new_holder_waits_for_leases_granted_to_other_hosts() {
    assert!(!runs_after_recorded_end(Safeguards::default()));
}

#[test]
fn ignoring_the_lease_of_another_host_is_detected() {
    assert!(runs_after_recorded_end(Safeguards {
        earlier_leases_are_respected: false,
        ..Safeguards::default()
    }));
}
