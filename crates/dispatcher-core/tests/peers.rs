//! Liveness of peers, owner leases, and what follows for targets and attempts.

mod support;

use gannetridge_dispatcher_core::event::SendFailure;
use gannetridge_dispatcher_core::message::{HeartbeatReply, ReplyBody, Request};
use gannetridge_dispatcher_core::{Answer, Event, TargetReply};
use support::{case, order, peer_info, step, target, Rig};

const ID: &str = "5c0e7a21d94b36f8";

/// Creates a host that knows a peer, which holds the target `far`.
fn with_peer(free_cpu: u32) -> Rig {
    let mut rig = Rig::new();
    rig.event(Event::HostsRead(vec![peer_info()]));
    rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
    for _ in 0..100 {
        rig.advance(10);
        rig.answer_heartbeats(free_cpu);
    }
    assert!(rig.renewals().is_empty(), "the peer holds its lease");
    rig
}

case!(
    targets_of_a_silent_peer_are_acquired_after_two_owner_leases,
    {
        let mut rig = with_peer(0);
        rig.advance(900);
        assert!(rig.renewals().is_empty(), "the peer may only be slow");
        rig.advance(400);
        assert_eq!(rig.renewals().len(), 1);
    }
);

case!(
    targets_of_a_peer_that_refuses_connections_are_acquired_at_once,
    {
        let mut rig = with_peer(0);
        rig.advance(200);
        let heartbeats = rig.requests(|request| matches!(request, Request::Heartbeat(_)));
        rig.event(Event::PeerReply {
            call: heartbeats[0].0,
            reply: Err(SendFailure::Refused),
        });
        rig.advance(60);
        assert_eq!(rig.renewals().len(), 1);
    }
);

case!(a_host_in_the_minority_leaves_the_targets_of_silent_peers, {
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
        rig.advance(10);
        rig.answer_heartbeats(0);
    }
    // All three are silent at once: probably this host is cut off.
    rig.advance(7_000);
    assert!(rig.renewals().is_empty());
    rig.advance(2_000);
    assert_eq!(rig.renewals().len(), 1, "after 8 s the peers count as dead");
});

case!(
    a_holder_reacquires_a_target_each_time_another_host_acquires_it,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        rig.advance(3_100);
        for _ in 0..3 {
            for (call, _) in rig.renewals() {
                let clock = rig.now + 500_000;
                rig.target_reply(call, TargetReply::StaleToken { clock });
            }
            let renewals = rig.renewals();
            assert_eq!(renewals.len(), 1, "it is reacquired at once");
            rig.listing(renewals[0].0, &[], &[]);
            rig.advance(3_000);
        }
    }
);

case!(
    attempts_at_a_lost_peer_are_retried_only_after_they_have_ended,
    {
        let mut rig = with_peer(16_000);
        rig.submit(1, ID, vec![step(1, 7_000, 900)], 6_000);
        let asked = rig.requests(|request| matches!(request, Request::Place(_)));
        let reply = Ok(rig.reply(ReplyBody::Placed(vec![0]), 0));
        rig.event(Event::PeerReply {
            call: asked[0].0,
            reply,
        });
        let last_contact = rig.now;
        let mut starts = Vec::new();
        while starts.is_empty() {
            rig.advance(10);
            assert!(rig.now < last_contact + 5_000, "the task is started again");
            for (call, _) in rig.renewals() {
                rig.listing(call, &[], &[]);
            }
            starts = rig.starts();
        }
        let over = support::BOUNDS.times().unwrap().lost_attempts_over_ms;
        assert!(
            rig.now >= last_contact + over,
            "{} after {last_contact}",
            rig.now
        );
        assert_eq!(starts[0].2.attempt, 2);
    }
);

case!(attempts_are_stopped_when_the_owner_lease_expires, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let order = order("00000000000000aa.0.0.0", 900);
    rig.send_peer_request(1, Request::Place(vec![order.clone()]));
    assert!(matches!(rig.replies[0].1.body, ReplyBody::Placed(_)));
    assert_eq!(rig.starts().len(), 1);
    // The peer is silent for longer than an owner lease.
    rig.advance(600);
    assert_eq!(rig.stops(), vec![order.id]);
});

case!(a_task_without_a_free_target_uses_a_reservation, {
    let mut rig = with_peer(0);
    rig.submit(1, ID, vec![step(1, 7_000, 300)], 3_000);
    let demands = rig.requests(|request| matches!(request, Request::Demand(Some(_))));
    assert_eq!(demands.len(), 1);
    let free = gannetridge_dispatcher_core::message::FreeResources {
        pool: "pool".into(),
        resources: support::resources(8_000),
    };
    rig.send_peer_request(1, Request::Reservation(free));
    assert!(matches!(rig.replies[0].1.body, ReplyBody::Interested(true)));
    assert_eq!(rig.requests(|r| matches!(r, Request::Place(_))).len(), 1);
    assert_eq!(rig.answer_to(1), None::<&Answer>);
});

case!(
    a_new_incarnation_is_accepted_with_a_lower_session_than_the_last,
    {
        let mut rig = with_peer(16_000);
        // The earlier incarnation has reached session 5.
        rig.send_peer_request_as(1, 7, 5, Request::Demand(None));
        // This host learns of the new incarnation, whose sessions start at 1, by a reply.
        rig.advance(200);
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
        rig.send_peer_request_as(2, 8, 1, Request::Ended(Vec::new()));
        let reply = rig.replies.iter().find(|(request_id, _)| request_id.0 == 2);
        assert!(matches!(reply.unwrap().1.body, ReplyBody::Acknowledged));
    }
);

case!(ends_that_were_not_acknowledged_are_sent_again, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let order = order("00000000000000aa.0.0.0", 900);
    rig.send_peer_request(1, Request::Place(vec![order.clone()]));
    let start = rig.starts().remove(0);
    rig.target_reply(
        start.0,
        TargetReply::Accepted {
            clock: rig.now + 500_000,
        },
    );
    rig.advance(20);
    let renewal = rig.renewals().remove(0);
    let end = support::ended(
        1,
        &order.id,
        gannetridge_dispatcher_core::event::ListedOutcome::Done,
    );
    rig.listing(renewal.0, &[], &[end]);
    let ended = |request: &Request| matches!(request, Request::Ended(_));
    let sent = rig.requests(ended);
    assert_eq!(sent.len(), 1);
    let reply = Ok(rig.reply(ReplyBody::Stale, 0));
    let call = sent[0].0;
    rig.event(Event::PeerReply { call, reply });
    rig.advance(150);
    assert_eq!(rig.requests(ended).len(), 1, "they are sent once more");
});

case!(attempts_of_an_earlier_incarnation_of_a_peer_are_stopped, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let order = order("00000000000000aa.0.0.0", 900);
    rig.send_peer_request(1, Request::Place(vec![order.clone()]));
    let start = rig.starts().remove(0);
    let clock = rig.now + 500_000;
    rig.target_reply(start.0, TargetReply::Accepted { clock });
    // The peer restarts within an owner lease.
    rig.advance(200);
    assert!(rig.stops().is_empty(), "its lease is valid");
    rig.send_peer_request_as(2, 8, 1, Request::Demand(None));
    assert_eq!(rig.stops(), vec![order.id]);
});

/// Returns how many of twenty targets a host acquires that knows a peer and gets no reply.
fn acquired_without_replies(ms: u64) -> usize {
    let mut rig = Rig::new();
    rig.event(Event::HostsRead(vec![peer_info()]));
    let targets: Vec<_> = (0..20).map(|n| target(&format!("t{n}"), 16)).collect();
    rig.event(Event::TargetsRead(targets.into()));
    rig.advance(ms);
    rig.renewals().len()
}

case!(
    a_host_that_has_just_started_waits_for_replies_before_it_acquires_targets,
    {
        assert_eq!(acquired_without_replies(900), 0);
        assert_eq!(
            acquired_without_replies(1_200),
            20,
            "no peer has replied in time"
        );
    }
);

case!(
    a_host_leaves_the_share_of_a_peer_that_has_not_replied_yet,
    {
        let mut rig = Rig::new();
        let mut silent = peer_info();
        silent.name = "unheard".into();
        silent.address.set_port(4);
        rig.event(Event::HostsRead(vec![peer_info(), silent]));
        let targets: Vec<_> = (0..30).map(|n| target(&format!("t{n}"), 16)).collect();
        rig.event(Event::TargetsRead(targets.into()));
        let answer_peer = |rig: &mut Rig| {
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
        let mut acquired = 0;
        for _ in 0..60 {
            rig.advance(10);
            answer_peer(&mut rig);
            acquired += rig.renewals().len();
        }
        assert!(
            (4..=16).contains(&acquired),
            "a third of thirty: {acquired}"
        );
    }
);
