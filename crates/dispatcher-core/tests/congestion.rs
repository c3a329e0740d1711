//! The delay that a host attributes to its own link, and the timeout of starts.

mod support;

use gannetridge_dispatcher_core::message::{HostInfo, Request};
use gannetridge_dispatcher_core::rules::congestion::{LocalDelay, StartReplyTimes};
use gannetridge_dispatcher_core::{Event, Millis};
use support::{case, peer_info, step, target, Rig};

/// Returns the delay after replies of several peers in windows of 100 ms, the quickest of which
/// took `least_ms`.
fn after_replies(least_ms: Millis, slow_peers_ms: Millis) -> LocalDelay {
    let mut delay = LocalDelay::default();
    for now in (0..500).step_by(20) {
        delay.observe(now, slow_peers_ms);
        delay.observe(now, least_ms);
    }
    delay
}

case!(a_slow_peer_does_not_count_as_local_delay, {
    assert_eq!(after_replies(4, 300).delay_ms(), 0);
    assert_eq!(after_replies(4, 300).extra_demand_interval_ms(), 0);
});

case!(a_delay_of_all_replies_counts_as_local, {
    let delay = after_replies(60, 300);
    assert_eq!(delay.delay_ms(), 50);
    assert_eq!(delay.extra_demand_interval_ms(), 400);
    assert_eq!(delay.extra_wait_ms(), 100);
});

case!(a_single_slow_reply_is_ignored, {
    let mut delay = LocalDelay::default();
    delay.observe(0, 200);
    delay.observe(150, 200);
    assert_eq!(delay.delay_ms(), 0);
});

case!(quick_replies_end_the_delay, {
    let mut delay = after_replies(60, 60);
    for now in (500..800).step_by(20) {
        delay.observe(now, 3);
    }
    assert_eq!(delay.delay_ms(), 0);
});

/// Returns the number of demands that a host whose replies take `took_ms` sends in a second to its
/// five peers.
fn demands_in_a_second(took_ms: Millis) -> usize {
    let mut rig = Rig::new();
    let peers = (3..8).map(|port| HostInfo {
        name: format!("peer-{port}").into(),
        address: ([127, 0, 0, 1], port).into(),
        ..peer_info()
    });
    rig.event(Event::HostsRead(peers.collect()));
    rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
    rig.advance(50);
    rig.answer_heartbeats(0);
    rig.submit(1, "5c0e7a21d94b36f8", vec![step(4, 7_000, 1_500)], 9_000);
    let mut demands = 0;
    let mut open = Vec::new();
    for _ in 0..100 {
        rig.advance(10);
        for (call, envelope) in rig.requests(|_| true) {
            demands += usize::from(matches!(envelope.request, Request::Demand(_)));
            open.push((rig.now + took_ms, call, envelope.request));
        }
        let now = rig.now;
        let (due, later): (Vec<_>, Vec<_>) = open.into_iter().partition(|(at, _, _)| *at <= now);
        open = later;
        for (_, call, request) in due {
            rig.reply_to(call, &request);
        }
    }
    demands
}

case!(fewer_demands_are_sent_over_a_full_link, {
    let (free, full) = (demands_in_a_second(2), demands_in_a_second(80));
    assert!(free >= 45, "{free}");
    assert!(
        full <= 25,
        "{full} with replies after 80 ms, {free} after 2"
    );
});

case!(the_start_timeout_follows_slow_replies, {
    let mut quick = StartReplyTimes::default();
    assert_eq!(quick.timeout_ms(), 150, "nothing is known");
    for _ in 0..400 {
        quick.record_reply(3);
    }
    assert_eq!(quick.timeout_ms(), 40);
    let mut slow_link = quick;
    slow_link.record_reply(30);
    assert_eq!(slow_link.timeout_ms(), 120, "one slow reply is enough");
});

case!(one_lost_reply_in_twenty_keeps_the_start_timeout_short, {
    let mut replies = StartReplyTimes::default();
    for _ in 0..100 {
        (0..19).for_each(|_| replies.record_reply(3));
        replies.record_missing_reply();
    }
    assert!(replies.timeout_ms() <= 60, "{}", replies.timeout_ms());
    // Without any reply in time, the timeout may be too short.
    (0..20).for_each(|_| replies.record_missing_reply());
    assert_eq!(replies.timeout_ms(), 150);
});
