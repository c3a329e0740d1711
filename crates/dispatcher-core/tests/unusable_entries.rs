//! Targets whose entries in the platform's list are unusable.

mod support;

use gannetridge_dispatcher_core::decision::EntryFault;
use gannetridge_dispatcher_core::event::{ListedOutcome, TargetChange, TargetList, UnusableEntry};
use gannetridge_dispatcher_core::message::{ReplyBody, Request, TargetListUpdate};
use gannetridge_dispatcher_core::{Event, StoreTable, TargetCall};
use support::{case, ended, step, target, Rig};

fn unusable(id: &str) -> UnusableEntry {
    UnusableEntry {
        id: id.into(),
        fault: EntryFault::Fields,
    }
}

fn becomes_unusable(id: &str) -> Event {
    Event::TargetsChanged(vec![TargetChange::Unusable(unusable(id))])
}

fn becomes_usable(id: &str) -> Event {
    Event::TargetsChanged(vec![TargetChange::Listed(target(id, 16))])
}

/// Submits a job of one task; returns true if it was started at once.
fn starts_job(rig: &mut Rig, request_id: u64) -> bool {
    let id = format!("{request_id:016x}");
    rig.submit(request_id, &id, vec![step(1, 7_000, 100)], 1_500);
    !rig.starts().is_empty()
}

case!(a_known_target_gets_no_tasks_until_its_entry_is_usable, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    assert!(starts_job(&mut rig, 1));
    rig.event(becomes_unusable("near"));
    assert!(!starts_job(&mut rig, 2), "started on an unusable entry");
    rig.event(becomes_usable("near"));
    rig.event(Event::Tick);
    assert_eq!(rig.starts().len(), 1, "the waiting job starts");
});

case!(attempts_on_an_unusable_target_continue, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, "0000000000000001", vec![step(1, 7_000, 100)], 1_500);
    let (call, _, id) = rig.starts().pop().expect("a start");
    rig.target_reply(
        call,
        gannetridge_dispatcher_core::TargetReply::Accepted {
            clock: rig.now + 500_000,
        },
    );
    rig.event(becomes_unusable("near"));
    rig.advance(50);
    assert_eq!(rig.stops(), [], "nothing is stopped");
    let (renewal, _) = rig.renewals().pop().expect("its lease is renewed");
    rig.listing(renewal, &[], &[ended(1, &id, ListedOutcome::Done)]);
    assert!(rig.answer_to(1).is_some(), "the job is answered");
});

case!(an_unusable_entry_of_an_unknown_target_is_ignored, {
    let mut rig = Rig::new();
    rig.event(becomes_unusable("far-away"));
    rig.advance(1_000);
    assert!(rig.calls.is_empty(), "{:?}", rig.calls);
    assert_eq!(rig.host.counts(rig.now).targets_known, 0);
});

case!(half_of_a_full_list_may_be_unusable, {
    let ids: Vec<String> = (0..8).map(|number| format!("t-{number}")).collect();
    let targets: Vec<_> = ids.iter().map(|id| target(id, 16)).collect();
    let mut rig = Rig::holding_targets(&targets);
    let list = TargetList {
        targets: targets[..4].to_vec(),
        unusable: ids[4..].iter().map(|id| unusable(id)).collect(),
    };
    rig.event(Event::TargetsRead(list));
    rig.submit(1, "0000000000000001", vec![step(16, 7_000, 100)], 1_500);
    let mut used: Vec<String> = rig.starts().into_iter().map(|start| start.1).collect();
    used.sort();
    used.dedup();
    assert_eq!(used, ids[..4]);
    // The other targets stay known, and are used once their entries are usable.
    rig.event(Event::TargetsRead(targets.into()));
    rig.event(Event::Tick);
    assert_eq!(rig.starts().len(), 8);
});

case!(
    targets_of_a_pool_that_the_configuration_does_not_name_are_not_called,
    {
        let mut rig = Rig::new();
        let mut stranger = target("stranger", 16);
        stranger.pool = "nobody's".into();
        rig.event(Event::TargetsRead(
            vec![stranger, target("near", 16)].into(),
        ));
        rig.advance(1_000);
        let called: Vec<&str> = rig.calls.iter().map(|called| &*called.target).collect();
        assert!(called.iter().all(|target| *target == "near"), "{called:?}");
        assert!(!called.is_empty());
    }
);

case!(an_unusable_target_is_not_acquired, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("near", 16)].into()));
    rig.event(becomes_unusable("near"));
    rig.advance(1_000);
    let renews = |called: &support::Called| matches!(called.order, TargetCall::Renew { .. });
    assert!(!rig.calls.iter().any(renews), "{:?}", rig.calls);
    rig.event(becomes_usable("near"));
    rig.advance(100);
    assert!(rig.calls.iter().any(renews));
});

/// Requests the platform's state and returns the list in the reply.
fn reported_list(rig: &mut Rig, after: u64) -> TargetListUpdate {
    rig.send_peer_request(9, Request::PlatformUpdates { after });
    let (_, reply) = rig.replies.pop().expect("a reply");
    let ReplyBody::PlatformUpdates(Some(update)) = reply.body else {
        panic!("no list: {:?}", reply.body);
    };
    update.store.list
}

fn store_answers(rig: &mut Rig, version: u64) {
    for table in [StoreTable::Targets, StoreTable::Configuration] {
        rig.event(Event::StoreAnswered {
            table,
            version,
            age_ms: 0,
        });
    }
}

case!(unusable_entries_are_reported_to_peers, {
    let mut rig = Rig::holding_targets(&[target("a", 16), target("b", 16)]);
    store_answers(&mut rig, 10);
    rig.event(becomes_unusable("b"));
    store_answers(&mut rig, 11);
    let TargetListUpdate::Changes(changes) = reported_list(&mut rig, 10) else {
        panic!("all changes since are known");
    };
    assert_eq!(changes, [TargetChange::Unusable(unusable("b"))]);
    let TargetListUpdate::WholeWithUnusable(list) = reported_list(&mut rig, 0) else {
        panic!("a peer without a list is sent all of it");
    };
    assert_eq!(list.targets, [target("a", 16)]);
    assert_eq!(list.unusable, [unusable("b")]);
    // Without unusable entries, hosts of earlier releases can read the list as well.
    rig.event(becomes_usable("b"));
    store_answers(&mut rig, 12);
    assert!(
        matches!(reported_list(&mut rig, 0), TargetListUpdate::Whole(targets) if targets.len() == 2)
    );
});
