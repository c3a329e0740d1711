//! Three halls of hosts, each with callers and targets, that hear each other rarely.

use gannetridge_dispatcher_core::rules::holder_choice::{choose, HolderView, Place, TaskView};
use gannetridge_dispatcher_core::Millis;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

/// Tasks that run at a time at each holder of a hall.
const SLOTS: [u64; 11] = [20, 20, 3, 3, 3, 3, 3, 3, 3, 3, 3];
const HOSTS: usize = 3 * SLOTS.len();
/// Holders' targets lie in so many racks.
const RACKS: usize = 4;
pub const RUNNING_MS: Millis = 60;
const FAR_SLOWDOWN: f64 = 1.5;

/// Changes what an owner knows, to weigh another way of choosing against the rule.
pub type Way = fn(&TaskView, &mut [HolderView]);

pub struct Load {
    /// What a hall's callers ask for, as a part of what its targets can do, at a time in ms.
    pub asked: fn(hall: usize, now: Millis) -> f64,
    /// How often an owner hears a holder, in ms.
    pub news_ms: Millis,
    /// The part of the tasks whose data lie in rack 1; the others have none.
    pub hot: f64,
    /// From when hall 0 is cut off.
    pub cut_at: Millis,
}

pub struct Task {
    pub hall: usize,
    pub asked_at: Millis,
    pub may_wait_ms: Millis,
    pub hot: bool,
    holder: Option<usize>,
    begun_at: Option<Millis>,
}

impl Task {
    pub fn is_far(&self) -> bool {
        self.hot && self.holder.is_some_and(|at| rack(at) != 1)
    }

    pub fn is_elsewhere(&self) -> bool {
        self.holder.is_some_and(|at| hall(at) != self.hall)
    }

    /// Returns whether it waited longer than it runs, or never began.
    pub fn is_late(&self) -> bool {
        let begun = self.begun_at;
        begun.is_none_or(|at| at - self.asked_at > RUNNING_MS)
    }
}

fn hall(host: usize) -> usize {
    host / SLOTS.len()
}

fn rack(host: usize) -> usize {
    host % SLOTS.len() % RACKS
}

/// What an owner heard of a holder, and how many tasks it has handed over since.
#[derive(Clone, Copy, Default)]
struct News {
    at: Millis,
    free: u64,
    queued: u64,
    handed: u64,
}

#[derive(Default)]
struct Holder {
    ends: Vec<Millis>,
    queue: Vec<Task>,
}

/// Plays a load, and returns all tasks.
pub fn play(load: &Load, way: Way, seed: u64) -> Vec<Task> {
    let mut rng = Pcg64::seed_from_u64(seed);
    let mut holders: Vec<Holder> = (0..HOSTS).map(|_| Holder::default()).collect();
    let mut heard = [[News::default(); HOSTS]; HOSTS];
    let (mut waiting, mut done) = (Vec::new(), Vec::new());
    for now in 1..4_000 {
        let is_cut = |a, b| now >= load.cut_at && (hall(a) == 0) != (hall(b) == 0);
        for (at, holder) in holders.iter_mut().enumerate() {
            let slots = SLOTS[at % SLOTS.len()];
            done.extend(begin(holder, slots, now, &mut rng));
            let (free, queued) = (slots - holder.ends.len() as u64, holder.queue.len() as u64);
            for (owner, heard) in heard.iter_mut().enumerate() {
                let turn = now + (7 * owner + 13 * at) as Millis;
                if owner == at || (turn % load.news_ms == 0 && !is_cut(owner, at)) {
                    (heard[at].at, heard[at].handed) = (now, 0);
                    (heard[at].free, heard[at].queued) = (free, queued);
                }
            }
        }
        for owner in 0..HOSTS {
            let tasks_each_ms = SLOTS.iter().sum::<u64>() as f64 / RUNNING_MS as f64;
            let asked = (load.asked)(hall(owner), now) * tasks_each_ms / SLOTS.len() as f64;
            if rng.random_bool(asked) {
                let task = Task {
                    hall: hall(owner),
                    asked_at: now,
                    may_wait_ms: [RUNNING_MS / 4, 5 * RUNNING_MS][rng.random_range(0..2)],
                    hot: rng.random_bool(load.hot),
                    holder: None,
                    begun_at: None,
                };
                waiting.push((owner, task));
            }
        }
        for (owner, mut task) in std::mem::take(&mut waiting) {
            let Some(left_ms) = (task.asked_at + task.may_wait_ms).checked_sub(now) else {
                done.push(task);
                continue;
            };
            let known = heard[owner].iter().enumerate();
            let views = known.map(|(at, news)| view(&task, owner, at, news, now));
            let mut views: Vec<HolderView> = views.collect();
            let looking = TaskView {
                name: &format!("{now}.{owner}"),
                running_ms: RUNNING_MS,
                far_slowdown: FAR_SLOWDOWN,
            };
            way(&looking, &mut views);
            let Some(choice) = choose(&looking, &views, left_ms) else {
                waiting.push((owner, task));
                continue;
            };
            let at = choice.holder;
            heard[owner][at].handed += 1;
            task.holder = Some(at);
            let lost = is_cut(owner, at);
            if lost {
                &mut done
            } else {
                &mut holders[at].queue
            }
            .push(task);
        }
    }
    done
}

/// Begins what can't wait longest while there is room; returns it, and what is too late.
fn begin(holder: &mut Holder, slots: u64, now: Millis, rng: &mut Pcg64) -> Vec<Task> {
    holder.ends.retain(|end| *end > now);
    let latest = |task: &Task| std::cmp::Reverse(task.asked_at + task.may_wait_ms);
    holder.queue.sort_by_key(latest);
    let mut begun = Vec::new();
    while (holder.ends.len() as u64) < slots {
        let Some(mut task) = holder.queue.pop() else {
            break;
        };
        if now - task.asked_at <= task.may_wait_ms {
            let took = rng.random_range(RUNNING_MS / 2..=RUNNING_MS * 3 / 2) as f64;
            let slowdown = if task.is_far() { FAR_SLOWDOWN } else { 1.0 };
            holder.ends.push(now + (took * slowdown) as Millis);
            task.begun_at = Some(now);
        }
        begun.push(task);
    }
    begun
}

fn view(task: &Task, owner: usize, at: usize, news: &News, now: Millis) -> HolderView {
    /// What wasn't heard for so long is taken to be silent, in ms.
    const SILENT_MS: Millis = 2_500;
    let news_age_ms = now - news.at;
    // What was handed over long ago is done by now.
    let ahead = news.queued + news.handed * RUNNING_MS / news_age_ms.max(RUNNING_MS);
    let slots = SLOTS[at % SLOTS.len()];
    let place = match news.free.checked_sub(ahead) {
        _ if news_age_ms > SILENT_MS => Place::None,
        Some(free) if free > 0 => Place::Free {
            spare_cpu: free as u32,
        },
        _ => Place::Wait {
            spare_cpu: slots as u32,
            expected_ms: (ahead + 1 - news.free) * RUNNING_MS / slots,
        },
    };
    let (other_hall, is_near) = (hall(at) != task.hall, !task.hot || rack(at) == 1);
    let (near, far) = if is_near {
        (place, Place::None)
    } else {
        (Place::None, place)
    };
    HolderView {
        other_hall,
        way_ms: if other_hall {
            5
        } else {
            u64::from(at != owner)
        },
        extra_request: at != owner,
        stale_clock: false,
        near,
        far,
        news_age_ms,
    }
}
