//! What a caller is told when its job arrives, and when a job that waits is given up.

mod support;

use gannetridge_dispatcher_core::configuration::Queue;
use gannetridge_dispatcher_core::decision::{EndCause, Forecast};
use gannetridge_dispatcher_core::message::{PoolLoad, WaitingWork};
use gannetridge_dispatcher_core::rules::arrival::{decide, Arrival, ArrivingJob, KnownPoolLoad};
use gannetridge_dispatcher_core::rules::giving_up::{end_cause, is_passed_over, OpenJob};
use gannetridge_dispatcher_core::settings::WaitingOrder;
use gannetridge_dispatcher_core::{Answer, Event, Millis, Scheduling, Settings};
use support::{case, queues, settings, step, target, Rig};

const FRESH_MS: Millis = 100;

/// The load of one of two holders of 100 cores each; `waiting` are urgencies with core-ms.
fn load(waiting: &[(u8, u64)]) -> PoolLoad {
    let work = |&(urgency, core_ms)| WaitingWork {
        urgency,
        tasks: 1,
        core_ms,
    };
    PoolLoad {
        pool: "pool".into(),
        capacity_cpu: 100_000,
        used_cpu: 100_000,
        queue_cpu: 0,
        waiting: waiting.iter().map(work).collect(),
    }
}

fn pool(loads: &[(PoolLoad, Millis)]) -> KnownPoolLoad {
    let loads = loads.iter().map(|(load, age_ms)| (load, *age_ms));
    KnownPoolLoad::new(loads, 200_000, FRESH_MS)
}

/// What is decided on a job of urgency 1 that takes 10 ms of a holder, has 100 ms to spare and
/// is worth something for 600 ms.
fn decided(pool: &KnownPoolLoad, id: &str, has_room: bool) -> Arrival {
    let job = ArrivingJob {
        id: &id.into(),
        urgency: 1,
        core_ms: 1_000,
        chain_ms: 100,
        objective_ms: 200,
        deadline_ms: 1_500,
        has_free_target: has_room,
    };
    decide(pool, &job)
}

/// Names cases of what waits at one holder, and what is expected of a job.
macro_rules! foresees {
    ($($name:ident: $waiting:expr => $forecast:ident, $wait_ms:expr;)+) => {
        $(case!($name, {
            let arrival = decided(&pool(&[(load(&$waiting), 0)]), "a", false);
            assert_eq!((arrival.forecast, arrival.wait_ms), (Forecast::$forecast, $wait_ms));
        });)+
    };
}

foresees! {
    nothing_waits: [] => OnTime, Some(10);
    as_much_waits_as_the_job_can_wait: [(0, 4_000), (1, 5_000)] => OnTime, Some(100);
    a_burst_of_less_urgent_work_takes_nothing_from_it: [(2, 1_000_000)] => OnTime, Some(10);
    late_behind_all_that_waits_is_worth_something: [(1, 10_000), (2, 39_000)] => Late, Some(500);
    late_would_take_room_from_others_on_time: [(1, 10_000), (2, 40_000)] => Refused, Some(110);
    a_flood_of_its_own_queue: [(1, 200_000)] => Refused, Some(2_010);
}

case!(nothing_is_refused_while_a_target_has_room, {
    let flood = pool(&[(load(&[(1, 200_000)]), 0)]);
    assert_eq!(decided(&flood, "a", true).forecast, Forecast::OnTime);
});

case!(what_is_old_is_not_known, {
    let flood = load(&[(1, 200_000)]);
    let old = pool(&[(flood.clone(), FRESH_MS + 1)]);
    let arrival = decided(&old, "a", false);
    assert_eq!(
        (arrival.forecast, arrival.wait_ms),
        (Forecast::Unknown, None)
    );
    assert_eq!(decided(&pool(&[]), "a", false).forecast, Forecast::Unknown);
    let fresh = pool(&[(flood, FRESH_MS)]);
    assert_eq!(decided(&fresh, "a", false).forecast, Forecast::Refused);
});

case!(too_few_holders_heard_are_not_known, {
    let small = PoolLoad {
        capacity_cpu: 99_999,
        ..load(&[(1, 200_000)])
    };
    assert_eq!(
        decided(&pool(&[(small, 0)]), "a", false).forecast,
        Forecast::Unknown
    );
});

case!(what_waited_may_have_been_done_since, {
    let waiting = load(&[(0, 5_000), (1, 10_000)]);
    let wait_ms = |age_ms| decided(&pool(&[(waiting.clone(), age_ms)]), "a", false).wait_ms;
    assert_eq!(wait_ms(0), Some(160));
    assert_eq!(wait_ms(70), Some(90));
});

case!(an_empty_holder_shortens_the_wait, {
    let loads = [(load(&[(1, 15_000)]), 0), (load(&[]), 0)];
    assert_eq!(decided(&pool(&loads), "a", false).wait_ms, Some(80));
});

case!(refused_callers_come_back_spread_when_there_is_room, {
    // The queue is short enough for the job in 710 ms.
    let flood = pool(&[(load(&[(1, 80_000)]), 0)]);
    let times = (0..200).map(|id| {
        decided(&flood, &id.to_string(), false)
            .retry_after_ms
            .unwrap()
    });
    let mut times: Vec<Millis> = times.collect();
    times.sort_unstable();
    assert!(times[0] >= 710 && times[199] < 1_420, "{times:?}");
    assert!(
        times[199] - times[0] > 639,
        "over nine tenths of it: {times:?}"
    );
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    assert!(gaps.max() < Some(71), "{times:?}");
});

/// A job that was accepted at 0, is worth something until 600 and has waited until `now`.
fn given_up(now: Millis, passed_over: bool, has_room: bool) -> Option<EndCause> {
    given_up_before(1_500, now, passed_over, has_room)
}

fn given_up_before(
    deadline: Millis,
    now: Millis,
    passed_over: bool,
    has_room: bool,
) -> Option<EndCause> {
    let job = OpenJob {
        accepted: 0,
        deadline,
        objective_ms: 200,
        may_have_started: false,
        is_running: false,
        passed_over,
        has_free_target: has_room,
        host_is_starting: false,
    };
    end_cause(now, &job, [100].into_iter())
}

case!(no_want_of_room_is_told_while_room_is_known, {
    assert_eq!(given_up(150, true, false), Some(EndCause::PassedOver));
    assert_eq!(given_up(150, true, true), None);
    assert_eq!(given_up(300, false, false), Some(EndCause::NoResources));
    assert_eq!(given_up(300, false, true), None);
    assert_eq!(given_up(501, false, true), Some(EndCause::Deadline));
});

case!(
    callers_that_wait_for_less_than_an_answer_is_worth_are_answered,
    {
        assert_eq!(given_up_before(300, 249, false, true), None);
        let ended = given_up_before(300, 250, false, true);
        assert_eq!(ended, Some(EndCause::Deadline));
    }
);

case!(a_job_is_passed_over_by_its_own_and_more_urgent_queues, {
    let passed_over = |order, on_time| is_passed_over(order, 1, on_time);
    assert!(passed_over(WaitingOrder::Shares, Some(0)));
    assert!(passed_over(WaitingOrder::Shares, Some(1)));
    assert!(!passed_over(WaitingOrder::Shares, Some(2)));
    assert!(!passed_over(WaitingOrder::Shares, None));
    assert!(passed_over(WaitingOrder::Class, Some(2)));
});

/// A host with a target that is full of a long task, with an order.
fn full_host(order: WaitingOrder) -> Rig {
    let settings = Settings {
        scheduling: Scheduling {
            order,
            ..Scheduling::default()
        },
        ..settings()
    };
    let mut rig = Rig::holding_targets_with(settings, &[target("t", 8)]);
    rig.submit(1, "5c0e7a21d94b36f8", vec![step(1, 7_000, 2_000)], 9_000);
    rig
}

case!(a_job_is_taken_while_nothing_is_known_of_its_pool, {
    let mut rig = full_host(WaitingOrder::Shares);
    rig.submit(2, "5c0e7a21d94b36f9", vec![step(1, 7_000, 60)], 1_500);
    assert_eq!(rig.answer_to(2), None);
    rig.pass(400);
    assert!(matches!(rig.answer_to(2), Some(Answer::Refused { .. })));
});

/// Whether an urgent job was refused 150 ms after it came to a full host, where it will be late
/// and a long job of a less urgent queue can be on time.
fn urgent_is_passed_over(order: WaitingOrder) -> bool {
    let mut rig = full_host(order);
    let mut configuration = queues(2);
    configuration.queues.push(Queue {
        prefix: "/long/".into(),
        urgency: 2,
        ..configuration.queues[0].clone()
    });
    rig.event(Event::ConfigurationRead(configuration));
    rig.submit(2, "5c0e7a21d94b36f9", vec![step(1, 7_000, 60)], 1_500);
    let long = vec![step(1, 7_000, 900)];
    rig.submit_to("/long/", 3, "5c0e7a21d94b36fa", long, 5_000);
    rig.pass(150);
    rig.answer_to(2).is_some()
}

case!(less_urgent_jobs_pass_over_no_urgent_one, {
    assert!(urgent_is_passed_over(WaitingOrder::Class));
    assert!(!urgent_is_passed_over(WaitingOrder::Shares));
});
