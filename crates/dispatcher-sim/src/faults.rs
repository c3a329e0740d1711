//! The kinds of faults, and the random choice of one and of its duration.

use gannetridge_dispatcher_core::Millis;
use rand::Rng;
use rand_pcg::Pcg64;

use crate::target::Behaviour;

/// A fault; numbers are indices of hosts, targets or halls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A host's process is killed and restarts.
    Kill(usize),
    /// All hosts' processes are killed and restart.
    KillAll,
    /// A host's process is suspended.
    Freeze(usize),
    /// A host shuts down gracefully and restarts.
    Stop(usize),
    /// A host reaches no other host.
    CutPeers(usize),
    /// A host reaches no target.
    CutTargets(usize),
    /// A hall is cut off from all other halls.
    CutHall(usize),
    /// No host reaches a target.
    CutTarget(usize),
    /// A target's process crashes and is replaced by one with another id.
    Crash(usize),
    /// A target fails its attempts, hangs or slows down.
    Misbehave(usize, Behaviour),
    /// A target is marked as leaving.
    Leave(usize),
    /// Some calls to targets are carried out late and get no reply.
    LateCalls,
    /// Some replies of targets are lost.
    LostReplies,
    /// Some requests and replies between hosts are lost.
    LossyPeers,
    /// The store doesn't answer; some target entries expire meanwhile.
    StoreOutage,
}

/// Returns a random fault.
#[must_use]
pub fn random_fault(rng: &mut Pcg64, hosts: usize, targets: usize, halls: usize) -> Fault {
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
        15 => Fault::LateCalls,
        16 => Fault::LostReplies,
        _ => {
            if rng.random() {
                Fault::LossyPeers
            } else {
                Fault::StoreOutage
            }
        }
    }
}

/// Returns how long a fault lasts.
#[must_use]
pub fn random_duration_ms(rng: &mut Pcg64) -> Millis {
    rng.random_range(100..6_000)
}
