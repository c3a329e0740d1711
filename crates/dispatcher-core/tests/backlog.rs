//! Tasks that wait at holders of targets; each test covers one failure or race.

mod support;

use gannetridge_dispatcher_core::event::{ListedOutcome, SendFailure};
use gannetridge_dispatcher_core::message::{
    AttemptEnd, AttemptId, AttemptOutcome, HandedTask, HolderLoad, PoolLoad, Priority,
    PriorityClass, ReplyBody, Request,
};
use gannetridge_dispatcher_core::rules::backlog::{
    near_target_wait_ms, MAX_HOLDER_WAIT_MS, MAX_QUEUED_PEER_TASKS,
};
use gannetridge_dispatcher_core::settings::WaitingAt;
use gannetridge_dispatcher_core::{Answer, Event, Millis, Scheduling, Settings};
use support::{case, ended, order, peer_info, step, target, Rig};

const ID: &str = "5c0e7a21d94b36f8";

/// Returns settings with which tasks wait at holders.
fn settings() -> Settings {
    Settings {
        scheduling: Scheduling {
            waiting_at: WaitingAt::Holder,
            ..Scheduling::default()
        },
        ..support::settings()
    }
}

/// Returns a host that holds one target of 16 cores.
fn holder() -> Rig {
    Rig::holding_targets_with(settings(), &[target("near", 16)])
}

/// Returns a task of 7 cores that a peer hands over now with the longest possible wait.
fn handed(rig: &Rig, task: &str, estimate_ms: Millis) -> HandedTask {
    HandedTask {
        order: order(task, estimate_ms),
        queue: "turns".into(),
        priority: Priority {
            class: PriorityClass::OnTime,
            urgency: 0,
            slack_ms: 500,
        },
        latest_start: rig.now + MAX_HOLDER_WAIT_MS,
    }
}

/// Hands tasks over as the peer; returns the positions of those started and of those queued.
fn hand_over(rig: &mut Rig, tasks: Vec<HandedTask>) -> (Vec<u32>, Vec<u32>) {
    rig.send_peer_request(9, Request::HandOver(tasks));
    let (_, reply) = rig.replies.pop().expect("a reply");
    match reply.body {
        ReplyBody::WithLoad { body, .. } => match *body {
            ReplyBody::HandedOver { started, waiting } => (started, waiting),
            other => panic!("{other:?}"),
        },
        other => panic!("{other:?}"),
    }
}

/// Returns a holder whose target runs two tasks of 100 ms while a third one waits, and the running
/// attempts.
fn full_holder() -> (Rig, Vec<AttemptId>) {
    let mut rig = holder();
    let tasks = ["a.0.0.0", "a.0.0.1", "b.0.0.0"];
    let tasks = tasks.map(|task| handed(&rig, task, 100)).to_vec();
    assert_eq!(hand_over(&mut rig, tasks), (vec![0, 1], vec![2]));
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    (rig, starts.into_iter().map(|(_, _, id)| id).collect())
}

/// Replies to a renewal with the end of one attempt.
fn list_end(rig: &mut Rig, running: &[AttemptId], id: &AttemptId) {
    let (call, _) = rig.renewals().pop().expect("a renewal");
    rig.listing(call, running, &[ended(1, id, ListedOutcome::Done)]);
}

/// Takes the tasks that were returned to the peer as not started.
fn returned(rig: &mut Rig) -> Vec<String> {
    let reports = rig.requests(|request| matches!(request, Request::Ended(_)));
    let ends = reports
        .into_iter()
        .flat_map(|(_, envelope)| match envelope.request {
            Request::Ended(ends) => ends,
            _ => Vec::new(),
        });
    let not_started = ends.filter(|end| end.outcome == AttemptOutcome::NotStarted);
    not_started.map(|end| end.id.task.to_string()).collect()
}

fn started_tasks(rig: &mut Rig) -> Vec<String> {
    let starts = rig.starts().into_iter();
    starts.map(|(_, _, id)| id.task.to_string()).collect()
}

case!(a_waiting_task_starts_in_the_event_that_lists_an_end, {
    let (mut rig, running) = full_holder();
    rig.advance(20);
    list_end(&mut rig, &running[1..], &running[0]);
    assert_eq!(started_tasks(&mut rig), ["b.0.0.0"]);
});

case!(no_task_starts_after_its_latest_start, {
    let (mut rig, running) = full_holder();
    rig.now += MAX_HOLDER_WAIT_MS + 1;
    list_end(&mut rig, &running[1..], &running[0]);
    assert!(started_tasks(&mut rig).is_empty());
    assert_eq!(returned(&mut rig), ["b.0.0.0"]);
});

case!(a_task_received_after_its_latest_start_is_rejected, {
    let mut rig = holder();
    let late = HandedTask {
        latest_start: rig.now - 1,
        ..handed(&rig, "a.0.0.0", 100)
    };
    assert_eq!(hand_over(&mut rig, vec![late]), (vec![], vec![]));
    assert!(started_tasks(&mut rig).is_empty());
});

case!(a_task_handed_over_twice_waits_once, {
    let (mut rig, running) = full_holder();
    let again = handed(&rig, "b.0.0.0", 100);
    assert_eq!(hand_over(&mut rig, vec![again]), (vec![], vec![]));
    list_end(&mut rig, &[], &running[0]);
    assert_eq!(started_tasks(&mut rig), ["b.0.0.0"]);
});

case!(only_tasks_that_can_start_in_time_are_queued, {
    let mut rig = holder();
    let long = ["a.0.0.0", "a.0.0.1", "b.0.0.0"].map(|task| handed(&rig, task, 900));
    assert_eq!(hand_over(&mut rig, long.to_vec()), (vec![0, 1], vec![]));
});

case!(the_number_of_waiting_tasks_is_bounded, {
    let targets: Vec<_> = (0..60).map(|i| target(&format!("t{i}"), 16)).collect();
    let mut rig = Rig::holding_targets_with(settings(), &targets);
    let tasks = (0..200).map(|i| handed(&rig, &format!("a.0.0.{i}"), 50));
    let tasks = tasks.collect();
    let (started, waiting) = hand_over(&mut rig, tasks);
    assert_eq!((started.len(), waiting.len()), (120, MAX_QUEUED_PEER_TASKS));
});

case!(a_withdrawn_task_is_returned_and_never_started, {
    let (mut rig, running) = full_holder();
    let keys = vec![handed(&rig, "b.0.0.0", 100).order.id];
    rig.send_peer_request(10, Request::Stop { keys, report: true });
    assert_eq!(returned(&mut rig), ["b.0.0.0"]);
    list_end(&mut rig, &running[1..], &running[0]);
    assert!(started_tasks(&mut rig).is_empty());
});

case!(tasks_of_a_silent_owner_are_dropped, {
    let (mut rig, running) = full_holder();
    // The owner lease expires before the task's latest start.
    let owner_lease = support::BOUNDS.times().unwrap().owner_lease_ms;
    let mut task = handed(&rig, "c.0.0.0", 100);
    task.latest_start += 10 * owner_lease;
    assert_eq!(hand_over(&mut rig, vec![task]).1, [0]);
    let silent_until = rig.now + owner_lease + 10;
    while rig.now < silent_until {
        rig.advance(10);
        for (call, _) in rig.renewals() {
            rig.listing(call, &running, &[]);
        }
    }
    list_end(&mut rig, &running[1..], &running[0]);
    assert!(started_tasks(&mut rig).is_empty());
});

case!(tasks_of_an_earlier_session_are_dropped, {
    let (mut rig, running) = full_holder();
    rig.send_peer_request_as(11, peer_info().incarnation, 2, Request::Configuration);
    list_end(&mut rig, &running[1..], &running[0]);
    assert!(started_tasks(&mut rig).is_empty());
});

case!(a_stopping_host_returns_waiting_tasks, {
    let (mut rig, _) = full_holder();
    rig.event(Event::Stop { age_ms: 0 });
    assert_eq!(returned(&mut rig), ["b.0.0.0"]);
});

case!(a_holder_without_usable_targets_returns_waiting_tasks, {
    let (mut rig, _) = full_holder();
    let mut leaving = target("near", 16);
    leaving.leaving = true;
    rig.event(Event::TargetsRead(vec![leaving].into()));
    rig.advance(60);
    assert_eq!(returned(&mut rig), ["b.0.0.0"]);
});

/// Returns the task that is started first at a full holder with two waiting tasks: an own one, and
/// one of a peer with the given urgency and slack.
fn first_started(peers_urgency: u64, peers_slack_ms: i64) -> String {
    let (mut rig, running) = full_holder();
    let mut task = handed(&rig, "c.0.0.0", 100);
    task.priority.urgency = peers_urgency;
    task.priority.slack_ms = peers_slack_ms;
    rig.send_peer_request(
        12,
        Request::Stop {
            keys: vec![handed(&rig, "b.0.0.0", 100).order.id],
            report: false,
        },
    );
    assert_eq!(hand_over(&mut rig, vec![task]).1, [0]);
    rig.submit(1, ID, vec![step(1, 7_000, 100)], 6_000);
    assert!(started_tasks(&mut rig).is_empty());
    list_end(&mut rig, &running[1..], &running[0]);
    started_tasks(&mut rig).remove(0)
}

case!(own_tasks_and_those_of_peers_wait_in_one_order, {
    let own = format!("{ID}.0.0.0");
    assert_eq!(first_started(0, 0), "c.0.0.0");
    assert_eq!(first_started(0, 5_000), own);
    assert_eq!(first_started(1, 0), own);
});

/// Returns a host without targets whose peer holds a full one and accepts waiting tasks.
fn owner() -> Rig {
    let mut rig = Rig::with(settings());
    rig.event(Event::HostsRead(vec![peer_info()]));
    rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
    for _ in 0..100 {
        rig.advance(10);
        let heartbeats = rig.requests(|request| matches!(request, Request::Heartbeat(_)));
        for (call, _) in heartbeats {
            let body = ReplyBody::Heartbeat(gannetridge_dispatcher_core::message::HeartbeatReply {
                leaving: false,
                version: 1,
                leased: vec!["far".into()],
                hosts: Vec::new(),
            });
            reply_with_load(&mut rig, call, body);
        }
    }
    rig
}

fn reply_with_load(rig: &mut Rig, call: gannetridge_dispatcher_core::CallId, body: ReplyBody) {
    let load = HolderLoad {
        free_capacity: Vec::new(),
        pools: vec![PoolLoad {
            pool: "pool".into(),
            capacity_cpu: 16_000,
            used_cpu: 16_000,
            queue_cpu: 8_000,
            waiting: Vec::new(),
        }],
    };
    let body = Box::new(body);
    let reply = Ok(rig.reply(ReplyBody::WithLoad { load, body }, 0));
    rig.event(Event::PeerReply { call, reply });
}

/// Takes the tasks that were handed over, with their calls.
fn handed_over(rig: &mut Rig) -> Vec<(gannetridge_dispatcher_core::CallId, Vec<HandedTask>)> {
    let asked = rig.requests(|request| matches!(request, Request::HandOver(_)));
    let tasks = asked
        .into_iter()
        .map(|(call, envelope)| match envelope.request {
            Request::HandOver(tasks) => (call, tasks),
            _ => (call, Vec::new()),
        });
    tasks.collect()
}

/// Returns an owner, and its task that waits at the peer.
fn owner_with_task_at_peer() -> (Rig, HandedTask) {
    let mut rig = owner();
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 6_000);
    let (call, mut tasks) = handed_over(&mut rig).remove(0);
    let body = ReplyBody::HandedOver {
        started: vec![],
        waiting: vec![0],
    };
    reply_with_load(&mut rig, call, body);
    (rig, tasks.remove(0))
}

fn report_end(rig: &mut Rig, id: &AttemptId, outcome: AttemptOutcome) {
    let end = AttemptEnd {
        id: id.clone(),
        outcome,
        target: "".into(),
    };
    rig.send_peer_request(20, Request::Ended(vec![end]));
}

case!(a_task_is_handed_over_once, {
    let (mut rig, _) = owner_with_task_at_peer();
    rig.advance(100);
    assert!(handed_over(&mut rig).is_empty());
});

case!(a_returned_task_is_retried_with_a_higher_attempt_number, {
    let (mut rig, task) = owner_with_task_at_peer();
    report_end(&mut rig, &task.order.id, AttemptOutcome::NotStarted);
    let (_, tasks) = handed_over(&mut rig).remove(0);
    assert_eq!(tasks[0].order.id.attempt, task.order.id.attempt + 1);
    report_end(&mut rig, &task.order.id, AttemptOutcome::Done);
    assert_eq!(
        rig.answer_to(1),
        None,
        "ends of the earlier attempt are ignored"
    );
});

case!(a_returned_task_counts_as_not_run, {
    let (mut rig, task) = owner_with_task_at_peer();
    report_end(&mut rig, &task.order.id, AttemptOutcome::NotStarted);
    for _ in 0..50 {
        rig.advance(10);
        for (call, _) in handed_over(&mut rig) {
            let body = ReplyBody::HandedOver {
                started: vec![],
                waiting: vec![],
            };
            reply_with_load(&mut rig, call, body);
        }
    }
    let answer = rig.answer_to(1);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
});

case!(
    a_hand_over_without_reply_is_withdrawn_before_it_is_tried_elsewhere,
    {
        let mut rig = owner();
        rig.submit(1, ID, vec![step(1, 7_000, 60)], 6_000);
        let (call, tasks) = handed_over(&mut rig).remove(0);
        let reply = Err(SendFailure::Unknown);
        rig.event(Event::PeerReply { call, reply });
        rig.advance(10);
        let stops = rig.requests(|request| matches!(request, Request::Stop { report: true, .. }));
        assert_eq!(stops.len(), 1);
        assert!(handed_over(&mut rig).is_empty(), "it may be running there");
        report_end(&mut rig, &tasks[0].order.id, AttemptOutcome::Lost);
        reply_with_load(&mut rig, stops[0].0, ReplyBody::Acknowledged);
        assert_eq!(handed_over(&mut rig).len(), 1);
    }
);

case!(the_task_of_a_disconnected_caller_is_withdrawn, {
    let (mut rig, task) = owner_with_task_at_peer();
    rig.event(Event::CallerGone {
        request_id: gannetridge_dispatcher_core::RequestId(1),
    });
    let stops = rig.requests(|request| matches!(request, Request::Stop { .. }));
    let Request::Stop { keys, .. } = &stops[0].1.request else {
        panic!("a stop");
    };
    assert_eq!(keys, &[task.order.id]);
});

case!(
    a_task_waits_near_its_data_no_longer_than_it_would_lose_elsewhere,
    {
        assert_eq!(near_target_wait_ms(100, 1.5), 50);
        assert_eq!(near_target_wait_ms(100, 1.0), 0);
        assert_eq!(near_target_wait_ms(100, 0.5), 0);
        assert_eq!(near_target_wait_ms(10_000, 1.5), MAX_HOLDER_WAIT_MS);
    }
);
