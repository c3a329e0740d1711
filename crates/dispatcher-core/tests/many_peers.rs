//! Cost and freshness of the messages to peers in a large deployment.

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

/// Creates a host that knows this many peers.
fn with_peers(peers: u16) -> Rig {
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

/// Advances the time, answers all heartbeats and returns their number.
fn heartbeats_in(rig: &mut Rig, ms: Millis, free_cpu: u32) -> usize {
    let mut count = 0;
    let end = rig.now + ms;
    while rig.now < end {
        rig.advance(10);
        count += rig
            .requests
            .iter()
            .filter(|(_, e)| is_heartbeat(&e.request))
            .count();
        rig.answer_heartbeats(free_cpu);
    }
    count
}

case!(
    the_rate_of_idle_heartbeats_does_not_grow_with_the_number_of_hosts,
    {
        let few = heartbeats_in(&mut with_peers(8), 20_000, 0);
        let many = heartbeats_in(&mut with_peers(48), 20_000, 0);
        assert!(many <= few * 11 / 10, "{many} over {few}");
    }
);

case!(peers_stay_alive_between_rare_heartbeats, {
    let mut rig = with_peers(48);
    heartbeats_in(&mut rig, 5_000, 0);
    for _ in 0..100 {
        heartbeats_in(&mut rig, 50, 0);
        assert_eq!(rig.host.counts(rig.now).peers_alive, 48);
    }
});

case!(silent_peers_are_detected_among_many, {
    let mut rig = with_peers(48);
    heartbeats_in(&mut rig, 5_000, 0);
    rig.advance(2_200);
    assert_eq!(rig.host.counts(rig.now).peers_alive, 0);
});

case!(advertisements_of_a_demand_rotate_over_the_peers, {
    let mut rig = with_peers(48);
    heartbeats_in(&mut rig, 5_000, 0);
    rig.submit(1, ID, vec![step(1, 7_000, 300)], 3_000);
    let mut recipients = Vec::new();
    for _ in 0..2 {
        let demands = rig.requests(|request| matches!(request, Request::Demand(Some(_))));
        assert_eq!(demands.len(), 8);
        recipients.extend(demands.into_iter().map(|(call, _)| rig.addresses[&call]));
        rig.advance(100);
    }
    recipients.sort();
    recipients.dedup();
    assert_eq!(recipients.len(), 16);
});

case!(a_peers_clock_is_requested_before_tasks_are_handed_to_it, {
    let mut rig = with_peers(48);
    heartbeats_in(&mut rig, 5_000, 16_000);
    // Nothing was received from any peer for longer than half an owner lease.
    rig.advance(300);
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
    assert_eq!(
        rig.requests(is_place).len(),
        1,
        "the task is handed over at once"
    );
});

case!(heartbeats_renew_the_owner_lease_where_tasks_run, {
    let mut rig = with_peers(48);
    heartbeats_in(&mut rig, 5_000, 16_000);
    rig.submit(1, ID, vec![step(1, 7_000, 2_000)], 6_000);
    rig.answer_heartbeats(16_000);
    let (call, envelope) = rig.requests(is_place).remove(0);
    let holder = rig.addresses[&call];
    let reply = Ok(rig.reply(ReplyBody::Placed(vec![0]), 0));
    rig.event(Event::PeerReply { call, reply });
    let mut newest = envelope
        .echoed_clock
        .expect("the peer's clock is known")
        .clock;
    let owner_lease = support::BOUNDS.times().unwrap().owner_lease_ms;
    for _ in 0..150 {
        rig.advance(10);
        let requests = rig.requests.iter();
        let to_holder = requests.filter(|(call, _)| rig.addresses[call] == holder);
        let clocks = to_holder.filter_map(|(_, e)| e.echoed_clock);
        newest = clocks
            .map(|echoed_clock| echoed_clock.clock)
            .max()
            .unwrap_or(0)
            .max(newest);
        rig.answer_heartbeats(0);
        // The peer's clock is 90 s ahead; see `Rig::reply`.
        let age = rig.now + 90_000 - newest;
        assert!(
            age < owner_lease,
            "the newest echo at the holder is {age} ms old"
        );
    }
});

case!(one_request_carries_all_tasks_that_fit_at_a_peer, {
    let mut rig = with_peers(48);
    heartbeats_in(&mut rig, 5_000, 64_000);
    rig.submit(1, ID, vec![step(8, 7_000, 300)], 3_000);
    // A peer whose clock isn't fresh is asked for it first.
    rig.answer_heartbeats(64_000);
    let places = rig.requests(is_place);
    assert_eq!(places.len(), 1);
    let Request::Place(orders) = &places[0].1.request else {
        panic!("expected a request to place tasks");
    };
    assert_eq!(orders.len(), 8);
});
