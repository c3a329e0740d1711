//! Follows the platform's tables, one task a table.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gannetridge_dispatch::message::HostInfo;
use gannetridge_dispatch::{Event, Millis};
use tracing::{info, warn};

use crate::core_task::{Message, Sender};
use crate::outside::{Outside, Row, Rows, StoreError, Table};

/// How long the store may wait for a change before it answers.
const FOLLOW_WAIT_MS: Millis = 5_000;
/// Between tries while the store gives no answer.
const RETRY_MS: (Millis, Millis) = (150, 1_200);
/// Between reads of the targets' table, whose rows change all the time.
const TARGETS_PAUSE: Duration = Duration::from_millis(250);
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

/// Follows a table for as long as the process lives.
pub async fn follow(outside: Outside, table: Table, tx: Sender, reachable: Reachable) {
    let mut pause = Pause(RETRY_MS.0);
    let mut version = None;
    loop {
        let read = match version {
            None => (outside.read_table)(table).await,
            Some(after) => (outside.follow_table)(table, after, FOLLOW_WAIT_MS).await,
        };
        match read {
            Ok(rows) => {
                reachable.set(true);
                pause.reset();
                let whole = version.is_none();
                version = Some(rows.version);
                if tell(&tx, table, rows, whole).is_err() {
                    return;
                }
                if table == Table::Targets {
                    monoio::time::sleep(TARGETS_PAUSE).await;
                }
            }
            Err(error) => {
                let gone = error == StoreError::HistoryGone;
                info!(event = "store-read-failed", ?table, %error, after = version);
                if gone {
                    version = None;
                } else {
                    reachable.set(false);
                    // What was missed meanwhile is read again whole.
                    if matches!(error, StoreError::Unreadable(_)) {
                        version = None;
                    }
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
pub async fn announce(outside: Outside, info: HostInfo) {
    let mut pause = Pause(RETRY_MS.0);
    loop {
        match (outside.write_host)(info.clone()).await {
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
