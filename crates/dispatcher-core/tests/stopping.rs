//! The graceful shutdown of a host.

mod support;

use gannetridge_dispatcher_core::event::ListedOutcome;
use gannetridge_dispatcher_core::{Answer, Event, TargetReply};
use support::{case, ended, step, target, Rig};

const ID: &str = "5c0e7a21d94b36f8";

case!(a_stopping_host_accepts_only_jobs_that_it_can_finish, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.event(Event::Stop { age_ms: 0 });
    rig.advance(3_000);
    // The remaining 2.5 s suffice for the short job, not for the long one.
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.submit(2, "00000000000000bb", vec![step(1, 7_000, 1_600)], 9_000);
    assert_eq!(rig.answer_to(1), None);
    assert!(matches!(rig.answer_to(2), Some(Answer::Refused { .. })));
});

case!(a_stopping_host_finishes_its_jobs_and_then_stops, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(1, 7_000, 900)], 6_000);
    let (call, _, key) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    rig.event(Event::Stop { age_ms: 0 });
    for _ in 0..25 {
        rig.advance(100);
        for (call, _) in rig.renewals() {
            rig.listing(call, std::slice::from_ref(&key), &[]);
        }
    }
    assert!(!rig.stopped, "its job is still running");
    rig.advance(10);
    let (call, _) = rig.renewals().remove(0);
    rig.listing(call, &[], &[ended(1, &key, ListedOutcome::Done)]);
    assert_eq!(rig.answer_to(1), Some(&Answer::Completed));
    rig.advance(100);
    assert!(rig.stopped);
});

case!(a_stopping_host_without_peers_still_starts_its_tasks, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, ID, vec![step(3, 7_000, 300)], 6_000);
    let starts = rig.starts();
    assert_eq!(starts.len(), 2);
    rig.event(Event::Stop { age_ms: 0 });
    rig.advance(50);
    let ends: Vec<_> = starts
        .iter()
        .enumerate()
        .map(|(n, (_, _, key))| ended(n as u64 + 1, key, ListedOutcome::Done))
        .collect();
    let (call, _) = rig.renewals().remove(0);
    rig.listing(call, &[], &ends);
    assert_eq!(
        rig.starts().len(),
        1,
        "no other host could start the last task"
    );
});

case!(the_grace_period_includes_the_age_of_the_stop_request, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.advance(5_000);
    for (call, _) in rig.renewals() {
        rig.listing(call, &[], &[]);
    }
    rig.submit(1, ID, vec![step(1, 7_000, 900)], 6_000);
    let (call, _, key) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    // Of the grace period of 6 s, 1 s is left, half of it for the last answers.
    rig.event(Event::Stop { age_ms: 5_000 });
    for _ in 0..7 {
        rig.advance(70);
        for (call, _) in rig.renewals() {
            rig.listing(call, std::slice::from_ref(&key), &[]);
        }
    }
    assert!(!rig.stopped, "its job is still running");
    rig.advance(20);
    assert!(rig.stopped);
    assert!(rig.answer_to(1).is_some());
});
