//! Learned target speeds and running times, in a simulation of one host and its targets.

mod support;

use std::collections::{BTreeMap, HashMap};

use gannetridge_dispatcher_core::decision::StopReason;
use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, ProcessStartTime,
};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::settings::RunningTimes;
use gannetridge_dispatcher_core::spec::StepSpec;
use gannetridge_dispatcher_core::{CallId, Decision, Millis, Scheduling, TargetCall, TargetReply};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{case, ended, settings, step, target, Rig};

/// By how much the targets' clocks are ahead of the host's, in ms.
const CLOCK_OFFSET_MS: Millis = 500_000;

/// The work of a task, the same for each attempt.
#[derive(Clone, Copy)]
struct Work {
    ms: f64,
    estimate_ms: Millis,
}

/// The distribution of tasks.
#[derive(Clone, Copy)]
struct Queue {
    /// Running time of an ordinary task on an ordinary target, in ms.
    task_ms: f64,
    /// Ratio of an ordinary task's running time to its estimate, before random deviation.
    estimate_error: f64,
    /// Share of tasks that take 7 times as long.
    long_share: f64,
    /// The value that callers send in place of an estimate, if they do.
    fixed_estimate_ms: Option<Millis>,
    /// The slowdown without local data that the host is configured with, if the tasks' data is
    /// in a rack (r1). The actual slowdown is [`FAR_SLOWDOWN`].
    far_slowdown: Option<f64>,
}

const EVEN: Queue = Queue {
    task_ms: 200.0,
    estimate_error: 1.0,
    long_share: 0.0,
    fixed_estimate_ms: None,
    far_slowdown: None,
};
const HEAVY_TAILED: Queue = Queue {
    long_share: 0.03,
    ..EVEN
};
/// How many times as long tasks take on targets in another rack than their data.
const FAR_SLOWDOWN: f64 = 1.5;
/// Slowdowns of targets of three speeds.
const SLOWDOWNS: [f64; 8] = [0.625, 0.625, 1.0, 1.0, 1.0, 1.0, 1.67, 1.67];

/// A simulated target.
struct SimulatedTarget {
    slowdown: f64,
    /// Whether it is in another rack than the data.
    is_far: bool,
    process_start: ProcessStartTime,
    reports_progress: bool,
    /// Work done and total work in ms, by attempt.
    running: BTreeMap<AttemptId, (f64, f64)>,
    ended: Vec<ListedEnd>,
    last_end: u64,
    /// The renewal that waits for an end, and until when it waits.
    long_poll: Option<(CallId, Millis)>,
    /// Number of attempts done there.
    done: usize,
}

/// One host, its targets, and callers that keep a constant number of tasks in progress.
struct Simulation {
    rig: Rig,
    targets: BTreeMap<String, SimulatedTarget>,
    work: HashMap<String, Work>,
    rng: Pcg64,
    queue: Queue,
    /// Factor on the running times of new tasks that their estimates don't reflect.
    work_factor: f64,
    submitted: u64,
}

impl Simulation {
    /// Creates targets with these slowdowns, the last two in another rack than the others.
    fn new(seed: u64, running_times: RunningTimes, slowdowns: &[f64], queue: Queue) -> Self {
        let names = (0..slowdowns.len()).map(|number| format!("t{number:02}"));
        let names: Vec<String> = names.collect();
        let near = names.len() - 2;
        let mut entries: Vec<_> = names.iter().map(|name| target(name, 16)).collect();
        for entry in &mut entries[near..] {
            entry.labels = vec!["a".into(), "r2".into()];
        }
        let mut host = settings();
        host.far_slowdown = queue.far_slowdown.unwrap_or(1.0);
        host.scheduling = Scheduling {
            running_times,
            ..Scheduling::default()
        };
        let targets = names.into_iter().zip(slowdowns).enumerate();
        let targets = targets.map(|(number, (name, slowdown))| {
            let mut target = SimulatedTarget::new(*slowdown);
            target.is_far = number >= near && queue.far_slowdown.is_some();
            (name, target)
        });
        Self {
            rig: Rig::holding_targets_with(host, &entries),
            targets: targets.collect(),
            work: HashMap::new(),
            rng: Pcg64::seed_from_u64(seed),
            queue,
            work_factor: 1.0,
            submitted: 0,
        }
    }

    /// Advances the time in steps of 10 ms.
    fn advance(&mut self, ms: Millis) {
        let end = self.rig.now + ms;
        while self.rig.now < end {
            self.submit();
            self.rig.advance(10);
            self.targets
                .values_mut()
                .for_each(|target| target.advance(10.0));
            self.carry_out_calls();
        }
    }

    /// Submits jobs until two tasks per target are in progress.
    fn submit(&mut self) {
        let open = self.submitted - self.rig.answers.len() as u64;
        for _ in open..2 * self.targets.len() as u64 {
            self.submitted += 1;
            let deviation: f64 = self.rng.random_range(0.6..1.4);
            let is_long = self.rng.random_bool(self.queue.long_share);
            let estimate_ms =
                (self.queue.task_ms * deviation / self.queue.estimate_error) as Millis;
            let work = Work {
                ms: self.queue.task_ms * self.work_factor * if is_long { 7.0 } else { 1.0 },
                estimate_ms: self.queue.fixed_estimate_ms.unwrap_or(estimate_ms),
            };
            let id = format!("{:016x}", self.submitted);
            let task = StepSpec {
                rack: self.queue.far_slowdown.map(|_| "r1".into()),
                ..step(1, 7_000, work.estimate_ms)
            };
            self.work.insert(id.clone(), work);
            self.rig.submit(self.submitted, &id, vec![task], 60_000);
        }
    }

    /// Carries out the host's calls to targets.
    fn carry_out_calls(&mut self) {
        for called in std::mem::take(&mut self.rig.calls) {
            let (now, clock) = (self.rig.now, self.rig.now + CLOCK_OFFSET_MS);
            let target = self.targets.get_mut(&called.target).expect("known");
            match called.order {
                TargetCall::Start(order) => {
                    let far = if target.is_far { FAR_SLOWDOWN } else { 1.0 };
                    let work = self.work[&order.id.task[..16]].ms * far;
                    target.running.insert(order.id, (0.0, work));
                    self.rig
                        .target_reply(called.call, TargetReply::Accepted { clock });
                }
                TargetCall::Stop(id) => {
                    target.running.remove(&id);
                    target.end(&id, ListedOutcome::Interrupted);
                    self.rig
                        .target_reply(called.call, TargetReply::Accepted { clock });
                }
                TargetCall::Renew {
                    acknowledged,
                    wait_ms,
                    ..
                } => {
                    target.ended.retain(|end| end.number > acknowledged);
                    target.long_poll = Some((called.call, now + wait_ms));
                }
            }
        }
        self.answer_long_polls();
    }

    /// Answers the renewals whose wait is over or whose target has ends to list.
    fn answer_long_polls(&mut self) {
        let now = self.rig.now;
        for target in self.targets.values_mut() {
            let due = |(_, until): &mut (CallId, Millis)| *until <= now;
            let due = target
                .long_poll
                .take_if(|long_poll| due(long_poll) || !target.ended.is_empty());
            if let Some((call, _)) = due {
                let reply = target.listing(now + CLOCK_OFFSET_MS);
                self.rig.target_reply(call, reply);
            }
        }
    }

    /// Returns the targets and reasons of all stops.
    fn stopped(&self) -> Vec<(String, StopReason)> {
        let decisions = self.rig.decisions.iter();
        let stopped = decisions.filter_map(|decision| match decision {
            Decision::AttemptStopping { target, reason, .. } => Some((target.to_string(), *reason)),
            _ => None,
        });
        stopped.collect()
    }

    /// Returns the last logged median ratio of running time to estimate for an estimate.
    fn last_median(&self, estimate: Millis) -> f64 {
        let latest_first = self.rig.decisions.iter().rev();
        let mut medians = latest_first.filter_map(|decision| match decision {
            Decision::TaskTimes {
                estimate_ms,
                median,
                ..
            } if *estimate_ms == Some(estimate) => Some(*median),
            _ => None,
        });
        medians.next().expect("medians are logged every 10 s")
    }

    /// Returns the number of attempts done on all targets.
    fn done(&self) -> usize {
        self.targets.values().map(|target| target.done).sum()
    }

    /// Returns how often a slowdown above `limit` was logged for any target.
    fn slow_reports(&self, limit: f64) -> usize {
        let logged = self.targets.keys();
        let logged = logged.flat_map(|name| self.logged_slowdowns(name));
        logged.filter(|slowdown| *slowdown > limit).count()
    }

    fn set_slowdown(&mut self, name: &str, slowdown: f64) {
        self.targets.get_mut(name).expect("known").slowdown = slowdown;
    }

    /// Returns after how many ms a slowdown above `limit` is logged for a target, and how many
    /// of its attempts are done until then.
    fn detect_slow(&mut self, name: &str, limit: f64) -> (Millis, usize) {
        let (start, done) = (self.rig.now, self.targets[name].done);
        self.rig.decisions.clear();
        while !self
            .logged_slowdowns(name)
            .iter()
            .any(|slowdown| *slowdown > limit)
        {
            self.advance(10);
            assert!(self.rig.now < start + 10_000, "{name} isn't detected");
        }
        (self.rig.now - start, self.targets[name].done - done)
    }

    /// Returns the slowdowns that were logged for a target.
    fn logged_slowdowns(&self, name: &str) -> Vec<f64> {
        let decisions = self.rig.decisions.iter();
        let logged = decisions.filter_map(|decision| match decision {
            Decision::TargetSpeed {
                target, slowdown, ..
            } if **target == *name => Some(*slowdown),
            _ => None,
        });
        logged.collect()
    }
}

impl SimulatedTarget {
    fn new(slowdown: f64) -> Self {
        Self {
            slowdown,
            is_far: false,
            process_start: ProcessStartTime(1),
            reports_progress: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
            long_poll: None,
            done: 0,
        }
    }

    /// Starts a new incarnation at the speed of an ordinary target.
    fn restart(&mut self) {
        self.running.clear();
        self.ended.clear();
        self.last_end = 0;
        self.process_start.0 += 1;
        self.slowdown = 1.0;
    }

    fn advance(&mut self, ms: f64) {
        let mut done = Vec::new();
        for (id, (run, work)) in &mut self.running {
            *run += ms / self.slowdown;
            if *run >= *work {
                done.push(id.clone());
            }
        }
        for id in done {
            self.running.remove(&id);
            self.end(&id, ListedOutcome::Done);
            self.done += 1;
        }
    }

    fn end(&mut self, id: &AttemptId, outcome: ListedOutcome) {
        self.last_end += 1;
        self.ended.push(ended(self.last_end, id, outcome));
    }

    fn listing(&self, clock: Millis) -> TargetReply {
        let running = self.running.iter().map(|(id, (run, work))| ListedAttempt {
            id: id.clone(),
            percent: self.reports_progress.then(|| (run / work * 100.0) as u8),
        });
        TargetReply::Listing {
            clock,
            running: running.collect(),
            ended: self.ended.clone(),
            process_start: Some(self.process_start),
            capacity: None,
        }
    }
}

/// Simulates a queue for a minute on targets that report progress or don't.
fn run_minute(
    running_times: RunningTimes,
    slowdowns: &[f64],
    queue: Queue,
    reports_progress: bool,
) -> Simulation {
    let mut simulation = Simulation::new(1, running_times, slowdowns, queue);
    for target in simulation.targets.values_mut() {
        target.reports_progress = reports_progress;
    }
    simulation.advance(60_000);
    simulation
}

case!(long_tasks_on_healthy_targets_are_not_stopped, {
    let estimated = run_minute(RunningTimes::Estimated, &[1.0; 8], HEAVY_TAILED, true);
    let learned = run_minute(RunningTimes::Learned, &[1.0; 8], HEAVY_TAILED, true);
    let (before, after) = (estimated.done(), learned.done());
    assert!(
        estimated.stopped().len() > 50,
        "estimates alone stop long tasks"
    );
    assert_eq!(learned.stopped(), []);
    assert!(after * 100 > before * 110, "{before} before, {after} after");
    assert!(
        learned.slow_reports(2.5) * 1_000 <= 2 * after,
        "{}",
        learned.slow_reports(2.5)
    );
});

case!(
    long_tasks_without_progress_are_not_stopped_once_their_times_are_learned,
    {
        let mut simulation = run_minute(RunningTimes::Learned, &SLOWDOWNS, HEAVY_TAILED, false);
        simulation.rig.decisions.clear();
        simulation.advance(60_000);
        assert!(
            simulation.stopped().len() <= 2,
            "{:?}",
            simulation.stopped()
        );
    }
);

case!(target_speeds_are_distinguished_from_random_running_times, {
    let simulation = run_minute(RunningTimes::Learned, &SLOWDOWNS, HEAVY_TAILED, true);
    let last = |name: &str| {
        simulation
            .logged_slowdowns(name)
            .last()
            .copied()
            .unwrap_or(1.0)
    };
    let all: Vec<f64> = simulation.targets.keys().map(|name| last(name)).collect();
    for (logged, slowdown) in all.iter().zip(SLOWDOWNS) {
        let error = (logged / slowdown).ln().abs();
        // A change by a factor below 1.4 isn't logged.
        assert!(error < 0.34, "{logged} for {slowdown}");
    }
    assert_eq!(simulation.stopped(), []);
});

/// Returns for each of 8 seeds after how many ms, and after how many attempts done there, a
/// target is detected that becomes 6.5 times slower; sorted.
fn detections_of_slow_target(queue: Queue) -> Vec<(Millis, usize)> {
    let detections = (1..=8).map(|seed| {
        let mut simulation = Simulation::new(seed, RunningTimes::Learned, &SLOWDOWNS, queue);
        simulation.advance(30_000);
        simulation.set_slowdown("t05", 6.5);
        let detection = simulation.detect_slow("t05", 2.5);
        // It is used again once it has recovered, at first with one task at a time.
        simulation.set_slowdown("t05", 1.0);
        let done = simulation.targets["t05"].done;
        simulation.advance(10_000);
        let done = simulation.targets["t05"].done - done;
        assert!(done as f64 * queue.task_ms > 6_000.0, "{done}");
        assert_eq!(simulation.stopped(), []);
        detection
    });
    let mut detections: Vec<_> = detections.collect();
    detections.sort_unstable();
    detections
}

macro_rules! detects_slow_target {
    ($($name:ident: $queue:expr, $half_within_ms:expr, $all_within_ms:expr;)+) => {
        $(case!($name, {
            let detections = detections_of_slow_target($queue);
            let ((half, _), (all, _)) = (detections[4], detections[7]);
            assert!(half <= $half_within_ms && all <= $all_within_ms, "{detections:?}");
            assert!(detections.iter().all(|(_, ends)| *ends <= 4), "{detections:?}");
        });)+
    };
}
detects_slow_target! {
    a_target_that_becomes_slow_is_detected: EVEN, 300, 300;
    a_target_that_becomes_slow_under_longer_tasks_is_detected: Queue { task_ms: 900.0, ..EVEN }, 600, 1_000;
    a_target_that_becomes_slow_is_detected_among_long_tasks: HEAVY_TAILED, 500, 2_000;
    a_target_that_becomes_slow_is_detected_among_very_long_tasks: Queue { task_ms: 900.0, ..HEAVY_TAILED }, 1_000, 3_000;
}

/// Returns the last slowdown logged for a far target after a minute, on a host configured with
/// this slowdown without local data.
fn logged_for_far_target(configured: f64) -> f64 {
    let queue = Queue {
        far_slowdown: Some(configured),
        ..HEAVY_TAILED
    };
    let simulation = run_minute(RunningTimes::Learned, &[1.0; 8], queue, true);
    simulation
        .logged_slowdowns("t07")
        .last()
        .copied()
        .unwrap_or(1.0)
}

case!(a_far_target_is_not_taken_for_a_slow_one, {
    assert!(
        logged_for_far_target(FAR_SLOWDOWN) < 1.2,
        "{}",
        logged_for_far_target(FAR_SLOWDOWN)
    );
    let unknown = logged_for_far_target(1.0);
    assert!(
        unknown > 1.3,
        "{unknown}: a slowdown that isn't configured shows"
    );
});

case!(a_new_incarnation_does_not_inherit_the_learned_speed, {
    let mut simulation = Simulation::new(1, RunningTimes::Learned, &SLOWDOWNS, EVEN);
    simulation.set_slowdown("t05", 6.5);
    simulation.advance(30_000);
    assert!(*simulation.logged_slowdowns("t05").last().expect("logged") > 4.0);
    simulation.rig.decisions.clear();
    let target = simulation.targets.get_mut("t05").expect("known");
    target.restart();
    let done = target.done;
    while simulation.targets["t05"].done < done + 7 {
        simulation.advance(10);
        assert_eq!(
            simulation.logged_slowdowns("t05"),
            [],
            "its speed isn't known yet"
        );
    }
});

macro_rules! wrong_estimates {
    ($($name:ident: $queue:expr;)+) => {
        $(case!($name, {
            let simulation = run_minute(RunningTimes::Learned, &[1.0; 8], $queue, true);
            assert_eq!(simulation.stopped(), []);
            assert!(simulation.slow_reports(2.5) * 1_000 <= 2 * simulation.done(), "{}", simulation.slow_reports(2.5));
            let even = run_minute(RunningTimes::Learned, &[1.0; 8], HEAVY_TAILED, true);
            assert!(simulation.done() * 100 > even.done() * 97, "{}", simulation.done());
        });)+
    };
}
wrong_estimates! {
    estimates_three_times_too_low_stop_nothing: Queue { estimate_error: 3.0, ..HEAVY_TAILED };
    estimates_three_times_too_high_stop_nothing: Queue { estimate_error: 1.0 / 3.0, ..HEAVY_TAILED };
    zero_estimates_stop_nothing: Queue { fixed_estimate_ms: Some(0), ..HEAVY_TAILED };
    estimates_of_a_millisecond_stop_nothing: Queue { fixed_estimate_ms: Some(1), ..HEAVY_TAILED };
    maximum_estimates_stop_nothing: Queue { fixed_estimate_ms: Some(Millis::MAX), ..HEAVY_TAILED };
}

case!(longer_tasks_are_not_taken_for_slow_targets, {
    let mut simulation = run_minute(RunningTimes::Learned, &[1.0; 8], HEAVY_TAILED, true);
    simulation.work_factor = 3.0;
    simulation.advance(20_000);
    simulation.rig.decisions.clear();
    simulation.advance(30_000);
    assert_eq!(simulation.stopped(), []);
    assert!(simulation.slow_reports(2.5) <= 2);
    let median = simulation.last_median(128);
    assert!((2.7..4.0).contains(&median), "{median}");
});

case!(an_attempt_that_makes_progress_is_never_stopped, {
    let mut simulation = run_minute(RunningTimes::Learned, &[1.0; 8], EVEN, true);
    simulation.set_slowdown("t05", 40.0);
    simulation.advance(20_000);
    assert_eq!(simulation.stopped(), []);
});

macro_rules! stops_hung_attempts {
    ($($name:ident: $reports_progress:expr, $within_ms:expr, $reason:expr;)+) => {
        $(case!($name, {
            let mut simulation = run_minute(RunningTimes::Learned, &[1.0; 8], EVEN, $reports_progress);
            simulation.set_slowdown("t05", 1e9);
            simulation.advance($within_ms);
            let stopped = simulation.stopped();
            assert_eq!(stopped, vec![("t05".to_owned(), $reason); stopped.len()]);
            assert!(stopped.len() >= 2);
        });)+
    };
}
stops_hung_attempts! {
    a_hung_attempt_that_reports_progress_is_stopped: true, 1_000, StopReason::Stalled;
    a_hung_attempt_without_progress_reports_is_stopped: false, 1_500, StopReason::Overrun;
}

case!(the_capacity_that_attempts_are_expected_to_free_is_freed, {
    let mut simulation = run_minute(RunningTimes::Learned, &SLOWDOWNS, HEAVY_TAILED, true);
    let (mut expected, done) = (0, simulation.done());
    for _ in 0..100 {
        expected += simulation
            .rig
            .host
            .counts(simulation.rig.now)
            .cpu_freed_soon as usize;
        simulation.advance(100);
    }
    let freed = (simulation.done() - done) * 7_000;
    assert!(expected * 10 > freed * 8 && expected * 10 < freed * 12);
});
