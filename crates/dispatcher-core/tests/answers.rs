//! The answers to callers and their timing.

mod support;

use gannetridge_dispatcher_core::event::{ListedOutcome, SendFailure};
use gannetridge_dispatcher_core::message::Request;
use gannetridge_dispatcher_core::{Answer, Event, TargetReply};
use support::{case, ended, peer_info, step, target, Rig};

const ID: &str = "5c0e7a21d94b36f8";

case!(a_job_whose_tasks_are_done_is_completed, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(2, 7_000, 60)], 3_000);
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    rig.advance(10);
    let ends: Vec<_> = starts
        .iter()
        .enumerate()
        .map(|(n, (_, _, key))| ended(n as u64 + 1, key, ListedOutcome::Done))
        .collect();
    let renewals = rig.renewals();
    rig.listing(renewals[0].0, &[], &ends);
    assert_eq!(rig.answer_to(1), Some(&Answer::Completed));
});

case!(a_job_that_ran_out_of_time_is_unfinished_not_failed, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(1, 7_000, 900)], 2_000);
    assert_eq!(rig.starts().len(), 1);
    // The only target stops replying, and its lease expires.
    rig.advance(2_100);
    assert_eq!(rig.answer_to(1), Some(&Answer::Unfinished));
});

case!(a_task_that_fails_as_often_as_allowed_fails_the_job, {
    let mut rig = Rig::holding_targets(&[target("one", 16), target("two", 16)]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    for number in 1..=2 {
        let (_, _, key) = rig.starts().remove(0);
        assert_eq!(key.attempt, number as u32);
        rig.advance(10);
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[ended(number, &key, ListedOutcome::Failed)]);
        }
    }
    assert_eq!(rig.answer_to(1), Some(&Answer::Failed));
});

case!(
    a_job_that_a_peer_may_have_started_is_not_refused_as_not_run,
    {
        let mut rig = Rig::new();
        rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
        rig.event(Event::HostsRead(vec![peer_info()]));
        rig.advance(50);
        rig.answer_heartbeats(16_000);
        rig.submit(1, ID, vec![step(1, 7_000, 60)], 2_000);
        let asked = rig.requests(|request| matches!(request, Request::Place(_)));
        assert_eq!(asked.len(), 1);
        rig.event(Event::PeerReply {
            call: asked[0].0,
            reply: Err(SendFailure::Unknown),
        });
        for _ in 0..250 {
            rig.advance(10);
            rig.answer_heartbeats(0);
        }
        let answer = rig.answer_to(1).expect("the job is answered");
        assert!(!matches!(answer, Answer::Refused { .. }), "{answer:?}");
    }
);

case!(a_job_without_a_free_target_is_refused_with_a_retry_delay, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(2, 8_000, 3_000)], 9_000);
    let running: Vec<_> = rig.starts().into_iter().map(|(_, _, key)| key).collect();
    rig.submit(2, "00000000000000aa", vec![step(1, 8_000, 60)], 2_000);
    for _ in 0..95 {
        rig.advance(10);
        for (call, _) in rig.renewals() {
            rig.listing(call, &running, &[]);
        }
    }
    let answer = rig
        .answer_to(2)
        .expect("the job is refused before half of its time");
    assert!(matches!(answer, Answer::Refused { retry_after_ms } if *retry_after_ms > 0));
});

case!(a_job_that_no_target_could_run_is_refused_at_once, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(1, 30_000, 60)], 3_000);
    assert!(matches!(rig.answer_to(1), Some(Answer::Refused { .. })));
});

case!(attempts_of_a_disconnected_caller_are_stopped, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(2, 7_000, 600)], 3_000);
    let starts = rig.starts();
    for (call, _, _) in &starts {
        let clock = rig.now + 500_000;
        rig.target_reply(
            *call,
            gannetridge_dispatcher_core::TargetReply::Accepted { clock },
        );
    }
    rig.event(Event::CallerGone {
        request_id: gannetridge_dispatcher_core::RequestId(1),
    });
    assert_eq!(rig.stops().len(), 2);
    assert!(rig.answers.is_empty());
});

case!(a_resubmitted_job_runs_once, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.submit(2, ID, vec![step(1, 7_000, 60)], 3_000);
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    rig.advance(10);
    let (call, _) = rig.renewals().remove(0);
    rig.listing(call, &[], &[ended(1, &starts[0].2, ListedOutcome::Done)]);
    rig.submit(3, ID, vec![step(1, 7_000, 60)], 3_000);
    assert!(rig.starts().is_empty());
    for request_id in 1..=3 {
        assert_eq!(rig.answer_to(request_id), Some(&Answer::Completed));
    }
});

case!(a_resubmitted_unfinished_job_uses_new_attempt_numbers, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(1, 7_000, 900)], 2_000);
    let first = rig.starts().remove(0).2;
    rig.event(Event::CallerGone {
        request_id: gannetridge_dispatcher_core::RequestId(1),
    });
    rig.advance(1_300);
    rig.submit(2, ID, vec![step(1, 7_000, 900)], 2_000);
    rig.event(Event::TargetsChanged(vec![
        gannetridge_dispatcher_core::event::TargetChange::Listed(target("other", 16)),
    ]));
    rig.advance(50);
    for (call, _) in rig.renewals() {
        rig.listing(call, &[], &[]);
    }
    let starts = rig.starts();
    assert!(!starts.is_empty());
    assert!(
        starts.iter().all(|(_, _, key)| key.attempt > first.attempt),
        "{starts:?}"
    );
});

case!(tasks_of_the_more_urgent_queue_go_first, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let mut queues = support::queues(2);
    let mut less_urgent = queues.queues[0].clone();
    less_urgent.name = "calm".into();
    less_urgent.prefix = "/calm/".into();
    less_urgent.urgency = 2;
    queues.queues.push(less_urgent);
    rig.event(Event::ConfigurationRead(queues));
    rig.submit(1, ID, vec![step(1, 16_000, 100)], 3_000);
    let (call, _, first) = rig.starts().remove(0);
    rig.target_reply(
        call,
        TargetReply::Accepted {
            clock: rig.now + 500_000,
        },
    );
    // Both wait; the task of the less urgent queue has less slack.
    rig.submit_to(
        "/calm/",
        2,
        "00000000000000aa",
        vec![step(1, 16_000, 60)],
        3_000,
    );
    rig.submit(3, "00000000000000bb", vec![step(1, 16_000, 200)], 3_000);
    rig.advance(10);
    let (target_lease, _) = rig.renewals().remove(0);
    rig.listing(
        target_lease,
        &[],
        &[support::ended(1, &first, ListedOutcome::Done)],
    );
    let starts = rig.starts();
    assert_eq!(starts.len(), 1);
    assert!(
        starts[0].2.task.starts_with("00000000000000bb"),
        "{starts:?}"
    );
});

/// Returns a host whose only target is full, with a job that has waited for it since `rig.now`.
fn waiting_for_a_full_target() -> Rig {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(1, 16_000, 2_000)], 6_000);
    assert_eq!(rig.starts().len(), 1);
    // Its latency objective is 220 ms, so it will be late after waiting for 120 ms.
    let waiting = vec![step(1, 16_000, 100)];
    rig.submit(2, "00000000000000b2", waiting, 3_000);
    rig
}

case!(a_late_job_is_refused_while_jobs_on_time_wait, {
    let mut rig = waiting_for_a_full_target();
    rig.advance(100);
    rig.submit(3, "00000000000000b3", vec![step(1, 16_000, 100)], 3_000);
    rig.advance(20);
    assert_eq!(rig.answer_to(2), None, "the job can still be on time");
    rig.advance(20);
    // Without jobs on time that wait, it would be refused after 300 ms.
    assert!(matches!(rig.answer_to(2), Some(Answer::Refused { .. })));
    assert_eq!(rig.answer_to(3), None, "the job on time keeps waiting");
});

case!(a_late_job_keeps_waiting_while_no_job_on_time_waits, {
    let mut rig = waiting_for_a_full_target();
    rig.advance(280);
    assert_eq!(rig.answer_to(2), None);
    rig.advance(20);
    assert!(matches!(rig.answer_to(2), Some(Answer::Refused { .. })));
});

case!(
    jobs_wait_for_the_first_targets_of_a_host_that_just_started,
    {
        let mut rig = Rig::new();
        rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
        // Useful for 1,140 ms; a host that has been running longer refuses it after 513 ms.
        rig.submit(1, ID, vec![step(1, 7_000, 200)], 3_000);
        rig.advance(600);
        assert_eq!(rig.answer_to(1), None);
        rig.submit(2, "5c0e7a21d94b36f9", vec![step(1, 7_000, 200)], 3_000);
        rig.now += 10;
        let renewal = rig.renewals().pop();
        let (call, _) = renewal.expect("the target is being acquired");
        rig.listing(call, &[], &[]);
        assert_eq!(rig.starts().len(), 2, "both jobs start, though one is late");
    }
);

case!(a_host_that_just_started_refuses_useless_jobs, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
    rig.submit(1, ID, vec![step(1, 7_000, 200)], 3_000);
    rig.advance(950);
    assert!(matches!(rig.answer_to(1), Some(Answer::Refused { .. })));
});

case!(a_host_that_just_started_answers_by_the_deadline, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
    rig.submit(1, ID, vec![step(1, 7_000, 200)], 500);
    rig.advance(420);
    assert!(matches!(rig.answer_to(1), Some(Answer::Refused { .. })));
});
