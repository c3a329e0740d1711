//! Counts what the process sends and takes in, by kind.

use std::collections::BTreeMap;
use std::fmt;

use gannetridge_dispatcher_core::Millis;
use opentelemetry::metrics::{Counter, Meter};
use opentelemetry::KeyValue;
use tracing::info;

/// Between log lines with the counts.
const TELL_MS: Millis = 10_000;

/// Which way a message went.
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

/// Counts messages; tells the log from time to time how many there were.
pub struct Traffic {
    metric: Counter<u64>,
    counts: BTreeMap<(Direction, &'static str), Count>,
    /// By how much timers were late since the last log line, and how many.
    late_ms: Millis,
    latest_ms: Millis,
    timers: u64,
    told: Millis,
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
            told: 0,
        }
    }

    /// Counts one message.
    pub fn count(&mut self, way: Direction, kind: &'static str) {
        self.counts.entry((way, kind)).or_default().total += 1;
    }

    /// Tells the log, when it is time to, what was counted since the start.
    pub fn tell(&mut self, now: Millis) {
        if now < self.told + TELL_MS {
            return;
        }
        self.told = now;
        info!(
            event = "traffic",
            messages = %Shown(&self.counts),
            mean_late_ms = self.late_ms / self.timers.max(1),
            max_late_ms = self.latest_ms,
        );
        (self.late_ms, self.latest_ms, self.timers) = (0, 0, 0);
    }

    /// Takes note of how late a timer was: the later, the busier the process.
    pub fn timer(&mut self, late_ms: Millis) {
        self.late_ms += late_ms;
        self.latest_ms = self.latest_ms.max(late_ms);
        self.timers += 1;
    }

    /// Brings the metric up to date.
    pub fn publish(&mut self) {
        for ((way, kind), count) in &mut self.counts {
            let labels = [
                KeyValue::new("way", way.as_str()),
                KeyValue::new("kind", *kind),
            ];
            self.metric.add(count.total - count.published, &labels);
            count.published = count.total;
        }
    }
}

struct Shown<'a>(&'a BTreeMap<(Direction, &'static str), Count>);

impl fmt::Display for Shown<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, ((way, kind), count)) in self.0.iter().enumerate() {
            let gap = if index > 0 { ", " } else { "" };
            write!(f, "{gap}{} {kind} {}", way.as_str(), count.total)?;
        }
        Ok(())
    }
}
