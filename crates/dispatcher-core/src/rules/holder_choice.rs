//! Which holder of targets a waiting task is handed to.
//!
//! **Rule.** The one where its end is expected first: the way there and back, the wait for
//! room, and its running time, which is longer on targets far from its data. Each holder
//! counts twice, with its targets near the data and with the others, so that a task waits
//! for a near target as long as that ends sooner than running far, and one that can't wait
//! so long spills over first. A holder of another hall has to be better by a few ms and a
//! part of its own wait. Of old news only a part counts; for the rest the holder is taken
//! for one like those of which there are fresh news. Among holders whose ends differ by less
//! than their news may have changed, the task's name picks one, each in proportion to what
//! it may be handed. A holder where the task isn't expected to begin in time is left out, by
//! what was last heard there.
//!
//! **Inputs.** For each holder what was last heard, less what was handed over since; the
//! task's running time on an ordinary target near its data and the time until its latest
//! begin, in ms. **Reason.** Waiting is the longest part of a late task's time, and differs
//! between holders by far more than the way to them. Hosts hear the same news and don't
//! hear of each other's choices: if each took the best holder, all would take the same.
//! **Gives up.** The exact best where news are old. How certain a running time is.

use xxhash_rust::xxh3::xxh3_64;

use crate::Millis;

/// Older news count less, in ms: a holder that tasks are handed to is heard far more often.
const FRESH_UPDATE_MS: Millis = 500;
/// A request of its own costs both hosts processor time: one that is sent anyway is
/// preferred for an end later by this, in ms.
const EXTRA_REQUEST_PENALTY_MS: f64 = 2.0;
/// By how much sooner a task has to end in another hall, in ms: halls of equal load would
/// swap work at each small difference, and pay the way for it.
const OTHER_HALL_PENALTY_MS: f64 = 16.0;
/// By which part of its wait another hall's holder counts as later: the longer waits are,
/// the more they vary between halls of equal load.
const OTHER_HALL_WAIT_PENALTY: f64 = 0.25;
/// Ends are as good as equal if they differ by less than this part of the news' age:
/// meanwhile others have handed tasks over.
const EQUAL_END_SHARE: f64 = 0.25;

/// What some of a holder's targets offer a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// None of them may take it, even later.
    None,
    /// One has room now.
    Free {
        /// Thousandths of a core that are free.
        spare_cpu: u32,
    },
    /// It may be handed over to wait.
    Wait {
        /// Thousandths of a core for which tasks may be handed over.
        spare_cpu: u32,
        /// How long it is expected to wait, in ms.
        expected_ms: Millis,
    },
}

impl Availability {
    /// Returns how long a task waits there, in ms, and the thousandths of a core that may
    /// be handed over; none if it can't go there.
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

/// A holder, as its news tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderView {
    /// Whether it is in another hall.
    pub other_hall: bool,
    /// How long a message takes to it, in ms; 0 to the host itself.
    pub transit_ms: Millis,
    /// Whether no request goes to it anyway.
    pub extra_request: bool,
    /// Whether its clock has to be asked for first.
    pub stale_clock: bool,
    /// Its targets in the rack of the task's data; all of them if the task has none.
    pub near: Availability,
    /// Its other targets.
    pub far: Availability,
    /// Age of the news, in ms.
    pub update_age_ms: Millis,
}

/// A task that looks for a holder.
#[derive(Clone, Copy, Debug)]
pub struct TaskView<'a> {
    /// Its name.
    pub name: &'a str,
    /// How long it is expected to run on an ordinary target near its data, in ms.
    pub running_ms: Millis,
    /// How many times as long it runs far from its data.
    pub far_slowdown: f64,
}

/// Where a task is expected to run at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distance {
    /// In the rack of its data, or it has none.
    Near,
    /// In another rack.
    Far,
}

/// When a task is expected to begin at a holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExpectedStart {
    /// As soon as it arrives.
    Immediate,
    /// After waiting.
    AfterWait,
}

/// The holder that a task is handed to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its position among the holders.
    pub holder: usize,
    /// Where the task is expected to run.
    pub distance: Distance,
    /// When it is expected to begin.
    pub start: ExpectedStart,
}

/// A way to run a task.
#[derive(Clone, Copy, Debug)]
struct Offer {
    choice: Choice,
    other_hall: bool,
    update_age_ms: Millis,
    spare_cpu: u32,
    /// The wait by what was last heard, in ms.
    wait_ms: f64,
    /// The expected end with what counts against the holder, in ms from now.
    end_ms: f64,
}

impl Offer {
    fn new(holder: usize, view: &HolderView, distance: Distance) -> Option<Self> {
        let place = match distance {
            Distance::Near => view.near,
            Distance::Far => view.far,
        };
        let (wait_ms, spare_cpu) = place.offered()?;
        let begin = if matches!(place, Availability::Free { .. }) {
            ExpectedStart::Immediate
        } else {
            ExpectedStart::AfterWait
        };
        Some(Self {
            choice: Choice {
                holder,
                distance,
                start: begin,
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

    /// Returns whether another offer is as good, as far as its news tell.
    fn is_equalled_by(&self, other: &Self) -> bool {
        let changed_ms = EQUAL_END_SHARE * self.update_age_ms as f64;
        other.choice.distance == self.choice.distance
            && other.other_hall == self.other_hall
            && other.end_ms <= self.end_ms + changed_ms
    }
}

/// Chooses the holder that a task is handed to; none if it isn't expected to begin anywhere
/// in `latest_begin_ms` from now.
#[must_use]
pub fn choose(task: &TaskView, holders: &[HolderView], latest_begin_ms: Millis) -> Option<Choice> {
    let mut offers = Vec::with_capacity(2 * holders.len());
    for (at, view) in holders.iter().enumerate() {
        for distance in [Distance::Near, Distance::Far] {
            let offer = Offer::new(at, view, distance);
            let in_time =
                |offer: &Offer| arrival_ms(view) + offer.wait_ms <= latest_begin_ms as f64;
            offers.extend(offer.filter(in_time));
        }
    }
    let usual =
        [Distance::Near, Distance::Far].map(|distance| mean_fresh_wait_ms(&offers, distance));
    for offer in &mut offers {
        let usual_ms = usual[offer.choice.distance as usize];
        offer.end_ms = end_ms(task, &holders[offer.choice.holder], offer, usual_ms);
    }
    let best = *offers.iter().min_by(|a, b| a.end_ms.total_cmp(&b.end_ms))?;
    offers.retain(|offer| best.is_equalled_by(offer));
    Some(pick_by_name(task.name, &offers).unwrap_or(&best).choice)
}

/// Returns after how long a task that is handed over now can begin at a holder, in ms.
fn arrival_ms(view: &HolderView) -> f64 {
    let clock_ms = if view.stale_clock {
        2 * view.transit_ms
    } else {
        0
    };
    (clock_ms + view.transit_ms) as f64
}

/// Returns the mean wait by fresh news in ms, if there are any.
fn mean_fresh_wait_ms(offers: &[Offer], distance: Distance) -> Option<f64> {
    let fresh = offers.iter().filter(|offer| offer.is_fresh());
    let waits = fresh.filter(|offer| offer.choice.distance == distance);
    let (sum, count) = waits.fold((0.0, 0.0), |(sum, count), offer| {
        (sum + offer.wait_ms, count + 1.0)
    });
    (count > 0.0).then_some(sum / count)
}

/// Returns the expected end at a holder, with what counts against it, in ms from now.
fn end_ms(task: &TaskView, view: &HolderView, offer: &Offer, usual_ms: Option<f64>) -> f64 {
    let wait_ms = match usual_ms {
        Some(usual_ms) if !offer.is_fresh() => {
            let part = FRESH_UPDATE_MS as f64 / view.update_age_ms as f64;
            part * offer.wait_ms + (1.0 - part) * usual_ms
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

/// Picks an offer by a task's name, each in proportion to what may be handed over; none of
/// none.
fn pick_by_name<'a>(name: &str, offers: &'a [Offer]) -> Option<&'a Offer> {
    let share = |offer: &Offer| u64::from(offer.spare_cpu.max(1));
    let all: u64 = offers.iter().map(share).sum();
    let part = u128::from(xxh3_64(name.as_bytes()));
    let mut left = ((part * u128::from(all)) >> u64::BITS) as u64;
    let picked = offers.iter().find(|offer| {
        let found = left < share(offer);
        left = left.saturating_sub(share(offer));
        found
    });
    picked.or(offers.last())
}
