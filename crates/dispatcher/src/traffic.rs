//! Counts the messages that the process sends and receives, by direction and kind, and
//! measures how late its timers fire, which shows a lack of processor time.

use std::collections::BTreeMap;
use std::fmt;

use gannetridge_dispatcher_core::Millis;
use opentelemetry::metrics::{Counter, Meter};
use opentelemetry::KeyValue;
use tracing::info;

/// The interval between log lines with the counts.
const LOG_INTERVAL_MS: Millis = 10_000;

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

/// The message counts and the lateness of timers.
pub struct Traffic {
    counter: Counter<u64>,
    counts: BTreeMap<MessageKind, MessageCount>,
    /// The total delay of timers since the last log line.
    total_late_ms: Millis,
    /// The longest delay of a timer since the last log line.
    max_late_ms: Millis,
    /// The number of timers since the last log line.
    timer_count: u64,
    /// When the last log line was written.
    logged_at_ms: Millis,
}

#[derive(Clone, Copy, Default)]
struct MessageCount {
    total: u64,
    /// The part of the total that was added to the counter.
    published: u64,
}

impl Traffic {
    /// Creates the counter of messages on a meter.
    #[must_use]
    pub fn new(meter: &Meter) -> Self {
        let counter = meter.u64_counter("messages");
        Self {
            counter: counter
                .with_description("Messages, by way and kind")
                .build(),
            counts: BTreeMap::new(),
            total_late_ms: 0,
            max_late_ms: 0,
            timer_count: 0,
            logged_at_ms: 0,
        }
    }

    /// Counts one message.
    pub fn count(&mut self, direction: Direction, kind: &'static str) {
        self.counts
            .entry(MessageKind { direction, kind })
            .or_default()
            .total += 1;
    }

    /// Writes a log line if one is due: the message counts since the start, and the delay of
    /// timers since the last line.
    pub fn log_if_due(&mut self, now: Millis) {
        if now < self.logged_at_ms + LOG_INTERVAL_MS {
            return;
        }
        self.logged_at_ms = now;
        info!(
            event = "traffic",
            messages = %CountsDisplay(&self.counts),
            mean_late_ms = self.total_late_ms / self.timer_count.max(1),
            max_late_ms = self.max_late_ms,
        );
        (self.total_late_ms, self.max_late_ms, self.timer_count) = (0, 0, 0);
    }

    /// Records by how much a timer fired late.
    pub fn record_timer(&mut self, late_ms: Millis) {
        self.total_late_ms += late_ms;
        self.max_late_ms = self.max_late_ms.max(late_ms);
        self.timer_count += 1;
    }

    /// Adds the messages counted since the last call to the exported counter.
    pub fn publish(&mut self) {
        for (message, count) in &mut self.counts {
            let labels = [
                KeyValue::new("way", message.direction.as_str()),
                KeyValue::new("kind", message.kind),
            ];
            self.counter.add(count.total - count.published, &labels);
            count.published = count.total;
        }
    }
}

/// Formats the counts for the log.
struct CountsDisplay<'a>(&'a BTreeMap<MessageKind, MessageCount>);

impl fmt::Display for CountsDisplay<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, (message, count)) in self.0.iter().enumerate() {
            let separator = if index > 0 { ", " } else { "" };
            let (direction, kind) = (message.direction.as_str(), message.kind);
            write!(f, "{separator}{direction} {kind} {}", count.total)?;
        }
        Ok(())
    }
}
