//! Three halls of hosts, each with callers and targets, that hear each other rarely.

use gannetridge_dispatcher_core::rules::holder_choice::{
    choose_holder, Availability, HolderView, TaskView,
};
use gannetridge_dispatcher_core::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Tasks that run at a time at each holder of a hall; position modulo 4 is its targets' rack.
const SLOTS: [i64; 11] = [20, 20, 3, 3, 3, 3, 3, 3, 3, 3, 3];
const HALL: usize = SLOTS.len();
const HOSTS: usize = 3 * HALL;
pub const RUNNING_MS: Millis = 60;
const FAR_SLOWDOWN: f64 = 1.5;

/// Changes what an owner knows, to weigh another way of choosing against the rule.
pub type AdjustViews = fn(&TaskView, &mut [HolderView]);

pub struct Load {
    /// What a hall's callers ask for, as a part of what its targets can do, at a time in ms.
    pub demand: fn(hall: usize, now: Millis) -> f64,
    /// How often an owner hears a holder, in ms.
    pub update_ms: Millis,
    /// The part of the tasks whose data lie in rack 1; the others have none.
    pub hot: f64,
    /// From when hall 0 is cut off.
    pub cut_at: Millis,
}

pub struct Task {
    pub owner: usize,
    pub arrived_at: Millis,
    pub may_wait_ms: Millis,
    pub is_hot: bool,
    holder: Option<usize>,
    begun_at: Option<Millis>,
}

impl Task {
    pub fn hall(&self) -> usize {
        self.owner / HALL
    }

    pub fn is_far(&self) -> bool {
        self.is_hot && self.holder.is_some_and(|at| at % HALL % 4 != 1)
    }

    pub fn is_in_other_hall(&self) -> bool {
        self.holder.is_some_and(|at| at / HALL != self.hall())
    }

    /// Returns whether it waited longer than it runs, or never began.
    pub fn is_late(&self) -> bool {
        let begun = self.begun_at;
        begun.is_none_or(|at| at - self.arrived_at > RUNNING_MS)
    }
}

/// What an owner heard of a holder, and how many tasks it has handed over since.
#[derive(Clone, Copy, Default)]
struct News {
    at: Millis,
    /// Its free slots less what waits.
    room: i64,
    handed: u64,
}

/// Plays a load, and returns all tasks.
pub fn simulate(load: &Load, way: AdjustViews, seed: u64) -> Vec<Task> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut queues: Vec<Vec<Task>> = (0..HOSTS).map(|_| Vec::new()).collect();
    let mut ends = vec![Vec::new(); HOSTS];
    let mut heard = [[News::default(); HOSTS]; HOSTS];
    let (mut waiting, mut done) = (Vec::new(), Vec::new());
    for now in 1..4_000 {
        let is_cut = |a, b| now >= load.cut_at && (a < HALL) != (b < HALL);
        for at in 0..HOSTS {
            let slots = SLOTS[at % HALL];
            done.extend(begin(&mut queues[at], &mut ends[at], slots, now, &mut rng));
            let room = slots - (ends[at].len() + queues[at].len()) as i64;
            for (owner, heard) in heard.iter_mut().enumerate() {
                let turn = now + (7 * owner + 13 * at) as Millis;
                if owner == at || (turn % load.update_ms == 0 && !is_cut(owner, at)) {
                    heard[at] = News {
                        at: now,
                        room,
                        handed: 0,
                    };
                }
            }
        }
        for owner in 0..HOSTS {
            let hosts_part = SLOTS.iter().sum::<i64>() as f64 / HALL as f64;
            let asked = (load.demand)(owner / HALL, now) * hosts_part;
            if rng.random_bool(asked / RUNNING_MS as f64) {
                waiting.push(Task {
                    owner,
                    arrived_at: now,
                    may_wait_ms: [RUNNING_MS / 4, 5 * RUNNING_MS][rng.random_range(0..2)],
                    is_hot: rng.random_bool(load.hot),
                    holder: None,
                    begun_at: None,
                });
            }
        }
        for mut task in std::mem::take(&mut waiting) {
            let Some(left_ms) = (task.arrived_at + task.may_wait_ms).checked_sub(now) else {
                done.push(task);
                continue;
            };
            let owner = task.owner;
            let known = heard[owner].iter().enumerate();
            let views = known.map(|(at, news)| view(&task, at, news, now));
            let mut views: Vec<HolderView> = views.collect();
            let looking = TaskView {
                name: &format!("{now}.{owner}"),
                running_ms: RUNNING_MS,
                far_slowdown: FAR_SLOWDOWN,
            };
            way(&looking, &mut views);
            let Some(choice) = choose_holder(&looking, &views, left_ms) else {
                waiting.push(task);
                continue;
            };
            task.holder = Some(choice.holder);
            heard[owner][choice.holder].handed += 1;
            if is_cut(owner, choice.holder) {
                done.push(task);
            } else {
                queues[choice.holder].push(task);
            }
        }
    }
    done
}

/// Begins what can't wait longest while there is room; returns it, and what is too late.
fn begin(
    queue: &mut Vec<Task>,
    ends: &mut Vec<Millis>,
    slots: i64,
    now: Millis,
    rng: &mut Pcg64,
) -> Vec<Task> {
    ends.retain(|end| *end > now);
    queue.sort_by_key(|task| std::cmp::Reverse(task.arrived_at + task.may_wait_ms));
    let mut begun = Vec::new();
    while (ends.len() as i64) < slots {
        let Some(mut task) = queue.pop() else {
            break;
        };
        if now - task.arrived_at <= task.may_wait_ms {
            let took = rng.random_range(RUNNING_MS / 2..=RUNNING_MS * 3 / 2) as f64;
            let slowdown = if task.is_far() { FAR_SLOWDOWN } else { 1.0 };
            ends.push(now + (took * slowdown) as Millis);
            task.begun_at = Some(now);
        }
        begun.push(task);
    }
    begun
}

fn view(task: &Task, at: usize, news: &News, now: Millis) -> HolderView {
    /// What wasn't heard for so long is taken to be silent, in ms.
    const SILENT_MS: Millis = 2_500;
    let news_age_ms = now - news.at;
    // What was handed over long ago is done by now.
    let handed = news.handed * RUNNING_MS / news_age_ms.max(RUNNING_MS);
    let (slots, room) = (SLOTS[at % HALL], news.room - handed as i64);
    let expected_ms = ((1 - room) * RUNNING_MS as i64 / slots) as Millis;
    let spare_cpu = if room > 0 { room } else { slots } as u32;
    let place = match room {
        _ if news_age_ms > SILENT_MS => Availability::None,
        1.. => Availability::Free { spare_cpu },
        _ => Availability::Wait {
            spare_cpu,
            expected_ms,
        },
    };
    let is_near = !task.is_hot || at % HALL % 4 == 1;
    let (near, far) = if is_near {
        (place, Availability::None)
    } else {
        (Availability::None, place)
    };
    let other_hall = at / HALL != task.hall();
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
        update_age_ms: news_age_ms,
    }
}
