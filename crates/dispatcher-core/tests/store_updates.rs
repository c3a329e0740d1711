//! Readers of the platform's store, and the updates that other hosts receive from them.

mod support;

use gannetridge_dispatcher_core::decision::StoreReading;
use gannetridge_dispatcher_core::event::{SendFailure, TargetChange, TargetEntry};
use gannetridge_dispatcher_core::message::{
    DrainingUpdate, HostInfo, PlatformUpdate, ReplyBody, Request, StoreUpdate, TargetListUpdate,
};
use gannetridge_dispatcher_core::rules::store_readers::{reader_to_ask, readers};
use gannetridge_dispatcher_core::{CallId, Event, Millis, StoreTable};
use support::{case, peer_info, target, Rig};

fn host(number: u16, hall: &str, processor_weight: u32) -> HostInfo {
    HostInfo {
        name: format!("peer-{number}").into(),
        address: ([127, 0, 0, 1], 100 + number).into(),
        hall: hall.into(),
        processor_weight,
        ..peer_info()
    }
}

/// Returns hosts of two halls; the first two of each have the most processor time.
fn two_halls() -> Vec<HostInfo> {
    let weight = |number| if number < 2 { 2_000 } else { 100 };
    let north = (0..6).map(|number| host(number, "north", weight(number)));
    let south = (0..6).map(|number| host(10 + number, "south", weight(number)));
    north.chain(south).collect()
}

/// Returns a host of the north hall that isn't one of its readers, and knows version 10 of the
/// store with one target.
fn host_with_updates() -> Rig {
    let mut rig = Rig::new();
    // Right after its start, a host doesn't treat missing entries as removed.
    rig.advance(2_000);
    rig.event(Event::HostsRead(two_halls()));
    rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
    store_answered(&mut rig, 10);
    pass_with_heartbeats(&mut rig, 400);
    rig
}

/// Advances the time while all peers answer heartbeats.
fn pass_with_heartbeats(rig: &mut Rig, ms: Millis) {
    for _ in 0..ms / 20 {
        rig.advance(20);
        rig.answer_heartbeats(0);
    }
}

fn store_answered(rig: &mut Rig, version: u64) {
    for table in [StoreTable::Targets, StoreTable::Configuration] {
        rig.event(Event::StoreAnswered {
            table,
            version,
            age_ms: 0,
        });
    }
}

fn update(version: u64, age_ms: u64, list: TargetListUpdate) -> StoreUpdate {
    StoreUpdate {
        targets_version: version,
        configuration_version: version,
        in_force: 1,
        age_ms,
        settled: true,
        list,
    }
}

/// Takes the requests for updates, each with the peer's name and the known version.
fn update_requests(rig: &mut Rig) -> Vec<(CallId, String, u64)> {
    let asked = rig.requests(|request| matches!(request, Request::PlatformUpdates { .. }));
    let asked = asked.into_iter().map(|(call, envelope)| {
        let Request::PlatformUpdates { after } = envelope.request else {
            panic!("not a request for updates");
        };
        let number = rig.addresses[&call].port() - 100;
        (call, format!("peer-{number}"), after)
    });
    asked.collect()
}

/// Replies with an update and no draining hall.
fn reply_with_update(rig: &mut Rig, call: CallId, update: StoreUpdate) {
    let draining = Some(DrainingUpdate {
        version: update.configuration_version,
        halls: Vec::new(),
    });
    reply_with_platform_update(rig, call, update, draining);
}

fn reply_with_platform_update(
    rig: &mut Rig,
    call: CallId,
    store: StoreUpdate,
    draining: Option<DrainingUpdate>,
) {
    let update = PlatformUpdate { store, draining };
    let reply = Ok(rig.reply(ReplyBody::PlatformUpdates(Some(update)), 0));
    rig.event(Event::PeerReply { call, reply });
}

/// Advances the time until the host requests an update, replies to it and returns the peer's name.
fn reply_to_next_request(rig: &mut Rig, update: StoreUpdate) -> String {
    for _ in 0..100 {
        rig.advance(10);
        rig.answer_heartbeats(0);
        if let Some((call, name, _)) = update_requests(rig).pop() {
            reply_with_update(rig, call, update);
            return name;
        }
    }
    panic!("no update is requested");
}

fn known_targets(rig: &Rig) -> usize {
    rig.host.counts(rig.now).targets_known
}

fn listed(id: &str) -> TargetChange {
    TargetChange::Listed(target(id, 16))
}

fn whole(ids: &[&str]) -> TargetListUpdate {
    let entries: Vec<TargetEntry> = ids.iter().map(|id| target(id, 16)).collect();
    TargetListUpdate::Whole(entries)
}

case!(the_hosts_with_the_most_processor_time_read_the_store, {
    let hosts = two_halls();
    let mut names = readers(&hosts, "north");
    names.sort();
    assert_eq!(names, ["peer-0".into(), "peer-1".into()]);
    let few: Vec<HostInfo> = hosts.into_iter().take(4).collect();
    assert_eq!(
        readers(&few, "north"),
        [],
        "in a small hall each host reads for itself"
    );
});

case!(all_readers_of_all_halls_are_asked_in_turn, {
    let hosts = two_halls();
    let own = host(5, "north", 100);
    let asked: Vec<_> = (0..4)
        .filter_map(|n| reader_to_ask(&hosts, &own, n))
        .collect();
    let halls: Vec<bool> = asked.iter().map(|name| name.len() == 6).collect();
    assert_eq!(halls.iter().filter(|near| **near).count(), 2, "{asked:?}");
    let mut different = asked.clone();
    different.sort();
    different.dedup();
    assert_eq!(different.len(), 4, "{asked:?}");
    assert_eq!(reader_to_ask(&[], &own, 3), None);
});

case!(a_host_with_updates_from_peers_does_not_read_the_store, {
    let mut rig = host_with_updates();
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::FromPeers);
    for version in 11..31 {
        let asked = reply_to_next_request(
            &mut rig,
            update(version, 0, TargetListUpdate::Changes(Vec::new())),
        );
        assert!(["peer-0", "peer-1"].contains(&&*asked), "{asked}");
        assert_eq!(rig.host.store_reading(rig.now), StoreReading::FromPeers);
    }
    assert_eq!(rig.host.store_version(StoreTable::Targets), 30);
});

case!(changes_received_from_a_peer_are_applied, {
    let mut rig = host_with_updates();
    let changes = TargetListUpdate::Changes(vec![listed("b"), listed("c")]);
    reply_to_next_request(&mut rig, update(11, 0, changes));
    assert_eq!(known_targets(&rig), 3);
    let gone = TargetListUpdate::Changes(vec![TargetChange::Removed("b".into())]);
    reply_to_next_request(&mut rig, update(12, 0, gone));
    rig.advance(100);
    assert_eq!(known_targets(&rig), 2);
});

case!(an_older_list_from_a_peer_is_ignored, {
    let mut rig = host_with_updates();
    reply_to_next_request(&mut rig, update(12, 0, whole(&["a", "b"])));
    reply_to_next_request(&mut rig, update(11, 0, whole(&["a"])));
    rig.advance(100);
    assert_eq!(known_targets(&rig), 2);
    assert_eq!(rig.host.store_version(StoreTable::Targets), 12);
});

case!(a_host_without_updates_from_peers_reads_the_store, {
    let mut rig = host_with_updates();
    pass_with_heartbeats(&mut rig, 1_200);
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::Stale);
    store_answered(&mut rig, 11);
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::FromPeers);
});

case!(outdated_updates_from_peers_make_a_host_read_the_store, {
    let mut rig = host_with_updates();
    for _ in 0..4 {
        reply_to_next_request(
            &mut rig,
            update(10, 1_000, TargetListUpdate::Changes(Vec::new())),
        );
    }
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::Stale);
});

case!(other_readers_are_asked_after_outdated_updates, {
    let mut rig = host_with_updates();
    let mut asked = Vec::new();
    for _ in 0..8 {
        asked.push(reply_to_next_request(
            &mut rig,
            update(10, 2_000, TargetListUpdate::Changes(Vec::new())),
        ));
    }
    asked.sort();
    asked.dedup();
    assert!(asked.len() >= 4, "{asked:?}");
});

case!(
    a_host_without_store_access_since_its_start_gets_the_whole_list,
    {
        let mut rig = Rig::new();
        rig.event(Event::HostsRead(two_halls()));
        rig.event(Event::StoreReachable(false));
        pass_with_heartbeats(&mut rig, 400);
        let (call, _, after) = update_requests(&mut rig)
            .pop()
            .expect("an update is requested");
        assert_eq!(after, 0, "the whole list is requested");
        // An outdated list is better than none.
        reply_with_update(&mut rig, call, update(10, 60, whole(&["a", "b", "c"])));
        assert_eq!(known_targets(&rig), 3);
    }
);

case!(a_reader_sends_the_changes_after_a_version, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(
        vec![target("a", 16), target("b", 16)].into(),
    ));
    store_answered(&mut rig, 10);
    // A change without effect isn't sent.
    rig.event(Event::TargetsChanged(vec![listed("a"), listed("c")]));
    store_answered(&mut rig, 11);
    rig.now += 40;
    for (request, after) in [(1, 10), (2, 11), (3, 0)] {
        rig.send_peer_request(request, Request::StoreUpdates { after });
    }
    let updates: Vec<StoreUpdate> = rig
        .replies
        .iter()
        .map(|(_, reply)| match &reply.body {
            ReplyBody::StoreUpdates(Some(update)) => update.clone(),
            other => panic!("no update: {other:?}"),
        })
        .collect();
    let lengths: Vec<usize> = updates
        .iter()
        .map(|update| match &update.list {
            TargetListUpdate::Whole(entries) => 100 + entries.len(),
            TargetListUpdate::Changes(changes) => changes.len(),
            TargetListUpdate::WholeWithUnusable(list) => {
                panic!("unexpected unusable entries: {list:?}")
            }
        })
        .collect();
    assert_eq!(lengths, [1, 0, 103]);
    assert!(updates.iter().all(|update| update.targets_version == 11));
    assert!(updates.iter().all(|update| update.age_ms == 40));
});

case!(a_host_without_known_tables_sends_no_update, {
    let mut rig = Rig::new();
    rig.send_peer_request(1, Request::StoreUpdates { after: 0 });
    let body = &rig.replies[0].1.body;
    assert!(matches!(body, ReplyBody::StoreUpdates(None)), "{body:?}");
});

case!(
    a_newer_configuration_is_requested_from_the_peer_that_reported_it,
    {
        let mut rig = host_with_updates();
        let mut newer = update(11, 0, TargetListUpdate::Changes(Vec::new()));
        newer.in_force = 2;
        reply_to_next_request(&mut rig, newer);
        let asked = rig.requests(|request| matches!(request, Request::Configuration));
        assert_eq!(asked.len(), 1);
        // Until the configuration arrives, the table isn't known up to this version.
        assert_eq!(rig.host.store_version(StoreTable::Configuration), 10);
    }
);

case!(a_host_without_earlier_changes_sends_the_whole_list, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
    store_answered(&mut rig, 10);
    // A host that knows version 9 may know targets that were removed since.
    rig.send_peer_request(1, Request::StoreUpdates { after: 9 });
    let ReplyBody::StoreUpdates(Some(update)) = &rig.replies[0].1.body else {
        panic!("no update");
    };
    assert!(matches!(&update.list, TargetListUpdate::Whole(entries) if entries.len() == 1));
});

case!(
    updates_from_peers_are_applied_while_the_store_is_unreachable,
    {
        let mut rig = host_with_updates();
        rig.event(Event::StoreReachable(false));
        let gone = TargetListUpdate::Changes(vec![TargetChange::Removed("a".into())]);
        let mut unsettled = update(11, 0, gone);
        unsettled.settled = false;
        reply_to_next_request(&mut rig, unsettled);
        rig.advance(100);
        assert_eq!(known_targets(&rig), 1, "the entry may reappear");
        reply_to_next_request(
            &mut rig,
            update(12, 0, TargetListUpdate::Changes(Vec::new())),
        );
        rig.advance(100);
        assert_eq!(known_targets(&rig), 0);
    }
);

/// Returns a host of the north hall after an update at version 11 with the given draining halls.
fn host_with_draining_update(draining: Option<DrainingUpdate>) -> Rig {
    let mut rig = host_with_updates();
    rig.advance(400);
    let (call, _, _) = update_requests(&mut rig)
        .pop()
        .expect("an update is requested");
    let store = update(11, 0, TargetListUpdate::Changes(Vec::new()));
    reply_with_platform_update(&mut rig, call, store, draining);
    rig
}

fn halls_draining(rig: &Rig) -> usize {
    rig.host.counts(rig.now).halls_draining
}

case!(draining_halls_are_passed_on, {
    let south = DrainingUpdate {
        version: 11,
        halls: vec!["south".into()],
    };
    let mut rig = host_with_draining_update(Some(south.clone()));
    assert_eq!(halls_draining(&rig), 1);
    assert_eq!(rig.host.store_version(StoreTable::Configuration), 11);
    rig.send_peer_request(1, Request::PlatformUpdates { after: 11 });
    let ReplyBody::PlatformUpdates(Some(reply)) = &rig.replies[0].1.body else {
        panic!("no update");
    };
    assert_eq!(reply.draining, Some(south));
});

case!(older_draining_halls_are_ignored, {
    let mut rig = host_with_draining_update(Some(DrainingUpdate {
        version: 11,
        halls: vec!["south".into()],
    }));
    // An outdated reader doesn't know that the hall is draining.
    reply_to_next_request(
        &mut rig,
        update(10, 0, TargetListUpdate::Changes(Vec::new())),
    );
    assert_eq!(halls_draining(&rig), 1);
    // Nor does the delayed answer to an earlier read.
    rig.event(Event::DrainingHallsRead {
        version: 10,
        halls: Vec::new(),
    });
    assert_eq!(halls_draining(&rig), 1);
    reply_to_next_request(
        &mut rig,
        update(12, 0, TargetListUpdate::Changes(Vec::new())),
    );
    assert_eq!(halls_draining(&rig), 0);
});

case!(
    the_table_counts_as_known_no_further_than_its_draining_halls,
    {
        // A host that continued reading from version 11 would miss a hall drained before it.
        let rig = host_with_draining_update(None);
        assert_eq!(rig.host.store_version(StoreTable::Targets), 11);
        assert_eq!(rig.host.store_version(StoreTable::Configuration), 10);
    }
);

case!(
    a_host_of_an_earlier_release_gets_a_reply_that_it_can_decode,
    {
        let mut rig = host_with_draining_update(Some(DrainingUpdate {
            version: 11,
            halls: vec!["south".into()],
        }));
        rig.send_peer_request(1, Request::StoreUpdates { after: 11 });
        let body = &rig.replies[0].1.body;
        assert!(matches!(body, ReplyBody::StoreUpdates(Some(_))), "{body:?}");
    }
);

case!(other_readers_are_asked_after_requests_without_reply, {
    let mut rig = host_with_updates();
    let mut asked = Vec::new();
    for _ in 0..200 {
        rig.advance(10);
        rig.answer_heartbeats(0);
        for (call, name, _) in update_requests(&mut rig) {
            asked.push(name);
            let reply = Err(SendFailure::Unknown);
            rig.event(Event::PeerReply { call, reply });
        }
    }
    asked.sort();
    asked.dedup();
    assert!(asked.len() >= 4, "{asked:?}");
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::Stale);
});

case!(
    a_delayed_answer_of_the_store_has_newer_changes_requested_again,
    {
        let mut rig = host_with_updates();
        let mut leaving = target("a", 16);
        leaving.leaving = true;
        let newer = TargetListUpdate::Changes(vec![TargetChange::Listed(leaving)]);
        reply_to_next_request(&mut rig, update(12, 0, newer));
        // The delayed answer to an earlier read of the store.
        rig.event(Event::TargetsChanged(vec![listed("a")]));
        rig.event(Event::StoreAnswered {
            table: StoreTable::Targets,
            version: 11,
            age_ms: 0,
        });
        // Otherwise the change at version 12, that the target is leaving, would be lost.
        assert_eq!(rig.host.store_version(StoreTable::Targets), 11);
        rig.advance(400);
        let (_, _, after) = update_requests(&mut rig)
            .pop()
            .expect("an update is requested");
        assert_eq!(after, 11);
    }
);
