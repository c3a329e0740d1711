//! Learned running times, target speeds and progress.

mod support;

use gannetridge_dispatcher_core::rules::progress::Progress;
use gannetridge_dispatcher_core::rules::running_time::{
    usable_estimate_ms, RunningTimes, TaskKind,
};
use gannetridge_dispatcher_core::rules::target_speed::{common_slowdown, TargetSpeed};
use gannetridge_dispatcher_core::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{case, order};

/// The time between ends, in ms.
const STEP_MS: Millis = 20;

/// Draws a ratio of running time to estimate; estimates are off by 40 %, and 3 tasks in 100 take 7
/// times as long.
fn draw(rng: &mut Pcg64, wrong: f64) -> f64 {
    let off: f64 = rng.random_range(0.6..1.4);
    let outlier_factor = if rng.random_bool(0.03) { 7.0 } else { 1.0 };
    wrong * outlier_factor / off
}

/// Records this number of ends.
fn learn(times: &mut RunningTimes, rng: &mut Pcg64, wrong: f64, ends: u64) {
    for _ in 0..ends {
        times.record_end(times.last_end() + STEP_MS, draw(rng, wrong));
    }
}

/// Returns the running times of a known kind, and the generator that produced them.
fn known(wrong: f64, ends: u64) -> (RunningTimes, Pcg64) {
    let mut rng = Pcg64::seed_from_u64(3);
    let mut times = RunningTimes::new(0);
    learn(&mut times, &mut rng, wrong, ends);
    (times, rng)
}

/// Asserts that a value is within a relative tolerance of another one.
fn assert_near(value: f64, wanted: f64, tolerance: f64) {
    assert!(
        (value / wanted - 1.0).abs() <= tolerance,
        "{value}, not {wanted}"
    );
}

fn slowdown(speed: &TargetSpeed, now: Millis) -> f64 {
    speed.slowdown(now, std::iter::empty()).factor
}

case!(an_unknown_kind_is_expected_to_take_its_estimate, {
    let times = RunningTimes::new(0);
    assert_near(times.median(), 1.0, 0.15);
    assert_near(times.expected_remaining(0.0), 1.1, 0.15);
    // The limit where running times aren't learned.
    assert_near(times.overrun_after_ms(200.0) as f64, 950.0, 0.3);
    assert_eq!(times.certainty(), 0.0);
});

macro_rules! wrong_estimates {
    ($($name:ident: $wrong:expr;)+) => {
        $(case!($name, {
            let (times, _) = known($wrong, 30);
            assert_near(times.median(), $wrong, 0.25);
            let (times, _) = known($wrong, 600);
            assert_near(times.median(), $wrong, 0.1);
            assert_near(times.tail(), 7.0 * $wrong, 0.4);
        });)+
    };
}
wrong_estimates! {
    estimates_that_are_right: 1.0;
    estimates_three_times_too_low: 3.0;
    estimates_three_times_too_high: 1.0 / 3.0;
}

case!(a_task_far_past_its_estimate_is_expected_to_be_long, {
    let (times, _) = known(1.0, 600);
    assert_near(times.expected_remaining(0.0), 1.2, 0.25);
    assert!(
        times.expected_remaining(3.0) > 3.0,
        "{}",
        times.expected_remaining(3.0)
    );
    assert!(
        times.expected_remaining(6.0) < times.expected_remaining(3.0),
        "it has run for most of its time"
    );
    assert_near(times.expected_remaining(100.0), 50.0, 0.01);
});

case!(work_that_changes_is_learned, {
    let (mut times, mut rng) = known(1.0, 600);
    learn(&mut times, &mut rng, 3.0, 40);
    assert_near(times.median(), 3.0, 0.25);
    // A run of long tasks isn't a change.
    let (mut times, _) = known(1.0, 600);
    (0..10).for_each(|_| times.record_end(times.last_end() + STEP_MS, 7.0));
    assert_near(times.median(), 1.0, 0.2);
});

case!(an_idle_kind_is_known_by_its_last_ends, {
    let (mut times, mut rng) = known(3.0, 600);
    times.record_end(times.last_end() + 600_000, 3.0);
    assert_near(times.median(), 3.0, 0.25);
    assert!((15.0..=18.0).contains(&times.sample_weight()));
    learn(&mut times, &mut rng, 1.0, 40);
    assert_near(times.median(), 1.0, 0.25);
});

case!(invalid_ratios_and_estimates_give_usable_values, {
    let mut times = RunningTimes::new(Millis::MAX);
    let bad = [0.0, -1.0, f64::NAN, f64::INFINITY, 1e300];
    for ratio in bad {
        times.record_end(0, ratio);
        let values = [
            times.median(),
            times.tail(),
            times.expected_remaining(1.0),
            times.likelihood(ratio),
        ];
        assert!(
            values
                .iter()
                .all(|value| value.is_finite() && *value >= 0.0),
            "{values:?}"
        );
        let mut speed = TargetSpeed::default();
        speed.record_end(0, &times, ratio);
        assert!(slowdown(&speed, Millis::MAX).is_finite());
    }
    let usable = [0, 1, 200, Millis::MAX].map(usable_estimate_ms);
    assert_eq!(usable, [1_000, 10, 200, 1_000]);
    let octaves = [0, 1, 200, Millis::MAX]
        .map(|estimate_ms| TaskKind::of(&order("task", estimate_ms)).estimate_octave);
    assert_eq!(octaves, [None, Some(3), Some(7), None]);
});

case!(
    long_tasks_do_not_make_a_target_slow_and_slow_targets_are_detected,
    {
        let (times, mut rng) = known(1.0, 600);
        let (mut alarms, mut ends, mut found) = (0, 0, Vec::new());
        for _ in 0..200 {
            let mut speed = TargetSpeed::default();
            let mut now = times.last_end();
            let mut end = |slower: f64| {
                now += 100;
                speed.record_end(now, &times, slower * draw(&mut rng, 1.0));
                slowdown(&speed, now)
            };
            let seen: Vec<f64> = (0..100).map(|_| end(1.0)).collect();
            alarms += seen.iter().filter(|seen| **seen > 2.5).count();
            ends += seen.len();
            found.push(
                (1..)
                    .find(|_| end(6.5) > 2.5)
                    .expect("the slowdown is detected"),
            );
        }
        assert!(alarms * 1_000 <= ends, "{alarms} in {ends}");
        assert!(found.iter().all(|ends| *ends <= 5), "{found:?}");
    }
);

case!(an_unknown_kind_does_not_affect_its_target, {
    let times = RunningTimes::new(0);
    let mut speed = TargetSpeed::default();
    (1..10).for_each(|number| speed.record_end(number * 50, &times, 6.5));
    assert_near(slowdown(&speed, 450), 1.0, 0.2);
});

/// Returns the speed of a target after this number of ends at a slowdown, and the time of the last
/// one.
fn after_ends(slower: f64, ends: u64) -> (TargetSpeed, Millis) {
    let (times, mut rng) = known(1.0, 600);
    let mut speed = TargetSpeed::default();
    for number in 1..=ends {
        speed.record_end(number * 50, &times, slower * draw(&mut rng, 1.0));
    }
    (speed, ends * 50)
}

case!(a_target_that_was_briefly_slow_recovers, {
    let (mut speed, mut now) = after_ends(1.0, 200);
    let (times, mut rng) = known(1.0, 600);
    for _ in 0..5 {
        now += 50;
        speed.record_end(now, &times, 6.5 * draw(&mut rng, 1.0));
    }
    assert!(slowdown(&speed, now) > 5.0);
    assert!(slowdown(&speed, now + 15_000) < 1.5);
});

case!(a_target_that_was_slow_for_long_stays_slow, {
    let (speed, now) = after_ends(1.67, 400);
    assert_near(slowdown(&speed, now), 1.67, 0.1);
    assert!(slowdown(&speed, now + 30_000) > 1.3);
});

case!(a_new_target_is_assumed_to_be_like_similar_ones, {
    let known: Vec<TargetSpeed> = (0..3).map(|_| after_ends(0.625, 400).0).collect();
    assert_near(
        slowdown(&TargetSpeed::from_similar(known.iter()), 0),
        0.65,
        0.1,
    );
    let few = TargetSpeed::from_similar(known[..2].iter());
    assert_near(slowdown(&few, 0), 1.0, 0.15);
});

case!(the_common_slowdown_is_the_median_of_targets, {
    assert_eq!(common_slowdown([3.0, 2.9, 9.0, 3.1, 3.0].into_iter()), 3.0);
    assert_eq!(
        common_slowdown([3.0, 3.0].into_iter()),
        1.0,
        "two are too few"
    );
});

case!(pace_and_stalls_are_derived_from_progress, {
    let mut progress = Progress::started(1_000);
    assert_eq!(progress.pace_ms(), None);
    progress.observe(4, 1_040);
    assert_eq!(progress.pace_ms(), None, "too little progress");
    progress.observe(20, 1_200);
    assert_eq!(
        (progress.pace_ms(), progress.expected_run_ms()),
        (Some(1_000.0), Some(1_000.0))
    );
    progress.observe(40, 1_400);
    progress.observe(50, 1_800);
    assert_eq!(progress.slowed_by(), Some(4.0));
    assert!(
        !progress.is_stalled_for_kind(2_000, 100.0),
        "it continues at its own pace"
    );
    assert!(progress.is_stalled_for_kind(2_300, 100.0));
});
