//! Forecast and refusal of a job on arrival, and the time at which a waiting job is given up.

mod support;

use gannetridge_dispatcher_core::configuration::Queue;
use gannetridge_dispatcher_core::decision::{EndCause, Forecast};
use gannetridge_dispatcher_core::message::{PoolLoad, WaitingWork};
use gannetridge_dispatcher_core::rules::arrival::{decide, Arrival, ArrivingJob, KnownPoolLoad};
use gannetridge_dispatcher_core::rules::giving_up::{self, is_passed_over, OpenJob};
use gannetridge_dispatcher_core::settings::WaitingOrder;
use gannetridge_dispatcher_core::{Answer, Event, Millis, Scheduling, Settings};
use support::{case, queues, settings, step, target, Rig};

const FRESH_MS: Millis = 100;

/// Returns the load of one of two holders of 100 cores each; `waiting` lists urgencies and
/// core-ms.
fn load(waiting: &[(u64, u64)]) -> PoolLoad {
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

/// Decides on a job of urgency 1 that takes 10 ms of a holder, has 100 ms of slack and whose
/// answer has a value for 600 ms.
fn decide_job(pool: &KnownPoolLoad, id: &str, has_free_target: bool) -> Arrival {
    let job = ArrivingJob {
        id: &id.into(),
        urgency: 1,
        core_ms: 1_000,
        chain_ms: 100,
        objective_ms: 200,
        deadline_ms: 1_500,
        has_free_target,
    };
    decide(pool, &job)
}

/// Declares tests: the work that waits at one holder, and the forecast of a job.
macro_rules! forecasts {
    ($($name:ident: $waiting:expr => $forecast:ident, $wait_ms:expr;)+) => {
        $(case!($name, {
            let arrival = decide_job(&pool(&[(load(&$waiting), 0)]), "a", false);
            assert_eq!((arrival.forecast, arrival.wait_ms), (Forecast::$forecast, $wait_ms));
        });)+
    };
}

forecasts! {
    no_waiting_work_is_on_time: [] => OnTime, Some(10);
    waiting_work_equal_to_the_slack_is_on_time: [(0, 4_000), (1, 5_000)] => OnTime, Some(100);
    less_urgent_work_does_not_delay_a_job: [(2, 1_000_000)] => OnTime, Some(10);
    late_with_an_answer_of_value_is_accepted: [(1, 10_000), (2, 39_000)] => Late, Some(500);
    late_with_too_much_waiting_work_is_refused: [(1, 10_000), (2, 40_000)] => Refused, Some(110);
    a_flood_of_the_jobs_own_queue_is_refused: [(1, 200_000)] => Refused, Some(2_010);
}

case!(no_job_is_refused_while_a_target_has_free_capacity, {
    let flood = pool(&[(load(&[(1, 200_000)]), 0)]);
    assert_eq!(decide_job(&flood, "a", true).forecast, Forecast::OnTime);
});

case!(an_outdated_load_gives_no_forecast, {
    let flood = load(&[(1, 200_000)]);
    let old = pool(&[(flood.clone(), FRESH_MS + 1)]);
    let arrival = decide_job(&old, "a", false);
    assert_eq!(
        (arrival.forecast, arrival.wait_ms),
        (Forecast::Unknown, None)
    );
    assert_eq!(
        decide_job(&pool(&[]), "a", false).forecast,
        Forecast::Unknown
    );
    let fresh = pool(&[(flood, FRESH_MS)]);
    assert_eq!(decide_job(&fresh, "a", false).forecast, Forecast::Refused);
});

case!(loads_of_too_few_holders_give_no_forecast, {
    let small = PoolLoad {
        capacity_cpu: 99_999,
        ..load(&[(1, 200_000)])
    };
    assert_eq!(
        decide_job(&pool(&[(small, 0)]), "a", false).forecast,
        Forecast::Unknown
    );
});

case!(the_expected_wait_shrinks_with_the_age_of_the_load, {
    let waiting = load(&[(0, 5_000), (1, 10_000)]);
    let wait_ms = |age_ms| decide_job(&pool(&[(waiting.clone(), age_ms)]), "a", false).wait_ms;
    assert_eq!(wait_ms(0), Some(160));
    assert_eq!(wait_ms(70), Some(90));
});

case!(a_holder_without_waiting_work_shortens_the_wait, {
    let loads = [(load(&[(1, 15_000)]), 0), (load(&[]), 0)];
    assert_eq!(decide_job(&pool(&loads), "a", false).wait_ms, Some(80));
});

case!(
    retry_times_of_refused_callers_are_spread_after_the_queue_has_drained,
    {
        // The queue is short enough for the job after 710 ms.
        let flood = pool(&[(load(&[(1, 80_000)]), 0)]);
        let times = (0..200).map(|id| {
            decide_job(&flood, &id.to_string(), false)
                .retry_after_ms
                .unwrap()
        });
        let mut times: Vec<Millis> = times.collect();
        times.sort_unstable();
        assert!(times[0] >= 710 && times[199] < 1_420, "{times:?}");
        assert!(
            times[199] - times[0] > 639,
            "spread over nine tenths of that time: {times:?}"
        );
        let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.max() < Some(71), "{times:?}");
    }
);

/// Returns why a job is given up that was accepted at 0, has waited until `now` and whose
/// answer has a value until 600.
fn end_cause(now: Millis, passed_over: bool, has_free_target: bool) -> Option<EndCause> {
    end_cause_with_deadline(1_500, now, passed_over, has_free_target)
}

fn end_cause_with_deadline(
    deadline: Millis,
    now: Millis,
    passed_over: bool,
    has_free_target: bool,
) -> Option<EndCause> {
    let job = OpenJob {
        accepted: 0,
        deadline,
        objective_ms: 200,
        may_have_started: false,
        is_running: false,
        passed_over,
        has_free_target,
        host_is_starting: false,
    };
    giving_up::end_cause(now, &job, [100].into_iter())
}

case!(lack_of_capacity_is_no_cause_while_free_capacity_is_known, {
    assert_eq!(end_cause(150, true, false), Some(EndCause::PassedOver));
    assert_eq!(end_cause(150, true, true), None);
    assert_eq!(end_cause(300, false, false), Some(EndCause::NoResources));
    assert_eq!(end_cause(300, false, true), None);
    assert_eq!(end_cause(501, false, true), Some(EndCause::Deadline));
});

case!(a_job_that_cannot_end_by_its_deadline_is_given_up, {
    assert_eq!(end_cause_with_deadline(300, 249, false, true), None);
    let ended = end_cause_with_deadline(300, 250, false, true);
    assert_eq!(ended, Some(EndCause::Deadline));
});

case!(
    a_job_is_passed_over_only_for_its_own_or_more_urgent_queues,
    {
        let passed_over = |order, on_time| is_passed_over(order, 1, on_time);
        assert!(passed_over(WaitingOrder::Shares, Some(0)));
        assert!(passed_over(WaitingOrder::Shares, Some(1)));
        assert!(!passed_over(WaitingOrder::Shares, Some(2)));
        assert!(!passed_over(WaitingOrder::Shares, None));
        assert!(passed_over(WaitingOrder::Class, Some(2)));
    }
);

/// Creates a host whose only target is occupied by a long task.
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

case!(a_job_is_accepted_while_the_load_of_its_pool_is_unknown, {
    let mut rig = full_host(WaitingOrder::Shares);
    rig.submit(2, "5c0e7a21d94b36f9", vec![step(1, 7_000, 60)], 1_500);
    assert_eq!(rig.answer_to(2), None);
    rig.advance(400);
    assert!(matches!(rig.answer_to(2), Some(Answer::Refused { .. })));
});

/// Returns whether an urgent job is refused within 150 ms at a full host, where it will be late
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
    rig.advance(150);
    rig.answer_to(2).is_some()
}

case!(
    an_urgent_job_is_not_refused_in_favour_of_a_less_urgent_one,
    {
        assert!(urgent_is_passed_over(WaitingOrder::Class));
        assert!(!urgent_is_passed_over(WaitingOrder::Shares));
    }
);
