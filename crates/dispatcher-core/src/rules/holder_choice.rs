//! To which holder a task is handed. Interim: by places alone.

use crate::Millis;

/// How a holder may take a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// Not at all.
    None,
    /// A target has room now.
    Free,
    /// It may wait there.
    Wait {
        /// For how long it is expected to, in ms.
        expected_ms: Millis,
    },
}

/// What is believed of one holder, for one task.
#[derive(Clone, Copy, Debug)]
pub struct HolderView {
    /// Whether it is in another hall.
    pub other_hall: bool,
    /// Whether no request goes to it anyway.
    pub extra_request: bool,
    /// Whether its clock has to be asked for first.
    pub stale_clock: bool,
    /// On targets near the task's data.
    pub near: Place,
    /// On other targets.
    pub far: Place,
    /// The age of what is believed, in ms.
    pub news_age_ms: Millis,
}

/// A task that is handed over.
#[derive(Clone, Copy, Debug)]
pub struct TaskView<'a> {
    /// Its name.
    pub name: &'a str,
    /// Its expected running time near its data, in ms.
    pub running_ms: Millis,
    /// How many times as long it takes far from it.
    pub far_slowdown: f64,
}

/// The holder that was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Choice {
    /// Its position.
    pub holder: usize,
    /// Whether the task waits there.
    pub waits: bool,
}

/// Chooses the holder at which a task is expected to end first.
#[must_use]
pub fn choose(
    task: &TaskView<'_>,
    holders: &[HolderView],
    latest_begin_ms: Millis,
) -> Option<Choice> {
    let running = task.running_ms as f64;
    let end = |place: Place, running: f64| match place {
        Place::None => None,
        Place::Free => Some((running, false)),
        Place::Wait { expected_ms } if expected_ms <= latest_begin_ms => {
            Some((running + expected_ms as f64, true))
        }
        Place::Wait { .. } => None,
    };
    let mut best: Option<(f64, Choice)> = None;
    for (holder, view) in holders.iter().enumerate() {
        let way = f64::from(u8::from(view.other_hall)) * 2.0
            + f64::from(u8::from(view.stale_clock)) * 3.0
            + f64::from(u8::from(view.extra_request)) * 0.5;
        let near = end(view.near, running);
        let far = end(view.far, running * task.far_slowdown);
        for (ms, waits) in near.into_iter().chain(far) {
            let ms = ms + way;
            if best.is_none_or(|(least, _)| ms < least) {
                best = Some((ms, Choice { holder, waits }));
            }
        }
    }
    best.map(|(_, choice)| choice)
}
