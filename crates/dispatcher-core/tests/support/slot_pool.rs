//! One holder's targets as a number of slots, and jobs that compete for them.
#![allow(dead_code)]

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::ops::Range;

use gannetridge_dispatcher_core::message::{PoolLoad, PriorityClass, WaitingWork};
use gannetridge_dispatcher_core::rules::arrival::{decide, ArrivingJob, KnownPoolLoad};
use gannetridge_dispatcher_core::rules::long_tasks::{LongTaskLimit, TaskSize};
use gannetridge_dispatcher_core::rules::priority::{priority, worth_ms, WaitingJob};
use gannetridge_dispatcher_core::rules::shares::{Origin, Shares};
use gannetridge_dispatcher_core::rules::waiting_order::{may_start_job, WaitingEntry};
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

    pub fn from_hall(self, hall: &'static str) -> Self {
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

pub type Order = fn(&WaitingEntry<'_>, &WaitingEntry<'_>, &Shares) -> Ordering;

/// How the slots are given out.
#[derive(Clone)]
pub struct Policy {
    pub order: Order,
    pub shares: Shares,
    /// Whether jobs begin as units.
    pub starts_whole_jobs: bool,
    /// Whether long tasks are bounded.
    pub bounds_long_tasks: bool,
    /// Whether jobs are refused on arrival.
    pub refuses_on_arrival: bool,
}

/// What became of jobs, and the slots times ms that they took.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Got {
    pub jobs: f64,
    pub on_time: f64,
    pub late: f64,
    pub slot_ms: f64,
    /// Time for which jobs waited that were refused.
    pub refused_wait_ms: f64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    by_origin: BTreeMap<(&'static str, &'static str), Got>,
    /// Slots times ms that were free while a task waited.
    pub idle_slot_ms: f64,
}

impl Outcome {
    /// What a queue got, in all halls or in one.
    pub fn totals(&self, queue: &str, hall: Option<&str>) -> Got {
        let mut sum = Got::default();
        for ((other, from), got) in &self.by_origin {
            if *other == queue && hall.is_none_or(|hall| hall == *from) {
                sum.jobs += got.jobs;
                sum.on_time += got.on_time;
                sum.late += got.late;
                sum.slot_ms += got.slot_ms;
                sum.refused_wait_ms += got.refused_wait_ms;
            }
        }
        sum
    }

    /// The part of a queue's jobs that were answered on time.
    pub fn on_time(&self, queue: &str) -> f64 {
        let got = self.totals(queue, None);
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
        let pool = KnownPoolLoad::new([(load, 0)].into_iter(), listed_cpu, 0);
        let job = ArrivingJob {
            id: &self.queue,
            urgency: self.load.urgency,
            core_ms: u64::from(self.load.tasks) * self.load.core_ms(),
            chain_ms: self.load.task_ms,
            objective_ms: self.load.objective_ms(),
            deadline_ms: Millis::MAX,
            has_free_target: has_room,
        };
        decide(&pool, &job).retry_after_ms.is_none()
    }

    /// `begun_core_ms` are left of jobs that have begun and go before it.
    fn waiting(&self, now: Millis, room_cpu: u32, begun_core_ms: u64) -> WaitingEntry<'_> {
        let job = WaitingJob {
            age_ms: now - self.arrived,
            objective_ms: self.load.objective_ms(),
            started: self.begun(),
            urgency: self.load.urgency,
        };
        let priority = priority(&job, self.load.task_ms);
        let core_ms = u64::from(self.load.tasks) * self.load.core_ms();
        let fits = || {
            may_start_job(
                core_ms,
                begun_core_ms,
                room_cpu,
                priority.slack_ms as Millis,
            )
        };
        let in_vain = priority.class == PriorityClass::OnTime && !fits();
        WaitingEntry {
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

/// A holder's slots, and the jobs that compete for them.
struct Room<'a> {
    slots: u32,
    ways: Policy,
    jobs: BTreeMap<usize, Job<'a>>,
    /// When tasks end, and their jobs.
    running: Vec<(Millis, usize, &'a Load)>,
    long: LongTaskLimit,
    outcome: Outcome,
}

impl<'a> Room<'a> {
    fn cpu(&self) -> u32 {
        self.slots * SLOT_CPU
    }

    fn free(&self) -> u32 {
        self.slots - self.running.len() as u32
    }

    fn end(&mut self, now: Millis) {
        let running = std::mem::take(&mut self.running);
        let (ended, running) = running.into_iter().partition(|(end, ..)| *end == now);
        self.running = running;
        let ended: Vec<(Millis, usize, &Load)> = ended;
        for (_, id, load) in ended {
            let job = self.jobs.get_mut(&id).unwrap();
            job.left -= 1;
            if job.left == 0 {
                let on_time = now - job.arrived <= load.objective_ms();
                self.outcome.of(load).on_time += f64::from(on_time);
                self.outcome.of(load).late += f64::from(!on_time);
                self.jobs.remove(&id);
            }
        }
    }

    fn arrive(&mut self, now: Millis, id: usize, load: &'a Load) {
        self.outcome.of(load).jobs += 1.0;
        for _ in 0..load.tasks {
            let slack_ms = load.objective_ms() - load.task_ms;
            self.long.record_arrival(now, &load.task(), slack_ms);
        }
        let job = Job {
            load,
            queue: load.queue.into(),
            hall: load.hall.into(),
            arrived: now,
            waiting: load.tasks,
            left: load.tasks,
        };
        if !self.ways.refuses_on_arrival || job.is_taken(self.free() > 0, &self.load()) {
            self.jobs.insert(id, job);
        }
    }

    /// What the holder tells of its slots and of what waits.
    fn load(&self) -> PoolLoad {
        let mut waiting: BTreeMap<u8, WaitingWork> = BTreeMap::new();
        for job in self.jobs.values() {
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
            capacity_cpu: self.cpu(),
            used_cpu: self.cpu() - self.free() * SLOT_CPU,
            queue_cpu: 0,
            waiting: waiting.into_values().collect(),
        }
    }

    fn give_up(&mut self, now: Millis) {
        for job in self.jobs.values().filter(|job| job.is_worthless(now)) {
            self.outcome.of(job.load).refused_wait_ms += (now - job.arrived) as f64;
        }
        self.jobs.retain(|_, job| !job.is_worthless(now));
    }

    /// The jobs with waiting tasks, a task of each.
    fn waiting(&self, now: Millis) -> Vec<(usize, WaitingEntry<'_>)> {
        let mut begun_core_ms = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.begun()) {
            let core_ms = u64::from(job.waiting) * job.load.core_ms();
            *begun_core_ms.entry(job.load.urgency).or_insert(0) += core_ms;
        }
        let room_cpu = if self.ways.starts_whole_jobs {
            self.cpu()
        } else {
            u32::MAX
        };
        let waiting = self.jobs.iter().filter(|(_, job)| job.waiting > 0);
        let waiting = waiting.map(|(id, job)| {
            let before = begun_core_ms.range(..=job.load.urgency);
            let before = before.map(|(_, core_ms)| core_ms).sum();
            (*id, job.waiting(now, room_cpu, before))
        });
        waiting.collect()
    }

    /// Starts the task that goes first; returns whether there was one.
    fn start_first(&mut self, now: Millis) -> bool {
        if self.free() == 0 {
            return false;
        }
        let (mut shares, mut long) = (self.ways.shares.clone(), self.long.clone());
        let waiting = self.waiting(now);
        let counting = waiting.iter().filter(|(_, task)| task.counts_for_shares());
        shares.advance(now, counting.map(|(_, task)| task.origin));
        let held = self.running.iter().map(|(.., load)| load.task());
        let able = waiting.iter().filter(|(id, _)| {
            let task = self.jobs[id].load.task();
            let may_start = long.may_start(now, &task, self.cpu(), held.clone());
            may_start || !self.ways.bounds_long_tasks
        });
        let first = able.min_by(|(_, a), (_, b)| (self.ways.order)(a, b, &shares));
        let Some((id, task)) = first else {
            let idle = if waiting.is_empty() { 0 } else { self.free() };
            self.outcome.idle_slot_ms += f64::from(idle);
            return false;
        };
        let (id, load) = (*id, self.jobs[id].load);
        shares.record_start(now, &task.origin, load.core_ms());
        self.ways.shares = shares;
        self.outcome.of(load).slot_ms += load.task_ms as f64;
        self.jobs.get_mut(&id).unwrap().waiting -= 1;
        self.running.push((now + load.task_ms, id, load));
        true
    }
}

/// Plays loads on `slots` for `ms`.
pub fn simulate(seed: u64, slots: u32, ms: Millis, loads: &[Load], ways: Policy) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut arrivals: Vec<(Millis, &Load)> = Vec::new();
    for load in loads {
        arrivals.extend(load.arrivals(&mut rng).into_iter().map(|at| (at, load)));
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let mut arrivals = arrivals.into_iter().enumerate().peekable();
    let mut room = Room {
        slots,
        ways,
        jobs: BTreeMap::new(),
        running: Vec::new(),
        long: LongTaskLimit::default(),
        outcome: Outcome::default(),
    };
    for now in 0..ms {
        room.end(now);
        while let Some((id, (_, load))) = arrivals.next_if(|(_, (at, _))| *at == now) {
            room.arrive(now, id, load);
        }
        room.give_up(now);
        while room.start_first(now) {}
    }
    room.outcome
}
