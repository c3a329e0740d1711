//! One holder's targets as a number of slots, and jobs that compete for them.
#![allow(dead_code)]

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Range;

use gannetridge_dispatcher_core::message::{PoolLoad, PriorityClass, WaitingWork};
use gannetridge_dispatcher_core::rules::arrival::{decide, Arriving, PoolKnowledge};
use gannetridge_dispatcher_core::rules::long_tasks::{LongTasks, TaskSize};
use gannetridge_dispatcher_core::rules::priority::{priority, worth_ms, WaitingJob};
use gannetridge_dispatcher_core::rules::shares::{Origin, Shares};
use gannetridge_dispatcher_core::rules::waiting_order::{may_begin, Waiting};
use gannetridge_dispatcher_core::Millis;
use gannetridge_wire::Name;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

const SLOT_CPU: u32 = 8_000;

/// Jobs of one queue from one hall at random times, `slots` full of them on average.
#[derive(Clone, Debug)]
pub struct Load {
    pub queue: &'static str,
    pub hall: &'static str,
    pub urgency: u8,
    pub tasks: u32,
    pub task_ms: Millis,
    pub slots: f64,
    pub time: Range<Millis>,
}

impl Load {
    pub fn slots(self, slots: f64) -> Self {
        Self { slots, ..self }
    }

    pub fn from(self, hall: &'static str) -> Self {
        Self { hall, ..self }
    }

    pub fn during(self, time: Range<Millis>) -> Self {
        Self { time, ..self }
    }

    fn objective_ms(&self) -> Millis {
        self.task_ms * 8 / 5 + 60
    }

    fn core_ms(&self) -> u64 {
        u64::from(SLOT_CPU) * self.task_ms / 1_000
    }

    fn task(&self) -> TaskSize {
        TaskSize {
            urgency: self.urgency,
            cpu: SLOT_CPU,
            estimate_ms: self.task_ms,
        }
    }

    fn arrivals(&self, rng: &mut Pcg64) -> Vec<Millis> {
        let gap_ms = f64::from(self.tasks) * self.task_ms as f64 / self.slots;
        let mut arrivals = Vec::new();
        let mut at = self.time.start as f64;
        while at < self.time.end as f64 {
            arrivals.push(at as Millis);
            at -= (1.0 - rng.random::<f64>()).ln() * gap_ms;
        }
        arrivals
    }
}

pub type Order = fn(&Waiting<'_>, &Waiting<'_>, &Shares) -> Ordering;

/// How the slots are given out.
#[derive(Clone)]
pub struct Ways {
    pub order: Order,
    pub shares: Shares,
    /// Whether jobs begin as units.
    pub units: bool,
    /// Whether long tasks are bounded.
    pub bounded: bool,
    /// Whether jobs are refused on arrival.
    pub refusing: bool,
}

/// What became of jobs, and the slots times ms that they took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Got {
    pub jobs: f64,
    pub on_time: f64,
    pub late: f64,
    pub slot_ms: f64,
    /// Time for which jobs waited that were refused.
    pub in_vain_ms: f64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    by_origin: BTreeMap<(&'static str, &'static str), Got>,
    /// Slots times ms that were free while a task waited.
    pub idle_slot_ms: f64,
}

impl Outcome {
    /// What a queue got, in all halls or in one.
    pub fn got(&self, queue: &str, hall: Option<&str>) -> Got {
        let mut sum = Got::default();
        for ((other, from), got) in &self.by_origin {
            if *other == queue && hall.is_none_or(|hall| hall == *from) {
                sum.jobs += got.jobs;
                sum.on_time += got.on_time;
                sum.late += got.late;
                sum.slot_ms += got.slot_ms;
                sum.in_vain_ms += got.in_vain_ms;
            }
        }
        sum
    }

    /// The part of a queue's jobs that were answered on time.
    pub fn on_time(&self, queue: &str) -> f64 {
        let got = self.got(queue, None);
        got.on_time / got.jobs
    }

    fn of(&mut self, load: &Load) -> &mut Got {
        self.by_origin.entry((load.queue, load.hall)).or_default()
    }
}

struct Job<'a> {
    load: &'a Load,
    queue: Name,
    hall: Name,
    arrived: Millis,
    waiting: u32,
    left: u32,
}

impl Job<'_> {
    fn begun(&self) -> bool {
        self.waiting < self.load.tasks
    }

    fn is_worthless(&self, now: Millis) -> bool {
        let until = self.arrived + worth_ms(self.load.objective_ms());
        !self.begun() && now + self.load.task_ms > until
    }

    /// Whether a host takes it that knows what the holder tells.
    fn is_taken(&self, has_room: bool, load: &PoolLoad) -> bool {
        let listed_cpu = u64::from(load.capacity_cpu);
        let pool = PoolKnowledge::new([(load, 0)].into_iter(), listed_cpu, 0);
        let job = Arriving {
            id: &self.queue,
            urgency: self.load.urgency,
            core_ms: u64::from(self.load.tasks) * self.load.core_ms(),
            chain_ms: self.load.task_ms,
            objective_ms: self.load.objective_ms(),
            deadline_ms: Millis::MAX,
            has_room,
        };
        decide(&pool, &job).retry_after_ms.is_none()
    }

    /// `begun_core_ms` are left of jobs that have begun and go before it.
    fn waiting(&self, now: Millis, room_cpu: u32, begun_core_ms: u64) -> Waiting<'_> {
        let job = WaitingJob {
            age_ms: now - self.arrived,
            objective_ms: self.load.objective_ms(),
            begun: self.begun(),
            urgency: self.load.urgency,
        };
        let priority = priority(&job, self.load.task_ms);
        let core_ms = u64::from(self.load.tasks) * self.load.core_ms();
        let fits = || {
            may_begin(
                core_ms,
                begun_core_ms,
                room_cpu,
                priority.slack_ms as Millis,
            )
        };
        let in_vain = priority.class == PriorityClass::OnTime && !fits();
        Waiting {
            origin: Origin {
                urgency: self.load.urgency,
                queue: &self.queue,
                hall: &self.hall,
            },
            class: if in_vain {
                PriorityClass::Late
            } else {
                priority.class
            },
            slack_ms: priority.slack_ms,
        }
    }
}

/// What the holder tells of its slots and of what waits.
fn holder_load(jobs: &BTreeMap<usize, Job<'_>>, used: u32, slots: u32) -> PoolLoad {
    let mut waiting: BTreeMap<u8, WaitingWork> = BTreeMap::new();
    for job in jobs.values() {
        let work = waiting.entry(job.load.urgency).or_insert(WaitingWork {
            urgency: job.load.urgency,
            tasks: 0,
            core_ms: 0,
        });
        work.tasks += job.waiting;
        work.core_ms += u64::from(job.waiting) * job.load.core_ms();
    }
    PoolLoad {
        pool: "pool".into(),
        capacity_cpu: slots * SLOT_CPU,
        used_cpu: used * SLOT_CPU,
        queue_cpu: 0,
        waiting: waiting.into_values().collect(),
    }
}

/// Plays loads on `slots` for `ms`.
pub fn play(seed: u64, slots: u32, ms: Millis, loads: &[Load], mut ways: Ways) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut arrivals: Vec<(Millis, &Load)> = Vec::new();
    for load in loads {
        arrivals.extend(load.arrivals(&mut rng).into_iter().map(|at| (at, load)));
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let mut arrivals = arrivals.into_iter().enumerate().peekable();
    let mut jobs: BTreeMap<usize, Job<'_>> = BTreeMap::new();
    let mut running: Vec<(Millis, usize, &Load)> = Vec::new();
    let (mut long, mut outcome) = (LongTasks::default(), Outcome::default());
    let room_cpu = slots * SLOT_CPU;
    for now in 0..ms {
        for (_, id, load) in running.extract_if(.., |(end, ..)| *end == now) {
            let job = jobs.get_mut(&id).unwrap();
            job.left -= 1;
            if job.left == 0 {
                let on_time = now - job.arrived <= load.objective_ms();
                outcome.of(load).on_time += f64::from(on_time);
                outcome.of(load).late += f64::from(!on_time);
                jobs.remove(&id);
            }
        }
        while let Some((id, (arrived, load))) = arrivals.next_if(|(_, (at, _))| *at == now) {
            outcome.of(load).jobs += 1.0;
            for _ in 0..load.tasks {
                long.arrived(now, &load.task(), load.objective_ms() - load.task_ms);
            }
            let job = Job {
                load,
                queue: load.queue.into(),
                hall: load.hall.into(),
                arrived,
                waiting: load.tasks,
                left: load.tasks,
            };
            let used = running.len() as u32;
            if !ways.refusing || job.is_taken(used < slots, &holder_load(&jobs, used, slots)) {
                jobs.insert(id, job);
            }
        }
        for (_, job) in jobs.extract_if(.., |_, job| job.is_worthless(now)) {
            outcome.of(job.load).in_vain_ms += (now - job.arrived) as f64;
        }
        loop {
            let free = slots - running.len() as u32;
            let mut begun_core_ms = BTreeMap::new();
            for job in jobs.values().filter(|job| job.begun()) {
                let core_ms = u64::from(job.waiting) * job.load.core_ms();
                *begun_core_ms.entry(job.load.urgency).or_insert(0) += core_ms;
            }
            let waiting = jobs.iter().filter(|(_, job)| job.waiting > 0);
            let waiting: Vec<(usize, Waiting<'_>)> = waiting
                .map(|(id, job)| {
                    let before = begun_core_ms.range(..=job.load.urgency);
                    let room_cpu = if ways.units { room_cpu } else { u32::MAX };
                    (
                        *id,
                        job.waiting(now, room_cpu, before.map(|(_, core_ms)| core_ms).sum()),
                    )
                })
                .collect();
            let counting = waiting.iter().filter(|(_, task)| task.counts());
            ways.shares
                .advance(now, counting.map(|(_, task)| task.origin));
            let held = running.iter().map(|(.., load)| load.task());
            let able = waiting.iter().filter(|(id, _)| {
                let task = jobs[id].load.task();
                free > 0 && (!ways.bounded || long.may_start(now, &task, room_cpu, held.clone()))
            });
            let first = able.min_by(|(_, a), (_, b)| (ways.order)(a, b, &ways.shares));
            let Some((id, task)) = first else {
                outcome.idle_slot_ms += f64::from(if waiting.is_empty() { 0 } else { free });
                break;
            };
            let (id, load) = (*id, jobs[id].load);
            ways.shares.started(now, &task.origin, load.core_ms());
            outcome.of(load).slot_ms += load.task_ms as f64;
            jobs.get_mut(&id).unwrap().waiting -= 1;
            running.push((now + load.task_ms, id, load));
        }
    }
    outcome
}
