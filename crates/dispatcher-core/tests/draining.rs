//! Draining halls: no new tasks start in them, and jobs that need them end.

mod support;

use gannetridge_dispatcher_core::event::{HallChange, ListedOutcome, TargetEntry};
use gannetridge_dispatcher_core::message::{
    Demand, HostInfo, Priority, PriorityClass, ReplyBody, Request,
};
use gannetridge_dispatcher_core::rules::draining::DrainingHalls;
use gannetridge_dispatcher_core::{Answer, Event, TargetReply};
use support::{case, ended, order, peer_info, resources, step, target, Rig};

const ID: &str = "5c0e7a21d94b36f8";

/// Drains the given halls and no others.
fn drain(rig: &mut Rig, version: u64, halls: &[&str]) {
    let halls = halls.iter().map(|hall| (*hall).into()).collect();
    rig.event(Event::DrainingHallsRead { version, halls });
}

fn in_south(id: &str) -> TargetEntry {
    TargetEntry {
        hall: "south".into(),
        ..target(id, 16)
    }
}

/// Returns a host of the north hall that holds a target there; a peer is in the south hall, which
/// has a target too.
fn north_and_south() -> Rig {
    let mut south = peer_info();
    south.hall = "south".into();
    let mut rig = Rig::new();
    rig.event(Event::HostsRead(vec![south]));
    rig.event(Event::TargetsRead(
        vec![target("near", 16), in_south("far")].into(),
    ));
    for _ in 0..100 {
        rig.advance(10);
        rig.answer_heartbeats(0);
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[]);
        }
    }
    rig
}

case!(nothing_starts_in_a_draining_hall, {
    let mut rig = north_and_south();
    drain(&mut rig, 5, &["north"]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.advance(60);
    assert!(rig.starts().is_empty());
    assert_eq!(rig.answer_to(1), None, "the other hall could run it");
});

case!(a_hall_that_stops_draining_serves_at_once, {
    let mut rig = north_and_south();
    drain(&mut rig, 5, &["north"]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.advance(20);
    rig.event(Event::DrainingHallsChanged {
        version: 6,
        changes: vec![HallChange {
            hall: "north".into(),
            draining: false,
        }],
    });
    rig.idle_targets_answer();
    assert_eq!(rig.starts().len(), 1);
});

case!(attempts_in_a_draining_hall_continue_but_are_not_retried, {
    let mut rig = north_and_south();
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.idle_targets_answer();
    let (call, _, key) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    drain(&mut rig, 5, &["north"]);
    rig.advance(40);
    assert!(rig.stops().is_empty());
    for (call, _) in rig.renewals() {
        rig.listing(call, &[], &[ended(1, &key, ListedOutcome::Failed)]);
    }
    rig.advance(40);
    assert!(rig.starts().is_empty());
});

case!(a_peers_tasks_are_not_started_in_a_draining_hall, {
    let mut rig = north_and_south();
    drain(&mut rig, 5, &["north"]);
    rig.send_peer_request(1, Request::Place(vec![order("0123456789abcdef.0.0.0", 60)]));
    let (_, reply) = rig.replies.last().expect("a reply");
    assert!(matches!(&reply.body, ReplyBody::Placed(started) if started.is_empty()));
    assert!(reply.free.is_empty(), "no free resources are advertised");
    assert!(rig.starts().is_empty());
});

case!(nothing_is_reserved_in_a_draining_hall, {
    let demand = Demand {
        priority: Priority {
            class: PriorityClass::OnTime,
            urgency: 0,
            slack_ms: 10,
        },
        pool: "pool".into(),
        smallest: resources(7_000),
        tasks: 1,
    };
    let reserved = |halls: &[&str]| {
        let mut rig = north_and_south();
        drain(&mut rig, 5, halls);
        rig.send_peer_request(1, Request::Demand(Some(demand.clone())));
        rig.advance(20);
        let reservations = rig.requests(|request| matches!(request, Request::Reservation(_)));
        reservations.len()
    };
    assert_eq!(reserved(&["north"]), 0);
    assert_eq!(reserved(&["south"]), 1);
});

case!(jobs_are_refused_at_once_while_all_halls_drain, {
    let mut rig = north_and_south();
    drain(&mut rig, 5, &["north", "south"]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    let refused = Answer::Refused {
        retry_after_ms: 3_000,
    };
    assert_eq!(rig.answer_to(1), Some(&refused));
});

case!(waiting_jobs_are_refused_at_once_when_all_halls_drain, {
    let mut rig = north_and_south();
    // The first job fills the target, the second one waits.
    rig.submit(1, ID, vec![step(2, 8_000, 200)], 3_000);
    rig.submit(2, "00000000000000a2", vec![step(1, 8_000, 200)], 3_000);
    drain(&mut rig, 5, &["north", "south"]);
    let answer = rig.answer_to(2);
    assert!(matches!(answer, Some(Answer::Refused { .. })), "{answer:?}");
    assert_eq!(rig.answer_to(1), None, "the running job continues");
});

case!(a_started_job_ends_once_it_can_continue_nowhere, {
    let mut rig = north_and_south();
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.idle_targets_answer();
    let (call, _, key) = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(call, TargetReply::Accepted { clock });
    drain(&mut rig, 5, &["north", "south"]);
    rig.advance(20);
    assert_eq!(rig.answer_to(1), None, "the job is still running");
    for (call, _) in rig.renewals() {
        rig.listing(call, &[], &[ended(1, &key, ListedOutcome::Failed)]);
    }
    rig.advance(20);
    assert_eq!(rig.answer_to(1), Some(&Answer::Unfinished));
});

case!(demands_are_sent_to_hosts_of_serving_halls, {
    let mut rig = Rig::new();
    let host = |number: u16, hall: &str| HostInfo {
        name: format!("peer-{number}").into(),
        address: ([127, 0, 0, 1], 100 + number).into(),
        hall: hall.into(),
        ..peer_info()
    };
    let hosts = (0..12).map(|number| host(number, if number < 9 { "north" } else { "south" }));
    rig.event(Event::HostsRead(hosts.collect()));
    rig.event(Event::TargetsRead(
        vec![target("near", 16), in_south("far")].into(),
    ));
    for _ in 0..40 {
        rig.advance(10);
        rig.answer_heartbeats(0);
    }
    drain(&mut rig, 5, &["north"]);
    rig.submit(1, ID, vec![step(1, 7_000, 60)], 3_000);
    rig.advance(10);
    let demands = rig.requests(|request| matches!(request, Request::Demand(_)));
    let ports = demands.iter().map(|(call, _)| rig.addresses[call].port());
    let mut ports: Vec<u16> = ports.collect();
    ports.sort_unstable();
    assert_eq!(ports, [109, 110, 111]);
});

case!(an_older_version_does_not_replace_a_newer_one, {
    let mut halls = DrainingHalls::default();
    let change = |hall: &str, draining| HallChange {
        hall: hall.into(),
        draining,
    };
    assert_eq!(halls.apply(7, &[change("a", true)]), [change("a", true)]);
    assert_eq!(halls.replace(6, Vec::new()), []);
    assert_eq!(halls.apply(6, &[change("a", false)]), []);
    assert!(halls.halls().contains("a"));
    // A hall that is draining already isn't a change.
    assert_eq!(halls.replace(7, vec!["a".into()]), []);
    // A hall stops draining and is drained again within one page of changes.
    let twice = [change("a", false), change("b", true), change("a", true)];
    assert_eq!(halls.apply(9, &twice), [change("b", true)]);
    // The whole set replaces a lost history of changes.
    assert_eq!(halls.replace(12, vec!["b".into()]), [change("a", false)]);
    assert_eq!(halls.version(), Some(12));
});
