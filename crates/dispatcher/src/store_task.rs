//! Follows the platform's tables, one task for each table, and writes this host's row.
//!
//! A table is read whole first, then by its changes with long polls: the store may wait for a
//! change before it answers. It is read whole again if its changes can't be read. After a
//! failed read the store isn't allowed to wait, so that its recovery is noticed at once (with
//! waits at a silent store, a version came into force 4.9 s after its acknowledgement), and
//! reads are retried after a growing pause. [`crate::store_pace`] sets the pauses between
//! successful reads. Tables aren't read while peers report the store's changes.

use std::time::Duration;

use gannetridge_clock::Clock;
use gannetridge_dispatcher_core::decision::StoreReading;
use gannetridge_dispatcher_core::event::HallChange;
use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::{Event, Millis, StoreTable};
use gannetridge_process::mailbox::ask;
use tracing::info;

use crate::faulty_rows::FaultyRowLog;
use crate::mailbox::{Message, Sender, StoreState};
use crate::platform_client::{PlatformClient, Row, Rows, StoreError, Table};
use crate::store_pace::pause_after_read;

/// How long the store may wait for a change before it answers. A store that becomes
/// unreachable meanwhile is noticed only after that.
const LONG_POLL_MS: Millis = 2_000;
/// The first and the longest pause between retries while the store doesn't answer.
const RETRY_PAUSE_MS: (Millis, Millis) = (150, 600);
/// While peers report the store's changes, how often to check whether this host has to read
/// the store itself. Also the shortest pause between reads after their reports became stale.
const READING_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How often the host's row is written again, in case it was lost.
const HOST_ROW_INTERVAL: Duration = Duration::from_secs(3_600);

/// A retry pause in ms with exponential backoff, and jitter so that hosts don't retry all at
/// once.
struct RetryPause(Millis);

impl RetryPause {
    async fn wait(&mut self) {
        let jitter = rand::random_range(0.5..1.0);
        let pause = Duration::from_millis((self.0 as f64 * jitter) as u64);
        self.0 = (self.0 * 2).min(RETRY_PAUSE_MS.1);
        monoio::time::sleep(pause).await;
    }

    fn reset(&mut self) {
        self.0 = RETRY_PAUSE_MS.0;
    }
}

/// The state of following a table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TableProgress {
    /// The version up to which the table is known; none if it has to be read whole.
    version: Option<u64>,
    /// Whether the last read succeeded.
    last_read_succeeded: bool,
    /// The changes after this version can't be read: the store no longer has them, or they
    /// can't be decoded.
    unreadable_after: Option<u64>,
}

/// The kind of a read of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TableRead {
    /// Reads all rows.
    Whole,
    /// Reads the changes after a version.
    Changes {
        /// The version up to which the table is known.
        after: u64,
        /// How long the store may wait for a change.
        wait_ms: Millis,
    },
}

impl TableRead {
    /// Returns the read with a limit on how long the store may wait.
    fn with_max_wait(self, max_wait_ms: Millis) -> Self {
        match self {
            Self::Whole => Self::Whole,
            Self::Changes { after, wait_ms } => Self::Changes {
                after,
                wait_ms: wait_ms.min(max_wait_ms),
            },
        }
    }
}

impl TableProgress {
    /// Returns the next read. After a failed one the store isn't allowed to wait for a change,
    /// so that its recovery is noticed at once.
    #[must_use]
    pub fn next_read(&self) -> TableRead {
        let wait_ms = if self.last_read_succeeded {
            LONG_POLL_MS
        } else {
            0
        };
        match self.version {
            None => TableRead::Whole,
            Some(after) => TableRead::Changes { after, wait_ms },
        }
    }

    /// Records a successful read up to a version.
    pub fn read_succeeded(&mut self, version: u64) {
        self.version = Some(version);
        self.last_read_succeeded = true;
    }

    /// Records a failed read. The table is read whole next if the changes can't be read.
    pub fn read_failed(&mut self, error: &StoreError) {
        self.last_read_succeeded = false;
        if matches!(
            error,
            StoreError::HistoryExpired | StoreError::Unreadable(_)
        ) {
            self.unreadable_after = self.version.max(self.unreadable_after);
            self.version = None;
        }
    }

    /// Records that peers reported the changes up to a version. A version from which the
    /// changes can't be read is ignored.
    pub fn reported_by_peers(&mut self, version: u64) {
        if version > 0 && Some(version) > self.unreadable_after {
            self.version = self.version.max(Some(version));
        }
    }
}

/// The timing of a table's reads.
#[derive(Clone, Copy, Debug)]
pub struct ReadTimes {
    /// The longest pause between two successful reads.
    pub max_pause: Duration,
    /// How long the store may wait for a change, in ms, if this host passes the answers on to
    /// peers, which have to learn soon that nothing changed.
    pub reader_max_wait_ms: Millis,
    /// The bandwidth of the host's link, in bytes per second.
    pub link_bytes_per_s: u64,
}

/// Follows a table until the task that owns the dispatcher has ended. Doesn't read it while
/// peers report the store's changes.
pub async fn follow_table(
    platform_client: PlatformClient,
    table: Table,
    times: ReadTimes,
    tx: Sender,
    clock: Clock,
) {
    let mut pause = RetryPause(RETRY_PAUSE_MS.0);
    let mut progress = TableProgress::default();
    let mut faulty_rows = FaultyRowLog::new(table);
    let mut last_answer = clock.now();
    loop {
        let Ok(state) = ask(&tx, Message::StoreState).await else {
            return;
        };
        if state.reading == StoreReading::FromPeers {
            monoio::time::sleep(READING_CHECK_INTERVAL).await;
            continue;
        }
        progress.reported_by_peers(known_version(&state, table));
        let next_read = progress.next_read().with_max_wait(match state.reading {
            StoreReading::Alone => LONG_POLL_MS,
            StoreReading::Reader | StoreReading::FromPeers => times.reader_max_wait_ms,
            StoreReading::Stale => 0,
        });
        let requested_at = clock.now();
        let read = match next_read {
            TableRead::Whole => (platform_client.read_table)(table).await,
            TableRead::Changes { after, wait_ms } => {
                (platform_client.follow_table)(table, after, wait_ms).await
            }
        };
        match read {
            Ok(rows) => {
                pause.reset();
                progress.read_succeeded(rows.version);
                let (bytes, now) = (rows.bytes, clock.now());
                let interval = now.saturating_sub(last_answer);
                last_answer = now;
                let whole = next_read == TableRead::Whole;
                if faulty_rows.report(&tx, &rows).is_err() {
                    return;
                }
                if send_events(&tx, table, rows, whole, requested_at).is_err() {
                    return;
                }
                let is_stale = state.reading == StoreReading::Stale;
                let min_pause = if is_stale {
                    READING_CHECK_INTERVAL
                } else {
                    Duration::ZERO
                };
                let pause =
                    pause_after_read(times.max_pause, bytes, interval, times.link_bytes_per_s);
                monoio::time::sleep(pause.max(min_pause)).await;
            }
            Err(error) => {
                info!(event = "store-read-failed", ?table, %error, after = progress.version);
                progress.read_failed(&error);
                if error != StoreError::HistoryExpired && report_reachable(&tx, false).is_err() {
                    return;
                }
                pause.wait().await;
            }
        }
    }
}

/// Returns the version up to which the dispatcher knows a table, its own reads and reports of
/// peers included; 0 for none.
fn known_version(state: &StoreState, table: Table) -> u64 {
    match table {
        Table::Configuration => state.configuration_version,
        Table::Targets => state.targets_version,
        Table::Hosts => 0,
    }
}

/// The task that owns the dispatcher has ended.
pub struct DispatcherStopped;

/// Reports to the dispatcher whether the store answers.
fn report_reachable(tx: &Sender, reachable: bool) -> Result<(), DispatcherStopped> {
    let event = Event::StoreReachable(reachable);
    tx.send(Message::Event(event))
        .map_err(|_| DispatcherStopped)
}

/// Sends the dispatcher the events of a successful read that was requested at `requested_at`.
/// `whole` is set if the rows are the whole table.
fn send_events(
    tx: &Sender,
    table: Table,
    rows: Rows,
    whole: bool,
    requested_at: Duration,
) -> Result<(), DispatcherStopped> {
    report_reachable(tx, true)?;
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
                // Reported above; the last valid row stays in force.
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
        requested_at,
    });
    let messages = events.into_iter().map(Message::Event).chain(answered);
    for message in messages {
        tx.send(message).map_err(|_| DispatcherStopped)?;
    }
    Ok(())
}

/// Returns the event with the draining halls. It is sent without changes too, since it carries
/// the version up to which the draining halls are known.
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

/// Writes this host's row at intervals, so that other hosts find it.
pub async fn publish_host_row(platform_client: PlatformClient, info: HostInfo) {
    let mut pause = RetryPause(RETRY_PAUSE_MS.0);
    loop {
        match (platform_client.write_host)(info.clone()).await {
            Ok(()) => {
                pause.reset();
                monoio::time::sleep(HOST_ROW_INTERVAL).await;
            }
            Err(error) => {
                info!(event = "store-write-failed", %error);
                pause.wait().await;
            }
        }
    }
}
