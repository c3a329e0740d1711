//! The memory of jobs in progress, and amounts that callers choose.

mod support;

use gannetridge_dispatcher_core::spec::JobSpec;
use gannetridge_dispatcher_core::{Answer, Event, Millis, RequestId};

use support::{case, step, target, Rig};

/// The tasks of a job that takes a target for itself.
const TASKS: u32 = 100;

fn job_bytes() -> usize {
    let spec = JobSpec {
        specification: "work".into(),
        durable: false,
        steps: vec![step(TASKS, 16_000, 50)],
    };
    spec.job_bytes()
}

fn submit(rig: &mut Rig, number: u64, deadline_ms: Millis) {
    let steps = vec![step(TASKS, 16_000, 50)];
    rig.submit(number, &format!("{number:016x}"), steps, deadline_ms);
}

fn is_refused(rig: &Rig, number: u64) -> bool {
    matches!(rig.answer_to(number), Some(Answer::Refused { .. }))
}

case!(a_job_without_memory_is_refused_until_another_one_ends, {
    let mut rig = Rig::holding_targets(&[target("t", 16)]);
    rig.host.limit_job_memory(job_bytes() * 5 / 2);
    for number in 1..=3 {
        submit(&mut rig, number, 60_000);
    }
    assert!(!is_refused(&rig, 1) && !is_refused(&rig, 2));
    assert!(is_refused(&rig, 3));
    let request_id = RequestId(1);
    rig.event(Event::CallerGone { request_id });
    submit(&mut rig, 4, 60_000);
    assert!(!is_refused(&rig, 4));
    submit(&mut rig, 5, 60_000);
    assert!(is_refused(&rig, 5));
});

case!(a_request_for_a_known_job_needs_no_memory, {
    let mut rig = Rig::holding_targets(&[target("t", 16)]);
    rig.host.limit_job_memory(job_bytes());
    submit(&mut rig, 1, 60_000);
    rig.submit(2, "0000000000000001", vec![step(1, 10, 50)], 60_000);
    assert_eq!(rig.answer_to(2), None);
});
