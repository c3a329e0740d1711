//! Simulation of holder choice: three halls of hosts, each with callers and targets, that
//! receive each other's load at long intervals.

use gannetridge_dispatcher_core::rules::holder_choice::{
    choose_holder, Availability, HolderView, TaskView,
};
use gannetridge_dispatcher_core::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Slots for tasks at each holder of a hall; the position modulo 4 is its targets' rack.
const SLOTS: [i64; 11] = [20, 20, 3, 3, 3, 3, 3, 3, 3, 3, 3];
const HOSTS_PER_HALL: usize = SLOTS.len();
const HOSTS: usize = 3 * HOSTS_PER_HALL;
pub const RUNNING_MS: Millis = 60;
const FAR_SLOWDOWN: f64 = 1.5;

/// Changes the views on which an owner decides, to compare the rule with alternatives.
pub type AdjustViews = fn(&TaskView, &mut [HolderView]);

pub struct Load {
    /// Offered load of a hall's callers, as a share of its targets' capacity, at a time in ms.
    pub demand: fn(hall: usize, now: Millis) -> f64,
    /// Interval at which an owner receives a holder's load, in ms.
    pub update_ms: Millis,
    /// The share of tasks whose data is in rack 1; the others have none.
    pub hot: f64,
    /// When hall 0 is cut off, in ms.
    pub cut_at: Millis,
}

pub struct Task {
    pub owner: usize,
    pub arrived_at: Millis,
    pub may_wait_ms: Millis,
    pub is_hot: bool,
    holder: Option<usize>,
    started_at: Option<Millis>,
}

impl Task {
    pub fn hall(&self) -> usize {
        self.owner / HOSTS_PER_HALL
    }

    pub fn is_far(&self) -> bool {
        self.is_hot && self.holder.is_some_and(|at| at % HOSTS_PER_HALL % 4 != 1)
    }

    pub fn is_in_other_hall(&self) -> bool {
        self.holder
            .is_some_and(|at| at / HOSTS_PER_HALL != self.hall())
    }

    /// Returns whether it waited longer than [`RUNNING_MS`], or never started.
    pub fn is_late(&self) -> bool {
        let started = self.started_at;
        started.is_none_or(|at| at - self.arrived_at > RUNNING_MS)
    }
}

/// A holder's load as an owner last received it.
#[derive(Clone, Copy, Default)]
struct LoadReport {
    received_at: Millis,
    /// Its free slots less its waiting tasks.
    free_slots: i64,
    /// Tasks that the owner handed over since.
    handed_over: u64,
}

/// Simulates a load and returns all tasks.
pub fn simulate(load: &Load, adjust: AdjustViews, seed: u64) -> Vec<Task> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut queues: Vec<Vec<Task>> = (0..HOSTS).map(|_| Vec::new()).collect();
    let mut ends = vec![Vec::new(); HOSTS];
    let mut reports = [[LoadReport::default(); HOSTS]; HOSTS];
    let (mut waiting, mut done) = (Vec::new(), Vec::new());
    for now in 1..4_000 {
        let is_cut = |a, b| now >= load.cut_at && (a < HOSTS_PER_HALL) != (b < HOSTS_PER_HALL);
        for at in 0..HOSTS {
            let slots = SLOTS[at % HOSTS_PER_HALL];
            done.extend(start_tasks(
                &mut queues[at],
                &mut ends[at],
                slots,
                now,
                &mut rng,
            ));
            let free_slots = slots - (ends[at].len() + queues[at].len()) as i64;
            for (owner, reports) in reports.iter_mut().enumerate() {
                let turn = now + (7 * owner + 13 * at) as Millis;
                if owner == at || (turn % load.update_ms == 0 && !is_cut(owner, at)) {
                    reports[at] = LoadReport {
                        received_at: now,
                        free_slots,
                        handed_over: 0,
                    };
                }
            }
        }
        for owner in 0..HOSTS {
            let slots_per_host = SLOTS.iter().sum::<i64>() as f64 / HOSTS_PER_HALL as f64;
            let demand = (load.demand)(owner / HOSTS_PER_HALL, now) * slots_per_host;
            if rng.random_bool(demand / RUNNING_MS as f64) {
                waiting.push(Task {
                    owner,
                    arrived_at: now,
                    may_wait_ms: [RUNNING_MS / 4, 5 * RUNNING_MS][rng.random_range(0..2)],
                    is_hot: rng.random_bool(load.hot),
                    holder: None,
                    started_at: None,
                });
            }
        }
        for mut task in std::mem::take(&mut waiting) {
            let Some(left_ms) = (task.arrived_at + task.may_wait_ms).checked_sub(now) else {
                done.push(task);
                continue;
            };
            let owner = task.owner;
            let known = reports[owner].iter().enumerate();
            let views = known.map(|(at, report)| view(&task, at, report, now));
            let mut views: Vec<HolderView> = views.collect();
            let task_view = TaskView {
                name: &format!("{now}.{owner}"),
                running_ms: RUNNING_MS,
                far_slowdown: FAR_SLOWDOWN,
            };
            adjust(&task_view, &mut views);
            let Some(choice) = choose_holder(&task_view, &views, left_ms) else {
                waiting.push(task);
                continue;
            };
            task.holder = Some(choice.holder);
            reports[owner][choice.holder].handed_over += 1;
            if is_cut(owner, choice.holder) {
                done.push(task);
            } else {
                queues[choice.holder].push(task);
            }
        }
    }
    done
}

/// Starts tasks in free slots, the one with the earliest latest start first; returns them and
/// those dropped as too late.
fn start_tasks(
    queue: &mut Vec<Task>,
    ends: &mut Vec<Millis>,
    slots: i64,
    now: Millis,
    rng: &mut Pcg64,
) -> Vec<Task> {
    ends.retain(|end| *end > now);
    queue.sort_by_key(|task| std::cmp::Reverse(task.arrived_at + task.may_wait_ms));
    let mut left_queue = Vec::new();
    while (ends.len() as i64) < slots {
        let Some(mut task) = queue.pop() else {
            break;
        };
        if now - task.arrived_at <= task.may_wait_ms {
            let running_ms = rng.random_range(RUNNING_MS / 2..=RUNNING_MS * 3 / 2) as f64;
            let slowdown = if task.is_far() { FAR_SLOWDOWN } else { 1.0 };
            ends.push(now + (running_ms * slowdown) as Millis);
            task.started_at = Some(now);
        }
        left_queue.push(task);
    }
    left_queue
}

fn view(task: &Task, at: usize, report: &LoadReport, now: Millis) -> HolderView {
    /// A holder whose last report is older than this counts as silent, in ms.
    const SILENT_MS: Millis = 2_500;
    let update_age_ms = now - report.received_at;
    // Tasks that were handed over long ago are done by now.
    let handed_over = report.handed_over * RUNNING_MS / update_age_ms.max(RUNNING_MS);
    let (slots, free_slots) = (
        SLOTS[at % HOSTS_PER_HALL],
        report.free_slots - handed_over as i64,
    );
    let expected_ms = ((1 - free_slots) * RUNNING_MS as i64 / slots) as Millis;
    let spare_cpu = if free_slots > 0 { free_slots } else { slots } as u32;
    let place = match free_slots {
        _ if update_age_ms > SILENT_MS => Availability::None,
        1.. => Availability::Free { spare_cpu },
        _ => Availability::Wait {
            spare_cpu,
            expected_ms,
        },
    };
    let is_near = !task.is_hot || at % HOSTS_PER_HALL % 4 == 1;
    let (near, far) = if is_near {
        (place, Availability::None)
    } else {
        (Availability::None, place)
    };
    let other_hall = at / HOSTS_PER_HALL != task.hall();
    HolderView {
        other_hall,
        transit_ms: if other_hall {
            5
        } else {
            u64::from(at != task.owner)
        },
        extra_request: at != task.owner,
        stale_clock: false,
        near,
        far,
        update_age_ms,
    }
}
