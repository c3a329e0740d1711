//! What a host spends on its peers where there are many.

mod support;

use gannetridge_dispatcher_core::message::{ReplyBody, Request};
use gannetridge_dispatcher_core::{Event, Millis};
use support::{case, peer_info, step, Rig};

const ID: &str = "5c0e7a21d94b36f8";

fn is_heartbeat(request: &Request) -> bool {
    matches!(request, Request::Heartbeat(_))
}

fn is_place(request: &Request) -> bool {
    matches!(request, Request::Place(_))
}

/// A host that knows so many peers.
fn among(peers: u16) -> Rig {
    let mut rig = Rig::new();
    let hosts = (0..peers).map(|number| {
        let mut info = peer_info();
        info.name = format!("peer-{number}").into();
        info.address.set_port(100 + number);
        info
    });
    rig.event(Event::HostsRead(hosts.collect()));
    rig
}

/// Lets time pass, answers all heartbeats and counts them.
fn heartbeats_in(rig: &mut Rig, ms: Millis, free_cpu: u32) -> usize {
    let mut count = 0;
    let end = rig.now + ms;
    while rig.now < end {
        rig.pass(10);
        count += rig
            .requests
            .iter()
            .filter(|(_, e)| is_heartbeat(&e.request))
            .count();
        rig.answer_heartbeats(free_cpu);
    }
    count
}

case!(idle_heartbeats_do_not_grow_with_the_hosts, {
    let few = heartbeats_in(&mut among(8), 20_000, 0);
    let many = heartbeats_in(&mut among(48), 20_000, 0);
    assert!(many <= few * 11 / 10, "{many} over {few}");
});

case!(peers_of_many_are_taken_to_live_all_the_same, {
    let mut rig = among(48);
    heartbeats_in(&mut rig, 5_000, 0);
    for _ in 0..100 {
        heartbeats_in(&mut rig, 50, 0);
        assert_eq!(rig.host.counts(rig.now).peers_alive, 48);
    }
});

case!(silent_peers_of_many_are_noticed, {
    let mut rig = among(48);
    heartbeats_in(&mut rig, 5_000, 0);
    rig.pass(2_200);
    assert_eq!(rig.host.counts(rig.now).peers_alive, 0);
});

case!(a_demand_is_advertised_to_some_of_many_and_to_others_next, {
    let mut rig = among(48);
    heartbeats_in(&mut rig, 5_000, 0);
    rig.submit(1, ID, vec![step(1, 7_000, 300)], 3_000);
    let mut told = Vec::new();
    for _ in 0..2 {
        let demands = rig.requests(|request| matches!(request, Request::Demand(Some(_))));
        assert_eq!(demands.len(), 8);
        told.extend(demands.into_iter().map(|(call, _)| rig.addresses[&call]));
        rig.pass(100);
    }
    told.sort();
    told.dedup();
    assert_eq!(told.len(), 16);
});

case!(a_peers_clock_is_heard_before_it_gets_tasks, {
    let mut rig = among(48);
    heartbeats_in(&mut rig, 5_000, 16_000);
    // Nothing was heard of anyone for longer than half an owner lease.
    rig.pass(300);
    rig.requests(|_| true);
    rig.submit(1, ID, vec![step(1, 7_000, 300)], 3_000);
    assert_eq!(rig.requests(is_place).len(), 0);
    assert_eq!(
        rig.requests
            .iter()
            .filter(|(_, e)| is_heartbeat(&e.request))
            .count(),
        1
    );
    rig.answer_heartbeats(16_000);
    assert_eq!(rig.requests(is_place).len(), 1, "then it gets them at once");
});

case!(heartbeats_renew_the_owner_lease_where_tasks_run, {
    let mut rig = among(48);
    heartbeats_in(&mut rig, 5_000, 16_000);
    rig.submit(1, ID, vec![step(1, 7_000, 2_000)], 6_000);
    rig.answer_heartbeats(16_000);
    let (call, envelope) = rig.requests(is_place).remove(0);
    let targets = rig.addresses[&call];
    let reply = Ok(rig.reply(ReplyBody::Placed(vec![0]), 0));
    rig.event(Event::PeerReply { call, reply });
    let mut newest = envelope.echoed_clock.expect("its clock was heard").clock;
    let owner_lease = support::BOUNDS.times().unwrap().owner_lease;
    for _ in 0..150 {
        rig.pass(10);
        let requests = rig.requests.iter();
        let there = requests.filter(|(call, _)| rig.addresses[call] == targets);
        let clocks = there.filter_map(|(_, e)| e.echoed_clock);
        newest = clocks
            .map(|echoed_clock| echoed_clock.clock)
            .max()
            .unwrap_or(0)
            .max(newest);
        rig.answer_heartbeats(0);
        // The peer's clock is ahead by 90 s; see the rig's replies.
        let age = rig.now + 90_000 - newest;
        assert!(
            age < owner_lease,
            "the newest echo at the holder is {age} ms old"
        );
    }
});

case!(one_request_carries_all_that_fits_at_a_peer, {
    let mut rig = among(48);
    heartbeats_in(&mut rig, 5_000, 64_000);
    rig.submit(1, ID, vec![step(8, 7_000, 300)], 3_000);
    // Those whose clock wasn't heard of late are asked for it first.
    rig.answer_heartbeats(64_000);
    let places = rig.requests(is_place);
    assert_eq!(places.len(), 1);
    let Request::Place(orders) = &places[0].1.request else {
        panic!("it places");
    };
    assert_eq!(orders.len(), 8);
});
