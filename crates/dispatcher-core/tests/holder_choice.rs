//! The choice of a holder for a waiting task, also under loads that old updates hide.

#[path = "support/holders.rs"]
mod holders;
mod support;

use gannetridge_dispatcher_core::message::{PoolLoad, WaitingWork};
use gannetridge_dispatcher_core::rules::hall_load::{expected_wait_ms, HallLoad};
use gannetridge_dispatcher_core::rules::holder_choice::{
    choose_holder, Availability, Distance, ExpectedStart, HolderView, TaskView,
};
use gannetridge_dispatcher_core::Millis;
use holders::{simulate, AdjustViews, Load, Task, RUNNING_MS};
use support::case;
use xxhash_rust::xxh3::xxh3_64;

const TASK: TaskView = TaskView {
    name: "5c0e7a21d94b36f8.0.0.1",
    running_ms: 200,
    far_slowdown: 1.5,
};
const FREE: Availability = Availability::Free { spare_cpu: 8_000 };

fn wait(expected_ms: Millis) -> Availability {
    Availability::Wait {
        spare_cpu: 8_000,
        expected_ms,
    }
}

fn holder(near: Availability, far: Availability) -> HolderView {
    HolderView {
        other_hall: false,
        transit_ms: 1,
        extra_request: true,
        stale_clock: false,
        near,
        far,
        update_age_ms: 0,
    }
}

fn elsewhere(near: Availability, update_age_ms: Millis) -> HolderView {
    HolderView {
        other_hall: true,
        transit_ms: 5,
        update_age_ms,
        ..holder(near, Availability::None)
    }
}

fn chosen(
    holders: &[HolderView],
    latest_start_ms: Millis,
) -> Option<(usize, Distance, ExpectedStart)> {
    let choice = choose_holder(&TASK, holders, latest_start_ms);
    choice.map(|choice| (choice.holder, choice.distance, choice.start))
}

case!(a_task_waits_near_its_data_if_that_ends_sooner, {
    let near = |ms| {
        [
            holder(wait(ms), Availability::None),
            holder(Availability::None, FREE),
        ]
    };
    let waits = Some((0, Distance::Near, ExpectedStart::AfterWait));
    let spills = Some((1, Distance::Far, ExpectedStart::Immediate));
    assert_eq!(chosen(&near(90), 1_000), waits);
    assert_eq!(chosen(&near(110), 1_000), spills);
    assert_eq!(chosen(&near(90), 50), spills, "the wait is too long");
});

case!(another_hall_is_chosen_only_if_clearly_sooner, {
    let takes = |own, other| {
        let holders = [
            holder(wait(own), Availability::None),
            elsewhere(wait(other), 0),
        ];
        chosen(&holders, 1_000).expect("a holder").0
    };
    assert_eq!([takes(100, 100), takes(100, 70), takes(20, 0)], [0, 0, 0]);
    assert_eq!([takes(100, 50), takes(40, 0)], [1, 1]);
});

case!(a_holder_with_too_late_a_start_is_not_chosen, {
    let holders = [
        holder(wait(120), wait(100)),
        elsewhere(Availability::None, 0),
    ];
    let far = Some((0, Distance::Far, ExpectedStart::AfterWait));
    assert_eq!(chosen(&holders, 100), None);
    assert_eq!(chosen(&holders, 101), far);
});

case!(a_clock_request_or_an_extra_request_is_avoided, {
    let chosen_if_one = |differs: fn(&mut HolderView)| {
        [0, 1].map(|at| {
            let mut holders = [holder(FREE, Availability::None); 2];
            differs(&mut holders[at]);
            chosen(&holders, 1_000).expect("a holder").0
        })
    };
    assert_eq!(chosen_if_one(|holder| holder.stale_clock = true), [1, 0]);
    assert_eq!(chosen_if_one(|holder| holder.extra_request = false), [0, 1]);
});

case!(old_updates_count_less_but_exclude_no_holder, {
    let takes = |update_age_ms, latest_start_ms| {
        let holders = [
            holder(wait(50), Availability::None),
            elsewhere(FREE, update_age_ms),
        ];
        chosen(&holders, latest_start_ms).expect("a holder").0
    };
    assert_eq!([takes(100, 1_000), takes(2_000, 1_000)], [1, 0]);
    assert_eq!(takes(2_000, 20), 1, "a target may be free there");
});

/// Returns the load of a host of 10 cores, with `tasks` waiting tasks of 100 core-ms each.
fn pool_load(used_cpu: u32, urgency: u64, tasks: u32) -> PoolLoad {
    PoolLoad {
        pool: "a".into(),
        capacity_cpu: 10_000,
        used_cpu,
        queue_cpu: 4_000,
        waiting: vec![WaitingWork {
            urgency,
            tasks,
            core_ms: 100 * u64::from(tasks),
        }],
    }
}

case!(a_halls_load_is_the_sum_of_its_hosts_reports, {
    let mut hall = HallLoad::default();
    hall.add(&pool_load(9_000, 1, 4), 50);
    hall.add(&pool_load(6_000, 0, 2), 150);
    hall.add(&pool_load(6_000, 1, 1), 100);
    assert_eq!(
        (hall.capacity_cpu, hall.used_cpu, hall.age_ms),
        (30_000, 21_000, 150)
    );
    let waiting: Vec<_> = hall
        .waiting
        .iter()
        .map(|work| (work.urgency, work.tasks))
        .collect();
    assert_eq!(waiting, [(0, 2), (1, 5)]);
});

case!(
    a_task_is_expected_to_wait_for_work_of_its_and_higher_urgency,
    {
        let waiting = [pool_load(0, 0, 2), pool_load(0, 1, 4)].map(|load| load.waiting[0]);
        // 200 core-ms of its own and the work before it, on 20 cores.
        let waits = |urgency| expected_wait_ms(&waiting, 20_000, urgency, 200);
        assert_eq!([waits(0), waits(1)], [Some(20), Some(40)]);
        assert_eq!(expected_wait_ms(&waiting, 0, 0, 200), None);
    }
);

/// Restricts the choice to some holders.
fn restrict(holders: &mut [HolderView], is_eligible: impl Fn(usize, &HolderView) -> bool) {
    for (at, holder) in holders.iter_mut().enumerate() {
        if !is_eligible(at, holder) {
            (holder.near, holder.far) = (Availability::None, Availability::None);
        }
    }
}

/// The rule, and the alternatives that it is compared with: the least expected end regardless of
/// the hall and the age of updates, two holders picked by a hash, the own hall only, and no targets
/// far from the data.
const RULES: [(&str, AdjustViews); 5] = [
    ("rule", |_, _| {}),
    ("least of all", |_, holders| {
        for holder in holders {
            (holder.other_hall, holder.update_age_ms) = (false, 0);
        }
    }),
    ("two of all", |task, holders| {
        let hash = xxh3_64(task.name.as_bytes());
        let two = [hash >> 32, hash & 0xffff_ffff].map(|share| share as usize % holders.len());
        restrict(holders, |at, _| two.contains(&at));
    }),
    ("own hall", |_, holders| {
        restrict(holders, |_, holder| !holder.other_hall)
    }),
    ("near only", |_, holders| {
        restrict(holders, |_, holder| holder.far == Availability::None)
    }),
];

/// Returns the share of the tasks selected by `some` for which `holds` is true.
fn share(tasks: &[Task], some: impl Fn(&Task) -> bool, holds: fn(&Task) -> bool) -> f64 {
    let some: Vec<&Task> = tasks.iter().filter(|task| some(task)).collect();
    let holding = some.iter().filter(|task| holds(task)).count();
    holding as f64 / some.len() as f64
}

/// Simulates a load under the rule and each alternative; prints and returns the shares that
/// `shares` computes over the tasks of all seeds.
fn compare_rules<const N: usize>(load: &Load, shares: fn(&[Task]) -> [f64; N]) -> [[f64; N]; 5] {
    RULES.map(|(rule_name, change)| {
        let tasks: Vec<Task> = (0..4)
            .flat_map(|seed| simulate(load, change, seed))
            .collect();
        println!("{rule_name}: {:.3?}", shares(&tasks));
        shares(&tasks)
    })
}

const EQUAL: Load = Load {
    demand: |_, _| 0.8,
    update_ms: 100,
    hot: 0.0,
    cut_at: Millis::MAX,
};

case!(a_burst_in_one_hall_spreads_without_overloading_others, {
    let demand = |hall, now| match (hall, now) {
        (0, 1_000..2_500) => 1.4,
        _ => 0.55,
    };
    let [rule, _, two, own, _] = compare_rules(&Load { demand, ..EQUAL }, |tasks| {
        let spread = |task: &Task| task.hall() == 0 && (1_300..2_500).contains(&task.arrived_at);
        let others = |task: &Task| task.hall() > 0 && (1_000..2_500).contains(&task.arrived_at);
        [spread, others].map(|some| share(tasks, some, Task::is_late))
    });
    assert!(rule[0] < own[0] / 3.0 && rule[0] < two[0]);
    assert!(rule[1] < 0.03);
});

case!(halls_of_equal_load_do_not_exchange_work, {
    let demand = |_, _| 0.9;
    let [rule, least, ..] = compare_rules(&Load { demand, ..EQUAL }, |tasks| {
        [Task::is_in_other_hall, Task::is_late].map(|holds| share(tasks, |_| true, holds))
    });
    assert!(rule[0] < 0.02 && rule[1] < least[1]);
});

case!(tasks_with_little_slack_leave_a_hot_rack_first, {
    let [rule, .., near] = compare_rules(&Load { hot: 0.5, ..EQUAL }, |tasks| {
        let far = |tight: bool| {
            let some = |task: &Task| task.is_hot && (task.may_wait_ms < RUNNING_MS) == tight;
            share(tasks, some, Task::is_far)
        };
        [
            far(true),
            far(false),
            share(tasks, |task| task.is_hot, Task::is_late),
        ]
    });
    assert!(rule[0] > 2.0 * rule[1] && rule[2] < 0.7 * near[2]);
});

case!(updates_that_are_two_seconds_old_do_no_harm, {
    let update_ms = 2_000;
    let [rule, least, ..] = compare_rules(&Load { update_ms, ..EQUAL }, |tasks| {
        [share(tasks, |_| true, Task::is_late)]
    });
    assert!(rule[0] < 0.03 && rule[0] < least[0]);
});

case!(a_hall_that_is_cut_off_uses_its_own_targets, {
    let demand = |hall, _| if hall == 0 { 1.2 } else { 0.5 };
    let cut_at = 1_000;
    let load = Load {
        cut_at,
        demand,
        ..EQUAL
    };
    let [rule, least, ..] = compare_rules(&load, |tasks| {
        let at_first = |task: &Task| task.hall() == 0 && (1_000..3_500).contains(&task.arrived_at);
        let after = |task: &Task| task.hall() == 0 && task.arrived_at > 3_600;
        [
            share(tasks, at_first, Task::is_in_other_hall),
            share(tasks, after, Task::is_late),
        ]
    });
    assert!(rule[0] < least[0] && rule[1] < 0.25);
});
