//! Faults: planned ones, and random ones of every kind that the users name.

use rand::Rng;

use crate::hosts::Pulse;
use crate::world::{Ev, World, START_MS};
use gannetridge_entry_core::Event;
use gannetridge_entry_wire::platform::{TableOp, Write};
use gannetridge_entry_wire::Time;

/// A change of what is wrong.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// A hall is being emptied.
    DrainHall(usize),
    /// A hall is cut off from the other halls and the platform.
    CutHall(usize),
    /// A hall is joined again.
    HealHall(usize),
    /// Two hosts can't reach each other.
    CutPair(usize, usize),
    /// Two hosts can reach each other again.
    HealPair(usize, usize),
    /// A host can't reach the platform.
    CutPlatform(usize),
    /// A host can reach the platform again.
    HealPlatform(usize),
    /// The platform answers nothing.
    PlatformOut,
    /// The platform answers again.
    PlatformBack,
    /// Writes take effect without an answer, with this chance.
    LoseAnswers(f64),
    /// Operations take up to this much longer, in µs.
    SlowTable(u64),
    /// The list keeps to what it was.
    StaleList(bool),
    /// Messages between hosts are lost, with this chance.
    Drop(f64),
    /// Messages between hosts come twice, with this chance.
    Duplicate(f64),
    /// Messages take up to this much longer, in µs, and so overtake others.
    Delay(u64),
    /// A host dies, to be back after so many µs.
    KillHost(usize, u64),
    /// A host is paused for so many µs.
    FreezeHost(usize, u64),
    /// A host is paused between a decision and its messages.
    FreezeInDecision(usize, u64),
    /// A host is asked to stop in order.
    StopHost(usize),
    /// A runner dies.
    KillRunner(usize),
    /// A runner is started again.
    ReviveRunner(usize),
    /// A runner is paused for so many µs.
    FreezeRunner(usize, u64),
    /// A runner's answers are lost for so many µs.
    MuteRunner(usize, u64),
    /// A runner takes so many times as long.
    SlowRunner(usize, f64),
    /// The list shows a runner as leaving.
    LeaveByList(usize),
    /// A runner refuses new work.
    LeaveByRunner(usize),
    /// A runner that was leaving is back.
    Stay(usize),
}

impl FaultEvent {
    fn name(self) -> &'static str {
        match self {
            Self::DrainHall(_) => "hall emptied",
            Self::CutHall(_) => "hall cut",
            Self::CutPair(..) => "hosts cut from each other",
            Self::CutPlatform(_) => "host cut from platform",
            Self::PlatformOut => "platform out",
            Self::LoseAnswers(_) => "table answers lost",
            Self::SlowTable(_) => "table slow",
            Self::StaleList(_) => "list stale",
            Self::Drop(_) => "messages lost",
            Self::Duplicate(_) => "messages doubled",
            Self::Delay(_) => "messages late and reordered",
            Self::KillHost(..) => "host killed",
            Self::FreezeHost(..) => "host frozen",
            Self::FreezeInDecision(..) => "host frozen before sending",
            Self::StopHost(_) => "host stopped in order",
            Self::KillRunner(_) => "runner killed",
            Self::FreezeRunner(..) => "runner frozen",
            Self::MuteRunner(..) => "runner's answers lost",
            Self::SlowRunner(..) => "runner slow",
            Self::LeaveByList(_) => "runner leaving by list",
            Self::LeaveByRunner(_) => "runner leaving by refusal",
            Self::HealHall(_)
            | Self::HealPair(..)
            | Self::HealPlatform(_)
            | Self::PlatformBack
            | Self::ReviveRunner(_)
            | Self::Stay(_) => "healed",
        }
    }

    /// Tells whether the fault keeps news of leaving targets from hosts.
    fn hides_news(self) -> bool {
        !matches!(
            self,
            Self::KillRunner(_)
                | Self::ReviveRunner(_)
                | Self::SlowRunner(..)
                | Self::LeaveByList(_)
                | Self::LeaveByRunner(_)
                | Self::Stay(_)
        )
    }
}

impl World {
    pub(crate) fn fault(&mut self, fault: FaultEvent) {
        if fault.name() != "healed" {
            *self.report.faults.entry(fault.name()).or_default() += 1;
        }
        if fault.hides_news() {
            self.calm_since = self.now;
        }
        match fault {
            FaultEvent::DrainHall(hall) => self.drain_hall(hall),
            FaultEvent::CutHall(hall) => {
                self.network.cut_halls.insert(hall);
            }
            FaultEvent::HealHall(hall) => {
                self.network.cut_halls.remove(&hall);
            }
            FaultEvent::CutPair(a, b) => {
                self.network.cut_pairs.insert((a.min(b), a.max(b)));
            }
            FaultEvent::HealPair(a, b) => {
                self.network.cut_pairs.remove(&(a.min(b), a.max(b)));
            }
            FaultEvent::CutPlatform(host) => {
                self.network.cut_platform.insert(host);
            }
            FaultEvent::HealPlatform(host) => {
                self.network.cut_platform.remove(&host);
            }
            FaultEvent::PlatformOut => self.platform.out = true,
            FaultEvent::PlatformBack => self.platform.out = false,
            FaultEvent::LoseAnswers(chance) => self.platform.lose = chance,
            FaultEvent::SlowTable(us) => self.platform.slow_us = us,
            FaultEvent::StaleList(stale) => self.platform.list_stale = stale,
            FaultEvent::Drop(chance) => self.network.drop = chance,
            FaultEvent::Duplicate(chance) => self.network.duplicate = chance,
            FaultEvent::Delay(us) => self.network.extra_us = us,
            FaultEvent::KillHost(host, back_us) => self.kill(host, back_us),
            FaultEvent::FreezeHost(host, us) => self.freeze(host, us),
            FaultEvent::FreezeInDecision(host, us) => {
                self.hosts[host].freeze_next_us = Some(us);
            }
            FaultEvent::StopHost(host) => self.stop_host(host),
            FaultEvent::KillRunner(runner) => self.kill_runner(runner),
            FaultEvent::ReviveRunner(runner) => self.revive_runner(runner),
            FaultEvent::FreezeRunner(runner, us) => {
                self.runners[runner].frozen_until = self.now.plus_micros(us);
            }
            FaultEvent::MuteRunner(runner, us) => {
                self.runners[runner].mute_until = self.now.plus_micros(us);
            }
            FaultEvent::SlowRunner(runner, factor) => self.runners[runner].slower = factor,
            FaultEvent::LeaveByList(runner) => {
                self.runners[runner].leaving_since.get_or_insert(self.now);
            }
            FaultEvent::LeaveByRunner(runner) => {
                self.runners[runner].leaving_since.get_or_insert(self.now);
                self.runners[runner].book.leaving = true;
            }
            FaultEvent::Stay(runner) => {
                self.runners[runner].leaving_since = None;
                self.runners[runner].book.leaving = false;
            }
        }
    }

    fn freeze(&mut self, index: usize, us: u64) {
        let host = &mut self.hosts[index];
        if host.pulse == Pulse::Runs {
            host.pulse = Pulse::Frozen(self.now.plus_micros(us));
            self.at(us, Ev::Thaw(index));
        }
    }

    fn stop_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.pulse == Pulse::Dead || host.stopping {
            return;
        }
        host.stopping = true;
        let run = host.run_of(index);
        self.deliver(run, Event::Stop);
    }

    /// Writes the hall's document, as an operator's accepted change does.
    fn drain_hall(&mut self, hall: usize) {
        let key = format!("hall/{}", self.halls[hall]);
        let head = self.platform.table.value("config/head").unwrap_or_default();
        let digits: String = head.chars().filter(char::is_ascii_digit).collect();
        let version = digits.parse::<u64>().unwrap_or(1) + 1;
        let doc = gannetridge_entry_wire::peer::ConfigDoc {
            key: key.as_str().into(),
            version,
            text: "state = \"draining\"\n".into(),
            changes: Vec::new(),
        };
        let value = serde_json::to_string(&doc).expect("plain data has a JSON form");
        let writes = vec![
            Write {
                key: "config/head".into(),
                value: format!("{{\"version\":{version}}}").into(),
            },
            Write {
                key: format!("config/{key}").into(),
                value: value.into(),
            },
        ];
        let checks = Vec::new();
        self.platform.apply(&TableOp::Commit { checks, writes });
        for runner in self.runners.iter_mut().filter(|r| r.hall == hall) {
            runner.leaving_since.get_or_insert(self.now);
        }
    }

    /// Brings about a random fault, and plans its end and the next one.
    pub(crate) fn random_fault(&mut self) {
        let load_end = Time::from_millis(START_MS + self.scenario.load_ms);
        if self.now >= load_end {
            return;
        }
        let every_us = self.scenario.fault_every_ms * 1_000;
        let next_us = self.rng.random_range(every_us / 4..=every_us * 7 / 4);
        self.at(next_us, Ev::RandomFault);
        // Everything is healed some time before the run ends.
        let left_us = load_end.micros_since(self.now) + 2_000_000;
        let long_us = self.rng.random_range(100_000..25_000_000).min(left_us);
        let short_us = self.rng.random_range(10_000..6_000_000).min(left_us);
        let host = self.rng.random_range(0..self.hosts.len());
        let other = self.rng.random_range(0..self.hosts.len());
        let runner = self.rng.random_range(0..self.runners.len());
        let hall = self.rng.random_range(0..self.halls.len());
        let heal = |w: &mut Self, us, fault| w.at(us, Ev::Fault(fault));
        match self.rng.random_range(0..22) {
            0..3 => self.fault(FaultEvent::KillHost(host, short_us)),
            3..5 => self.fault(FaultEvent::FreezeHost(host, long_us)),
            5..7 => self.fault(FaultEvent::FreezeInDecision(host, long_us)),
            7 | 8 => self.fault(FaultEvent::StopHost(host)),
            9 if host != other => {
                self.fault(FaultEvent::CutPair(host, other));
                heal(self, long_us, FaultEvent::HealPair(host, other));
            }
            10 => {
                self.fault(FaultEvent::CutHall(hall));
                heal(self, long_us, FaultEvent::HealHall(hall));
            }
            11 => {
                self.fault(FaultEvent::CutPlatform(host));
                heal(self, long_us, FaultEvent::HealPlatform(host));
            }
            12 => {
                self.fault(FaultEvent::PlatformOut);
                heal(self, long_us, FaultEvent::PlatformBack);
            }
            13 => {
                self.fault(FaultEvent::LoseAnswers(0.3));
                heal(self, long_us, FaultEvent::LoseAnswers(0.0));
                self.fault(FaultEvent::SlowTable(2_500_000));
                heal(self, short_us, FaultEvent::SlowTable(0));
            }
            14 => {
                self.fault(FaultEvent::Drop(0.1));
                heal(self, short_us, FaultEvent::Drop(0.0));
            }
            15 => {
                self.fault(FaultEvent::Duplicate(0.2));
                heal(self, long_us, FaultEvent::Duplicate(0.0));
            }
            16 => {
                self.fault(FaultEvent::Delay(400_000));
                heal(self, short_us, FaultEvent::Delay(0));
            }
            17 => {
                self.fault(FaultEvent::KillRunner(runner));
                heal(self, short_us, FaultEvent::ReviveRunner(runner));
            }
            18 => self.fault(FaultEvent::FreezeRunner(runner, short_us)),
            19 => self.fault(FaultEvent::MuteRunner(runner, short_us)),
            20 => {
                self.fault(FaultEvent::LeaveByList(runner));
                heal(self, long_us, FaultEvent::Stay(runner));
                self.fault(FaultEvent::StaleList(true));
                heal(self, short_us, FaultEvent::StaleList(false));
            }
            _ => {
                self.fault(FaultEvent::LeaveByRunner(runner));
                heal(self, long_us, FaultEvent::Stay(runner));
                let factor = self.rng.random_range(1.0..12.0);
                self.fault(FaultEvent::SlowRunner(other % self.runners.len(), factor));
            }
        }
    }
}
