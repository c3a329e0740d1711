//! Entries of the list that describe another incarnation than the one that runs: a target that
//! restarts under its id may be of another kind.

mod support;

use gannetridge_dispatcher_core::event::{ProcessStartTime, TargetChange, TargetEntry};
use gannetridge_dispatcher_core::spec::StepSpec;
use gannetridge_dispatcher_core::{CallId, Event, Millis, TargetCall, TargetReply};
use support::{case, step, target, Rig};

/// The difference between a target's clock and the test's.
const CLOCK_OFFSET_MS: Millis = 500_000;
const FIRST: Option<ProcessStartTime> = Some(ProcessStartTime(1_760_000_000_000));
const NEXT: Option<ProcessStartTime> = Some(ProcessStartTime(1_760_000_009_000));

/// Returns an entry that the incarnation with this start time wrote, with these labels.
fn entry(process_start: Option<ProcessStartTime>, labels: &[&str]) -> TargetEntry {
    TargetEntry {
        labels: labels.iter().map(|label| (*label).into()).collect(),
        process_start,
        ..target("t", 16)
    }
}

fn step_for(label: &str) -> StepSpec {
    StepSpec {
        requirement: Some(label.into()),
        ..step(1, 7_000, 400)
    }
}

fn take_renewal(rig: &mut Rig) -> CallId {
    let mut calls = rig.calls.iter();
    let found = calls.position(|called| matches!(called.order, TargetCall::Renew { .. }));
    rig.calls.remove(found.expect("a renewal")).call
}

/// Answers the next renewal as an incarnation on which nothing runs.
fn answer_renewal(rig: &mut Rig, process_start: Option<ProcessStartTime>) {
    let call = take_renewal(rig);
    let reply = TargetReply::Listing {
        clock: rig.now + CLOCK_OFFSET_MS,
        running: Vec::new(),
        ended: Vec::new(),
        process_start,
        capacity: None,
    };
    rig.target_reply(call, reply);
}

/// Returns a host that holds a target of kind `b`.
fn holder(process_start: Option<ProcessStartTime>) -> Rig {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(
        vec![entry(process_start, &["b"])].into(),
    ));
    rig.advance(1_000);
    answer_renewal(&mut rig, FIRST);
    rig
}

/// Lets the target answer renewals as its next incarnation until this host holds it again.
fn restart(rig: &mut Rig) {
    rig.advance(3_000);
    answer_renewal(rig, NEXT);
    answer_renewal(rig, NEXT);
}

fn list(rig: &mut Rig, entry: TargetEntry) {
    rig.event(Event::TargetsChanged(vec![TargetChange::Listed(entry)]));
}

fn submit(rig: &mut Rig, number: u64, step: StepSpec) {
    rig.submit(number, &format!("{number:016x}"), vec![step], 1_500);
}

/// Returns the numbers of the jobs whose tasks were started.
fn started(rig: &mut Rig) -> Vec<u64> {
    let starts = rig.starts();
    let jobs = starts
        .iter()
        .map(|(_, _, id)| u64::from_str_radix(&id.task[..16], 16).expect("a job's id"));
    jobs.collect()
}

// Guards against starts on a target that came back as another kind under its id.
case!(nothing_starts_after_a_restart_until_the_entry_is_read, {
    let mut rig = holder(FIRST);
    restart(&mut rig);
    submit(&mut rig, 1, step_for("b"));
    submit(&mut rig, 2, step(1, 7_000, 400));
    rig.advance(100);
    assert_eq!(started(&mut rig), []);
    list(&mut rig, entry(NEXT, &["a"]));
    rig.advance(10);
    assert_eq!(started(&mut rig), [2]);
});

// Guards against starts on the labels of an entry that arrives before its incarnation answers.
case!(nothing_starts_while_the_entry_is_newer_than_the_listing, {
    let mut rig = holder(FIRST);
    list(&mut rig, entry(NEXT, &["c"]));
    submit(&mut rig, 1, step_for("c"));
    submit(&mut rig, 2, step(1, 7_000, 400));
    rig.advance(50);
    assert_eq!(started(&mut rig), []);
    // The entry shows that the next listing is due, long before an idle target is renewed.
    answer_renewal(&mut rig, NEXT);
    answer_renewal(&mut rig, NEXT);
    assert_eq!(started(&mut rig), [1, 2]);
});

// Guards against an entry that was written earlier and arrives later.
case!(
    an_entry_of_the_previous_incarnation_takes_the_target_out_of_use,
    {
        let mut rig = holder(FIRST);
        restart(&mut rig);
        list(&mut rig, entry(NEXT, &["a"]));
        list(&mut rig, entry(FIRST, &["b"]));
        submit(&mut rig, 1, step_for("b"));
        rig.advance(10);
        assert_eq!(started(&mut rig), []);
        list(&mut rig, entry(NEXT, &["b"]));
        rig.advance(10);
        assert_eq!(started(&mut rig), [1]);
    }
);

// While the store is unreachable no new entry can be read, perhaps for long.
case!(without_the_store_only_tasks_that_require_no_label_start, {
    let mut rig = holder(FIRST);
    rig.event(Event::StoreReachable(false));
    restart(&mut rig);
    submit(&mut rig, 1, step_for("b"));
    submit(&mut rig, 2, step(1, 7_000, 400));
    rig.advance(10);
    assert_eq!(started(&mut rig), [2]);
});

// A refusal has to be true: the next incarnation may be of the required kind.
case!(a_job_is_not_refused_by_an_outdated_entry, {
    let mut rig = holder(FIRST);
    restart(&mut rig);
    submit(&mut rig, 1, step_for("a"));
    assert!(rig.answers.is_empty(), "{:?}", rig.answers);
    list(&mut rig, entry(NEXT, &["a"]));
    rig.advance(10);
    assert_eq!(started(&mut rig), [1]);
});

case!(an_entry_without_a_start_time_is_used, {
    let mut rig = holder(None);
    restart(&mut rig);
    submit(&mut rig, 1, step_for("b"));
    assert_eq!(started(&mut rig), [1]);
});
