//! Leases of targets: acquiring, holding, renewing and losing them.

mod support;

use gannetridge_dispatcher_core::event::{ListedAttempt, ListedOutcome, SendFailure, TargetChange};
use gannetridge_dispatcher_core::message::{AttemptId, Request};
use gannetridge_dispatcher_core::{Event, Millis, Safeguards, Settings, TargetCall, TargetReply};
use support::{case, ended, order, peer_info, settings, step, target, Rig, BOUNDS};

const ID: &str = "5c0e7a21d94b36f8";

fn submit_and_accept(rig: &mut Rig, id: &str) -> gannetridge_dispatcher_core::message::AttemptId {
    rig.submit(1, id, vec![step(1, 7_000, 300)], 3_000);
    let (call, _, id) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    id
}

case!(a_new_holder_starts_nothing_beside_unknown_attempts, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("near", 16)].into()));
    rig.advance(1_000);
    let (call, until) = rig.renewals().remove(0);
    assert_eq!(until, None, "the owners of the attempts there are unknown");
    let unknown = gannetridge_dispatcher_core::message::AttemptId {
        task: "00000000000000aa.0.0.0".into(),
        attempt: 1,
    };
    rig.listing(call, std::slice::from_ref(&unknown), &[]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    assert!(rig.starts().is_empty());
    rig.advance(50);
    let (call, until) = rig.renewals().remove(0);
    assert_eq!(until, None);
    rig.listing(call, &[], &[ended(1, &unknown, ListedOutcome::Interrupted)]);
    assert_eq!(rig.starts().len(), 1);
});

case!(a_listing_requested_before_a_start_does_not_end_it, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let id = submit_and_accept(&mut rig, ID);
    // Requested in the same millisecond in which the start was accepted.
    let (call, _) = rig.renewals().remove(0);
    rig.now += 1;
    rig.listing(call, &[], &[]);
    assert!(rig.starts().is_empty(), "the attempt has not ended");
    let (call, _) = rig.renewals().remove(0);
    rig.now += 50;
    rig.listing(call, &[], &[ended(1, &id, ListedOutcome::Done)]);
    assert!(rig.answer_to(1).is_some());
});

case!(
    a_target_taken_back_is_not_renewed_before_it_lists_its_attempts,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        rig.advance(3_100);
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[]);
        }
        let id = submit_and_accept(&mut rig, ID);
        let (old, _) = rig.renewals().remove(0);
        let clock = rig.now + 500_000;
        rig.submit(2, "00000000000000bb", vec![step(1, 7_000, 300)], 3_000);
        let (start, _, _) = rig.starts().remove(0);
        rig.target_reply(start, TargetReply::StaleToken { clock });
        let (reacquisition, until) = rig.renewals().remove(0);
        assert_eq!(until, None, "another host may have started attempts there");
        // A listing from before the other host took the target shows nothing.
        rig.listing(old, std::slice::from_ref(&id), &[]);
        let other = gannetridge_dispatcher_core::message::AttemptId {
            task: "00000000000000aa.0.0.0".into(),
            attempt: 1,
        };
        rig.submit(3, "00000000000000cc", vec![step(1, 7_000, 300)], 3_000);
        assert!(rig.starts().is_empty());
        rig.listing(reacquisition, &[id.clone(), other], &[]);
        assert!(rig.starts().is_empty(), "the other attempt still runs");
    }
);

case!(
    a_start_without_reply_is_stopped_and_retried_elsewhere_once_ended,
    {
        let mut rig = Rig::holding_targets(&[target("one", 16), target("two", 16)]);
        rig.pass_earlier_leases();
        rig.submit(1, ID, vec![step(1, 7_000, 600)], 4_000);
        rig.idle_targets_answer();
        let (call, first, id) = rig.starts().remove(0);
        rig.advance(200);
        rig.event(Event::TargetReply {
            call,
            reply: Err(SendFailure::Unknown),
        });
        assert!(
            rig.starts().is_empty(),
            "the start may have been carried out"
        );
        assert_eq!(rig.stops(), vec![id]);
        rig.advance(800);
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[]);
        }
        rig.advance(20);
        rig.idle_targets_answer();
        let starts = rig.starts();
        assert!(starts
            .iter()
            .all(|(_, target, id)| *target != first && id.attempt == 2));
        assert_eq!(starts.len(), 1);
    }
);

case!(a_leaving_target_gets_no_new_tasks, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let mut leaving = target("near", 16);
    leaving.leaving = true;
    rig.event(Event::TargetsChanged(vec![TargetChange::Listed(leaving)]));
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.advance(200);
    assert!(rig.starts().is_empty());
});

case!(a_target_that_fails_all_tasks_gets_no_more, {
    let mut rig = Rig::holding_targets(&[target("one", 24), target("two", 16)]);
    // Two failures in a row on one target, of different jobs.
    let mut failing = String::new();
    for (number, id) in ["00000000000000a1", "00000000000000a2"].iter().enumerate() {
        rig.submit(number as u64, id, vec![step(1, 4_000, 300)], 3_000);
        let (call, on, id) = rig.starts().remove(0);
        failing = on;
        let clock = rig.now + 500_000;
        rig.target_reply(call, TargetReply::Accepted { clock });
        rig.now += 10;
        let calls: Vec<_> = rig.calls.drain(..).collect();
        for called in calls {
            let ends = if called.target == failing {
                vec![ended(number as u64 + 1, &id, ListedOutcome::Failed)]
            } else {
                Vec::new()
            };
            rig.listing(called.call, &[], &ends);
        }
        rig.event(Event::CallerGone {
            request_id: gannetridge_dispatcher_core::RequestId(number as u64),
        });
        rig.starts();
    }
    rig.submit(9, ID, vec![step(1, 4_000, 300)], 3_000);
    let starts = rig.starts();
    assert!(
        starts.iter().all(|(_, on, _)| *on != failing),
        "{failing} {starts:?}"
    );
    assert_eq!(starts.len(), 1);
});

case!(
    targets_unlisted_after_an_outage_are_used_until_the_list_settles,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        rig.event(Event::StoreReachable(false));
        rig.advance(1_000);
        rig.event(Event::StoreReachable(true));
        rig.event(Event::TargetsRead(Vec::new().into()));
        rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
        rig.idle_targets_answer();
        assert_eq!(rig.starts().len(), 1);
        rig.advance(2_100);
        rig.submit(2, "00000000000000bb", vec![step(1, 7_000, 60)], 3_000);
        rig.idle_targets_answer();
        assert!(
            rig.starts().is_empty(),
            "removed two seconds after the store returned"
        );
    }
);

case!(one_lost_reply_does_not_make_a_target_unusable, {
    let mut rig = Rig::holding_targets(&[target("near", 24)]);
    submit_and_accept(&mut rig, ID);
    let (call, _) = rig.renewals().remove(0);
    rig.advance(250);
    rig.event(Event::TargetReply {
        call,
        reply: Err(SendFailure::Unknown),
    });
    rig.submit(2, "00000000000000bb", vec![step(1, 7_000, 300)], 3_000);
    assert_eq!(rig.starts().len(), 1);
    let (call, _) = rig.renewals().remove(0);
    rig.event(Event::TargetReply {
        call,
        reply: Err(SendFailure::Unknown),
    });
    rig.submit(3, "00000000000000cc", vec![step(1, 7_000, 300)], 3_000);
    assert!(
        rig.starts().is_empty(),
        "two lost replies in a row are silence"
    );
});

case!(attempts_on_a_silent_target_end_with_its_lease, {
    let mut rig = Rig::holding_targets(&[target("one", 16), target("two", 16)]);
    rig.pass_earlier_leases();
    rig.submit(1, ID, vec![step(1, 7_000, 600)], 4_000);
    rig.idle_targets_answer();
    let (call, silent, _) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    let silent_since = rig.now;
    let mut restarted = None;
    while restarted.is_none() && rig.now < silent_since + 3_000 {
        rig.advance(50);
        // Twice: a start waits for a reply of the idle target.
        for _ in 0..2 {
            for called in std::mem::take(&mut rig.calls) {
                match called.order {
                    TargetCall::Start(_) => restarted = Some(called.target),
                    _ if called.target != silent => rig.listing(called.call, &[], &[]),
                    _ => rig.event(Event::TargetReply {
                        call: called.call,
                        reply: Err(SendFailure::Unknown),
                    }),
                }
            }
        }
    }
    assert_eq!(restarted.as_deref(), Some("two"));
    // Renewals of a silent target must not extend its lease.
    let waited = rig.now - silent_since;
    assert_eq!(
        waited, 650,
        "one miss, after which no renewal extends the lease, and what was left of it"
    );
});

/// Submits a job of one short task; returns the number of starts.
fn count_starts(rig: &mut Rig, number: u64) -> usize {
    rig.submit(
        number,
        &format!("{number:016x}"),
        vec![step(1, 2_000, 60)],
        3_000,
    );
    rig.idle_targets_answer();
    rig.starts().len()
}

case!(an_unlisted_target_gets_no_tasks, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    // The target keeps answering although its entry was removed.
    rig.event(Event::TargetsChanged(vec![TargetChange::Removed(
        "near".into(),
    )]));
    assert_eq!(count_starts(&mut rig, 1), 0);
    let back = TargetChange::Listed(target("near", 16));
    rig.event(Event::TargetsChanged(vec![back]));
    rig.advance(600);
    for (call, _) in rig.renewals() {
        rig.listing(call, &[], &[]);
    }
    assert_eq!(rig.starts().len(), 1, "its entry is back");
});

case!(
    an_entry_restored_within_two_seconds_of_an_outage_stays_in_use,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        rig.event(Event::StoreReachable(false));
        rig.advance(1_000);
        rig.event(Event::StoreReachable(true));
        rig.event(Event::TargetsRead(Vec::new().into()));
        rig.advance(1_900);
        let back = TargetChange::Listed(target("near", 16));
        rig.event(Event::TargetsChanged(vec![back]));
        rig.advance(500);
        assert_eq!(count_starts(&mut rig, 1), 1);
    }
);

case!(a_leaving_target_that_keeps_answering_gets_no_tasks, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let mut leaving = target("near", 16);
    leaving.leaving = true;
    rig.event(Event::TargetsChanged(vec![TargetChange::Listed(leaving)]));
    for number in 1..=10 {
        rig.advance(1_000);
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[]);
        }
        assert_eq!(count_starts(&mut rig, number), 0);
    }
});

/// Lists one attempt as running with its progress, at a time of the target's clock.
fn report_progress(rig: &mut Rig, id: &AttemptId, percent: u8, clock: Millis) {
    for (call, _) in rig.renewals() {
        let reply = TargetReply::Listing {
            clock,
            running: vec![ListedAttempt {
                id: id.clone(),
                percent: Some(percent),
            }],
            ended: Vec::new(),
            process_start: None,
            capacity: None,
        };
        rig.target_reply(call, reply);
    }
    rig.advance(10);
}

/// Returns a host with two targets, an attempt that runs on one of them, and the target's clock at
/// the start.
fn running_task(estimate_ms: Millis) -> (Rig, AttemptId, Millis) {
    let mut rig = Rig::holding_targets(&[target("one", 16), target("two", 16)]);
    rig.submit(1, ID, vec![step(1, 7_000, estimate_ms)], 3_000);
    let (call, _, id) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    rig.advance(10);
    (rig, id, clock)
}

case!(a_stalled_attempt_is_stopped, {
    let (mut rig, id, clock) = running_task(200);
    report_progress(&mut rig, &id, 0, clock + 90);
    assert!(rig.stops().is_empty(), "it may just have started");
    report_progress(&mut rig, &id, 0, clock + 110);
    assert_eq!(rig.stops(), [id]);
});

case!(a_slow_attempt_is_not_stalled, {
    let (mut rig, id, clock) = running_task(200);
    for (percent, after) in [(3, 50), (11, 150), (18, 250), (25, 350)] {
        report_progress(&mut rig, &id, percent, clock + after);
        assert!(rig.stops().is_empty(), "{percent} % after {after} ms");
    }
});

case!(a_late_listing_does_not_show_a_stall, {
    let (mut rig, id, clock) = running_task(200);
    report_progress(&mut rig, &id, 10, clock + 20);
    // A listing made 30 ms later arrives late.
    rig.advance(300);
    report_progress(&mut rig, &id, 10, clock + 50);
    assert!(rig.stops().is_empty());
});

case!(an_attempt_without_progress_reports_is_not_stopped, {
    let (mut rig, id, _) = running_task(200);
    rig.advance(200);
    for (call, _) in rig.renewals() {
        rig.listing(call, std::slice::from_ref(&id), &[]);
    }
    rig.advance(10);
    assert!(rig.stops().is_empty());
});

/// Starts an attempt on behalf of the peer; returns it.
fn start_for_peer(rig: &mut Rig, task: &str) -> AttemptId {
    rig.send_peer_request(90, Request::Place(vec![order(task, 900)]));
    let (call, _, id) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    id
}

/// Lets time pass while the target answers its renewals; returns the latest time, on the host's
/// clock, to which any call extended the target's lease.
fn renewed_until(rig: &mut Rig, ms: Millis, running: &[AttemptId]) -> Option<Millis> {
    let mut latest = None;
    let end = rig.now + ms;
    while rig.now < end {
        rig.advance(10);
        for (call, until) in rig.renewals() {
            latest = latest.max(until.map(|clock| clock - 500_000));
            rig.listing(call, running, &[]);
        }
    }
    latest
}

/// Simulates an owner that falls silent while its attempt runs beside one of the holder, and lost
/// stops of the owner's attempt. Returns the holder, the time until which the attempt may run, and
/// the time from which the owner starts the task elsewhere.
fn owner_silent_and_stops_lost(safeguards: Safeguards) -> (Rig, Millis, Millis) {
    let settings = Settings {
        safeguards,
        ..settings()
    };
    let mut rig = Rig::holding_targets_with(settings, &[target("near", 24)]);
    rig.event(Event::HostsRead(vec![peer_info()]));
    let own = submit_and_accept(&mut rig, ID);
    let theirs = start_for_peer(&mut rig, "00000000000000aa.0.0.0");
    let restarted_from = rig.now + BOUNDS.times().unwrap().lost_attempts_over_ms;
    let extended = renewed_until(&mut rig, 1_000, &[own, theirs]);
    let runs_until =
        extended.expect("a renewal before the owner fell silent") + BOUNDS.stop_grace_ms;
    (rig, runs_until, restarted_from)
}

// Guards against a second concurrent attempt of a task: renewals for other attempts extended the
// lease of an attempt whose owner was silent and whose stop was lost.
case!(no_lease_is_extended_past_an_unconfirmed_stop, {
    let (mut rig, runs_until, restarted_from) = owner_silent_and_stops_lost(Safeguards::default());
    assert!(
        runs_until <= restarted_from,
        "it runs until {runs_until}, and again from {restarted_from}"
    );
    assert!(rig.stops().len() > 1, "the stop is repeated");
    rig.submit(2, "00000000000000bb", vec![step(1, 7_000, 300)], 3_000);
    assert!(rig.starts().is_empty(), "the lease is about to end");
});

case!(
    without_the_safeguard_a_lease_is_extended_past_an_unconfirmed_stop,
    {
        let (_, runs_until, restarted_from) = owner_silent_and_stops_lost(Safeguards {
            unconfirmed_stops_end_leases: false,
            ..Safeguards::default()
        });
        assert!(
            runs_until > restarted_from,
            "it runs until {runs_until}, and again from {restarted_from}"
        );
    }
);

case!(a_lease_is_extended_again_once_the_stop_is_confirmed, {
    let mut rig = Rig::holding_targets(&[target("near", 24)]);
    rig.event(Event::HostsRead(vec![peer_info()]));
    let own = submit_and_accept(&mut rig, ID);
    let theirs = start_for_peer(&mut rig, "00000000000000aa.0.0.0");
    let running = [own.clone(), theirs.clone()];
    let times = BOUNDS.times().unwrap();
    renewed_until(&mut rig, times.owner_lease_ms + 20, &running);
    let stop = rig
        .calls
        .iter()
        .position(|called| called.order == TargetCall::Stop(theirs.clone()));
    let stop = rig.calls.remove(stop.expect("a stop")).call;
    assert_eq!(renewed_until(&mut rig, 50, &running), None);
    let clock = rig.now + 500_000;
    rig.target_reply(stop, TargetReply::Accepted { clock });
    assert!(renewed_until(&mut rig, 50, &[own]).is_some());
    rig.submit(2, "00000000000000bb", vec![step(1, 7_000, 300)], 3_000);
    assert_eq!(rig.starts().len(), 1);
});
