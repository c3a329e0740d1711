//! Which holder a waiting task is handed to, under loads that old news hide.

#[path = "support/holders.rs"]
mod holders;
mod support;

use gannetridge_dispatcher_core::message::{PoolLoad, WaitingWork};
use gannetridge_dispatcher_core::rules::hall_load::{expected_wait_ms, HallLoad};
use gannetridge_dispatcher_core::rules::holder_choice::{
    choose, Availability, Distance, ExpectedStart, HolderView, TaskView,
};
use gannetridge_dispatcher_core::Millis;
use holders::{play, Load, Task, Way, RUNNING_MS};
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

fn elsewhere(near: Availability, news_age_ms: Millis) -> HolderView {
    HolderView {
        other_hall: true,
        transit_ms: 5,
        update_age_ms: news_age_ms,
        ..holder(near, Availability::None)
    }
}

fn chosen(
    holders: &[HolderView],
    latest_begin_ms: Millis,
) -> Option<(usize, Distance, ExpectedStart)> {
    let choice = choose(&TASK, holders, latest_begin_ms);
    choice.map(|choice| (choice.holder, choice.distance, choice.start))
}

case!(a_task_waits_near_its_data_while_that_ends_sooner, {
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
    assert_eq!(chosen(&near(90), 50), spills, "it can't wait so long");
});

case!(another_hall_has_to_be_clearly_sooner, {
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

case!(nothing_is_chosen_that_is_expected_to_begin_too_late, {
    let holders = [
        holder(wait(120), wait(100)),
        elsewhere(Availability::None, 0),
    ];
    let far = Some((0, Distance::Far, ExpectedStart::AfterWait));
    assert_eq!(chosen(&holders, 100), None);
    assert_eq!(chosen(&holders, 101), far);
});

case!(a_clock_to_ask_for_or_a_further_request_come_later, {
    let takes_if_one = |differs: fn(&mut HolderView)| {
        [0, 1].map(|at| {
            let mut holders = [holder(FREE, Availability::None); 2];
            differs(&mut holders[at]);
            chosen(&holders, 1_000).expect("a holder").0
        })
    };
    assert_eq!(takes_if_one(|holder| holder.stale_clock = true), [1, 0]);
    assert_eq!(takes_if_one(|holder| holder.extra_request = false), [0, 1]);
});

case!(old_news_of_room_count_less_but_exclude_nothing, {
    let takes = |news_age_ms, latest_begin_ms| {
        let holders = [
            holder(wait(50), Availability::None),
            elsewhere(FREE, news_age_ms),
        ];
        chosen(&holders, latest_begin_ms).expect("a holder").0
    };
    assert_eq!([takes(100, 1_000), takes(2_000, 1_000)], [1, 0]);
    assert_eq!(takes(2_000, 20), 1, "room may be idle there");
});

/// What a host of 10 cores has, with so many tasks of 100 core-ms that wait.
fn pool_load(used_cpu: u32, urgency: u8, tasks: u32) -> PoolLoad {
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

case!(a_halls_load_is_the_sum_of_what_its_hosts_told, {
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

case!(a_task_is_expected_to_wait_for_what_goes_before_it, {
    let waiting = [pool_load(0, 0, 2), pool_load(0, 1, 4)].map(|load| load.waiting[0]);
    // 200 core-ms of its own and what goes before it, on 20 cores.
    let waits = |urgency| expected_wait_ms(&waiting, 20_000, urgency, 200);
    assert_eq!([waits(0), waits(1)], [Some(20), Some(40)]);
    assert_eq!(expected_wait_ms(&waiting, 0, 0, 200), None);
});

/// Leaves only some holders to choose from.
fn keep(holders: &mut [HolderView], kept: impl Fn(usize, &HolderView) -> bool) {
    for (at, holder) in holders.iter_mut().enumerate() {
        if !kept(at, holder) {
            (holder.near, holder.far) = (Availability::None, Availability::None);
        }
    }
}

/// The rule, and what it is weighed against: the least expected end whatever the hall and
/// the news' age, two of all holders, the own hall, and no targets far from the data.
const WAYS: [(&str, Way); 5] = [
    ("rule", |_, _| {}),
    ("least of all", |_, holders| {
        for holder in holders {
            (holder.other_hall, holder.update_age_ms) = (false, 0);
        }
    }),
    ("two of all", |task, holders| {
        let hash = xxh3_64(task.name.as_bytes());
        let two = [hash >> 32, hash & 0xffff_ffff].map(|part| part as usize % holders.len());
        keep(holders, |at, _| two.contains(&at));
    }),
    ("own hall", |_, holders| {
        keep(holders, |_, holder| !holder.other_hall)
    }),
    ("near only", |_, holders| {
        keep(holders, |_, holder| holder.far == Availability::None)
    }),
];

/// Returns the part of some tasks for which something holds.
fn part(tasks: &[Task], some: impl Fn(&Task) -> bool, holds: fn(&Task) -> bool) -> f64 {
    let some: Vec<&Task> = tasks.iter().filter(|task| some(task)).collect();
    let holding = some.iter().filter(|task| holds(task)).count();
    holding as f64 / some.len() as f64
}

/// Plays a load in each way; prints and returns what `shares` tells of all seeds' tasks.
fn weighed<const N: usize>(load: &Load, shares: fn(&[Task]) -> [f64; N]) -> [[f64; N]; 5] {
    WAYS.map(|(way, change)| {
        let tasks: Vec<Task> = (0..4).flat_map(|seed| play(load, change, seed)).collect();
        println!("{way}: {:.3?}", shares(&tasks));
        shares(&tasks)
    })
}

const EQUAL: Load = Load {
    asked: |_, _| 0.8,
    news_ms: 100,
    hot: 0.0,
    cut_at: Millis::MAX,
};

case!(one_halls_burst_spreads_and_does_not_topple_the_others, {
    let asked = |hall, now| match (hall, now) {
        (0, 1_000..2_500) => 1.4,
        _ => 0.55,
    };
    let [rule, _, two, own, _] = weighed(&Load { asked, ..EQUAL }, |tasks| {
        let spread = |task: &Task| task.hall() == 0 && (1_300..2_500).contains(&task.asked_at);
        let others = |task: &Task| task.hall() > 0 && (1_000..2_500).contains(&task.asked_at);
        [spread, others].map(|some| part(tasks, some, Task::is_late))
    });
    assert!(rule[0] < own[0] / 3.0 && rule[0] < two[0]);
    assert!(rule[1] < 0.03);
});

case!(halls_of_equal_load_do_not_swap_work, {
    let asked = |_, _| 0.9;
    let [rule, least, ..] = weighed(&Load { asked, ..EQUAL }, |tasks| {
        [Task::is_elsewhere, Task::is_late].map(|holds| part(tasks, |_| true, holds))
    });
    assert!(rule[0] < 0.02 && rule[1] < least[1]);
});

case!(a_hot_rack_spills_over_in_order_of_need, {
    let [rule, .., near] = weighed(&Load { hot: 0.5, ..EQUAL }, |tasks| {
        let far = |tight: bool| {
            let some = |task: &Task| task.hot && (task.may_wait_ms < RUNNING_MS) == tight;
            part(tasks, some, Task::is_far)
        };
        [
            far(true),
            far(false),
            part(tasks, |task| task.hot, Task::is_late),
        ]
    });
    assert!(rule[0] > 2.0 * rule[1] && rule[2] < 0.7 * near[2]);
});

case!(news_that_are_two_seconds_old_do_no_harm, {
    let news_ms = 2_000;
    let [rule, least, ..] = weighed(&Load { news_ms, ..EQUAL }, |tasks| {
        [part(tasks, |_| true, Task::is_late)]
    });
    assert!(rule[0] < 0.03 && rule[0] < least[0]);
});

case!(a_hall_that_is_cut_off_serves_what_it_can, {
    let asked = |hall, _| if hall == 0 { 1.2 } else { 0.5 };
    let cut_at = 1_000;
    let load = Load {
        cut_at,
        asked,
        ..EQUAL
    };
    let [rule, least, ..] = weighed(&load, |tasks| {
        let at_first = |task: &Task| task.hall() == 0 && (1_000..3_500).contains(&task.asked_at);
        let after = |task: &Task| task.hall() == 0 && task.asked_at > 3_600;
        [
            part(tasks, at_first, Task::is_elsewhere),
            part(tasks, after, Task::is_late),
        ]
    });
    assert!(rule[0] < least[0] && rule[1] < 0.25);
});
