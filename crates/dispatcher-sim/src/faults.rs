//! What goes wrong, and when.

use gannetridge_dispatcher_core::Millis;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::target::Behaviour;

/// Something that goes wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A host's process dies and starts again.
    Kill(usize),
    /// All hosts' processes die and start again.
    KillAll,
    /// A host's process stands still.
    Freeze(usize),
    /// A host is asked to stop in order and starts again.
    Stop(usize),
    /// A host reaches no other host.
    CutPeers(usize),
    /// A host reaches no target.
    CutTargets(usize),
    /// A hall's hosts and targets reach none of other halls.
    CutHall(usize),
    /// A target reaches no host.
    CutTarget(usize),
    /// A target's process dies and another starts.
    Crash(usize),
    /// A target misbehaves.
    Misbehave(usize, Behaviour),
    /// A target says that it leaves.
    Leave(usize),
    /// Calls to targets get no answer and are done late.
    Late,
    /// Answers of targets are lost.
    LostAnswers,
    /// Requests between hosts are lost.
    LossyPeers,
    /// The store gives no answer; entries lapse meanwhile.
    StoreOut,
}

/// Draws a fault.
#[must_use]
pub fn draw(rng: &mut Pcg64, hosts: usize, targets: usize, halls: usize) -> Fault {
    let host = rng.random_range(0..hosts);
    let target = rng.random_range(0..targets);
    match rng.random_range(0..18) {
        0..=1 => Fault::Kill(host),
        2 => Fault::KillAll,
        3..=4 => Fault::Freeze(host),
        5 => Fault::Stop(host),
        6 => Fault::CutPeers(host),
        7 => Fault::CutTargets(host),
        8 => Fault::CutHall(rng.random_range(0..halls)),
        9 => Fault::CutTarget(target),
        10 => Fault::Crash(target),
        11 => Fault::Misbehave(target, Behaviour::Fails),
        12 => Fault::Misbehave(target, Behaviour::Hangs),
        13 => Fault::Misbehave(target, Behaviour::Slow),
        14 => Fault::Leave(target),
        15 => Fault::Late,
        16 => Fault::LostAnswers,
        _ => {
            if rng.random() {
                Fault::LossyPeers
            } else {
                Fault::StoreOut
            }
        }
    }
}

/// Draws how long a fault lasts.
#[must_use]
pub fn length(rng: &mut Pcg64) -> Millis {
    rng.random_range(100..6_000)
}
