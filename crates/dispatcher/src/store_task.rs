//! Follows the platform's tables, one task a table.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::{Event, Millis};
use tracing::{info, warn};

use crate::core_task::{Message, Sender};
use crate::platform_client::{PlatformClient, Row, Rows, StoreError, Table};

/// How long the store may wait for a change before it answers: a store that
/// falls silent meanwhile is noticed only after that.
const FOLLOW_WAIT_MS: Millis = 2_000;
/// Between tries while the store gives no answer.
const RETRY_MS: (Millis, Millis) = (150, 600);
/// The targets' table, whose rows change all the time, is read this often in
/// the time in which a leaving target has to be known.
const READS_PER_DRAIN: Millis = 4;
/// Rarer reads would save little.
const LONGEST_PAUSE_MS: Millis = 750;
/// The host's row is written anew after this, since others may have lost it.
const WRITE_AGAIN: Duration = Duration::from_secs(3_600);

/// Whether the store answers, as the tasks that read it see it.
#[derive(Clone)]
pub struct Reachable {
    tx: Sender,
    now: Rc<Cell<bool>>,
}

impl Reachable {
    /// Takes the store to answer until it doesn't.
    #[must_use]
    pub fn new(tx: Sender) -> Self {
        Self {
            tx,
            now: Rc::new(Cell::new(true)),
        }
    }

    fn set(&self, reachable: bool) {
        if self.now.replace(reachable) != reachable {
            // The core is gone only when the process ends.
            let event = Event::StoreReachable(reachable);
            let _ = self.tx.send(Message::Event(event));
        }
    }
}

/// A pause that grows from try to try, with some chance in it.
struct Pause(Millis);

impl Pause {
    async fn wait(&mut self) {
        let part = rand::random_range(0.5..1.0);
        let pause = Duration::from_millis((self.0 as f64 * part) as u64);
        self.0 = (self.0 * 2).min(RETRY_MS.1);
        monoio::time::sleep(pause).await;
    }

    fn reset(&mut self) {
        self.0 = RETRY_MS.0;
    }
}

/// Returns how long to wait between reads of a table.
#[must_use]
pub fn pause_between_reads(table: Table, drain_ms: Millis) -> Duration {
    match table {
        Table::Configuration | Table::Hosts => Duration::ZERO,
        Table::Targets => Duration::from_millis((drain_ms / READS_PER_DRAIN).min(LONGEST_PAUSE_MS)),
    }
}

/// How far the reading of a table has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// What changed up to this version is known; nothing is, without one.
    version: Option<u64>,
    /// Whether the last read was answered.
    answered: bool,
}

/// A read of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Read {
    /// Of all its rows.
    Whole,
    /// Of what changed after a version.
    Changes {
        /// The version.
        after: u64,
        /// How long the store may wait for a change.
        wait_ms: Millis,
    },
}

impl Progress {
    /// Returns what to read next. Where the last read had no answer the store
    /// may be back at any moment: this one is to show it at once.
    #[must_use]
    pub fn next(&self) -> Read {
        let wait_ms = if self.answered { FOLLOW_WAIT_MS } else { 0 };
        match self.version {
            None => Read::Whole,
            Some(after) => Read::Changes { after, wait_ms },
        }
    }

    /// Takes note of an answer.
    pub fn answered(&mut self, version: u64) {
        self.version = Some(version);
        self.answered = true;
    }

    /// Takes note that a read failed. What was missed, or can't be read, is
    /// read again whole.
    pub fn failed(&mut self, error: &StoreError) {
        self.answered = false;
        if matches!(error, StoreError::HistoryGone | StoreError::Unreadable(_)) {
            self.version = None;
        }
    }
}

/// Follows a table for as long as the process lives.
///
/// `between` is the time between two reads that went well.
pub async fn follow(
    platform_client: PlatformClient,
    table: Table,
    between: Duration,
    tx: Sender,
    reachable: Reachable,
) {
    let mut pause = Pause(RETRY_MS.0);
    let mut progress = Progress::default();
    loop {
        let next = progress.next();
        let read = match next {
            Read::Whole => (platform_client.read_table)(table).await,
            Read::Changes { after, wait_ms } => {
                (platform_client.follow_table)(table, after, wait_ms).await
            }
        };
        match read {
            Ok(rows) => {
                reachable.set(true);
                pause.reset();
                let whole = next == Read::Whole;
                progress.answered(rows.version);
                if tell(&tx, table, rows, whole).is_err() {
                    return;
                }
                monoio::time::sleep(between).await;
            }
            Err(error) => {
                info!(event = "store-read-failed", ?table, %error, after = progress.version);
                progress.failed(&error);
                if error != StoreError::HistoryGone {
                    reachable.set(false);
                }
                pause.wait().await;
            }
        }
    }
}

/// The core is gone.
struct Closed;

fn tell(tx: &Sender, table: Table, rows: Rows, whole: bool) -> Result<(), Closed> {
    let mut events = Vec::new();
    if whole && table == Table::Targets {
        events.push(Event::TargetsRead(rows.into_targets()));
    } else {
        let mut hosts = Vec::new();
        let mut targets = Vec::new();
        for row in rows.rows {
            match row {
                Row::Queues(queues) => events.push(Event::QueuesRead(queues)),
                Row::Target(change) => targets.push(change),
                Row::Host(host) => hosts.push(host),
                Row::Faulty(key) => warn!(event = "faulty-row", ?table, %key),
            }
        }
        if !targets.is_empty() {
            events.push(Event::TargetsChanged(targets));
        }
        if !hosts.is_empty() {
            events.push(Event::HostsRead(hosts));
        }
    }
    for event in events {
        tx.send(Message::Event(event)).map_err(|_| Closed)?;
    }
    Ok(())
}

/// Writes this host's row, so that others find it.
pub async fn announce(platform_client: PlatformClient, info: HostInfo) {
    let mut pause = Pause(RETRY_MS.0);
    loop {
        match (platform_client.write_host)(info.clone()).await {
            Ok(()) => {
                pause.reset();
                monoio::time::sleep(WRITE_AGAIN).await;
            }
            Err(error) => {
                info!(event = "store-write-failed", %error);
                pause.wait().await;
            }
        }
    }
}
