//! Targets that start again under their id: they hold nothing and know nothing of before.

mod support;

use gannetridge_dispatcher_core::event::{Born, ListedAttempt, ListedEnd, ListedOutcome};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::{CallId, Event, Millis, SendFailure, TargetCall, TargetReply};
use support::{case, ended, step, target, Rig};

/// By how much the first life's clock is ahead of the test's.
const FIRST_CLOCK: Millis = 500_000;
/// The clock of a life that has just begun.
const NEW_CLOCK: Millis = 40;
const FIRST_LIFE: Born = Born(1_760_000_000_000);
const NEXT_LIFE: Born = Born(1_760_000_009_000);

fn listing(
    clock: Millis,
    born: Option<Born>,
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
        born,
        capacity: None,
    }
}

/// Takes the one renewal that was sent, with the ends that it acknowledges.
fn renewal(rig: &mut Rig) -> (CallId, u64) {
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

/// A host whose target runs one attempt, and has listed one that ended before; returns it
/// with the attempt.
fn busy() -> (Rig, AttemptId) {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("near", 16)].into()));
    rig.pass(1_000);
    let clock = rig.now + FIRST_CLOCK;
    let (call, _) = renewal(&mut rig);
    rig.target_reply(call, listing(clock, Some(FIRST_LIFE), &[], &[]));
    rig.submit(1, "0000000000000001", vec![step(2, 7_000, 400)], 1_500);
    let starts = rig.starts();
    let (first, second) = (starts[0].2.clone(), starts[1].2.clone());
    for (call, _, _) in starts {
        rig.target_reply(call, TargetReply::Accepted { clock });
    }
    rig.pass(10);
    let (call, _) = renewal(&mut rig);
    let end = [ended(57, &first, ListedOutcome::Done)];
    let running = [second.clone()];
    rig.target_reply(call, listing(clock + 10, Some(FIRST_LIFE), &running, &end));
    (rig, second)
}

case!(attempts_of_the_old_life_are_over_at_once, {
    let (mut rig, lost) = busy();
    let (call, acknowledged) = renewal(&mut rig);
    assert_eq!(acknowledged, 57);
    // Also where its clock is ahead by then.
    let clock = rig.now + FIRST_CLOCK + 9_000;
    rig.target_reply(call, listing(clock, Some(NEXT_LIFE), &[], &[]));
    let (call, acknowledged) = renewal(&mut rig);
    assert_eq!(acknowledged, 0, "the new life numbers its ends from 1");
    assert_eq!(
        rig.starts(),
        [],
        "nothing starts before the new life knows the token"
    );
    rig.target_reply(call, listing(clock, Some(NEXT_LIFE), &[], &[]));
    // The lost task isn't tried at the target that lost it, also not in its new life.
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let started: Vec<String> = rig.starts().iter().map(|s| s.2.task.to_string()).collect();
    assert_eq!(started, ["0000000000000002.0.0.0"]);
    assert_eq!(rig.host.counts(rig.now).attempts, 1, "{lost:?} is over");
});

case!(ends_of_the_new_life_are_not_forgotten, {
    let (mut rig, _) = busy();
    let clock = rig.now + FIRST_CLOCK;
    let (call, _) = renewal(&mut rig);
    rig.target_reply(call, listing(clock, Some(NEXT_LIFE), &[], &[]));
    let (call, _) = renewal(&mut rig);
    rig.target_reply(call, listing(clock, Some(NEXT_LIFE), &[], &[]));
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, next) = rig.starts().pop().expect("a start in the new life");
    rig.target_reply(call, TargetReply::Accepted { clock });
    rig.pass(10);
    let (call, acknowledged) = renewal(&mut rig);
    assert_eq!(acknowledged, 0);
    let end = [ended(1, &next, ListedOutcome::Done)];
    rig.target_reply(call, listing(clock + 20, Some(NEXT_LIFE), &[], &end));
    assert!(rig.answer_to(2).is_some(), "the job is complete");
});

case!(no_order_carries_the_old_clock, {
    let (mut rig, _) = busy();
    // The restart shows in a reply to a start: its clock went back.
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, id) = rig.starts().pop().expect("a start");
    rig.target_reply(call, TargetReply::Accepted { clock: NEW_CLOCK });
    // It came with a time of the old clock, so it is stopped before any other starts.
    assert!(rig.stops().contains(&id));
    assert_eq!(rig.starts(), []);
    // Both renewals are on their way: the one of the old life says nothing any more.
    let (old, _) = renewal(&mut rig);
    rig.target_reply(
        old,
        listing(rig.now + FIRST_CLOCK, Some(FIRST_LIFE), &[], &[]),
    );
    assert_eq!(rig.starts(), []);
    let (call, acknowledged) = renewal(&mut rig);
    assert_eq!(acknowledged, 0);
    rig.target_reply(call, listing(NEW_CLOCK + 5, Some(NEXT_LIFE), &[], &[]));
    rig.pass(10);
    for called in rig.calls {
        if let TargetCall::Start(start) = called.order {
            assert!(start.until < FIRST_CLOCK, "{start:?}");
        }
    }
});

case!(
    a_start_that_may_have_come_to_the_new_life_is_stopped_there,
    {
        let (mut rig, _) = busy();
        rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
        let (_, _, id) = rig.starts().pop().expect("a start");
        let clock = rig.now + FIRST_CLOCK;
        let (call, _) = renewal(&mut rig);
        let running = [id.clone()];
        rig.target_reply(call, listing(clock, Some(NEXT_LIFE), &running, &[]));
        assert_eq!(rig.stops(), [id]);
        assert_eq!(
            rig.starts().len(),
            0,
            "it may run, so it isn't tried elsewhere"
        );
    }
);

case!(after_a_call_without_reply_no_end_is_acknowledged, {
    let (mut rig, lost) = busy();
    let (call, _) = renewal(&mut rig);
    let reply = Err(SendFailure::Unknown);
    rig.event(Event::TargetReply { call, reply });
    rig.event(Event::Tick);
    let (call, acknowledged) = renewal(&mut rig);
    assert_eq!(acknowledged, 0, "the target may be another life by now");
    let running = [lost];
    let clock = rig.now + FIRST_CLOCK;
    rig.target_reply(call, listing(clock, Some(FIRST_LIFE), &running, &[]));
    rig.pass(10);
    assert_eq!(renewal(&mut rig).1, 57, "it is the same one");
});

case!(
    a_target_that_does_not_tell_its_life_is_taken_for_the_same,
    {
        let (mut rig, lost) = busy();
        let (call, _) = renewal(&mut rig);
        let clock = rig.now + FIRST_CLOCK;
        let running = [lost];
        rig.target_reply(call, listing(clock, None, &running, &[]));
        rig.pass(10);
        assert_eq!(renewal(&mut rig).1, 57);
        assert_eq!(rig.starts(), []);
    }
);

case!(a_stale_token_says_nothing_of_the_life, {
    let (mut rig, _) = busy();
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, _) = rig.starts().pop().expect("a start");
    rig.target_reply(call, TargetReply::StaleToken { clock: 1 });
    assert_eq!(rig.stops(), [], "what ran there may run on");
    assert_eq!(rig.host.counts(rig.now).attempts, 1);
});

case!(a_clock_that_went_back_ends_no_attempt_by_itself, {
    let (mut rig, runs) = busy();
    rig.submit(2, "0000000000000002", vec![step(1, 7_000, 400)], 1_500);
    let (call, _, id) = rig.starts().pop().expect("a start");
    rig.target_reply(call, TargetReply::Accepted { clock: NEW_CLOCK });
    assert_eq!(rig.host.counts(rig.now).attempts, 2);
    let mut stopped = rig.stops();
    stopped.sort();
    assert_eq!(stopped, [runs, id]);
});
