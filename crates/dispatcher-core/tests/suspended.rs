//! Suspended hosts: a host that was suspended for seconds drops its expired leases before it
//! handles any event, including one that was queued before.

mod support;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::event::ListedOutcome;
use gannetridge_dispatcher_core::message::{
    EchoedClock, Envelope, HeartbeatReply, ReplyBody, Request,
};
use gannetridge_dispatcher_core::{Event, Millis, RequestId, TargetCall, TargetReply};
use support::{case, ended, order, peer_info, step, target, Rig};

/// Far longer than any lease.
const GAP_MS: Millis = 3_000;
/// A little longer than half of an owner lease.
const SHORT_GAP_MS: Millis = 300;
/// The shortest timeout of a start; see `rules/congestion.rs`.
const MIN_START_WAIT_MS: Millis = 40;
/// The difference between targets' clocks and the test's.
const CLOCK_OFFSET_MS: Millis = 500_000;

/// A host on the clock that processes use, on a system that a test suspends.
struct SuspendedHost {
    rig: Rig,
    clock: Clock,
    since_boot: Arc<AtomicU64>,
    steady: Arc<AtomicU64>,
}

impl SuspendedHost {
    /// Creates a host on a clock that reads the system's time since boot and its steady clock.
    fn new(clock: impl Fn(Arc<AtomicU64>, Arc<AtomicU64>) -> Clock) -> Self {
        let rig = Rig::holding_targets(&[target("near", 16)]);
        let [since_boot, steady] = [(); 2].map(|()| Arc::new(AtomicU64::new(rig.now)));
        Self {
            clock: clock(since_boot.clone(), steady.clone()),
            rig,
            since_boot,
            steady,
        }
    }

    /// Starts a peer's task and suspends the host while the peer's next request is queued. Returns
    /// the number of attempts that run or may run after that.
    fn attempts_after_suspension(mut self) -> usize {
        let start = self.rig.now;
        let first = order("00000000000000aa.0.0.0", 900);
        self.rig.send_peer_request(1, Request::Place(vec![first]));
        let envelope = queued_place(start);
        self.since_boot.fetch_add(GAP_MS + 10, Ordering::Relaxed);
        self.steady.fetch_add(10, Ordering::Relaxed);
        self.rig.now = start + self.clock.now().as_millis() as Millis;
        self.rig.event(Event::Peer {
            request_id: RequestId(2),
            envelope: Box::new(envelope),
        });
        self.rig.host.counts(self.rig.now).attempts
    }
}

fn clock_reader(clock: Arc<AtomicU64>) -> impl Fn() -> Duration {
    move || Duration::from_millis(clock.load(Ordering::Relaxed))
}

/// A peer's request that proves that the peer received this host's clock at a time.
fn queued_place(received: Millis) -> Envelope {
    Envelope {
        from: peer_info(),
        session: 1,
        echoed_clock: Some(EchoedClock {
            incarnation: 5,
            clock: received,
        }),
        clock: 0,
        request: Request::Place(vec![order("00000000000000bb.0.0.0", 900)]),
    }
}

/// Returns a host that knows a peer with free resources and holds no target itself.
fn host_with_peer() -> Rig {
    let mut rig = Rig::new();
    rig.event(Event::HostsRead(vec![peer_info()]));
    rig.event(Event::TargetsRead(vec![target("far", 16)].into()));
    for _ in 0..100 {
        rig.advance(10);
        rig.answer_heartbeats(16_000);
    }
    rig
}

fn is_heartbeat(request: &Request) -> bool {
    matches!(request, Request::Heartbeat(_))
}

fn is_place(request: &Request) -> bool {
    matches!(request, Request::Place(_))
}

case!(
    an_unanswered_start_ends_and_nothing_is_started_or_renewed,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        rig.submit(1, "0000000000000001", vec![step(1, 7_000, 300)], 20_000);
        let (call, _, _) = rig.starts().remove(0);
        let clock = rig.now + CLOCK_OFFSET_MS;
        rig.renewals();
        rig.now += GAP_MS;
        // The reply arrived before the suspension.
        rig.target_reply(call, TargetReply::Accepted { clock });
        assert_eq!(
            rig.host.counts(rig.now).attempts,
            0,
            "its lease has expired"
        );
        assert_eq!(rig.starts(), [], "the target has not replied since");
        let renewals = rig.renewals();
        assert_eq!(renewals.len(), 1);
        assert_eq!(
            renewals[0].1, None,
            "it requests a listing and renews nothing"
        );
    }
);

case!(a_listing_from_before_the_suspension_renews_nothing, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    rig.submit(1, "0000000000000001", vec![step(1, 7_000, 300)], 20_000);
    let (call, _, id) = rig.starts().remove(0);
    let clock = rig.now + CLOCK_OFFSET_MS;
    rig.target_reply(call, TargetReply::Accepted { clock });
    rig.advance(10);
    let (call, _) = rig.renewals().remove(0);
    let reply = TargetReply::Listing {
        clock: rig.now + CLOCK_OFFSET_MS,
        running: Vec::new(),
        ended: Vec::new(),
        process_start: None,
        capacity: None,
    };
    rig.now += GAP_MS;
    rig.target_reply(call, reply);
    assert_eq!(rig.host.counts(rig.now).attempts, 0, "{id:?} has ended");
    assert_eq!(rig.starts(), []);
    assert!(rig.renewals().iter().all(|(_, until)| until.is_none()));
});

case!(a_peers_queued_request_renews_no_lease, {
    let mut rig = Rig::holding_targets(&[target("near", 16)]);
    let first = order("00000000000000aa.0.0.0", 900);
    rig.send_peer_request(1, Request::Place(vec![first.clone()]));
    let (call, _, _) = rig.starts().remove(0);
    let clock = rig.now + CLOCK_OFFSET_MS;
    rig.target_reply(call, TargetReply::Accepted { clock });
    let envelope = queued_place(rig.now);
    rig.now += GAP_MS;
    rig.event(Event::Peer {
        request_id: RequestId(2),
        envelope: Box::new(envelope),
    });
    let reply = rig.replies.iter().find(|(request_id, _)| request_id.0 == 2);
    assert!(matches!(reply.unwrap().1.body, ReplyBody::Stale));
    assert_eq!(rig.starts(), []);
    assert_eq!(rig.host.counts(rig.now).attempts, 0);
});

case!(
    a_reply_from_before_the_suspension_does_not_show_a_peer_reachable,
    {
        let mut rig = host_with_peer();
        rig.advance(200);
        let heartbeats = rig.requests(is_heartbeat);
        let body = ReplyBody::Heartbeat(HeartbeatReply {
            leaving: false,
            version: 1,
            leased: vec!["far".into()],
            hosts: Vec::new(),
        });
        let reply = rig.reply(body, 16_000);
        rig.now += GAP_MS;
        let call = heartbeats[0].0;
        let reply = Ok(reply);
        rig.event(Event::PeerReply { call, reply });
        rig.submit(1, "0000000000000001", vec![step(1, 7_000, 300)], 20_000);
        assert!(
            rig.requests(is_place).is_empty(),
            "the peer may have stopped"
        );
        rig.answer_heartbeats(16_000);
        assert_eq!(
            rig.requests(is_place).len(),
            1,
            "the peer has replied since"
        );
    }
);

case!(
    a_reply_to_a_request_from_before_the_suspension_is_applied,
    {
        let mut rig = host_with_peer();
        rig.submit(1, "0000000000000001", vec![step(1, 7_000, 900)], 20_000);
        let (call, _) = rig.requests(is_place).remove(0);
        // The peer hasn't started the task, so it may be started elsewhere.
        let reply = rig.reply(ReplyBody::Placed(Vec::new()), 16_000);
        rig.now += GAP_MS;
        let reply = Ok(reply);
        rig.event(Event::PeerReply { call, reply });
        assert!(rig.requests(is_place).is_empty());
        rig.answer_heartbeats(16_000);
        assert_eq!(rig.requests(is_place).len(), 1);
    }
);

case!(a_suspended_host_takes_its_leases_as_expired, {
    let host = SuspendedHost::new(|since_boot, steady| {
        Clock::with_sources(clock_reader(since_boot), clock_reader(steady))
    });
    assert_eq!(host.attempts_after_suspension(), 0);
});

case!(a_host_on_the_steady_clock_misses_the_suspension, {
    let host = SuspendedHost::new(|_, steady| {
        let mutant = clock_reader(steady.clone());
        Clock::with_sources(mutant, clock_reader(steady))
    });
    assert_ne!(
        host.attempts_after_suspension(),
        0,
        "the gap is not noticed"
    );
});

case!(
    a_reply_from_before_the_suspension_does_not_count_as_a_reply_time,
    {
        let mut rig = Rig::holding_targets(&[target("near", 16)]);
        // Quick replies reduce the timeout of starts to its minimum.
        for number in 0..200 {
            let id = format!("{number:016x}");
            rig.submit(number, &id, vec![step(1, 1_000, 20)], 20_000);
            let (call, _, id) = rig.starts().remove(0);
            let clock = rig.now + CLOCK_OFFSET_MS;
            rig.target_reply(call, TargetReply::Accepted { clock });
            rig.advance(10);
            for (call, _) in rig.renewals() {
                rig.listing(call, &[], &[ended(number + 1, &id, ListedOutcome::Done)]);
            }
        }
        rig.submit(900, "0000000000000900", vec![step(1, 1_000, 300)], 20_000);
        let started = rig.starts().remove(0);
        let clock = rig.now + CLOCK_OFFSET_MS;
        // Too short for the target's lease to expire.
        rig.now += SHORT_GAP_MS;
        rig.target_reply(started.0, TargetReply::Accepted { clock });
        for (call, _) in rig.renewals() {
            rig.listing(call, &[], &[]);
        }
        rig.starts();
        rig.submit(901, "0000000000000901", vec![step(1, 1_000, 300)], 20_000);
        let next = rig
            .calls
            .iter()
            .find(|called| matches!(called.order, TargetCall::Start(_)));
        assert_eq!(next.expect("a start").wait_ms, MIN_START_WAIT_MS);
    }
);
