//! Simulation of the waiting order: jobs that compete for the slots of one holder.
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

/// Jobs of one queue from one hall that arrive at random times and take `slots` slots on
/// average.
#[derive(Clone, Debug)]
pub struct Load {
    pub queue: &'static str,
    pub hall: &'static str,
    pub urgency: u64,
    pub tasks: u32,
    pub task_ms: Millis,
    pub slots: f64,
    pub time: Range<Millis>,
}

impl Load {
    pub fn slots(self, slots: f64) -> Self {
        Self { slots, ..self }
    }

    pub fn in_hall(self, hall: &'static str) -> Self {
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

/// The rules by which slots are assigned.
#[derive(Clone)]
pub struct Policy {
    pub order: Order,
    pub shares: Shares,
    /// Whether a job counts as late unless all of its tasks can start in time.
    pub starts_whole_jobs: bool,
    /// Whether the slots that long tasks may hold are limited.
    pub bounds_long_tasks: bool,
    /// Whether jobs that can't be served in time are refused on arrival.
    pub refuses_on_arrival: bool,
}

/// Results of a group of jobs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Totals {
    pub jobs: f64,
    pub on_time: f64,
    pub late: f64,
    /// Slots used, times ms.
    pub slot_ms: f64,
    /// Time that given-up jobs had waited.
    pub refused_wait_ms: f64,
}

#[derive(Debug, Default)]
pub struct Outcome {
    by_origin: BTreeMap<(&'static str, &'static str), Totals>,
    /// Slots that were free while a task waited, times ms.
    pub idle_slot_ms: f64,
}

impl Outcome {
    /// Returns the totals of a queue, for one hall or all.
    pub fn totals(&self, queue: &str, hall: Option<&str>) -> Totals {
        let mut sum = Totals::default();
        for ((other, from), totals) in &self.by_origin {
            if *other == queue && hall.is_none_or(|hall| hall == *from) {
                sum.jobs += totals.jobs;
                sum.on_time += totals.on_time;
                sum.late += totals.late;
                sum.slot_ms += totals.slot_ms;
                sum.refused_wait_ms += totals.refused_wait_ms;
            }
        }
        sum
    }

    /// Returns the share of a queue's jobs that were on time.
    pub fn on_time(&self, queue: &str) -> f64 {
        let totals = self.totals(queue, None);
        totals.on_time / totals.jobs
    }

    fn totals_mut(&mut self, load: &Load) -> &mut Totals {
        self.by_origin.entry((load.queue, load.hall)).or_default()
    }
}

struct Job<'a> {
    load: &'a Load,
    queue: Name,
    hall: Name,
    arrived: Millis,
    waiting_tasks: u32,
    open_tasks: u32,
}

impl Job<'_> {
    fn has_started(&self) -> bool {
        self.waiting_tasks < self.load.tasks
    }

    fn is_worthless(&self, now: Millis) -> bool {
        let until = self.arrived + worth_ms(self.load.objective_ms());
        !self.has_started() && now + self.load.task_ms > until
    }

    /// Returns whether a host that knows the holder's load accepts the job.
    fn is_accepted(&self, has_free_target: bool, load: &PoolLoad) -> bool {
        let listed_cpu = u64::from(load.capacity_cpu);
        let pool = KnownPoolLoad::new([(load, 0)].into_iter(), listed_cpu, 0);
        let job = ArrivingJob {
            id: &self.queue,
            urgency: self.load.urgency,
            core_ms: u64::from(self.load.tasks) * self.load.core_ms(),
            chain_ms: self.load.task_ms,
            objective_ms: self.load.objective_ms(),
            deadline_ms: Millis::MAX,
            has_free_target,
        };
        decide(&pool, &job).retry_after_ms.is_none()
    }

    /// Returns the job as the waiting order sees it. `started_core_ms` is the work left of
    /// started jobs that go before it.
    fn waiting(&self, now: Millis, capacity_cpu: u32, started_core_ms: u64) -> WaitingEntry<'_> {
        let job = WaitingJob {
            age_ms: now - self.arrived,
            objective_ms: self.load.objective_ms(),
            started: self.has_started(),
            urgency: self.load.urgency,
        };
        let priority = priority(&job, self.load.task_ms);
        let core_ms = u64::from(self.load.tasks) * self.load.core_ms();
        let fits = || {
            may_start_job(
                core_ms,
                started_core_ms,
                capacity_cpu,
                priority.slack_ms as Millis,
            )
        };
        let will_be_late = priority.class == PriorityClass::OnTime && !fits();
        WaitingEntry {
            origin: Origin {
                urgency: self.load.urgency,
                queue: &self.queue,
                hall: &self.hall,
            },
            class: if will_be_late {
                PriorityClass::Late
            } else {
                priority.class
            },
            slack_ms: priority.slack_ms,
        }
    }
}

/// A holder's slots, and the jobs that compete for them.
struct SlotPool<'a> {
    slots: u32,
    policy: Policy,
    jobs: BTreeMap<usize, Job<'a>>,
    /// End time, job and load of each running task.
    running: Vec<(Millis, usize, &'a Load)>,
    long: LongTaskLimit,
    outcome: Outcome,
}

impl<'a> SlotPool<'a> {
    fn cpu(&self) -> u32 {
        self.slots * SLOT_CPU
    }

    fn free_slots(&self) -> u32 {
        self.slots - self.running.len() as u32
    }

    fn end_tasks(&mut self, now: Millis) {
        let running = std::mem::take(&mut self.running);
        let (ended, running) = running.into_iter().partition(|(end, ..)| *end == now);
        self.running = running;
        let ended: Vec<(Millis, usize, &Load)> = ended;
        for (_, id, load) in ended {
            let job = self.jobs.get_mut(&id).unwrap();
            job.open_tasks -= 1;
            if job.open_tasks == 0 {
                let on_time = now - job.arrived <= load.objective_ms();
                self.outcome.totals_mut(load).on_time += f64::from(on_time);
                self.outcome.totals_mut(load).late += f64::from(!on_time);
                self.jobs.remove(&id);
            }
        }
    }

    fn add_job(&mut self, now: Millis, id: usize, load: &'a Load) {
        self.outcome.totals_mut(load).jobs += 1.0;
        for _ in 0..load.tasks {
            let slack_ms = load.objective_ms() - load.task_ms;
            self.long.record_arrival(now, &load.task(), slack_ms);
        }
        let job = Job {
            load,
            queue: load.queue.into(),
            hall: load.hall.into(),
            arrived: now,
            waiting_tasks: load.tasks,
            open_tasks: load.tasks,
        };
        if !self.policy.refuses_on_arrival || job.is_accepted(self.free_slots() > 0, &self.load()) {
            self.jobs.insert(id, job);
        }
    }

    /// Returns the load that the holder reports.
    fn load(&self) -> PoolLoad {
        let mut waiting: BTreeMap<u64, WaitingWork> = BTreeMap::new();
        for job in self.jobs.values() {
            let work = waiting.entry(job.load.urgency).or_insert(WaitingWork {
                urgency: job.load.urgency,
                tasks: 0,
                core_ms: 0,
            });
            work.tasks += job.waiting_tasks;
            work.core_ms += u64::from(job.waiting_tasks) * job.load.core_ms();
        }
        PoolLoad {
            pool: "pool".into(),
            capacity_cpu: self.cpu(),
            used_cpu: self.cpu() - self.free_slots() * SLOT_CPU,
            queue_cpu: 0,
            waiting: waiting.into_values().collect(),
        }
    }

    fn give_up_worthless(&mut self, now: Millis) {
        for job in self.jobs.values().filter(|job| job.is_worthless(now)) {
            self.outcome.totals_mut(job.load).refused_wait_ms += (now - job.arrived) as f64;
        }
        self.jobs.retain(|_, job| !job.is_worthless(now));
    }

    /// Returns the jobs with waiting tasks, as the waiting order sees them.
    fn waiting(&self, now: Millis) -> Vec<(usize, WaitingEntry<'_>)> {
        let mut started_core_ms = BTreeMap::new();
        for job in self.jobs.values().filter(|job| job.has_started()) {
            let core_ms = u64::from(job.waiting_tasks) * job.load.core_ms();
            *started_core_ms.entry(job.load.urgency).or_insert(0) += core_ms;
        }
        let capacity_cpu = if self.policy.starts_whole_jobs {
            self.cpu()
        } else {
            u32::MAX
        };
        let waiting = self.jobs.iter().filter(|(_, job)| job.waiting_tasks > 0);
        let waiting = waiting.map(|(id, job)| {
            let before = started_core_ms.range(..=job.load.urgency);
            let before = before.map(|(_, core_ms)| core_ms).sum();
            (*id, job.waiting(now, capacity_cpu, before))
        });
        waiting.collect()
    }

    /// Starts the first of the waiting tasks that may start; returns whether there was one.
    fn start_first(&mut self, now: Millis) -> bool {
        if self.free_slots() == 0 {
            return false;
        }
        let (mut shares, mut long) = (self.policy.shares.clone(), self.long.clone());
        let waiting = self.waiting(now);
        let counting = waiting.iter().filter(|(_, task)| task.counts_for_shares());
        shares.advance(now, counting.map(|(_, task)| task.origin));
        let held = self.running.iter().map(|(.., load)| load.task());
        let able = waiting.iter().filter(|(id, _)| {
            let task = self.jobs[id].load.task();
            let may_start = long.may_start(now, &task, self.cpu(), held.clone());
            may_start || !self.policy.bounds_long_tasks
        });
        let first = able.min_by(|(_, a), (_, b)| (self.policy.order)(a, b, &shares));
        let Some((id, task)) = first else {
            let idle = if waiting.is_empty() {
                0
            } else {
                self.free_slots()
            };
            self.outcome.idle_slot_ms += f64::from(idle);
            return false;
        };
        let (id, load) = (*id, self.jobs[id].load);
        shares.record_start(now, &task.origin, load.core_ms());
        self.policy.shares = shares;
        self.outcome.totals_mut(load).slot_ms += load.task_ms as f64;
        self.jobs.get_mut(&id).unwrap().waiting_tasks -= 1;
        self.running.push((now + load.task_ms, id, load));
        true
    }
}

/// Simulates loads on `slots` slots for `ms`.
pub fn simulate(seed: u64, slots: u32, ms: Millis, loads: &[Load], policy: Policy) -> Outcome {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut arrivals: Vec<(Millis, &Load)> = Vec::new();
    for load in loads {
        arrivals.extend(load.arrivals(&mut rng).into_iter().map(|at| (at, load)));
    }
    arrivals.sort_by_key(|(at, _)| *at);
    let mut arrivals = arrivals.into_iter().enumerate().peekable();
    let mut pool = SlotPool {
        slots,
        policy,
        jobs: BTreeMap::new(),
        running: Vec::new(),
        long: LongTaskLimit::default(),
        outcome: Outcome::default(),
    };
    for now in 0..ms {
        pool.end_tasks(now);
        while let Some((id, (_, load))) = arrivals.next_if(|(_, (at, _))| *at == now) {
            pool.add_job(now, id, load);
        }
        pool.give_up_worthless(now);
        while pool.start_first(now) {}
    }
    pool.outcome
}
