//! Who reads the platform's store, and what the others are told and believe.

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

/// Hosts of two halls; the first two of each have the most processor time.
fn two_halls() -> Vec<HostInfo> {
    let weight = |number| if number < 2 { 2_000 } else { 100 };
    let north = (0..6).map(|number| host(number, "north", weight(number)));
    let south = (0..6).map(|number| host(10 + number, "south", weight(number)));
    north.chain(south).collect()
}

/// A host of the north hall, with less processor time than its readers, that has read the
/// store up to version 10 and found one target.
fn told_host() -> Rig {
    let mut rig = Rig::new();
    // Right after its start a host takes no entry that is missing for gone.
    rig.pass(2_000);
    rig.event(Event::HostsRead(two_halls()));
    rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
    answered(&mut rig, 10);
    hear_all(&mut rig, 400);
    rig
}

/// Lets time pass while all peers answer heartbeats.
fn hear_all(rig: &mut Rig, ms: Millis) {
    for _ in 0..ms / 20 {
        rig.pass(20);
        rig.answer_heartbeats(0);
    }
}

fn answered(rig: &mut Rig, version: u64) {
    for table in [StoreTable::Targets, StoreTable::Configuration] {
        rig.event(Event::StoreAnswered {
            table,
            version,
            age_ms: 0,
        });
    }
}

fn news(version: u64, age_ms: u64, list: TargetListUpdate) -> StoreUpdate {
    StoreUpdate {
        targets_version: version,
        configuration_version: version,
        in_force: 1,
        age_ms,
        settled: true,
        list,
    }
}

/// Takes the questions for news, each with the name of whom it went to.
fn questions(rig: &mut Rig) -> Vec<(CallId, String, u64)> {
    let asked = rig.requests(|request| matches!(request, Request::PlatformUpdates { .. }));
    let asked = asked.into_iter().map(|(call, envelope)| {
        let Request::PlatformUpdates { after } = envelope.request else {
            panic!("it asks for news");
        };
        let number = rig.addresses[&call].port() - 100;
        (call, format!("peer-{number}"), after)
    });
    asked.collect()
}

/// Tells the host news, and that no hall is draining.
fn tell(rig: &mut Rig, call: CallId, news: StoreUpdate) {
    let draining = Some(DrainingUpdate {
        version: news.configuration_version,
        halls: Vec::new(),
    });
    tell_platform_news(rig, call, news, draining);
}

fn tell_platform_news(
    rig: &mut Rig,
    call: CallId,
    store: StoreUpdate,
    draining: Option<DrainingUpdate>,
) {
    let news = PlatformUpdate { store, draining };
    let reply = Ok(rig.reply(ReplyBody::PlatformUpdates(Some(news)), 0));
    rig.event(Event::PeerReply { call, reply });
}

/// Lets time pass until the host asks, and answers it.
fn tell_next(rig: &mut Rig, news: StoreUpdate) -> String {
    for _ in 0..100 {
        rig.pass(10);
        rig.answer_heartbeats(0);
        if let Some((call, name, _)) = questions(rig).pop() {
            tell(rig, call, news);
            return name;
        }
    }
    panic!("it asks");
}

fn known(rig: &Rig) -> usize {
    rig.host.counts(rig.now).targets_known
}

fn there(id: &str) -> TargetChange {
    TargetChange::Listed(target(id, 16))
}

fn whole(ids: &[&str]) -> TargetListUpdate {
    let entries: Vec<TargetEntry> = ids.iter().map(|id| target(id, 16)).collect();
    TargetListUpdate::Whole(entries)
}

case!(the_hosts_with_the_most_processor_time_read, {
    let hosts = two_halls();
    let mut names = readers(&hosts, "north");
    names.sort();
    assert_eq!(names, ["peer-0".into(), "peer-1".into()]);
    let few: Vec<HostInfo> = hosts.into_iter().take(4).collect();
    assert_eq!(readers(&few, "north"), [], "each of few reads for itself");
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

case!(a_host_that_is_told_does_not_read, {
    let mut rig = told_host();
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::FromPeers);
    for version in 11..31 {
        let asked = tell_next(
            &mut rig,
            news(version, 0, TargetListUpdate::Changes(Vec::new())),
        );
        assert!(["peer-0", "peer-1"].contains(&&*asked), "{asked}");
        assert_eq!(rig.host.store_reading(rig.now), StoreReading::FromPeers);
    }
    assert_eq!(rig.host.store_version(StoreTable::Targets), 30);
});

case!(what_changed_is_told, {
    let mut rig = told_host();
    let changes = TargetListUpdate::Changes(vec![there("b"), there("c")]);
    tell_next(&mut rig, news(11, 0, changes));
    assert_eq!(known(&rig), 3);
    let gone = TargetListUpdate::Changes(vec![TargetChange::Removed("b".into())]);
    tell_next(&mut rig, news(12, 0, gone));
    rig.pass(100);
    assert_eq!(known(&rig), 2);
});

case!(a_told_list_never_goes_back, {
    let mut rig = told_host();
    tell_next(&mut rig, news(12, 0, whole(&["a", "b"])));
    tell_next(&mut rig, news(11, 0, whole(&["a"])));
    rig.pass(100);
    assert_eq!(known(&rig), 2);
    assert_eq!(rig.host.store_version(StoreTable::Targets), 12);
});

case!(a_host_that_nobody_tells_reads_for_itself, {
    let mut rig = told_host();
    hear_all(&mut rig, 1_200);
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::Stale);
    answered(&mut rig, 11);
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::FromPeers);
});

case!(a_reader_that_lies_behind_is_not_believed_for_long, {
    let mut rig = told_host();
    for _ in 0..4 {
        tell_next(
            &mut rig,
            news(10, 1_000, TargetListUpdate::Changes(Vec::new())),
        );
    }
    assert_eq!(rig.host.store_reading(rig.now), StoreReading::Stale);
});

case!(a_reader_that_knows_nothing_new_is_passed_over, {
    let mut rig = told_host();
    let mut asked = Vec::new();
    for _ in 0..8 {
        asked.push(tell_next(
            &mut rig,
            news(10, 2_000, TargetListUpdate::Changes(Vec::new())),
        ));
    }
    asked.sort();
    asked.dedup();
    assert!(asked.len() >= 4, "{asked:?}");
});

case!(
    a_host_that_the_store_turns_away_from_its_start_is_told_all,
    {
        let mut rig = Rig::new();
        rig.event(Event::HostsRead(two_halls()));
        rig.event(Event::StoreReachable(false));
        hear_all(&mut rig, 400);
        let (call, _, after) = questions(&mut rig).pop().expect("it asks");
        assert_eq!(after, 0, "for all");
        // Old news is better than none.
        tell(&mut rig, call, news(10, 60, whole(&["a", "b", "c"])));
        assert_eq!(known(&rig), 3);
    }
);

case!(a_reader_tells_what_changed_since, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(
        vec![target("a", 16), target("b", 16)].into(),
    ));
    answered(&mut rig, 10);
    // A row that says nothing new isn't told.
    rig.event(Event::TargetsChanged(vec![there("a"), there("c")]));
    answered(&mut rig, 11);
    rig.now += 40;
    for (request, after) in [(1, 10), (2, 11), (3, 0)] {
        rig.peer_asks(request, Request::StoreUpdates { after });
    }
    let told: Vec<StoreUpdate> = rig
        .replies
        .iter()
        .map(|(_, reply)| match &reply.body {
            ReplyBody::StoreUpdates(Some(news)) => news.clone(),
            other => panic!("it tells: {other:?}"),
        })
        .collect();
    let lengths: Vec<usize> = told
        .iter()
        .map(|news| match &news.list {
            TargetListUpdate::Whole(entries) => 100 + entries.len(),
            TargetListUpdate::Changes(changes) => changes.len(),
            TargetListUpdate::WholeWithUnusable(list) => panic!("none is unusable: {list:?}"),
        })
        .collect();
    assert_eq!(lengths, [1, 0, 103]);
    assert!(told.iter().all(|news| news.targets_version == 11));
    assert!(told.iter().all(|news| news.age_ms == 40));
});

case!(a_host_that_knows_nothing_says_so, {
    let mut rig = Rig::new();
    rig.peer_asks(1, Request::StoreUpdates { after: 0 });
    let body = &rig.replies[0].1.body;
    assert!(matches!(body, ReplyBody::StoreUpdates(None)), "{body:?}");
});

case!(
    a_newer_configuration_is_asked_of_the_host_that_told_of_it,
    {
        let mut rig = told_host();
        let mut newer = news(11, 0, TargetListUpdate::Changes(Vec::new()));
        newer.in_force = 2;
        tell_next(&mut rig, newer);
        let asked = rig.requests(|request| matches!(request, Request::Configuration));
        assert_eq!(asked.len(), 1);
        // Until it has come, this host doesn't say that it knows the store up to here.
        assert_eq!(rig.host.store_version(StoreTable::Configuration), 10);
    }
);

case!(a_host_that_only_just_knows_the_list_tells_it_whole, {
    let mut rig = Rig::new();
    rig.event(Event::TargetsRead(vec![target("a", 16)].into()));
    answered(&mut rig, 10);
    // Whoever knew version 9 may know targets that are gone since.
    rig.peer_asks(1, Request::StoreUpdates { after: 9 });
    let ReplyBody::StoreUpdates(Some(news)) = &rig.replies[0].1.body else {
        panic!("it tells");
    };
    assert!(matches!(&news.list, TargetListUpdate::Whole(entries) if entries.len() == 1));
});

case!(
    what_is_told_while_the_store_turns_a_host_away_is_believed,
    {
        let mut rig = told_host();
        rig.event(Event::StoreReachable(false));
        let gone = TargetListUpdate::Changes(vec![TargetChange::Removed("a".into())]);
        let mut unsettled = news(11, 0, gone);
        unsettled.settled = false;
        tell_next(&mut rig, unsettled);
        rig.pass(100);
        assert_eq!(known(&rig), 1, "entries may come back");
        tell_next(&mut rig, news(12, 0, TargetListUpdate::Changes(Vec::new())));
        rig.pass(100);
        assert_eq!(known(&rig), 0);
    }
);

/// A host of the north hall that was told that the south hall is draining.
fn told_of_south(draining: Option<DrainingUpdate>) -> Rig {
    let mut rig = told_host();
    rig.pass(400);
    let (call, _, _) = questions(&mut rig).pop().expect("it asks");
    let store = news(11, 0, TargetListUpdate::Changes(Vec::new()));
    tell_platform_news(&mut rig, call, store, draining);
    rig
}

fn halls_draining(rig: &Rig) -> usize {
    rig.host.counts(rig.now).halls_draining
}

case!(draining_halls_are_told, {
    let south = DrainingUpdate {
        version: 11,
        halls: vec!["south".into()],
    };
    let mut rig = told_of_south(Some(south.clone()));
    assert_eq!(halls_draining(&rig), 1);
    assert_eq!(rig.host.store_version(StoreTable::Configuration), 11);
    rig.peer_asks(1, Request::PlatformUpdates { after: 11 });
    let ReplyBody::PlatformUpdates(Some(told)) = &rig.replies[0].1.body else {
        panic!("it tells");
    };
    assert_eq!(told.draining, Some(south));
});

case!(told_halls_never_go_back, {
    let mut rig = told_of_south(Some(DrainingUpdate {
        version: 11,
        halls: vec!["south".into()],
    }));
    // A reader that lies behind tells of the time before.
    tell_next(&mut rig, news(10, 0, TargetListUpdate::Changes(Vec::new())));
    assert_eq!(halls_draining(&rig), 1);
    // So does the answer to a read that was on its way meanwhile.
    rig.event(Event::DrainingHallsRead {
        version: 10,
        halls: Vec::new(),
    });
    assert_eq!(halls_draining(&rig), 1);
    tell_next(&mut rig, news(12, 0, TargetListUpdate::Changes(Vec::new())));
    assert_eq!(halls_draining(&rig), 0);
});

case!(
    the_table_counts_as_known_no_further_than_its_draining_halls,
    {
        // A host that would read on from version 11 would never hear of a hall drained
        // before that.
        let rig = told_of_south(None);
        assert_eq!(rig.host.store_version(StoreTable::Targets), 11);
        assert_eq!(rig.host.store_version(StoreTable::Configuration), 10);
    }
);

case!(a_host_of_an_earlier_release_gets_the_reply_it_knows, {
    let mut rig = told_of_south(Some(DrainingUpdate {
        version: 11,
        halls: vec!["south".into()],
    }));
    rig.peer_asks(1, Request::StoreUpdates { after: 11 });
    let body = &rig.replies[0].1.body;
    assert!(matches!(body, ReplyBody::StoreUpdates(Some(_))), "{body:?}");
});

case!(
    a_host_of_an_earlier_release_that_does_not_tell_is_passed_over,
    {
        let mut rig = told_host();
        let mut asked = Vec::new();
        for _ in 0..200 {
            rig.pass(10);
            rig.answer_heartbeats(0);
            for (call, name, _) in questions(&mut rig) {
                asked.push(name);
                let reply = Err(SendFailure::Unknown);
                rig.event(Event::PeerReply { call, reply });
            }
        }
        asked.sort();
        asked.dedup();
        assert!(asked.len() >= 4, "{asked:?}");
        assert_eq!(rig.host.store_reading(rig.now), StoreReading::Stale);
    }
);

case!(
    an_answer_that_was_overtaken_by_newer_news_has_them_told_again,
    {
        let mut rig = told_host();
        let mut leaving = target("a", 16);
        leaving.leaving = true;
        let newer = TargetListUpdate::Changes(vec![TargetChange::Listed(leaving)]);
        tell_next(&mut rig, news(12, 0, newer));
        // A read of the store was on its way meanwhile.
        rig.event(Event::TargetsChanged(vec![there("a")]));
        rig.event(Event::StoreAnswered {
            table: StoreTable::Targets,
            version: 11,
            age_ms: 0,
        });
        // Before, reading went on after version 12, and the target never left here.
        assert_eq!(rig.host.store_version(StoreTable::Targets), 11);
        rig.pass(400);
        let (_, _, after) = questions(&mut rig).pop().expect("it asks");
        assert_eq!(after, 11);
    }
);
