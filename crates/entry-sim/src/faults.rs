//! Faults of hosts, runners, network and platform, and their random injection.

use rand::Rng;

use crate::hosts::ProcessState;
use crate::world::{SimEvent, World, START_MS};
use gannetridge_entry_core::Event;
use gannetridge_entry_wire::platform::{TableOp, Write};
use gannetridge_entry_wire::Time;

/// The start or the end of a fault.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FaultEvent {
    /// A hall is drained: its document says so, and its runners are listed as leaving.
    DrainHall(usize),
    /// A hall is cut off from the other halls and the platform.
    CutHall(usize),
    /// A hall is connected again.
    HealHall(usize),
    /// Two hosts can't reach each other.
    CutPair(usize, usize),
    /// Two hosts can reach each other again.
    HealPair(usize, usize),
    /// A host can't reach the platform.
    CutPlatform(usize),
    /// A host can reach the platform again.
    HealPlatform(usize),
    /// The platform becomes unavailable.
    PlatformOutage,
    /// The platform becomes available again.
    PlatformRecovery,
    /// The table's answers to writes that took effect are lost with this probability.
    LoseAnswers(f64),
    /// Operations of the table take longer by up to this many µs.
    SlowTable(u64),
    /// The platform's list of targets isn't refreshed while true.
    StaleList(bool),
    /// Messages between hosts, and between hosts and runners, are lost with this
    /// probability.
    DropMessages(f64),
    /// Requests between hosts are delivered twice with this probability.
    DuplicateMessages(f64),
    /// Messages take longer by up to this many µs, so that later ones may overtake them.
    DelayMessages(u64),
    /// A host's process is killed and restarts after this many µs.
    KillHost(usize, u64),
    /// A host is suspended for this many µs.
    PauseHost(usize, u64),
    /// A host is suspended for this many µs the next time it has actions to perform,
    /// before it performs them.
    PauseBeforeSending(usize, u64),
    /// A host is asked to shut down gracefully.
    StopHost(usize),
    /// A runner's process is killed.
    KillRunner(usize),
    /// A killed runner is started again.
    RestartRunner(usize),
    /// A runner is suspended for this many µs.
    PauseRunner(usize, u64),
    /// A runner's replies are lost for this many µs.
    LoseRunnerReplies(usize, u64),
    /// A runner's tasks take longer by this factor.
    SlowRunner(usize, f64),
    /// The platform's list shows a runner as leaving; the runner still accepts tasks.
    LeaveByList(usize),
    /// The list shows a runner as leaving, and it refuses new tasks.
    LeaveByRunner(usize),
    /// A runner is no longer leaving.
    CancelLeave(usize),
}

impl FaultEvent {
    fn name(self) -> &'static str {
        match self {
            Self::DrainHall(_) => "hall drained",
            Self::CutHall(_) => "hall cut",
            Self::CutPair(..) => "hosts cut from each other",
            Self::CutPlatform(_) => "host cut from platform",
            Self::PlatformOutage => "platform outage",
            Self::LoseAnswers(_) => "table answers lost",
            Self::SlowTable(_) => "table slow",
            Self::StaleList(_) => "list stale",
            Self::DropMessages(_) => "messages lost",
            Self::DuplicateMessages(_) => "messages duplicated",
            Self::DelayMessages(_) => "messages delayed and reordered",
            Self::KillHost(..) => "host killed",
            Self::PauseHost(..) => "host paused",
            Self::PauseBeforeSending(..) => "host paused before sending",
            Self::StopHost(_) => "host shut down gracefully",
            Self::KillRunner(_) => "runner killed",
            Self::PauseRunner(..) => "runner paused",
            Self::LoseRunnerReplies(..) => "runner's replies lost",
            Self::SlowRunner(..) => "runner slow",
            Self::LeaveByList(_) => "runner listed as leaving",
            Self::LeaveByRunner(_) => "runner refusing tasks",
            Self::HealHall(_)
            | Self::HealPair(..)
            | Self::HealPlatform(_)
            | Self::PlatformRecovery
            | Self::RestartRunner(_)
            | Self::CancelLeave(_) => "healed",
        }
    }

    /// Returns true if the fault, or its end, may delay updates on leaving targets.
    fn may_delay_updates(self) -> bool {
        !matches!(
            self,
            Self::KillRunner(_)
                | Self::RestartRunner(_)
                | Self::SlowRunner(..)
                | Self::LeaveByList(_)
                | Self::LeaveByRunner(_)
                | Self::CancelLeave(_)
        )
    }
}

impl World {
    pub(crate) fn apply_fault(&mut self, fault: FaultEvent) {
        if fault.name() != "healed" {
            *self.report.faults.entry(fault.name()).or_default() += 1;
        }
        if fault.may_delay_updates() {
            self.undisturbed_since = self.now;
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
            FaultEvent::PlatformOutage => self.platform.unavailable = true,
            FaultEvent::PlatformRecovery => self.platform.unavailable = false,
            FaultEvent::LoseAnswers(chance) => self.platform.answer_loss_probability = chance,
            FaultEvent::SlowTable(us) => self.platform.max_extra_us = us,
            FaultEvent::StaleList(stale) => self.platform.list_stale = stale,
            FaultEvent::DropMessages(chance) => self.network.drop_probability = chance,
            FaultEvent::DuplicateMessages(chance) => self.network.duplicate_probability = chance,
            FaultEvent::DelayMessages(us) => self.network.max_extra_delay_us = us,
            FaultEvent::KillHost(host, back_us) => self.kill(host, back_us),
            FaultEvent::PauseHost(host, us) => self.pause(host, us),
            FaultEvent::PauseBeforeSending(host, us) => {
                self.hosts[host].pause_next_us = Some(us);
            }
            FaultEvent::StopHost(host) => self.stop_host(host),
            FaultEvent::KillRunner(runner) => self.kill_runner(runner),
            FaultEvent::RestartRunner(runner) => self.restart_runner(runner),
            FaultEvent::PauseRunner(runner, us) => {
                self.runners[runner].paused_until = self.now.plus_micros(us);
            }
            FaultEvent::LoseRunnerReplies(runner, us) => {
                self.runners[runner].replies_lost_until = self.now.plus_micros(us);
            }
            FaultEvent::SlowRunner(runner, factor) => self.runners[runner].slowdown = factor,
            FaultEvent::LeaveByList(runner) => {
                self.runners[runner].leaving_since.get_or_insert(self.now);
            }
            FaultEvent::LeaveByRunner(runner) => {
                self.runners[runner].leaving_since.get_or_insert(self.now);
                self.runners[runner].tasks.leaving = true;
            }
            FaultEvent::CancelLeave(runner) => {
                self.runners[runner].leaving_since = None;
                self.runners[runner].tasks.leaving = false;
            }
        }
    }

    fn pause(&mut self, index: usize, us: u64) {
        let host = &mut self.hosts[index];
        if host.state == ProcessState::Running {
            host.state = ProcessState::Paused(self.now.plus_micros(us));
            self.schedule(us, SimEvent::Resume(index));
        }
    }

    fn stop_host(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        if host.state == ProcessState::Stopped || host.stopping {
            return;
        }
        host.stopping = true;
        let process = host.process_id(index);
        self.deliver(process, Event::Stop);
    }

    /// Sets the hall's document to `draining`, as an operator's accepted change does.
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

    /// Injects a random fault, and schedules its end and the next fault.
    pub(crate) fn inject_random_fault(&mut self) {
        let load_end = Time::from_millis(START_MS + self.scenario.load_ms);
        if self.now >= load_end {
            return;
        }
        let every_us = self.scenario.fault_every_ms * 1_000;
        let next_us = self.rng.random_range(every_us / 4..=every_us * 7 / 4);
        self.schedule(next_us, SimEvent::RandomFault);
        // Timed faults end at most two seconds after the load.
        let left_us = load_end.micros_since(self.now) + 2_000_000;
        let long_us = self.rng.random_range(100_000..25_000_000).min(left_us);
        let short_us = self.rng.random_range(10_000..6_000_000).min(left_us);
        let host = self.rng.random_range(0..self.hosts.len());
        let other = self.rng.random_range(0..self.hosts.len());
        let runner = self.rng.random_range(0..self.runners.len());
        let hall = self.rng.random_range(0..self.halls.len());
        let heal = |w: &mut Self, us, fault| w.schedule(us, SimEvent::Fault(fault));
        match self.rng.random_range(0..22) {
            0..3 => self.apply_fault(FaultEvent::KillHost(host, short_us)),
            3..5 => self.apply_fault(FaultEvent::PauseHost(host, long_us)),
            5..7 => self.apply_fault(FaultEvent::PauseBeforeSending(host, long_us)),
            7 | 8 => self.apply_fault(FaultEvent::StopHost(host)),
            9 if host != other => {
                self.apply_fault(FaultEvent::CutPair(host, other));
                heal(self, long_us, FaultEvent::HealPair(host, other));
            }
            10 => {
                self.apply_fault(FaultEvent::CutHall(hall));
                heal(self, long_us, FaultEvent::HealHall(hall));
            }
            11 => {
                self.apply_fault(FaultEvent::CutPlatform(host));
                heal(self, long_us, FaultEvent::HealPlatform(host));
            }
            12 => {
                self.apply_fault(FaultEvent::PlatformOutage);
                heal(self, long_us, FaultEvent::PlatformRecovery);
            }
            13 => {
                self.apply_fault(FaultEvent::LoseAnswers(0.3));
                heal(self, long_us, FaultEvent::LoseAnswers(0.0));
                self.apply_fault(FaultEvent::SlowTable(2_500_000));
                heal(self, short_us, FaultEvent::SlowTable(0));
            }
            14 => {
                self.apply_fault(FaultEvent::DropMessages(0.1));
                heal(self, short_us, FaultEvent::DropMessages(0.0));
            }
            15 => {
                self.apply_fault(FaultEvent::DuplicateMessages(0.2));
                heal(self, long_us, FaultEvent::DuplicateMessages(0.0));
            }
            16 => {
                self.apply_fault(FaultEvent::DelayMessages(400_000));
                heal(self, short_us, FaultEvent::DelayMessages(0));
            }
            17 => {
                self.apply_fault(FaultEvent::KillRunner(runner));
                heal(self, short_us, FaultEvent::RestartRunner(runner));
            }
            18 => self.apply_fault(FaultEvent::PauseRunner(runner, short_us)),
            19 => self.apply_fault(FaultEvent::LoseRunnerReplies(runner, short_us)),
            20 => {
                self.apply_fault(FaultEvent::LeaveByList(runner));
                heal(self, long_us, FaultEvent::CancelLeave(runner));
                self.apply_fault(FaultEvent::StaleList(true));
                heal(self, short_us, FaultEvent::StaleList(false));
            }
            _ => {
                self.apply_fault(FaultEvent::LeaveByRunner(runner));
                heal(self, long_us, FaultEvent::CancelLeave(runner));
                let factor = self.rng.random_range(1.0..12.0);
                self.apply_fault(FaultEvent::SlowRunner(other % self.runners.len(), factor));
            }
        }
    }
}
