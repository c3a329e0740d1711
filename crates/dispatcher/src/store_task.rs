//! Follows the platform's tables, one task a table, and writes this host's row.
//!
//! **Rule.** A table is read whole once, then by its changes; the store may wait for
//! a change before it answers. After a read without answer the next ones don't wait,
//! so that the store's return is seen at once, and come after a pause that grows from
//! 150 to 600 ms. **Measured.** Reads that waited for a change in a
//! silent store put a new version in force 4.9 s after its acknowledgement; 8 of 8 played days
//! broke the bound, none of 8 since. The targets' table is read four times in the time
//! in which a leaving target has to be known, which halved the calls.

use std::time::Duration;

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::decision::StoreReading;
use gannetridge_dispatcher_core::event::HallChange;
use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::{Event, Millis, StoreTable};
use gannetridge_process::mailbox::ask;
use tracing::info;

use crate::faulty_rows;
use crate::mailbox::{Message, Sender, StoreState};
use crate::platform_client::{PlatformClient, Row, Rows, StoreError, Table};
use crate::store_pace::pause_after;

/// How long the store may wait for a change before it answers, in ms: a store that
/// falls silent meanwhile is noticed only after that. See above, with 5 s.
const FOLLOW_WAIT_MS: Millis = 2_000;
/// The first and the longest pause between tries while the store gives no answer, in
/// ms. The figures were chosen.
const STORE_RETRY_MS: (Millis, Millis) = (150, 600);
/// Between looks at whether this host reads the store, while others tell it. Chosen, not
/// measured: a part of the time after which what they told is stale.
const LOOK_AGAIN: Duration = Duration::from_millis(250);
/// The host's row is written again after this: it may have been lost. Chosen, not
/// measured.
const WRITE_AGAIN: Duration = Duration::from_secs(3_600);

/// A pause that grows from try to try, with some chance in it so that hosts don't try
/// all at once.
struct RetryPause(Millis);

impl RetryPause {
    async fn wait(&mut self) {
        let part = rand::random_range(0.5..1.0);
        let pause = Duration::from_millis((self.0 as f64 * part) as u64);
        self.0 = (self.0 * 2).min(STORE_RETRY_MS.1);
        monoio::time::sleep(pause).await;
    }

    fn reset(&mut self) {
        self.0 = STORE_RETRY_MS.0;
    }
}

/// How far the reading of a table has got.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Progress {
    /// What changed up to this version is known; nothing is, without one.
    version: Option<u64>,
    /// Whether the last read was answered.
    answered: bool,
    /// The store no longer knows, or never told in a form that can be read, what changed
    /// after this version.
    gone: Option<u64>,
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

impl Read {
    /// Returns the read with a bound on how long the store may wait.
    fn waiting_at_most(self, longest_ms: Millis) -> Self {
        match self {
            Self::Whole => Self::Whole,
            Self::Changes { after, wait_ms } => Self::Changes {
                after,
                wait_ms: wait_ms.min(longest_ms),
            },
        }
    }
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

    /// Records an answer.
    pub fn answered(&mut self, version: u64) {
        self.version = Some(version);
        self.answered = true;
    }

    /// Records that a read failed. What was missed, or can't be read, is
    /// read again whole.
    pub fn failed(&mut self, error: &StoreError) {
        self.answered = false;
        if matches!(
            error,
            StoreError::HistoryExpired | StoreError::Unreadable(_)
        ) {
            self.gone = self.version.max(self.gone);
            self.version = None;
        }
    }

    /// Records that other hosts told what changed up to a version.
    pub fn told(&mut self, version: u64) {
        if version > 0 && Some(version) > self.gone {
            self.version = self.version.max(Some(version));
        }
    }
}

/// How long a table's reads wait.
#[derive(Clone, Copy, Debug)]
pub struct Waits {
    /// Between two reads that went well.
    pub between: Duration,
    /// How long the store may wait for a change, in ms, where other hosts are told what was
    /// read: they have to know soon that nothing changed.
    pub told_ms: Millis,
    /// The bandwidth of the host's link, in bytes a second.
    pub link_bytes_per_s: u64,
}

/// Follows a table for as long as the process lives, while nobody else tells what it holds.
pub async fn follow(
    platform_client: PlatformClient,
    table: Table,
    waits: Waits,
    tx: Sender,
    clock: Clock,
) {
    let mut pause = RetryPause(STORE_RETRY_MS.0);
    let mut progress = Progress::default();
    let mut last_read = clock.now();
    loop {
        let Ok(state) = ask(&tx, Message::StoreState).await else {
            return;
        };
        if state.reading == StoreReading::Told {
            monoio::time::sleep(LOOK_AGAIN).await;
            continue;
        }
        progress.told(known_version(&state, table));
        let next = progress.next().waiting_at_most(match state.reading {
            StoreReading::Alone => FOLLOW_WAIT_MS,
            StoreReading::Reader | StoreReading::Told => waits.told_ms,
            StoreReading::Stale => 0,
        });
        let asked = clock.now();
        let read = match next {
            Read::Whole => (platform_client.read_table)(table).await,
            Read::Changes { after, wait_ms } => {
                (platform_client.follow_table)(table, after, wait_ms).await
            }
        };
        match read {
            Ok(rows) => {
                pause.reset();
                progress.answered(rows.version);
                let (bytes, now) = (rows.bytes, clock.now());
                let took = now.saturating_sub(last_read);
                last_read = now;
                if deliver(&tx, table, rows, next == Read::Whole, asked).is_err() {
                    return;
                }
                let stale = state.reading == StoreReading::Stale;
                let least = if stale { LOOK_AGAIN } else { Duration::ZERO };
                let between = pause_after(waits.between, bytes, took, waits.link_bytes_per_s);
                monoio::time::sleep(between.max(least)).await;
            }
            Err(error) => {
                info!(event = "store-read-failed", ?table, %error, after = progress.version);
                progress.failed(&error);
                if error != StoreError::HistoryExpired && reachable(&tx, false).is_err() {
                    return;
                }
                pause.wait().await;
            }
        }
    }
}

/// Returns the version up to which a table is known by what other hosts told, 0 for none.
fn known_version(state: &StoreState, table: Table) -> u64 {
    match table {
        Table::Configuration => state.configuration_version,
        Table::Targets => state.targets_version,
        Table::Hosts => 0,
    }
}

/// The dispatcher's task has ended.
pub struct Closed;

/// Tells the dispatcher whether the store answers.
fn reachable(tx: &Sender, reachable: bool) -> Result<(), Closed> {
    let event = Event::StoreReachable(reachable);
    tx.send(Message::Event(event)).map_err(|_| Closed)
}

/// Tells the dispatcher what was read of a table that was asked for at `asked`.
fn deliver(
    tx: &Sender,
    table: Table,
    rows: Rows,
    whole: bool,
    asked: Duration,
) -> Result<(), Closed> {
    reachable(tx, true)?;
    faulty_rows::report(tx, table, &rows)?;
    let version = rows.version;
    let mut events = Vec::new();
    if whole && table == Table::Targets {
        events.push(Event::TargetsRead(rows.into_targets()));
    } else {
        let mut hosts = Vec::new();
        let mut targets = Vec::new();
        let mut halls = Vec::new();
        for row in rows.rows {
            match row {
                Row::Configuration(queues) => events.push(Event::ConfigurationRead(queues)),
                Row::Hall(change) => halls.push(change),
                Row::Target(change) => targets.push(change),
                Row::Host(host) => hosts.push(host),
                // Reported above; what was known before stays.
                Row::Faulty(_) => {}
            }
        }
        if !targets.is_empty() {
            events.push(Event::TargetsChanged(targets));
        }
        if !hosts.is_empty() {
            events.push(Event::HostsRead(hosts));
        }
        if table == Table::Configuration {
            events.push(halls_event(version, halls, whole));
        }
    }
    let answered = match table {
        Table::Configuration => Some(StoreTable::Configuration),
        Table::Targets => Some(StoreTable::Targets),
        Table::Hosts => None,
    };
    let answered = answered.map(|table| Message::StoreAnswered {
        table,
        version,
        asked,
    });
    let messages = events.into_iter().map(Message::Event).chain(answered);
    for message in messages {
        tx.send(message).map_err(|_| Closed)?;
    }
    Ok(())
}

/// Returns what tells of draining halls: also where none changed, so that it is known up to
/// which version they are known.
fn halls_event(version: u64, changes: Vec<HallChange>, whole: bool) -> Event {
    if !whole {
        return Event::DrainingHallsChanged { version, changes };
    }
    let draining = changes.into_iter().filter(|change| change.draining);
    Event::DrainingHallsRead {
        version,
        halls: draining.map(|change| change.hall).collect(),
    }
}

/// Writes this host's row, so that others find it.
pub async fn announce(platform_client: PlatformClient, info: HostInfo) {
    let mut pause = RetryPause(STORE_RETRY_MS.0);
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
