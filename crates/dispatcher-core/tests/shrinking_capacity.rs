//! Targets whose capacity changes while they run, by their entries and listings: nothing is started
//! beyond the capacity, and running attempts continue.

mod support;

use gannetridge_dispatcher_core::decision::EntryFault;
use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, ProcessStartTime, TargetChange,
};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Event, TargetReply};
use support::{case, ended, step, target, Rig};

type ListedCapacity = Option<Result<Resources, EntryFault>>;

fn cores(cores: u32) -> ListedCapacity {
    Some(Ok(target("near", cores).capacity))
}

/// Changes the capacity in the target's entry.
fn change_entry(rig: &mut Rig, cores: u32) {
    let entry = target("near", cores);
    rig.event(Event::TargetsChanged(vec![TargetChange::Listed(entry)]));
}

/// Answers the renewals that were sent; returns their number.
fn answer_renewals(
    rig: &mut Rig,
    capacity: &ListedCapacity,
    running: &[AttemptId],
    ended: &[ListedEnd],
) -> usize {
    let renewals = rig.renewals();
    for (call, _) in &renewals {
        let running = running.iter().map(|id| ListedAttempt {
            id: id.clone(),
            percent: None,
        });
        let reply = TargetReply::Listing {
            clock: rig.now + 500_000,
            running: running.collect(),
            ended: ended.to_vec(),
            process_start: Some(ProcessStartTime(1)),
            capacity: *capacity,
        };
        rig.target_reply(*call, reply);
    }
    renewals.len()
}

/// Lets the target list its capacity and its running attempts.
fn list_capacity(rig: &mut Rig, capacity: &ListedCapacity, running: &[AttemptId]) {
    rig.advance(10);
    assert!(
        answer_renewals(rig, capacity, running, &[]) > 0,
        "a renewal is due"
    );
}

/// Returns a host that holds a target of 16 cores, with this many running tasks of 4 cores.
fn holder_with_tasks(tasks: u32) -> (Rig, Vec<AttemptId>) {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let ids = submit(&mut rig, 1, tasks);
    assert_eq!(ids.len(), tasks as usize);
    (rig, ids)
}

/// Submits a job of tasks of 4 cores; accepts and returns the attempts that start at once.
fn submit(rig: &mut Rig, request_id: u64, tasks: u32) -> Vec<AttemptId> {
    let id = format!("{request_id:016x}");
    rig.submit(request_id, &id, vec![step(tasks, 4_000, 400)], 1_500);
    accept_starts(rig)
}

/// Accepts the starts that were sent.
fn accept_starts(rig: &mut Rig) -> Vec<AttemptId> {
    let clock = rig.now + 500_000;
    let starts = rig.starts().into_iter().map(|(call, _, id)| {
        rig.target_reply(call, TargetReply::Accepted { clock });
        id
    });
    starts.collect()
}

case!(a_listing_overrides_the_entry, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(8), &ids);
    assert_eq!(submit(&mut rig, 2, 3).len(), 1, "4 of 8 cores are in use");
});

case!(a_later_entry_overrides_the_listing, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(12), &ids);
    change_entry(&mut rig, 4);
    assert_eq!(submit(&mut rig, 2, 1), []);
});

case!(an_unchanged_entry_does_not_override_the_listing, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(4), &ids);
    change_entry(&mut rig, 16);
    assert_eq!(submit(&mut rig, 2, 1), []);
});

case!(an_entry_from_before_the_listing_allows_no_start, {
    let (mut rig, ids) = holder_with_tasks(1);
    // The target reported 12 and then 4 cores; its entry with 12 arrives late.
    list_capacity(&mut rig, &cores(4), &ids);
    change_entry(&mut rig, 12);
    assert_eq!(submit(&mut rig, 2, 1), []);
    // A listing requested before the entry arrived is not newer than it.
    answer_renewals(&mut rig, &cores(4), &ids, &[]);
    assert_eq!(accept_starts(&mut rig), []);
    list_capacity(&mut rig, &cores(4), &ids);
    assert_eq!(accept_starts(&mut rig), []);
});

case!(growth_in_the_entry_is_confirmed_at_once, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.advance(3_000);
    assert_eq!(answer_renewals(&mut rig, &cores(4), &[], &[]), 1);
    rig.advance(100);
    assert_eq!(rig.renewals().len(), 0, "an idle target is renewed rarely");
    change_entry(&mut rig, 8);
    assert_eq!(submit(&mut rig, 2, 2).len(), 1);
    assert_eq!(answer_renewals(&mut rig, &cores(8), &[], &[]), 1);
    // That listing was requested in the same millisecond and may be older than the entry.
    list_capacity(&mut rig, &cores(8), &[]);
    assert_eq!(accept_starts(&mut rig).len(), 1);
});

case!(starts_in_flight_count_while_capacity_shrinks, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, "0000000000000001", vec![step(4, 4_000, 400)], 1_500);
    let in_flight = rig.starts();
    assert_eq!(in_flight.len(), 4);
    change_entry(&mut rig, 12);
    let ids: Vec<AttemptId> = in_flight.iter().map(|start| start.2.clone()).collect();
    list_capacity(&mut rig, &cores(12), &ids[..1]);
    let end = [ended(1, &ids[0], ListedOutcome::Done)];
    rig.advance(10);
    answer_renewals(&mut rig, &cores(12), &ids[1..], &end);
    assert_eq!(submit(&mut rig, 2, 1), [], "three of 4 cores fill 12");
});

case!(a_capacity_below_use_starts_and_stops_nothing, {
    let (mut rig, ids) = holder_with_tasks(4);
    list_capacity(&mut rig, &cores(5), &ids);
    assert_eq!(submit(&mut rig, 2, 1), []);
    let end = [ended(1, &ids[0], ListedOutcome::Done)];
    rig.advance(10);
    answer_renewals(&mut rig, &cores(5), &ids[1..], &end);
    assert_eq!(
        accept_starts(&mut rig),
        [],
        "12 cores are in use, of a capacity of 5"
    );
    assert_eq!(rig.stops(), []);
    rig.advance(10);
    let ends: Vec<ListedEnd> = (1..4)
        .map(|at| ended(1 + at as u64, &ids[at], ListedOutcome::Done))
        .collect();
    answer_renewals(&mut rig, &cores(5), &[], &ends);
    assert_eq!(accept_starts(&mut rig).len(), 1);
    assert!(rig.answer_to(1).is_some(), "running attempts completed");
});

case!(attempts_being_stopped_count, {
    let (mut rig, ids) = holder_with_tasks(2);
    list_capacity(&mut rig, &cores(8), &ids);
    rig.event(Event::CallerGone {
        request_id: gannetridge_dispatcher_core::RequestId(1),
    });
    assert_eq!(rig.stops().len(), 2);
    assert_eq!(submit(&mut rig, 2, 1), []);
    rig.advance(10);
    let ends = [1, 2].map(|at| ended(at as u64, &ids[at - 1], ListedOutcome::Interrupted));
    answer_renewals(&mut rig, &cores(8), &[], &ends);
    assert_eq!(accept_starts(&mut rig).len(), 1);
});

case!(a_capacity_may_shrink_to_zero_and_return, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(0), &ids);
    assert_eq!(submit(&mut rig, 2, 1), []);
    rig.advance(100);
    assert_eq!(rig.stops(), []);
    list_capacity(&mut rig, &cores(16), &ids);
    assert_eq!(accept_starts(&mut rig).len(), 1);
});

case!(a_capacity_that_cannot_be_read_changes_nothing, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(8), &ids);
    list_capacity(&mut rig, &Some(Err(EntryFault::Fields)), &ids);
    assert_eq!(
        submit(&mut rig, 2, 3).len(),
        1,
        "the capacity is still 8 cores"
    );
});

case!(a_listing_without_capacity_leaves_a_later_entry_in_force, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(4), &ids);
    list_capacity(&mut rig, &None, &ids);
    assert_eq!(
        submit(&mut rig, 2, 1),
        [],
        "the last listed capacity is in force"
    );
    change_entry(&mut rig, 8);
    list_capacity(&mut rig, &None, &ids);
    list_capacity(&mut rig, &None, &ids);
    assert_eq!(accept_starts(&mut rig).len(), 1);
});

case!(a_new_incarnation_starts_with_its_entry, {
    let (mut rig, ids) = holder_with_tasks(1);
    list_capacity(&mut rig, &cores(4), &ids);
    rig.advance(10);
    for (call, _) in rig.renewals() {
        let reply = TargetReply::Listing {
            clock: 40,
            running: Vec::new(),
            ended: Vec::new(),
            process_start: Some(ProcessStartTime(2)),
            capacity: None,
        };
        rig.target_reply(call, reply);
    }
    rig.advance(10);
    for (call, _) in rig.renewals() {
        rig.listing(call, &[], &[]);
    }
    assert_eq!(
        submit(&mut rig, 2, 4).len(),
        4,
        "none of 16 cores is in use"
    );
});

case!(remaining_resources_are_never_negative, {
    let has = Resources {
        cpu: 4_000,
        memory_mb: 10,
        gpus: 1,
    };
    let more = Resources {
        cpu: 4_001,
        memory_mb: 10,
        gpus: 2,
    };
    assert_eq!(has.saturating_sub(&more), Resources::default());
    assert!(!has.saturating_sub(&more).fits(&has));
});
