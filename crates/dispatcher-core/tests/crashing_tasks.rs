//! Tasks that crash their targets, and the tasks that run beside them.

mod support;

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, ProcessStartTime,
};
use gannetridge_dispatcher_core::message::{AttemptId, AttemptOutcome, CrashRecord, Request};
use gannetridge_dispatcher_core::rules::crashes::{
    least_remaining_ms, outcome, CrashDecision, Crashes, RunState, TargetLoss,
};
use gannetridge_dispatcher_core::{
    Answer, Event, Millis, RequestId, Safeguards, SendFailure, Settings, TargetCall, TargetReply,
};
use support::{case, peer_info, settings, step, target, Called, Rig};

/// The running time of tasks, the running time of a task that crashes its target, and the downtime
/// of a crashed target, in ms.
const WORK_MS: Millis = 400;
const CRASHES_AFTER_MS: Millis = 30;
const DOWN_MS: Millis = 3_000;

/// A simulated target: its running attempts with their end times.
#[derive(Default)]
struct FakeTarget {
    running: BTreeMap<AttemptId, Millis>,
    ended: Vec<ListedEnd>,
    ends: u64,
    incarnation: u64,
    down_until: Millis,
}

impl FakeTarget {
    fn end(&mut self, id: AttemptId, outcome: ListedOutcome) {
        self.running.remove(&id);
        self.ends += 1;
        self.ended.push(ListedEnd {
            number: self.ends,
            id,
            outcome,
        });
    }

    fn listing(&mut self, clock: Millis, acknowledged: u64) -> TargetReply {
        self.ended.retain(|end| end.number > acknowledged);
        let running = self.running.keys().map(|id| ListedAttempt {
            id: id.clone(),
            percent: None,
        });
        TargetReply::Listing {
            clock,
            running: running.collect(),
            ended: self.ended.clone(),
            process_start: Some(ProcessStartTime(self.incarnation)),
            capacity: None,
        }
    }
}

/// The task that crashed its target, and the number of other attempts there.
type Crash = (String, usize);

/// A host with simulated targets, and the tasks that crash them.
struct TestCluster {
    rig: Rig,
    targets: BTreeMap<String, FakeTarget>,
    is_crashing: fn(&str) -> bool,
    crashes: Vec<Crash>,
    starts: BTreeMap<String, u32>,
}

impl TestCluster {
    fn new(targets: usize, is_crashing: fn(&str) -> bool) -> Self {
        let entries: Vec<_> = (0..targets)
            .map(|at| target(&format!("t-{at:02}"), 16))
            .collect();
        let fakes = entries
            .iter()
            .map(|entry| (entry.id.to_string(), FakeTarget::default()));
        Self {
            rig: Rig::holding_targets(&entries),
            targets: fakes.collect(),
            is_crashing,
            crashes: Vec::new(),
            starts: BTreeMap::new(),
        }
    }

    /// Lets the targets work and answer for this long.
    fn advance(&mut self, ms: Millis) {
        for _ in 0..ms / 10 {
            self.work();
            for called in std::mem::take(&mut self.rig.calls) {
                let reply = self.answer(&called);
                let call = called.call;
                self.rig.event(Event::TargetReply { call, reply });
            }
            self.rig.advance(10);
        }
    }

    fn work(&mut self) {
        let now = self.rig.now;
        for target in self.targets.values_mut() {
            let ended = target.running.iter().filter(|(_, until)| **until <= now);
            let ended: Vec<AttemptId> = ended.map(|(id, _)| id.clone()).collect();
            if let Some(crashing) = ended.iter().find(|id| (self.is_crashing)(&id.task)) {
                self.crashes
                    .push((crashing.task.to_string(), target.running.len() - 1));
                *target = FakeTarget {
                    incarnation: target.incarnation + 1,
                    down_until: now + DOWN_MS,
                    ..FakeTarget::default()
                };
                continue;
            }
            for id in ended {
                target.end(id, ListedOutcome::Done);
            }
        }
    }

    fn answer(&mut self, called: &Called) -> Result<TargetReply, SendFailure> {
        let now = self.rig.now;
        let clock = now + 500_000;
        let target = self.targets.get_mut(&called.target).expect("a target");
        if target.down_until > now {
            return Err(SendFailure::Refused);
        }
        match &called.order {
            TargetCall::Start(start) => {
                let crashes = (self.is_crashing)(&start.id.task);
                let work = if crashes { CRASHES_AFTER_MS } else { WORK_MS };
                target.running.insert(start.id.clone(), now + work);
                *self.starts.entry(start.id.task.to_string()).or_default() += 1;
                Ok(TargetReply::Accepted { clock })
            }
            TargetCall::Stop(id) => {
                target.end(id.clone(), ListedOutcome::Interrupted);
                Ok(TargetReply::Accepted { clock })
            }
            TargetCall::Renew { acknowledged, .. } => Ok(target.listing(clock, *acknowledged)),
        }
    }

    fn submit(&mut self, number: u64) {
        let steps = vec![step(1, 2_000, WORK_MS)];
        self.rig.submit(number, &id(number), steps, 8_000);
    }

    fn answer_to(&self, number: u64) -> Option<&Answer> {
        self.rig.answer_to(number)
    }
}

fn id(number: u64) -> String {
    format!("{number:016x}")
}

fn task(number: u64) -> String {
    format!("{}.0.0.0", id(number))
}

fn only_the_first(name: &str) -> bool {
    name.starts_with(&id(1))
}

fn one_in_twenty(name: &str) -> bool {
    let job = u64::from_str_radix(&name[..16], 16).expect("a job's id");
    job % 20 == 0
}

case!(
    a_crashing_task_costs_two_targets_and_one_attempt_of_tasks_beside_it,
    {
        let mut cluster = TestCluster::new(6, only_the_first);
        for number in 1..=8 {
            cluster.submit(number);
        }
        cluster.advance(4_000);
        assert_eq!(cluster.crashes, [(task(1), 7), (task(1), 0)]);
        assert_eq!(cluster.answer_to(1), Some(&Answer::Failed));
        for number in 2..=8 {
            assert_eq!(
                cluster.answer_to(number),
                Some(&Answer::Completed),
                "{number}"
            );
            assert_eq!(cluster.starts[&task(number)], 2);
        }
    }
);

case!(five_of_a_hundred_tasks_crash_their_targets, {
    let mut cluster = TestCluster::new(40, one_in_twenty);
    for number in 1..=100 {
        cluster.submit(number);
    }
    cluster.advance(8_000);
    for number in 1..=100 {
        let name = task(number);
        let crashes = cluster
            .crashes
            .iter()
            .filter(|crash| crash.0 == name)
            .count();
        if one_in_twenty(&name) {
            assert_eq!(cluster.answer_to(number), Some(&Answer::Failed), "{number}");
            assert!((2..=3).contains(&crashes), "{number}: {crashes}");
        } else {
            let answer = cluster.answer_to(number);
            assert_eq!(answer, Some(&Answer::Completed), "{number}");
            assert!(
                cluster.starts[&name] <= 2,
                "{number} lost more than one attempt"
            );
        }
    }
    // Other tasks lose an attempt only at the first crash under each crashing task.
    let shared = cluster.crashes.iter().filter(|crash| crash.1 > 0).count();
    assert!(shared <= 5, "{:?}", cluster.crashes);
});

case!(crashes_of_a_resubmitted_job_are_added_up, {
    let mut cluster = TestCluster::new(6, only_the_first);
    cluster.submit(1);
    cluster.advance(100);
    assert_eq!(cluster.crashes.len(), 1);
    // The caller disconnects before the crash is known.
    let request_id = RequestId(1);
    cluster.rig.event(Event::CallerGone { request_id });
    cluster.advance(1_300);
    let steps = vec![step(1, 2_000, WORK_MS)];
    cluster.rig.submit(2, &id(1), steps.clone(), 8_000);
    cluster.advance(3_000);
    // The attempt was being stopped at the first crash, so it takes two more to be certain.
    assert_eq!(cluster.rig.answer_to(2), Some(&Answer::Failed));
    assert_eq!(cluster.crashes.len(), 3);
    cluster.rig.submit(3, &id(1), steps, 8_000);
    assert_eq!(cluster.rig.answer_to(3), Some(&Answer::Failed), "at once");
    cluster.advance(1_000);
    assert_eq!(cluster.starts[&task(1)], 3);
});

fn crash_report(alone: u32, beside_others: u32) -> Request {
    Request::Crashes(vec![CrashRecord {
        task: task(1).into(),
        attempt: 7,
        alone,
        beside_others,
        perhaps: 0,
    }])
}

case!(crashes_reported_by_a_peer_limit_starts, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.send_peer_request(8, crash_report(1, 1));
    rig.submit(1, &id(1), vec![step(2, 2_000, WORK_MS)], 1_500);
    assert_eq!(rig.answer_to(1), Some(&Answer::Failed));
    assert_eq!(rig.starts(), []);
});

case!(crash_counts_of_a_job_that_is_resubmitted_are_kept, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.send_peer_request(8, crash_report(1, 1));
    for request_id in 1..=3 {
        rig.advance(5_000);
        let steps = vec![step(2, 2_000, WORK_MS)];
        rig.submit(request_id, &id(1), steps, 1_500);
        assert_eq!(rig.answer_to(request_id), Some(&Answer::Failed));
    }
    assert_eq!(rig.starts(), []);
});

case!(a_task_with_one_reported_crash_runs_alone, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.send_peer_request(8, crash_report(1, 0));
    rig.submit(1, &id(1), vec![step(2, 2_000, WORK_MS)], 1_500);
    rig.submit(2, &id(2), vec![step(1, 2_000, WORK_MS)], 1_500);
    let starts = rig.starts();
    assert_eq!(starts.len(), 1, "nothing runs beside it: {starts:?}");
    assert_eq!(&*starts[0].2.task, task(1));
    assert_eq!(
        starts[0].2.attempt, 8,
        "numbered above the counted attempts"
    );
});

/// Declares tests, each with a peer's hall, the reason why calls to a lost target fail, and how
/// many crash reports the peer gets.
macro_rules! crash_reports {
    ($($name:ident: $hall:literal, $failure:ident => $times:literal;)+) => {
        $(case!($name, { assert_eq!(crash_reports_sent($hall, SendFailure::$failure), $times); });)+
    };
}

crash_reports! {
    peers_in_the_own_hall_are_informed: "north", Refused => 1;
    peers_in_other_halls_are_not_informed: "south", Refused => 0;
    a_silent_target_makes_no_task_suspect: "north", Unknown => 0;
}

fn crash_reports_sent(hall: &str, failure: SendFailure) -> usize {
    let mut rig = Rig::new();
    let mut peer = peer_info();
    peer.hall = hall.into();
    rig.event(Event::HostsRead(vec![peer]));
    let targets: Vec<_> = (0..8).map(|at| target(&format!("t-{at}"), 16)).collect();
    rig.event(Event::TargetsRead(targets.into()));
    for _ in 0..100 {
        rig.advance(10);
        rig.answer_heartbeats(0);
    }
    rig.idle_targets_answer();
    for _ in 0..50 {
        rig.advance(10);
        rig.answer_heartbeats(0);
    }
    rig.submit(1, &id(1), vec![step(1, 2_000, WORK_MS)], 8_000);
    rig.idle_targets_answer();
    accept_start(&mut rig);
    fail_all_calls(&mut rig, failure);
    let reports = rig.requests(|request| matches!(request, Request::Crashes(_)));
    reports.len()
}

/// Accepts the one start that was sent.
fn accept_start(rig: &mut Rig) {
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    let clock = rig.now + 500_000;
    rig.target_reply(starts[0].0, TargetReply::Accepted { clock });
}

/// Fails all calls to targets for longer than their leases last.
fn fail_all_calls(rig: &mut Rig, failure: SendFailure) {
    for _ in 0..80 {
        for called in std::mem::take(&mut rig.calls) {
            let call = called.call;
            let reply = Err(failure);
            rig.event(Event::TargetReply { call, reply });
        }
        rig.advance(10);
        rig.answer_heartbeats(0);
    }
}

/// Declares tests, each with how a target was lost, how certain it is that an attempt ran there,
/// the number of other attempts, and the attempt's outcome.
macro_rules! losses {
    ($($name:ident: $loss:ident, leaving $leaving:literal, ran $ran:ident, others $others:literal
        => $outcome:ident;)+) => {
        $(case!($name, {
            let found = outcome(TargetLoss::$loss, $leaving, RunState::$ran, $others);
            assert_eq!(found, AttemptOutcome::$outcome);
        });)+
    };
}

losses! {
    silence_is_no_crash: Silent, leaving false, ran Confirmed, others 0 => Lost;
    a_planned_end_is_no_crash: ProcessGone, leaving true, ran Confirmed, others 0 => Lost;
    a_planned_restart_is_no_crash: Restarted, leaving true, ran Confirmed, others 1 => Lost;
    a_crash_under_one: ProcessGone, leaving false, ran Confirmed, others 0 => CrashedAlone;
    a_crash_under_several: Restarted, leaving false, ran Confirmed, others 1 => CrashedBesideOthers;
    a_crash_as_a_start_is_sent: ProcessGone, leaving false, ran Unconfirmed, others 0
        => PerhapsCrashed;
    a_crash_after_a_stop: Restarted, leaving false, ran NotRunning, others 1 => Lost;
}

/// Declares tests, each with the numbers of targets that crashed under a task alone, beside others
/// and perhaps, the time since the last crash in ms, and the decision.
macro_rules! decisions {
    ($($name:ident: $alone:literal, $beside_others:literal, $perhaps:literal, $since_ms:literal
        => $decision:ident;)+) => {
        $(case!($name, {
            let crashes = Crashes {
                alone: $alone,
                beside_others: $beside_others,
                perhaps: $perhaps,
            };
            assert_eq!(crashes.decision($since_ms), CrashDecision::$decision);
        });)+
    };
}

decisions! {
    no_crash: 0, 0, 0, 0 => Trusted;
    beside_others_once: 0, 1, 0, 49 => Quarantined;
    beside_others_once_and_no_empty_target: 0, 1, 0, 50 => Trusted;
    perhaps_once: 0, 0, 1, 49 => Quarantined;
    alone_once: 1, 0, 0, 49 => Quarantined;
    alone_once_and_no_empty_target: 1, 0, 0, 50 => Trusted;
    beside_others_twice: 0, 2, 0, 10_000 => Quarantined;
    alone_and_perhaps: 1, 0, 1, 10_000 => Quarantined;
    alone_at_one_of_two: 1, 1, 0, 0 => GivenUp;
    alone_twice: 2, 0, 0, 0 => GivenUp;
    beside_others_three_times: 0, 3, 0, 0 => GivenUp;
    beside_others_twice_and_perhaps: 0, 2, 1, 0 => GivenUp;
    once_and_perhaps_twice: 1, 0, 2, 0 => GivenUpUnconfirmed;
    perhaps_three_times: 0, 0, 3, 0 => GivenUpUnconfirmed;
}

/// Answers the renewals of one target with a listing of one of its incarnations.
fn answer_renewals(rig: &mut Rig, on: &str, incarnation: u64, running: &[(AttemptId, u8)]) {
    let calls = std::mem::take(&mut rig.calls);
    let (here, others): (Vec<_>, Vec<_>) = calls.into_iter().partition(|called| {
        called.target == on && matches!(called.order, TargetCall::Renew { .. })
    });
    rig.calls = others;
    let running = running.iter().map(|(id, percent)| ListedAttempt {
        id: id.clone(),
        percent: Some(*percent),
    });
    let reply = TargetReply::Listing {
        clock: rig.now + 500_000,
        running: running.collect(),
        ended: Vec::new(),
        process_start: Some(ProcessStartTime(incarnation)),
        capacity: None,
    };
    for called in here {
        rig.target_reply(called.call, reply.clone());
    }
}

/// Crashes a task's target just after the task was done there, so that its end is never received,
/// and does the same to the next attempt. Returns the answer to the caller by then, if any.
fn done_just_before_each_crash(safeguards: Safeguards) -> Option<Answer> {
    let settings = Settings {
        safeguards,
        ..settings()
    };
    let targets: Vec<_> = (0..3).map(|at| target(&format!("t-{at}"), 16)).collect();
    let mut rig = Rig::holding_targets_with(settings, &targets);
    rig.submit(1, &id(1), vec![step(1, 2_000, 200)], 3_000);
    for incarnation in [1, 2] {
        for at in 0..3 {
            answer_renewals(&mut rig, &format!("t-{at}"), incarnation, &[]);
        }
        let (call, on, attempt) = rig.starts().pop().expect("a start");
        let clock = rig.now + 500_000;
        rig.target_reply(call, TargetReply::Accepted { clock });
        rig.advance(90);
        answer_renewals(&mut rig, &on, incarnation, &[(attempt, 64)]);
        // The attempt is done some 50 ms later. The target crashes before it lists the end, and
        // restarts at once.
        rig.advance(300);
        answer_renewals(&mut rig, &on, incarnation + 10, &[]);
        rig.advance(60);
    }
    rig.answer_to(1).cloned()
}

// Guards against failing a job although its task was done: the ends of two attempts were lost with
// their targets.
case!(
    a_task_that_may_have_been_done_before_each_crash_is_not_failed,
    {
        let answer = done_just_before_each_crash(Safeguards::default());
        assert_ne!(answer, Some(Answer::Failed));
    }
);

case!(without_the_safeguard_unreported_ends_fail_the_job, {
    let answer = done_just_before_each_crash(Safeguards {
        unreported_ends_are_considered: false,
        ..Safeguards::default()
    });
    assert_eq!(answer, Some(Answer::Failed));
});

/// Declares tests, each with the progress of an attempt in percent, its expected total running
/// time, and the least remaining time, in ms.
macro_rules! earliest_ends {
    ($($name:ident: $percent:literal, $total_ms:literal => $least_ms:literal;)+) => {
        $(case!($name, { assert_eq!(least_remaining_ms($total_ms, $percent), $least_ms); });)+
    };
}

earliest_ends! {
    just_started: 0, 200.0 => 100;
    half_done: 50, 200.0 => 50;
    done: 100, 200.0 => 0;
}
