//! Which callers are served where tasks compete for the targets of one holder.

#[path = "support/slot_pool.rs"]
mod slot_pool;
mod support;

use std::cmp::Ordering;

use gannetridge_dispatcher_core::message::PriorityClass;
use gannetridge_dispatcher_core::rules::long_tasks::{LongTaskLimit, TaskSize};
use gannetridge_dispatcher_core::rules::shares::{Origin, Shares, MIN_SHARE};
use gannetridge_dispatcher_core::rules::waiting_order::{
    compare, may_start_job, GroupedTasks, WaitingEntry,
};
use gannetridge_dispatcher_core::Millis;
use gannetridge_wire::Name;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use slot_pool::{simulate, Load, Order, Outcome, Policy};
use support::case;

const SLOTS: u32 = 40;
const MS: Millis = 10_000;
const SEEDS: u64 = 4;
/// The share of its answers that a queue has on time if the capacity suffices for its load.
const SERVED: f64 = 0.95;

fn load(queue: &'static str, urgency: u64, tasks: u32, task_ms: Millis, part: f64) -> Load {
    Load {
        queue,
        hall: "north",
        urgency,
        tasks,
        task_ms,
        slots: part * f64::from(SLOTS),
        time: 0..MS,
    }
}

/// Urgent jobs of many short tasks that use a share of the slots.
fn quick(part: f64) -> Load {
    load("quick", 0, 8, 60, part)
}

fn middle(part: f64) -> Load {
    load("middle", 1, 2, 200, part)
}

/// Jobs of long tasks of the least urgency.
fn long(part: f64) -> Load {
    load("long", 2, 4, 900, part)
}

fn policy(order: Order) -> Policy {
    Policy {
        order,
        shares: Shares::default(),
        starts_whole_jobs: true,
        bounds_long_tasks: true,
        refuses_on_arrival: false,
    }
}

/// The order by class, without shares, units or a bound for long tasks.
fn by_class() -> Policy {
    let order: Order = |a, b, _| {
        let key = |task: &WaitingEntry<'_>| (task.class, task.origin.urgency, task.slack_ms);
        key(a).cmp(&key(b))
    };
    Policy {
        starts_whole_jobs: false,
        bounds_long_tasks: false,
        ..policy(order)
    }
}

fn simulate_seeds(loads: &[Load], policy: &Policy) -> impl Iterator<Item = Outcome> {
    let (loads, policy) = (loads.to_vec(), policy.clone());
    (0..SEEDS).map(move |seed| simulate(seed, SLOTS, MS, &loads, policy.clone()))
}

/// Returns the share of a queue's jobs that are on time, as the mean of all seeds.
fn on_time(queue: &str, loads: &[Load], policy: &Policy) -> f64 {
    let parts = simulate_seeds(loads, policy).map(|outcome| outcome.on_time(queue));
    parts.sum::<f64>() / SEEDS as f64
}

/// Returns the mean number of slots that a queue got, from one hall or all, over all seeds.
fn slots(queue: &str, hall: Option<&str>, loads: &[Load], policy: &Policy) -> f64 {
    let got = simulate_seeds(loads, policy).map(|outcome| outcome.totals(queue, hall).slot_ms);
    got.sum::<f64>() / (SEEDS * MS) as f64
}

case!(urgent_jobs_are_on_time_in_a_burst_of_long_ones, {
    let burst = long(0.8).during(2_000..MS);
    let loads = [quick(0.14), middle(0.34), long(0.19), burst];
    assert!(on_time("quick", &loads, &by_class()) < 0.8);
    assert!(on_time("quick", &loads, &policy(compare)) >= SERVED);
});

case!(long_jobs_get_the_unused_capacity_in_their_burst, {
    let loads = [quick(0.14), middle(0.14), long(1.0)];
    // Capacity reserved for others beyond their average is idle at times.
    let left = 0.72 - 0.1;
    let got = slots("long", None, &loads, &policy(compare));
    assert!(got >= left * f64::from(SLOTS), "{got}");
});

case!(an_urgent_burst_is_served_while_long_tasks_run, {
    let burst = quick(0.3).during(5_000..7_000);
    let loads = [quick(0.14), burst, long(0.8)];
    let gained = on_time("quick", &loads, &policy(compare)) - on_time("quick", &loads, &by_class());
    assert!(gained > 0.1, "{gained}");
});

case!(a_late_answer_takes_no_capacity_from_one_on_time, {
    let loads = [quick(0.14), middle(0.6), quick(1.2).during(4_000..6_000)];
    let urgent_first: Order = |a, b, shares| {
        let urgency = a.origin.urgency.cmp(&b.origin.urgency);
        urgency.then(compare(a, b, shares))
    };
    let gained = |queue| {
        let strict = on_time(queue, &loads, &policy(urgent_first));
        on_time(queue, &loads, &policy(compare)) - strict
    };
    assert!(gained("middle") > 0.0, "{}", gained("middle"));
    assert!(gained("quick") > -0.01, "{}", gained("quick"));
});

case!(an_overload_is_refused_on_arrival_instead_of_after_a_wait, {
    let loads = [middle(2.0), long(0.3)];
    let refusing = Policy {
        refuses_on_arrival: true,
        ..policy(compare)
    };
    let mean_refused_wait_ms = |policy| {
        let outcomes = simulate_seeds(&loads, policy).map(|outcome| outcome.totals("middle", None));
        let sums = outcomes.fold((0.0, 0.0), |(waited, jobs), got| {
            (waited + got.refused_wait_ms, jobs + got.jobs)
        });
        sums.0 / sums.1
    };
    let waiting = policy(compare);
    assert!(mean_refused_wait_ms(&refusing) < mean_refused_wait_ms(&waiting) / 2.0);
    let on_time = |policy| on_time("middle", &loads, policy);
    assert!(on_time(&refusing) > on_time(&waiting) - 0.01);
    let slots = |policy| slots("long", None, &loads, policy);
    assert!(slots(&refusing) > slots(&waiting) - 0.01 * f64::from(SLOTS));
});

case!(the_least_urgent_are_not_starved, {
    let loads = [quick(1.5), long(0.3)];
    let got = slots("long", None, &loads, &policy(compare));
    assert!(got >= MIN_SHARE * f64::from(SLOTS), "{got}");
});

case!(jobs_that_start_as_a_unit_end_on_time, {
    let loads = [quick(1.5), middle(0.34), long(0.19)];
    let alone = Policy {
        starts_whole_jobs: false,
        ..policy(compare)
    };
    let gained = on_time("quick", &loads, &policy(compare)) - on_time("quick", &loads, &alone);
    assert!(gained > 0.1, "{gained}");
});

/// Returns whether three halls, one of which has twice the callers, get equal shares of a capacity
/// that is too small.
fn halls_get_equal_shares(order: Order) -> bool {
    let from = |hall, part| middle(part).in_hall(hall);
    let loads = [from("north", 0.5), from("south", 0.5), from("west", 1.0)];
    let fair_share = f64::from(SLOTS) / 3.0;
    ["north", "south", "west"].into_iter().all(|hall| {
        let got = slots("middle", Some(hall), &loads, &policy(order));
        (got - fair_share).abs() < 0.1 * fair_share
    })
}

case!(a_hall_with_twice_the_callers_gets_no_larger_share, {
    assert!(halls_get_equal_shares(compare));
});

case!(an_order_that_prefers_own_callers_is_detected, {
    let prefers_own: Order = |a, b, shares| {
        let other = |task: &WaitingEntry<'_>| &**task.origin.hall != "north";
        other(a).cmp(&other(b)).then(compare(a, b, shares))
    };
    assert!(!halls_get_equal_shares(prefers_own));
    assert!(!halls_get_equal_shares(by_class().order));
});

case!(an_overloaded_queue_takes_no_share_from_others, {
    let flood = Load {
        queue: "flood",
        ..middle(3.0)
    };
    let loads = [middle(0.3), flood];
    assert!(on_time("middle", &loads, &policy(compare)) >= SERVED);
    let left = 0.7 * f64::from(SLOTS);
    assert!(slots("flood", None, &loads, &policy(compare)) > 0.95 * left);
});

case!(no_slot_is_idle_while_a_task_waits_without_reservations, {
    let loads = [quick(0.3), middle(0.4), long(0.5)];
    let unbounded = Policy {
        bounds_long_tasks: false,
        ..policy(compare)
    };
    assert!(simulate_seeds(&loads, &unbounded).all(|outcome| outcome.idle_slot_ms == 0.0));
    let alone = [middle(1.2)];
    assert!(simulate_seeds(&alone, &policy(compare)).all(|outcome| outcome.idle_slot_ms == 0.0));
});

const fn task(urgency: u64, estimate_ms: Millis) -> TaskSize {
    TaskSize {
        urgency,
        cpu: 8_000,
        estimate_ms,
    }
}

/// Returns the number of long tasks that may run on 80 cores `ms` after urgent ones used 24 of them
/// for 4 s.
fn long_tasks_after(ms: Millis) -> usize {
    let mut long = LongTaskLimit::default();
    for now in (0..4_000).step_by(20) {
        long.record_arrival(now, &task(0, 60), 96);
    }
    let mut running = Vec::new();
    while running.len() < 10
        && long.may_start(4_000 + ms, &task(2, 900), 80_000, running.iter().copied())
    {
        running.push(task(2, 900));
    }
    running.len()
}

case!(
    capacity_is_reserved_for_short_urgent_tasks_while_they_arrive,
    {
        assert!((5..=7).contains(&long_tasks_after(0)));
    }
);

case!(the_reservation_ends_when_they_stop_arriving, {
    assert_eq!(long_tasks_after(15_000), 10);
});

case!(one_long_task_may_always_run, {
    let mut long = LongTaskLimit::default();
    long.record_arrival(0, &task(0, 60), 96);
    assert!(long.may_start(0, &task(2, 900), 8_000, [].into_iter()));
});

/// Compares two tasks, each given by urgency, class and slack.
fn compared(a: (u64, PriorityClass, i64), b: (u64, PriorityClass, i64)) -> Ordering {
    let (queue, hall) = ("queue".into(), "north".into());
    let waiting = |(urgency, class, slack_ms)| WaitingEntry {
        origin: Origin {
            urgency,
            queue: &queue,
            hall: &hall,
        },
        class,
        slack_ms,
    };
    compare(&waiting(a), &waiting(b), &Shares::default())
}

/// Defines cases of a task that goes before another.
macro_rules! goes_before {
    ($($name:ident: $first:expr, $second:expr;)+) => {
        $(case!($name, {
            use PriorityClass::{Started, Late, OnTime, Worthless};
            let _ = (Started, Late, OnTime, Worthless);
            assert_eq!(compared($first, $second), Ordering::Less);
            assert_eq!(compared($second, $first), Ordering::Greater);
        });)+
    };
}

goes_before! {
    a_started_job_before_one_on_time_of_the_same_urgency: (1, Started, 90), (1, OnTime, 5);
    on_time_before_a_started_job_of_a_less_urgent_queue: (0, OnTime, 90), (1, Started, 5);
    on_time_before_a_late_one_of_a_more_urgent_queue: (1, OnTime, 90), (0, Late, 5);
    late_jobs_by_urgency: (0, Late, 90), (1, Late, 5);
    a_late_job_before_a_worthless_one: (1, Late, 90), (0, Worthless, -5);
    the_least_slack_among_equals: (1, OnTime, 5), (1, OnTime, 6);
}

case!(a_job_starts_only_if_all_its_tasks_can_start_in_time, {
    let eight_tasks = 8 * 480;
    assert!(may_start_job(eight_tasks, 0, 320_000, 12));
    assert!(!may_start_job(eight_tasks, 0, 320_000, 11));
    assert!(!may_start_job(eight_tasks, 400, 320_000, 12));
});

case!(waiting_tasks_are_taken_in_the_order_of_comparison, {
    use PriorityClass::{Late, OnTime, Started, Worthless};
    let mut rng = Pcg64::seed_from_u64(1);
    let names: Vec<Name> = ["a", "b", "c"].map(Name::from).to_vec();
    for _ in 0..50 {
        let mut shares = Shares::default();
        let tasks: Vec<WaitingEntry<'_>> = (0..40)
            .map(|_| WaitingEntry {
                origin: Origin {
                    urgency: rng.random_range(0..3),
                    queue: &names[rng.random_range(0..3)],
                    hall: &names[rng.random_range(0..3)],
                },
                class: [Started, OnTime, Late, Worthless][rng.random_range(0..4)],
                slack_ms: rng.random_range(-50..200),
            })
            .collect();
        let mut waiting = GroupedTasks::new(tasks.iter().copied());
        let mut left: Vec<usize> = (0..tasks.len()).collect();
        while let Some(taken) = waiting.take_first(&shares, |position| position % 5 != 0) {
            let able = left.iter().filter(|position| *position % 5 != 0);
            let first = able.min_by(|a, b| compare(&tasks[**a], &tasks[**b], &shares));
            let order = compare(&tasks[taken], &tasks[*first.unwrap()], &shares);
            assert_eq!(order, Ordering::Equal);
            left.retain(|position| *position != taken);
            shares.record_start(0, &tasks[taken].origin, 480);
            shares.advance(0, waiting.origins());
        }
        assert_eq!(left.len(), 8);
    }
});
