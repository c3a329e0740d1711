//! Other hosts, and what is believed of them.

mod support;

use gannetridge_dispatcher_core::event::SendFailure;
use gannetridge_dispatcher_core::message::{HeartbeatReply, ReplyBody, Request};
use gannetridge_dispatcher_core::{Answer, Event, TargetReply};
use support::{case, order, peer_info, step, target, Rig};

const ID: &str = "5c0e7a21d94b36f8";

/// A host that knows a peer, which holds the target `far`.
fn with_peer(free_cpu: u32) -> Rig {
    let mut rig = Rig::new();
    rig.event(Event::HostsRead(vec![peer_info()]));
    rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
    for _ in 0..100 {
        rig.pass(10);
        rig.answer_heartbeats(free_cpu);
    }
    assert!(rig.renewals().is_empty(), "the peer keeps it");
    rig
}

case!(
    a_silent_peers_targets_are_acquired_after_two_owner_leases,
    {
        let mut rig = with_peer(0);
        rig.pass(900);
        assert!(rig.renewals().is_empty(), "it may only be slow to answer");
        rig.pass(400);
        assert_eq!(rig.renewals().len(), 1);
    }
);

case!(a_refused_peers_targets_are_taken_at_once, {
    let mut rig = with_peer(0);
    rig.pass(200);
    let heartbeats = rig.requests(|request| matches!(request, Request::Heartbeat(_)));
    rig.event(Event::PeerReply {
        call: heartbeats[0].0,
        reply: Err(SendFailure::Refused),
    });
    rig.pass(60);
    assert_eq!(rig.renewals().len(), 1);
});

case!(a_host_that_hears_few_leaves_their_targets_alone, {
    let mut rig = Rig::new();
    let mut others = Vec::new();
    for port in 3..6 {
        let mut info = peer_info();
        info.name = format!("peer-{port}").into();
        info.address.set_port(port);
        others.push(info);
    }
    rig.event(Event::HostsRead(others));
    rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
    for _ in 0..100 {
        rig.pass(10);
        rig.answer_heartbeats(0);
    }
    // All three fall silent together: more likely this host is cut off.
    rig.pass(7_000);
    assert!(rig.renewals().is_empty());
    rig.pass(2_000);
    assert_eq!(rig.renewals().len(), 1, "or they are gone after all");
});

case!(
    an_incumbent_takes_a_target_back_however_often_it_is_taken,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        rig.pass(3_100);
        for _ in 0..3 {
            for (call, _) in rig.renewals() {
                let clock = rig.now + 500_000;
                rig.target_reply(call, TargetReply::StaleToken { clock });
            }
            let taking = rig.renewals();
            assert_eq!(taking.len(), 1, "it is taken back at once");
            rig.listing(taking[0].0, &[], &[]);
            rig.pass(3_000);
        }
    }
);

case!(a_lost_peers_attempts_are_repeated_only_once_over, {
    let mut rig = with_peer(16_000);
    rig.submit(1, ID, vec![step(1, 7_000, 900)], 6_000);
    let asked = rig.requests(|request| matches!(request, Request::Place(_)));
    let reply = Ok(rig.reply(ReplyBody::Placed(vec![0]), 0));
    rig.event(Event::PeerReply {
        call: asked[0].0,
        reply,
    });
    let last_heard = rig.now;
    let mut place = Vec::new();
    while place.is_empty() {
        rig.pass(10);
        assert!(rig.now < last_heard + 5_000, "it is tried again");
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[]);
        }
        place = rig.starts();
    }
    let over = support::BOUNDS.times().unwrap().lost_attempts_over;
    assert!(
        rig.now >= last_heard + over,
        "{} after {last_heard}",
        rig.now
    );
    assert_eq!(place[0].2.attempt, 2);
});

case!(tasks_are_started_only_under_a_valid_owner_lease, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let order = order("00000000000000aa.0.0.0", 900);
    rig.peer_asks(1, Request::Place(vec![order.clone()]));
    assert!(matches!(rig.replies[0].1.body, ReplyBody::Placed(_)));
    assert_eq!(rig.starts().len(), 1);
    // The peer falls silent: its run is ended, and late orders are stale.
    rig.pass(600);
    assert_eq!(rig.stops(), vec![order.id]);
});

case!(a_task_without_a_target_uses_a_reservation, {
    let mut rig = with_peer(0);
    rig.submit(1, ID, vec![step(1, 7_000, 300)], 3_000);
    let demands = rig.requests(|request| matches!(request, Request::Demand(Some(_))));
    assert_eq!(demands.len(), 1);
    let free = gannetridge_dispatcher_core::message::FreeResources {
        pool: "pool".into(),
        resources: support::resources(8_000),
    };
    rig.peer_asks(1, Request::Reservation(free));
    assert!(matches!(rig.replies[0].1.body, ReplyBody::Interested(true)));
    assert_eq!(rig.requests(|r| matches!(r, Request::Place(_))).len(), 1);
    assert_eq!(rig.answer_to(1), None::<&Answer>);
});

case!(
    a_peers_next_life_is_heard_though_its_last_had_more_sessions,
    {
        let mut rig = with_peer(16_000);
        // The last incarnation has given up its runs here several times.
        rig.peer_asks_as(1, 7, 5, Request::Demand(None));
        // A reply is the first that tells of the next life, whose sessions begin
        // anew.
        rig.pass(200);
        let heartbeats = rig.requests(|request| matches!(request, Request::Heartbeat(_)));
        let mut reply = rig.reply(
            ReplyBody::Heartbeat(gannetridge_dispatcher_core::message::HeartbeatReply {
                leaving: false,
                version: 1,
                leased: Vec::new(),
                hosts: Vec::new(),
            }),
            16_000,
        );
        reply.incarnation = 8;
        rig.event(Event::PeerReply {
            call: heartbeats[0].0,
            reply: Ok(reply),
        });
        rig.peer_asks_as(2, 8, 1, Request::Ended(Vec::new()));
        let heard = rig.replies.iter().find(|(request_id, _)| request_id.0 == 2);
        assert!(matches!(heard.unwrap().1.body, ReplyBody::Acknowledged));
    }
);

case!(ends_that_were_not_heard_are_told_again, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let order = order("00000000000000aa.0.0.0", 900);
    rig.peer_asks(1, Request::Place(vec![order.clone()]));
    let start = rig.starts().remove(0);
    rig.target_reply(
        start.0,
        TargetReply::Accepted {
            clock: rig.now + 500_000,
        },
    );
    rig.pass(20);
    let target_lease = rig.renewals().remove(0);
    let end = support::ended(
        1,
        &order.id,
        gannetridge_dispatcher_core::event::ListedOutcome::Done,
    );
    rig.listing(target_lease.0, &[], &[end]);
    let ended = |request: &Request| matches!(request, Request::Ended(_));
    let told = rig.requests(ended);
    assert_eq!(told.len(), 1);
    let reply = Ok(rig.reply(ReplyBody::Stale, 0));
    let call = told[0].0;
    rig.event(Event::PeerReply { call, reply });
    rig.pass(150);
    assert_eq!(rig.requests(ended).len(), 1, "they are told once more");
});

case!(attempts_of_a_restarted_peers_last_life_are_stopped, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let order = order("00000000000000aa.0.0.0", 900);
    rig.peer_asks(1, Request::Place(vec![order.clone()]));
    let start = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(start.0, TargetReply::Accepted { clock });
    // It restarts within an owner lease, and its sessions begin anew.
    rig.pass(200);
    assert!(rig.stops().is_empty(), "its lease is valid");
    rig.peer_asks_as(2, 8, 1, Request::Demand(None));
    assert_eq!(rig.stops(), vec![order.id]);
});

/// Returns how many targets of twenty a host takes that knows a peer and gets no answer.
fn taken_without_answers(ms: u64) -> usize {
    let mut rig = Rig::new();
    rig.event(Event::HostsRead(vec![peer_info()]));
    let targets: Vec<_> = (0..20).map(|n| target(&format!("t{n}"), 16)).collect();
    rig.event(Event::TargetsRead(targets.into()));
    rig.pass(ms);
    rig.renewals().len()
}

case!(a_host_that_has_just_started_leaves_others_theirs, {
    // Before, it took all twenty after 250 ms.
    assert_eq!(taken_without_answers(900), 0);
    assert_eq!(taken_without_answers(1_200), 20, "nobody is there");
});

case!(a_host_that_hears_one_other_leaves_those_of_the_unheard, {
    let mut rig = Rig::new();
    let mut unheard = peer_info();
    unheard.name = "unheard".into();
    unheard.address.set_port(4);
    rig.event(Event::HostsRead(vec![peer_info(), unheard]));
    let targets: Vec<_> = (0..30).map(|n| target(&format!("t{n}"), 16)).collect();
    rig.event(Event::TargetsRead(targets.into()));
    let heard = |rig: &mut Rig| {
        let all = rig.requests(|request| matches!(request, Request::Heartbeat(_)));
        for (call, _) in all {
            if rig.addresses[&call].port() == 3 {
                let body = ReplyBody::Heartbeat(HeartbeatReply {
                    leaving: false,
                    version: 1,
                    leased: Vec::new(),
                    hosts: Vec::new(),
                });
                let reply = Ok(rig.reply(body, 0));
                rig.event(Event::PeerReply { call, reply });
            }
        }
    };
    let mut taken = 0;
    for _ in 0..60 {
        rig.pass(10);
        heard(&mut rig);
        taken += rig.renewals().len();
    }
    assert!((4..=16).contains(&taken), "a third of thirty: {taken}");
});
