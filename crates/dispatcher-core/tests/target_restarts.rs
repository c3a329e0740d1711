//! Restarts of targets under the same id: the new incarnation holds and knows nothing.

mod support;

use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, ProcessStartTime,
};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::{CallId, Event, Millis, SendFailure, TargetCall, TargetReply};
use support::{case, ended, step, target, Rig};

/// The difference between the first incarnation's clock and the test's.
const CLOCK_OFFSET_MS: Millis = 500_000;
/// The clock of a newly started incarnation.
const RESTARTED_CLOCK: Millis = 40;
const FIRST_INCARNATION: ProcessStartTime = ProcessStartTime(1_760_000_000_000);
const NEXT_INCARNATION: ProcessStartTime = ProcessStartTime(1_760_000_009_000);

fn listing(
    clock: Millis,
    process_start: Option<ProcessStartTime>,
    running: &[AttemptId],
    ended: &[ListedEnd],
) -> TargetReply {
    let running = running.iter().map(|id| ListedAttempt {
        id: id.clone(),
        percent: None,
    });
    TargetReply::Listing {
        clock,
        running: running.collect(),
        ended: ended.to_vec(),
        process_start,
        capacity: None,
    }
}

/// Takes the one renewal that was sent; returns it with the number of the last end that it
/// acknowledges.
fn take_renewal(rig: &mut Rig) -> (CallId, u64) {
    let found = rig
        .calls
        .iter()
        .position(|called| matches!(called.order, TargetCall::Renew { .. }));
    let called = rig.calls.remove(found.expect("a renewal"));
    let TargetCall::Renew { acknowledged, .. } = called.order else {
        panic!("found as a renewal");
    };
    (called.call, acknowledged)
}

/// Returns a host whose target runs one attempt and has listed the end of another, with the running
/// attempt.
fn holder_with_running_attempt() -> (Rig, AttemptId) {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("near", 16)].into()));
    rig.advance(1_000);
    let clock = rig.now + CLOCK_OFFSET_MS;
    let (call, _) = take_renewal(&mut rig);
    rig.target_reply(call, listing(clock, Some(FIRST_INCARNATION), &[], &[]));
    rig.submit(1, "0000000000000001", vec![step(2, 7_000, 400)], 1_500);
    let starts = rig.starts();
    let (first, second) = (starts[0].2.clone(), starts[1].2.clone());
    for (call, _, _) in starts {
        rig.target_reply(call, TargetReply::Accepted { clock });
    }
    rig.advance(10);
    let (call, _) = take_renewal(&mut rig);
    let end = [ended(57, &first, ListedOutcome::Done)];
    let running = [second.clone()];
    rig.target_reply(
        call,
        listing(clock + 10, Some(FIRST_INCARNATION), &running, &end),
    );
    (rig, second)
}

case!(attempts_of_the_previous_incarnation_end_at_once, {
    let (mut rig, lost) = holder_with_running_attempt();
    let (call, acknowledged) = take_renewal(&mut rig);
    assert_eq!(acknowledged, 57);
    // The new incarnation's clock may be ahead.
    let clock = rig.now + CLOCK_OFFSET_MS + 9_000;
    rig.target_reply(call, listing(clock, Some(NEXT_INCARNATION), &[], &[]));
    let (call, acknowledged) = take_renewal(&mut rig);
    assert_eq!(
        acknowledged, 0,
        "the new incarnation numbers its ends from 1"
    );
    assert_eq!(
        rig.starts(),
        [],
        "nothing starts before the new incarnation knows the token"
    );
    rig.target_reply(call, listing(clock, Some(NEXT_INCARNATION), &[], &[]));
    // The lost task isn't retried on the target that lost it, not even in its new incarnation.
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let started: Vec<String> = rig.starts().iter().map(|s| s.2.task.to_string()).collect();
    assert_eq!(started, ["0000000000000002.0.0.0"]);
    assert_eq!(rig.host.counts(rig.now).attempts, 1, "{lost:?} has ended");
});

case!(ends_of_the_new_incarnation_are_reported, {
    let (mut rig, _) = holder_with_running_attempt();
    let clock = rig.now + CLOCK_OFFSET_MS;
    let (call, _) = take_renewal(&mut rig);
    rig.target_reply(call, listing(clock, Some(NEXT_INCARNATION), &[], &[]));
    let (call, _) = take_renewal(&mut rig);
    rig.target_reply(call, listing(clock, Some(NEXT_INCARNATION), &[], &[]));
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, next) = rig.starts().pop().expect("a start in the new incarnation");
    rig.target_reply(call, TargetReply::Accepted { clock });
    rig.advance(10);
    let (call, acknowledged) = take_renewal(&mut rig);
    assert_eq!(acknowledged, 0);
    let end = [ended(1, &next, ListedOutcome::Done)];
    rig.target_reply(call, listing(clock + 20, Some(NEXT_INCARNATION), &[], &end));
    assert!(rig.answer_to(2).is_some(), "the job is complete");
});

case!(no_start_carries_the_previous_clock, {
    let (mut rig, _) = holder_with_running_attempt();
    // The restart shows in a reply to a start: the clock went back.
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, id) = rig.starts().pop().expect("a start");
    rig.target_reply(
        call,
        TargetReply::Accepted {
            clock: RESTARTED_CLOCK,
        },
    );
    // The start carried a time on the previous clock, so it is stopped before any other starts.
    assert!(rig.stops().contains(&id));
    assert_eq!(rig.starts(), []);
    // Two renewals are in flight: the reply to the one from before the restart shows nothing.
    let (old, _) = take_renewal(&mut rig);
    rig.target_reply(
        old,
        listing(rig.now + CLOCK_OFFSET_MS, Some(FIRST_INCARNATION), &[], &[]),
    );
    assert_eq!(rig.starts(), []);
    let (call, acknowledged) = take_renewal(&mut rig);
    assert_eq!(acknowledged, 0);
    rig.target_reply(
        call,
        listing(RESTARTED_CLOCK + 5, Some(NEXT_INCARNATION), &[], &[]),
    );
    rig.advance(10);
    for called in rig.calls {
        if let TargetCall::Start(start) = called.order {
            assert!(start.until < CLOCK_OFFSET_MS, "{start:?}");
        }
    }
});

case!(
    a_start_that_may_have_reached_the_new_incarnation_is_stopped,
    {
        let (mut rig, _) = holder_with_running_attempt();
        rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
        let (_, _, id) = rig.starts().pop().expect("a start");
        let clock = rig.now + CLOCK_OFFSET_MS;
        let (call, _) = take_renewal(&mut rig);
        let running = [id.clone()];
        rig.target_reply(call, listing(clock, Some(NEXT_INCARNATION), &running, &[]));
        assert_eq!(rig.stops(), [id]);
        assert_eq!(
            rig.starts().len(),
            0,
            "it may run, so it isn't tried elsewhere"
        );
    }
);

case!(after_a_call_without_reply_no_end_is_acknowledged, {
    let (mut rig, lost) = holder_with_running_attempt();
    let (call, _) = take_renewal(&mut rig);
    let reply = Err(SendFailure::Unknown);
    rig.event(Event::TargetReply { call, reply });
    rig.event(Event::Tick);
    let (call, acknowledged) = take_renewal(&mut rig);
    assert_eq!(acknowledged, 0, "the target may have restarted");
    let running = [lost];
    let clock = rig.now + CLOCK_OFFSET_MS;
    rig.target_reply(call, listing(clock, Some(FIRST_INCARNATION), &running, &[]));
    rig.advance(10);
    assert_eq!(take_renewal(&mut rig).1, 57, "the incarnation is the same");
});

case!(a_target_without_incarnation_is_taken_for_the_same, {
    let (mut rig, lost) = holder_with_running_attempt();
    let (call, _) = take_renewal(&mut rig);
    let clock = rig.now + CLOCK_OFFSET_MS;
    let running = [lost];
    rig.target_reply(call, listing(clock, None, &running, &[]));
    rig.advance(10);
    assert_eq!(take_renewal(&mut rig).1, 57);
    assert_eq!(rig.starts(), []);
});

case!(a_stale_token_does_not_show_a_restart, {
    let (mut rig, _) = holder_with_running_attempt();
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, _) = rig.starts().pop().expect("a start");
    rig.target_reply(call, TargetReply::StaleToken { clock: 1 });
    assert_eq!(rig.stops(), [], "attempts there may still run");
    assert_eq!(rig.host.counts(rig.now).attempts, 1);
});

case!(a_clock_that_went_back_ends_no_attempt_by_itself, {
    let (mut rig, runs) = holder_with_running_attempt();
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, id) = rig.starts().pop().expect("a start");
    rig.target_reply(
        call,
        TargetReply::Accepted {
            clock: RESTARTED_CLOCK,
        },
    );
    assert_eq!(rig.host.counts(rig.now).attempts, 2);
    let mut stopped = rig.stops();
    stopped.sort();
    assert_eq!(stopped, [runs, id]);
});
