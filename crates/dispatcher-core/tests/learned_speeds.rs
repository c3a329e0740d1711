//! What a host learns of its targets from tasks that run on them, in a world of its own time.

mod support;

use std::collections::{BTreeMap, HashMap};

use gannetridge_dispatcher_core::decision::StopReason;
use gannetridge_dispatcher_core::event::{Born, ListedAttempt, ListedEnd, ListedOutcome};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::settings::RunningTimes;
use gannetridge_dispatcher_core::spec::StepSpec;
use gannetridge_dispatcher_core::{CallId, Decision, Millis, Scheduling, TargetCall, TargetReply};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;
use support::{case, ended, settings, step, target, Rig};

/// By how much the targets' clocks are ahead of the host's.
const CLOCK: Millis = 500_000;

/// A task's work, the same for each of its attempts.
#[derive(Clone, Copy)]
struct Work {
    ms: f64,
    estimate_ms: Millis,
}

/// How work is drawn.
#[derive(Clone, Copy)]
struct Queue {
    /// How long its tasks take on an ordinary target, in ms.
    task_ms: f64,
    /// How many times its estimate a task takes, but for luck.
    wrong: f64,
    /// The part of the tasks that takes 7 times as long.
    long: f64,
    /// What callers tell instead of an estimate, if they do.
    nonsense: Option<Millis>,
    /// How many times as long the host is told that tasks take without their data, which lies
    /// in rack r1, if it lies in any. They take [`FAR`] times as long.
    far: Option<f64>,
}

const EVEN: Queue = Queue {
    task_ms: 200.0,
    wrong: 1.0,
    long: 0.0,
    nonsense: None,
    far: None,
};
const HEAVY: Queue = Queue { long: 0.03, ..EVEN };
/// How many times as long tasks take without their data.
const FAR: f64 = 1.5;
/// Targets of three speeds.
const SPEEDS: [f64; 8] = [0.625, 0.625, 1.0, 1.0, 1.0, 1.0, 1.67, 1.67];

/// A target that carries out what it is told.
struct Machine {
    slowdown: f64,
    /// Whether it lies in another rack than the data.
    is_far: bool,
    born: Born,
    tells_progress: bool,
    /// Work done in ms and in all, by attempt.
    running: BTreeMap<AttemptId, (f64, f64)>,
    ended: Vec<ListedEnd>,
    number: u64,
    /// The renewal that waits for an end, and until when.
    polled: Option<(CallId, Millis)>,
    /// Attempts that were done there.
    done: usize,
}

/// One host, its targets, and callers that keep so many tasks under way.
struct Fleet {
    rig: Rig,
    machines: BTreeMap<String, Machine>,
    work: HashMap<String, Work>,
    rng: Pcg64,
    queue: Queue,
    /// By how many times its tasks have become longer, but not their estimates.
    longer: f64,
    submitted: u64,
}

impl Fleet {
    /// Targets with these slowdowns, the last two in another rack than the others.
    fn new(seed: u64, way: RunningTimes, slowdowns: &[f64], queue: Queue) -> Self {
        let names = (0..slowdowns.len()).map(|number| format!("t{number:02}"));
        let names: Vec<String> = names.collect();
        let near = names.len() - 2;
        let mut entries: Vec<_> = names.iter().map(|name| target(name, 16)).collect();
        for entry in &mut entries[near..] {
            entry.labels = vec!["a".into(), "r2".into()];
        }
        let mut host = settings();
        host.far_slowdown = queue.far.unwrap_or(1.0);
        host.scheduling = Scheduling {
            running_times: way,
            ..Scheduling::default()
        };
        let machines = names.into_iter().zip(slowdowns).enumerate();
        let machines = machines.map(|(number, (name, slowdown))| {
            let mut machine = Machine::new(*slowdown);
            machine.is_far = number >= near && queue.far.is_some();
            (name, machine)
        });
        Self {
            rig: Rig::holding_targets_with(host, &entries),
            machines: machines.collect(),
            work: HashMap::new(),
            rng: Pcg64::seed_from_u64(seed),
            queue,
            longer: 1.0,
            submitted: 0,
        }
    }

    /// Lets time pass in steps of 10 ms.
    fn pass(&mut self, ms: Millis) {
        let end = self.rig.now + ms;
        while self.rig.now < end {
            self.submit();
            self.rig.pass(10);
            self.machines
                .values_mut()
                .for_each(|machine| machine.advance(10.0));
            self.serve();
        }
    }

    /// Keeps two tasks a target under way.
    fn submit(&mut self) {
        let open = self.submitted - self.rig.answers.len() as u64;
        for _ in open..2 * self.machines.len() as u64 {
            self.submitted += 1;
            let off: f64 = self.rng.random_range(0.6..1.4);
            let is_long = self.rng.random_bool(self.queue.long);
            let estimate_ms = (self.queue.task_ms * off / self.queue.wrong) as Millis;
            let work = Work {
                ms: self.queue.task_ms * self.longer * if is_long { 7.0 } else { 1.0 },
                estimate_ms: self.queue.nonsense.unwrap_or(estimate_ms),
            };
            let id = format!("{:016x}", self.submitted);
            let task = StepSpec {
                rack: self.queue.far.map(|_| "r1".into()),
                ..step(1, 7_000, work.estimate_ms)
            };
            self.work.insert(id.clone(), work);
            self.rig.submit(self.submitted, &id, vec![task], 60_000);
        }
    }

    /// Carries out the host's calls, and lists what has ended.
    fn serve(&mut self) {
        for called in std::mem::take(&mut self.rig.calls) {
            let (now, clock) = (self.rig.now, self.rig.now + CLOCK);
            let machine = self.machines.get_mut(&called.target).expect("known");
            match called.order {
                TargetCall::Start(order) => {
                    let far = if machine.is_far { FAR } else { 1.0 };
                    let work = self.work[&order.id.task[..16]].ms * far;
                    machine.running.insert(order.id, (0.0, work));
                    self.rig
                        .target_reply(called.call, TargetReply::Accepted { clock });
                }
                TargetCall::Stop(id) => {
                    machine.running.remove(&id);
                    machine.end(&id, ListedOutcome::Ended);
                    self.rig
                        .target_reply(called.call, TargetReply::Accepted { clock });
                }
                TargetCall::Renew {
                    acknowledged,
                    wait_ms,
                    ..
                } => {
                    machine.ended.retain(|end| end.number > acknowledged);
                    machine.polled = Some((called.call, now + wait_ms));
                }
            }
        }
        self.list();
    }

    fn list(&mut self) {
        let now = self.rig.now;
        for machine in self.machines.values_mut() {
            let due = |(_, until): &mut (CallId, Millis)| *until <= now;
            let due = machine
                .polled
                .take_if(|polled| due(polled) || !machine.ended.is_empty());
            if let Some((call, _)) = due {
                let reply = machine.listing(now + CLOCK);
                self.rig.target_reply(call, reply);
            }
        }
    }

    /// Returns why attempts were stopped, and where.
    fn stopped(&self) -> Vec<(String, StopReason)> {
        let decisions = self.rig.decisions.iter();
        let stopped = decisions.filter_map(|decision| match decision {
            Decision::AttemptStopping { target, reason, .. } => Some((target.to_string(), *reason)),
            _ => None,
        });
        stopped.collect()
    }

    /// Returns the median running time over estimate that was last told of a kind.
    fn median_told(&self, estimate: Millis) -> f64 {
        let latest_first = self.rig.decisions.iter().rev();
        let mut told = latest_first.filter_map(|decision| match decision {
            Decision::TaskTimes {
                estimate_ms,
                median,
                ..
            } if *estimate_ms == Some(estimate) => Some(*median),
            _ => None,
        });
        told.next().expect("told each 10 s")
    }

    /// Returns how many attempts were done on all targets.
    fn done(&self) -> usize {
        self.machines.values().map(|machine| machine.done).sum()
    }

    /// Returns how often any target was told to be slower than that.
    fn alarms(&self, slowdown: f64) -> usize {
        let told = self.machines.keys().flat_map(|name| self.told(name));
        told.filter(|told| *told > slowdown).count()
    }

    fn set_slowdown(&mut self, name: &str, slowdown: f64) {
        self.machines.get_mut(name).expect("known").slowdown = slowdown;
    }

    /// Returns after how many ms a target is told to be slower than that, and how many of its
    /// attempts were done until then.
    fn found(&mut self, name: &str, slowdown: f64) -> (Millis, usize) {
        let (began, done) = (self.rig.now, self.machines[name].done);
        self.rig.decisions.clear();
        while !self.told(name).iter().any(|told| *told > slowdown) {
            self.pass(10);
            assert!(self.rig.now < began + 10_000, "{name} isn't found");
        }
        (self.rig.now - began, self.machines[name].done - done)
    }

    /// Returns the slowdowns that were told of a target.
    fn told(&self, name: &str) -> Vec<f64> {
        let decisions = self.rig.decisions.iter();
        let told = decisions.filter_map(|decision| match decision {
            Decision::TargetSpeed {
                target, slowdown, ..
            } if **target == *name => Some(*slowdown),
            _ => None,
        });
        told.collect()
    }
}

impl Machine {
    fn new(slowdown: f64) -> Self {
        Self {
            slowdown,
            is_far: false,
            born: Born(1),
            tells_progress: true,
            running: BTreeMap::new(),
            ended: Vec::new(),
            number: 0,
            polled: None,
            done: 0,
        }
    }

    /// Begins another life, as fast as others.
    fn restart(&mut self) {
        self.running.clear();
        self.ended.clear();
        self.number = 0;
        self.born.0 += 1;
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
        self.number += 1;
        self.ended.push(ended(self.number, id, outcome));
    }

    fn listing(&self, clock: Millis) -> TargetReply {
        let running = self.running.iter().map(|(id, (run, work))| ListedAttempt {
            id: id.clone(),
            percent: self.tells_progress.then(|| (run / work * 100.0) as u8),
        });
        TargetReply::Listing {
            clock,
            running: running.collect(),
            ended: self.ended.clone(),
            born: Some(self.born),
            capacity: None,
        }
    }
}

/// Runs a queue for a minute on targets that tell progress or don't.
fn minute(way: RunningTimes, slowdowns: &[f64], queue: Queue, tells_progress: bool) -> Fleet {
    let mut fleet = Fleet::new(1, way, slowdowns, queue);
    for machine in fleet.machines.values_mut() {
        machine.tells_progress = tells_progress;
    }
    fleet.pass(60_000);
    fleet
}

case!(long_tasks_on_well_targets_are_let_run, {
    let estimated = minute(RunningTimes::Estimated, &[1.0; 8], HEAVY, true);
    let learned = minute(RunningTimes::Learned, &[1.0; 8], HEAVY, true);
    let (before, after) = (estimated.done(), learned.done());
    assert!(estimated.stopped().len() > 50, "the case is one");
    assert_eq!(learned.stopped(), []);
    assert!(after * 100 > before * 110, "{before} before, {after} after");
    assert!(
        learned.alarms(2.5) * 1_000 <= 2 * after,
        "{}",
        learned.alarms(2.5)
    );
});

case!(
    long_tasks_without_progress_are_let_run_once_they_are_known,
    {
        let mut fleet = minute(RunningTimes::Learned, &SPEEDS, HEAVY, false);
        fleet.rig.decisions.clear();
        fleet.pass(60_000);
        assert!(fleet.stopped().len() <= 2, "{:?}", fleet.stopped());
    }
);

case!(speeds_are_told_apart_from_luck, {
    let fleet = minute(RunningTimes::Learned, &SPEEDS, HEAVY, true);
    let last = |name: &str| fleet.told(name).last().copied().unwrap_or(1.0);
    let all: Vec<f64> = fleet.machines.keys().map(|name| last(name)).collect();
    for (told, slowdown) in all.iter().zip(SPEEDS) {
        let off = (told / slowdown).ln().abs();
        // A change by less than 1.4 isn't told.
        assert!(off < 0.34, "{told} for {slowdown}");
    }
    assert_eq!(fleet.stopped(), []);
});

/// How a target is found that turns 6.5 times slower, with several seeds: after how many ms, and
/// ends there, in order.
fn found_slow(queue: Queue) -> Vec<(Millis, usize)> {
    let found = (1..=8).map(|seed| {
        let mut fleet = Fleet::new(seed, RunningTimes::Learned, &SPEEDS, queue);
        fleet.pass(30_000);
        fleet.set_slowdown("t05", 6.5);
        let found = fleet.found("t05", 2.5);
        // It is used again once it is well, if with one task at a time at first.
        fleet.set_slowdown("t05", 1.0);
        let done = fleet.machines["t05"].done;
        fleet.pass(10_000);
        let done = fleet.machines["t05"].done - done;
        assert!(done as f64 * queue.task_ms > 6_000.0, "{done}");
        assert_eq!(fleet.stopped(), []);
        found
    });
    let mut found: Vec<_> = found.collect();
    found.sort_unstable();
    found
}

macro_rules! turns_slow {
    ($($name:ident: $queue:expr, $half_within_ms:expr, $all_within_ms:expr;)+) => {
        $(case!($name, {
            let found = found_slow($queue);
            let ((half, _), (all, _)) = (found[4], found[7]);
            assert!(half <= $half_within_ms && all <= $all_within_ms, "{found:?}");
            assert!(found.iter().all(|(_, ends)| *ends <= 4), "{found:?}");
        });)+
    };
}
turns_slow! {
    a_target_that_turns_slow_is_found: EVEN, 300, 300;
    a_target_that_turns_slow_under_longer_tasks_is_found: Queue { task_ms: 900.0, ..EVEN }, 600, 1_000;
    a_target_that_turns_slow_is_found_among_long_tasks: HEAVY, 500, 2_000;
    a_target_that_turns_slow_is_found_among_very_long_tasks: Queue { task_ms: 900.0, ..HEAVY }, 1_000, 3_000;
}

/// Returns the last slowdown that was told of a far target after a minute.
fn told_of_far(told: f64) -> f64 {
    let queue = Queue {
        far: Some(told),
        ..HEAVY
    };
    let fleet = minute(RunningTimes::Learned, &[1.0; 8], queue, true);
    fleet.told("t07").last().copied().unwrap_or(1.0)
}

case!(data_in_another_rack_is_not_the_targets_slowness, {
    assert!(told_of_far(FAR) < 1.2, "{}", told_of_far(FAR));
    let unknown = told_of_far(1.0);
    assert!(unknown > 1.3, "{unknown}: the case is one");
});

case!(a_new_life_has_a_speed_of_its_own, {
    let mut fleet = Fleet::new(1, RunningTimes::Learned, &SPEEDS, EVEN);
    fleet.set_slowdown("t05", 6.5);
    fleet.pass(30_000);
    assert!(*fleet.told("t05").last().expect("told") > 4.0);
    fleet.rig.decisions.clear();
    let machine = fleet.machines.get_mut("t05").expect("known");
    machine.restart();
    let done = machine.done;
    while fleet.machines["t05"].done < done + 7 {
        fleet.pass(10);
        assert_eq!(fleet.told("t05"), [], "nothing is known of it yet");
    }
});

macro_rules! wrong_estimates {
    ($($name:ident: $queue:expr;)+) => {
        $(case!($name, {
            let fleet = minute(RunningTimes::Learned, &[1.0; 8], $queue, true);
            assert_eq!(fleet.stopped(), []);
            assert!(fleet.alarms(2.5) * 1_000 <= 2 * fleet.done(), "{}", fleet.alarms(2.5));
            let even = minute(RunningTimes::Learned, &[1.0; 8], HEAVY, true);
            assert!(fleet.done() * 100 > even.done() * 97, "{}", fleet.done());
        });)+
    };
}
wrong_estimates! {
    estimates_three_times_too_low: Queue { wrong: 3.0, ..HEAVY };
    estimates_three_times_too_high: Queue { wrong: 1.0 / 3.0, ..HEAVY };
    no_estimates: Queue { nonsense: Some(0), ..HEAVY };
    estimates_of_a_millisecond: Queue { nonsense: Some(1), ..HEAVY };
    estimates_beyond_all_time: Queue { nonsense: Some(Millis::MAX), ..HEAVY };
}

case!(work_that_changes_is_not_the_targets, {
    let mut fleet = minute(RunningTimes::Learned, &[1.0; 8], HEAVY, true);
    fleet.longer = 3.0;
    fleet.pass(20_000);
    fleet.rig.decisions.clear();
    fleet.pass(30_000);
    assert_eq!(fleet.stopped(), []);
    assert!(fleet.alarms(2.5) <= 2);
    let median = fleet.median_told(128);
    assert!((2.7..4.0).contains(&median), "{median}");
});

case!(an_attempt_that_advances_is_let_run_for_however_long, {
    let mut fleet = minute(RunningTimes::Learned, &[1.0; 8], EVEN, true);
    fleet.set_slowdown("t05", 40.0);
    fleet.pass(20_000);
    assert_eq!(fleet.stopped(), []);
});

macro_rules! hung {
    ($($name:ident: $tells_progress:expr, $within_ms:expr, $reason:expr;)+) => {
        $(case!($name, {
            let mut fleet = minute(RunningTimes::Learned, &[1.0; 8], EVEN, $tells_progress);
            fleet.set_slowdown("t05", 1e9);
            fleet.pass($within_ms);
            let stopped = fleet.stopped();
            assert_eq!(stopped, vec![("t05".to_owned(), $reason); stopped.len()]);
            assert!(stopped.len() >= 2);
        });)+
    };
}
hung! {
    a_hung_attempt_that_tells_progress_is_stopped: true, 1_000, StopReason::Stalled;
    a_hung_attempt_without_progress_is_stopped: false, 1_500, StopReason::Overrun;
}

case!(what_attempts_are_expected_to_free_is_freed, {
    let mut fleet = minute(RunningTimes::Learned, &SPEEDS, HEAVY, true);
    let (mut expected, done) = (0, fleet.done());
    for _ in 0..100 {
        expected += fleet.rig.host.counts(fleet.rig.now).cpu_freed_soon as usize;
        fleet.pass(100);
    }
    let freed = (fleet.done() - done) * 7_000;
    assert!(expected * 10 > freed * 8 && expected * 10 < freed * 12);
});
