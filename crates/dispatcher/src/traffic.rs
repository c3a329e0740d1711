//! Counts the messages that the process sends and gets, by direction and kind, and how
//! late its timers are: a process with too little processor time shows both.

use std::collections::BTreeMap;
use std::fmt;

use gannetridge_dispatcher_core::Millis;
use opentelemetry::metrics::{Counter, Meter};
use opentelemetry::KeyValue;
use tracing::info;

/// Between log lines with the counts, in ms. Chosen, not measured.
const LOG_MS: Millis = 10_000;

/// The direction of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Direction {
    /// A request to a peer.
    ToPeer,
    /// A request of a peer.
    FromPeer,
    /// A call to a target.
    ToTarget,
    /// A request of a caller.
    FromCaller,
}

impl Direction {
    fn as_str(self) -> &'static str {
        match self {
            Self::ToPeer => "to-peer",
            Self::FromPeer => "from-peer",
            Self::ToTarget => "to-target",
            Self::FromCaller => "from-caller",
        }
    }
}

/// A kind of message in one direction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct MessageKind {
    direction: Direction,
    kind: &'static str,
}

/// Counts messages, and how late timers are.
pub struct Traffic {
    metric: Counter<u64>,
    counts: BTreeMap<MessageKind, Count>,
    /// By how much timers were late since the last log line, and how many.
    late_ms: Millis,
    latest_ms: Millis,
    timers: u64,
    logged: Millis,
}

#[derive(Clone, Copy, Default)]
struct Count {
    total: u64,
    published: u64,
}

impl Traffic {
    /// Creates the counter.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let metric = meter.u64_counter("messages");
        Self {
            metric: metric.with_description("Messages, by way and kind").build(),
            counts: BTreeMap::new(),
            late_ms: 0,
            latest_ms: 0,
            timers: 0,
            logged: 0,
        }
    }

    /// Counts one message.
    pub fn count(&mut self, direction: Direction, kind: &'static str) {
        self.counts
            .entry(MessageKind { direction, kind })
            .or_default()
            .total += 1;
    }

    /// Writes a log line, when it is time to, with what was counted since the start.
    pub fn log_if_due(&mut self, now: Millis) {
        if now < self.logged + LOG_MS {
            return;
        }
        self.logged = now;
        info!(
            event = "traffic",
            messages = %Shown(&self.counts),
            mean_late_ms = self.late_ms / self.timers.max(1),
            max_late_ms = self.latest_ms,
        );
        (self.late_ms, self.latest_ms, self.timers) = (0, 0, 0);
    }

    /// Records how late a timer fired, in ms: the later, the busier the process.
    pub fn timer_fired(&mut self, late_ms: Millis) {
        self.late_ms += late_ms;
        self.latest_ms = self.latest_ms.max(late_ms);
        self.timers += 1;
    }

    /// Brings the metric up to date.
    pub fn publish(&mut self) {
        for (message, count) in &mut self.counts {
            let labels = [
                KeyValue::new("way", message.direction.as_str()),
                KeyValue::new("kind", message.kind),
            ];
            self.metric.add(count.total - count.published, &labels);
            count.published = count.total;
        }
    }
}

struct Shown<'a>(&'a BTreeMap<MessageKind, Count>);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (message, count)) in self.0.iter().enumerate() {
            let gap = if index > 0 { ", " } else { "" };
            let (direction, kind) = (message.direction.as_str(), message.kind);
            write!(f, "{gap}{direction} {kind} {}", count.total)?;
        }
        Ok(())
    }
}
