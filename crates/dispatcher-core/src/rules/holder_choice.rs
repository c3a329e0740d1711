//! Chooses the holder of targets that a waiting task is handed over to.
//!
//! **Rule.** The holder where the task is expected to end first: the time for the messages there
//! and back, the wait for free capacity, and the running time, which is longer on targets far from
//! its data. Each holder is considered twice, with its targets near the data and with the others,
//! so that a task waits for a near target as long as that ends sooner than running far, and a task
//! that can't wait so long goes to a far one first. A holder of another hall has to be better by a
//! few ms and a share of its own wait. Of an old update only a part counts; for the rest the holder
//! is assumed to be like those with a fresh update. Among holders whose ends differ by less than
//! what may have changed since their updates, a hash of the task's name picks one, each in
//! proportion to the work that may be handed over to it. A holder where the task isn't expected to
//! start in time, by the latest update, is excluded.
//!
//! **Inputs.** For each holder its latest update, less what was handed over since; the task's
//! running time on an ordinary target near its data and the time until its latest start, in ms.
//! **Reason.** Waiting is the longest part of a late task's time, and differs between holders far
//! more than the message times do. Hosts receive the same updates and don't learn of each other's
//! choices: if each took the best holder, all would take the same. **Trade-off.** The exact best
//! holder where updates are old. How certain a running time is isn't considered.

use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// The age up to which an update counts fully, in ms: a holder that tasks are handed over to
/// reports far more often.
const FRESH_UPDATE_MS: Millis = 500;
/// The penalty for a holder that no request is sent to anyway, in ms: a further request costs both
/// hosts processor time.
const EXTRA_REQUEST_PENALTY_MS: f64 = 2.0;
/// The penalty for a holder of another hall, in ms: without it, halls of equal load would exchange
/// tasks for small differences.
const OTHER_HALL_PENALTY_MS: f64 = 16.0;
/// The share of its wait by which a holder of another hall counts as later: the longer waits are,
/// the more they vary between halls of equal load.
const OTHER_HALL_WAIT_PENALTY: f64 = 0.25;
/// Ends count as equal if they differ by less than this share of the update's age, in which other
/// hosts may have handed over tasks.
const EQUAL_END_SHARE: f64 = 0.25;

/// When some of a holder's targets can run a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// No target may run it, even later.
    None,
    /// A target has free capacity now.
    Free {
        /// Free thousandths of a core.
        spare_cpu: u32,
    },
    /// The task may be handed over to queue there.
    Wait {
        /// Thousandths of a core that queued tasks may still be handed over for.
        spare_cpu: u32,
        /// The expected wait, in ms.
        expected_ms: Millis,
    },
}

impl Availability {
    /// Returns the wait in ms and the thousandths of a core that may be handed over; none if the
    /// task can't go there.
    fn offered(self) -> Option<(Millis, u32)> {
        match self {
            Self::None => None,
            Self::Free { spare_cpu } => Some((0, spare_cpu)),
            Self::Wait {
                spare_cpu,
                expected_ms,
            } => Some((expected_ms, spare_cpu)),
        }
    }
}

/// A holder as known by its latest update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// Whether the holder is in another hall than this host.
    pub other_hall: bool,
    /// The time that a message to it takes, in ms; 0 for the host itself.
    pub transit_ms: Millis,
    /// Whether no request is sent to it anyway.
    pub extra_request: bool,
    /// Whether its clock has to be requested first.
    pub stale_clock: bool,
    /// Its targets in the rack of the task's data; all of them if the task has no rack.
    pub near: Availability,
    /// Its targets in other racks.
    pub far: Availability,
    /// The age of the latest update, in ms.
    pub update_age_ms: Millis,
}

/// A task for which a holder is chosen.
#[derive(Clone, Copy, Debug)]
pub struct TaskView<'a> {
    /// The task's name; its hash picks among equal holders.
    pub name: &'a str,
    /// Its expected running time on an ordinary target near its data, in ms.
    pub running_ms: Millis,
    /// The factor on its running time far from its data.
    pub far_slowdown: f64,
}

/// The distance between a task's data and the target that is expected to run it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the rack of its data, or the task has no rack.
    Near,
    /// In another rack.
    Far,
}

/// When a task is expected to start at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedStart {
    /// On its arrival.
    Immediate,
    /// After queueing there.
    AfterWait,
}

/// The holder that a task is handed over to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// The position of the holder in the slice passed to [`choose_holder`].
    pub holder: usize,
    /// Whether the task is expected to run near its data.
    pub distance: Distance,
    /// When the task is expected to start.
    pub start: ExpectedStart,
}

/// A holder and a distance at which it may run the task.
#[derive(Clone, Copy, Debug)]
struct Offer {
    choice: Choice,
    other_hall: bool,
    update_age_ms: Millis,
    spare_cpu: u32,
    /// The wait by the latest update, in ms.
    wait_ms: f64,
    /// The expected end with penalties, in ms from now.
    end_ms: f64,
}

impl Offer {
    fn new(holder: usize, view: &HolderView, distance: Distance) -> Option<Self> {
        let availability = match distance {
            Distance::Near => view.near,
            Distance::Far => view.far,
        };
        let (wait_ms, spare_cpu) = availability.offered()?;
        let start = if matches!(availability, Availability::Free { .. }) {
            ExpectedStart::Immediate
        } else {
            ExpectedStart::AfterWait
        };
        Some(Self {
            choice: Choice {
                holder,
                distance,
                start,
            },
            other_hall: view.other_hall,
            update_age_ms: view.update_age_ms,
            spare_cpu,
            wait_ms: wait_ms as f64,
            end_ms: 0.0,
        })
    }

    fn is_fresh(&self) -> bool {
        self.update_age_ms <= FRESH_UPDATE_MS
    }

    /// Returns whether another offer is as good, within what may have changed since the update.
    fn is_equalled_by(&self, other: &Self) -> bool {
        let changed_ms = EQUAL_END_SHARE * self.update_age_ms as f64;
        other.choice.distance == self.choice.distance
            && other.other_hall == self.other_hall
            && other.end_ms <= self.end_ms + changed_ms
    }
}

/// Chooses the holder that a task is handed over to; none if the task isn't expected to start
/// anywhere within `latest_start_ms` from now.
#[must_use]
pub fn choose_holder(
    task: &TaskView,
    holders: &[HolderView],
    latest_start_ms: Millis,
) -> Option<Choice> {
    let mut offers = Vec::with_capacity(2 * holders.len());
    for (at, view) in holders.iter().enumerate() {
        for distance in [Distance::Near, Distance::Far] {
            let offer = Offer::new(at, view, distance);
            let in_time =
                |offer: &Offer| arrival_ms(view) + offer.wait_ms <= latest_start_ms as f64;
            offers.extend(offer.filter(in_time));
        }
    }
    let mean_waits =
        [Distance::Near, Distance::Far].map(|distance| mean_fresh_wait_ms(&offers, distance));
    for offer in &mut offers {
        let mean_wait_ms = mean_waits[offer.choice.distance as usize];
        offer.end_ms = end_ms(task, &holders[offer.choice.holder], offer, mean_wait_ms);
    }
    let best = *offers.iter().min_by(|a, b| a.end_ms.total_cmp(&b.end_ms))?;
    offers.retain(|offer| best.is_equalled_by(offer));
    Some(pick_by_name(task.name, &offers).unwrap_or(&best).choice)
}

/// Returns the time until a task that is handed over now arrives at a holder, in ms.
fn arrival_ms(view: &HolderView) -> f64 {
    let clock_ms = if view.stale_clock {
        2 * view.transit_ms
    } else {
        0
    };
    (clock_ms + view.transit_ms) as f64
}

/// Returns the mean wait by fresh updates in ms, if there are any.
fn mean_fresh_wait_ms(offers: &[Offer], distance: Distance) -> Option<f64> {
    let fresh = offers.iter().filter(|offer| offer.is_fresh());
    let waits = fresh.filter(|offer| offer.choice.distance == distance);
    let (sum, count) = waits.fold((0.0, 0.0), |(sum, count), offer| {
        (sum + offer.wait_ms, count + 1.0)
    });
    (count > 0.0).then_some(sum / count)
}

/// Returns the expected end at a holder with penalties, in ms from now.
fn end_ms(task: &TaskView, view: &HolderView, offer: &Offer, mean_wait_ms: Option<f64>) -> f64 {
    let wait_ms = match mean_wait_ms {
        Some(mean_wait_ms) if !offer.is_fresh() => {
            let weight = FRESH_UPDATE_MS as f64 / view.update_age_ms as f64;
            weight * offer.wait_ms + (1.0 - weight) * mean_wait_ms
        }
        _ => offer.wait_ms,
    };
    let slowdown = match offer.choice.distance {
        Distance::Near => 1.0,
        Distance::Far => task.far_slowdown,
    };
    let mut end_ms = arrival_ms(view) + wait_ms + view.transit_ms as f64;
    end_ms += slowdown * task.running_ms as f64;
    if view.extra_request {
        end_ms += EXTRA_REQUEST_PENALTY_MS;
    }
    if view.other_hall {
        end_ms += OTHER_HALL_PENALTY_MS + OTHER_HALL_WAIT_PENALTY * wait_ms;
    }
    end_ms
}

/// Picks an offer by a hash of the task's name, each in proportion to the thousandths of a core
/// that may be handed over; none if `offers` is empty.
fn pick_by_name<'a>(name: &str, offers: &'a [Offer]) -> Option<&'a Offer> {
    let share = |offer: &Offer| u64::from(offer.spare_cpu.max(1));
    let total: u64 = offers.iter().map(share).sum();
    let hash = u128::from(xxh3_64(name.as_bytes()));
    let mut left = ((hash * u128::from(total)) >> u64::BITS) as u64;
    let picked = offers.iter().find(|offer| {
        let found = left < share(offer);
        left = left.saturating_sub(share(offer));
        found
    });
    picked.or(offers.last())
}
